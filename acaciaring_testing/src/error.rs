//! Errors of the stand-ins.

use std::io;
use std::result;

use snafu::Snafu;

/// Result of an operation on a stand-in or test helper.
pub type Result<T> = result::Result<T, Error>;

/// Failure to start or control a stand-in.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// An operation of the operating system failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// Operation that failed.
        what: String,
        /// Cause.
        source: io::Error,
    },
    /// A stand-in did not answer a command.
    #[snafu(display("HTTP: {message}"))]
    Server {
        /// Cause.
        message: String,
    },
    /// A certificate could not be created.
    #[snafu(display("certificate: {source}"))]
    Certificate {
        /// Cause.
        source: rcgen::Error,
    },
    /// JSON of options, commands, responses or records is invalid.
    #[snafu(display("options: {source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// Options are invalid.
    #[snafu(display("options: {what}"))]
    Options {
        /// Reason.
        what: String,
    },
    /// An HTTP request got no response.
    #[snafu(display("no answer from {address}: {source}"))]
    Http {
        /// Address of the server.
        address: std::net::SocketAddr,
        /// Cause.
        source: ureq::Error,
    },
    /// A response was not the expected one.
    #[snafu(display("unexpected: {what}"))]
    Answer {
        /// Description of the response.
        what: String,
    },
    /// A condition did not hold in time.
    #[snafu(display("no {what} within {millis} ms"))]
    Timeout {
        /// Condition.
        what: String,
        /// Timeout in milliseconds.
        millis: u128,
    },
}
