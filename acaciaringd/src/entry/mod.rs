//! Entry for callers, over HTTP/1.1.
//!
//! Requests are read completely before they are handled, and answers are written with their length.
//! Invalid requests and failures are answered as follows:
//!
//! | condition | answer |
//! | --- | --- |
//! | invalid request line or header | 400 without body, by `tiny_http` |
//! | non-ASCII header | connection closed, by `tiny_http` |
//! | ambiguous framing, invalid path, method or deadline | 400, `not-run`, `bad-request` |
//! | head above the limit | 431, `not-run`, `bad-request` |
//! | body above the limit | 413, `not-run`, `bad-request` |
//! | body above 1 KiB not received in time | 408, `not-run`, `bad-request` |
//! | stalled head or smaller body | connection closed after `idle` |
//! | too many concurrent uploads | 503, `not-run`, `busy` |
//! | connection closed before the request is complete | none; the request does not run |
//! | handler panics | 502, `unknown`, `lost-answer` |
//!
//! # Limits
//!
//! Bodies above 1 KiB are read by separate threads (`uploads`), so slow ones do not block workers.
//! Reading a body is abandoned after `read`, at the latest `idle` later. A connection without data
//! for `idle` is closed. Writing an answer is abandoned if the caller reads nothing for `idle`, or
//! not everything within `read` plus `idle`.
//!
//! Not limited, because `tiny_http` owns the connections: the number of connections, with one
//! thread each; the time of a head that arrives byte by byte; and the memory of one header line.
//! None of these blocks a worker. When file descriptors run out, the entry stops accepting until
//! some are free. A body with a stated length above 64 MiB is answered by a 413 without a length
//! and blocks its connection's thread until the process ends.

mod acceptor;
pub(crate) mod answer;
mod body;
pub(crate) mod connection;
pub(crate) mod listener;
mod refuse;
mod request;
mod worker;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Verdict;
use snafu::{ResultExt, Snafu};

pub use crate::entry::answer::EntryAnswer;
use crate::entry::listener::{Listener, ListenerSettings};
pub use crate::entry::request::EntryRequest;
use crate::entry::worker::Pool;
pub use crate::header::Headers;
use crate::web::HeldBytes;

/// Settings of the entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Number of threads that handle requests.
    pub workers: usize,
    /// Number of threads that read and handle requests with bodies above 1 KiB.
    pub uploads: usize,
    /// Maximum size of a body, bytes.
    pub body: u64,
    /// Maximum size of the request line and headers, bytes.
    pub header: usize,
    /// Timeout for receiving a body and for writing an answer.
    pub read: Duration,
    /// Timeout of a connection without data.
    pub idle: Duration,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            workers: 16,
            uploads: 16,
            body: 8 << 20,
            header: 32 << 10,
            read: Duration::from_secs(10),
            idle: Duration::from_secs(30),
        }
    }
}

/// Error of starting the entry.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// Cannot bind the address.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// Configured address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Handler of complete requests.
pub trait Service: Send + Sync + 'static {
    /// Answers a request; called concurrently on many threads, may block.
    fn handle(&self, request: EntryRequest) -> EntryAnswer;

    /// Called with the verdict of each request, including those refused by the entry.
    fn record_verdict(&self, _verdict: Verdict) {}

    /// Returns the count of answer bytes, which includes an answer while it is written.
    fn held(&self) -> HeldBytes {
        HeldBytes::default()
    }
}

/// Running HTTP server for callers.
#[derive(Debug)]
pub struct Entry {
    listener: Listener,
    pool: Arc<Pool>,
}

impl Entry {
    /// Binds the address and starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(settings: EntrySettings, service: Arc<dyn Service>) -> Result<Self, EntryError> {
        let address = settings.address;
        let listen = ListenerSettings { address, workers: settings.workers, idle: settings.idle };
        let pool = Arc::new(Pool::new(settings, service));
        let listener = Listener::start(&listen, Arc::clone(&pool));
        Ok(Self { listener: listener.context(ListenSnafu { address })?, pool })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.listener.local_addr()
    }

    /// Returns the number of requests that are being read or handled.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.pool.in_flight()
    }

    /// Stops accepting connections and waits for the requests in flight, at most `bound`.
    ///
    /// Requests that arrive on open connections are refused as `NotRun`; connections not yet
    /// accepted are reset unread. Returns the number of requests still in flight.
    #[must_use]
    pub fn drain(&self, bound: Duration) -> usize {
        self.listener.close();
        let left = self.pool.drain(bound);
        self.listener.stop();
        left
    }
}
