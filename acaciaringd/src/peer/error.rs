//! Errors of the transport between members.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use quinn::ConnectionError;
use rustls_pki_types::pem;
use snafu::Snafu;

/// Failure to start the transport.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum PeerError {
    /// A PEM file cannot be read.
    #[snafu(display("cannot read PEM file {}", path.display()))]
    ReadPem {
        /// File.
        path: PathBuf,
        /// Cause.
        source: pem::Error,
    },
    /// A PEM file holds no certificate.
    #[snafu(display("no certificate in {}", path.display()))]
    NoCertificate {
        /// File.
        path: PathBuf,
    },
    /// A certificate of the authority is not valid.
    #[snafu(display("invalid CA certificate in {}", path.display()))]
    Authority {
        /// File.
        path: PathBuf,
        /// Cause.
        source: rustls::Error,
    },
    /// Certificate and key do not match or are not supported.
    #[snafu(display("cannot use the certificate in {}", path.display()))]
    Certificate {
        /// File.
        path: PathBuf,
        /// Cause.
        source: rustls::Error,
    },
    /// The TLS library rejects the configuration of the transport.
    #[snafu(display("cannot set up TLS: {cause}"))]
    Tls {
        /// Cause.
        cause: String,
    },
    /// The address cannot be bound.
    #[snafu(display("cannot listen on UDP address {address}"))]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Threads cannot be started.
    #[snafu(display("cannot start the transport threads"))]
    Threads {
        /// Cause.
        source: io::Error,
    },
}

/// Failure to connect to a member.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ConnectError {
    /// The member did not complete the handshake in time.
    #[snafu(display("connection timed out"))]
    TimedOut,
    /// The member refused the connection, or the connection was lost during the handshake.
    #[snafu(display("connection refused or lost"))]
    Broken {
        /// Cause.
        source: ConnectionError,
    },
    /// The connection cannot be started.
    #[snafu(display("cannot connect"))]
    Start {
        /// Cause.
        source: quinn::ConnectError,
    },
    /// No socket can be opened.
    #[snafu(display("cannot open a UDP socket"))]
    Socket {
        /// Cause.
        #[snafu(source(from(io::Error, Arc::new)))]
        source: Arc<io::Error>,
    },
    /// The member's greeting does not follow the protocol.
    #[snafu(display("invalid greeting"))]
    Greeting,
    /// The transport is stopped.
    #[snafu(display("transport is stopped"))]
    Stopped,
}

/// Failure of a call to a member.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum CallError {
    /// No connection was established; the call was not delivered.
    #[snafu(display("cannot reach {peer}"))]
    Unreachable {
        /// Member's address.
        peer: SocketAddr,
        /// Cause.
        source: ConnectError,
    },
    /// The call was not sent completely, so it was not delivered.
    #[snafu(display("call to {peer} was not sent completely"))]
    Unsent {
        /// Member's address.
        peer: SocketAddr,
    },
    /// The call exceeds the message limit and was not sent.
    #[snafu(display("call of {size} bytes to {peer} exceeds the message limit"))]
    TooLarge {
        /// Member's address.
        peer: SocketAddr,
        /// Bytes of the message.
        size: usize,
    },
    /// The member refused the call before it ran.
    #[snafu(display("{peer} refused the call with code {code}"))]
    Refused {
        /// Member's address.
        peer: SocketAddr,
        /// Error code of the stream.
        code: u64,
    },
    /// The call may have been delivered, but there was no reply.
    #[snafu(display("no reply from {peer}"))]
    Lost {
        /// Member's address.
        peer: SocketAddr,
    },
}

impl CallError {
    /// Returns whether the member may have handled the call.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}
