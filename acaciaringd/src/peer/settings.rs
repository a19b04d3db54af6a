//! Settings of the transport between members.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Address, certificate and limits of the transport of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// UDP address to listen on.
    pub address: SocketAddr,
    /// PEM file with the member's certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key of the certificate.
    pub key: PathBuf,
    /// PEM file with the CA certificate of all members; if empty, members use self-signed ones.
    pub authority: PathBuf,
    /// Requests of other members that run concurrently; further ones wait.
    pub workers: usize,
    /// Threads that process packets and run the handler.
    pub threads: usize,
    /// Time for the acknowledgement of a request, after which the connection is suspect.
    ///
    /// Round trips and the transfer of a large request are added to it.
    pub ack_timeout: Duration,
    /// Time for which a message waits for a connection; the handshake itself may take longer.
    pub connect: Duration,
    /// Largest message in bytes.
    pub message_limit: usize,
    /// Width of the link of this VM in bytes per second.
    pub link_rate: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            certificate: PathBuf::new(),
            key: PathBuf::new(),
            authority: PathBuf::new(),
            workers: 16,
            threads: 2,
            ack_timeout: Duration::from_millis(60),
            connect: Duration::from_millis(500),
            message_limit: 4 << 20,
            link_rate: 125_000_000,
        }
    }
}
