//! Settings of the transport between members.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Where a member listens, its certificate, and bounds of the transport.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address on which to listen over UDP.
    pub address: SocketAddr,
    /// PEM file with the member's certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key of the certificate.
    pub key: PathBuf,
    /// PEM file with the authority that signs all members' certificates.
    pub authority: PathBuf,
    /// Requests of other members that run at once; further ones wait.
    pub workers: usize,
    /// Threads that move packets and run the handler.
    pub threads: usize,
    /// Time within which a request is acknowledged; later the connection is suspect.
    pub ack_timeout: Duration,
    /// Time for which a message waits for a connection; the handshake goes on for some time after it.
    pub connect: Duration,
    /// Largest message in bytes.
    pub message_limit: usize,
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
        }
    }
}
