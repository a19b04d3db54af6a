//! Errors of exchanges with a server.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Error of an exchange.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ExchangeError {
    /// Cannot connect; nothing was sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection is unusable; nothing was sent.
    #[snafu(display("connection to {address} closed before the request was sent"))]
    Unsent {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The request may have been sent, and no complete answer was received.
    #[snafu(display("no complete answer from {address}"))]
    Lost {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The request may have been sent, and no complete answer was received before the deadline.
    #[snafu(display("no complete answer from {address} in time"))]
    Expired {
        /// Address.
        address: SocketAddr,
    },
    /// Nothing of the request was written before the deadline.
    #[snafu(display("the request to {address} was not written in time"))]
    Unwritten {
        /// Address.
        address: SocketAddr,
    },
    /// The request needs a new connection, which it may not open; nothing was sent.
    #[snafu(display("no connection to {address} is open"))]
    Unconnected {
        /// Address.
        address: SocketAddr,
    },
    /// The answer body exceeds the limit.
    #[snafu(display("answer body from {address} exceeds {limit} bytes"))]
    TooLarge {
        /// Address.
        address: SocketAddr,
        /// Limit, bytes.
        limit: usize,
    },
    /// The answer body takes too much of the limit on all incomplete answers.
    #[snafu(display("no room for {size} bytes of an incomplete answer from {address}"))]
    NoRoom {
        /// Address.
        address: SocketAddr,
        /// Bytes received.
        size: usize,
    },
}

impl ExchangeError {
    /// Returns true if the server may have received the request.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        match self {
            Self::Lost { .. }
            | Self::Expired { .. }
            | Self::TooLarge { .. }
            | Self::NoRoom { .. } => true,
            Self::Connect { .. }
            | Self::Unsent { .. }
            | Self::Unwritten { .. }
            | Self::Unconnected { .. } => false,
        }
    }
}
