//! Transport between members: datagrams, calls and requests over QUIC with mutual TLS.
//!
//! A NAT or firewall between two members can drop the state of an open connection, which then stays
//! silent while new connections work. A sender whose request is not acknowledged in time opens a
//! new connection from a new port and probes for the attempt; the receiver either has it or refuses
//! it from then on.

mod attempt;
mod cancel;
mod error;
mod exchange;
mod frame;
mod inflight;
mod lags;
mod large;
mod limiter;
mod link;
mod outgoing;
mod pool;
mod run;
mod search;
mod serve;
mod settings;
mod stopped;
mod table;
#[cfg(test)]
pub(crate) mod tests;
mod threads;
mod timeouts;
mod tls;
mod traffic;
mod transport;
mod trust;
mod volume;
mod window;

pub use self::attempt::{RequestOutcome, RunningRequest};
pub use self::cancel::CancelFlag;
pub use self::error::{CallError, ConnectError, PeerError};
pub use self::outgoing::{AttemptStage, PendingAttempt};
pub use self::settings::PeerSettings;
pub use self::traffic::Traffic;
pub use self::transport::{BoxFuture, Handler, Transport};
pub(crate) use self::volume::Volumes;
