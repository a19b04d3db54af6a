//! Entry for callers, over HTTP/1.1.
//!
//! Requests are read whole before they are handed on, and answers are written
//! whole with their length. What a caller does wrong gets its own answer:
//!
//! | what | answer |
//! | --- | --- |
//! | request line or header that does not parse | 400 without body, by `tiny_http` |
//! | header that is not ASCII | connection closed, by `tiny_http` |
//! | unclear framing, bad path, method or deadline | 400, `not-run`, `bad-request` |
//! | head above the limit | 431, `not-run`, `bad-request` |
//! | body above the limit | 413, `not-run`, `bad-request` |
//! | body above 1 KiB that is too slow | 408, `not-run`, `bad-request` |
//! | head or smaller body that stops to arrive | connection closed after `idle` |
//! | too many bodies being read at once | 503, `not-run`, `busy` |
//! | caller goes away before its request is whole | none; the request does not run |
//! | handler fails unexpectedly | 502, `unknown`, `lost-answer` |
//!
//! # Bounds
//!
//! Bodies above 1 KiB are read by threads of their own (`uploads`), so that slow
//! ones never keep a worker from the others. A body is given up after `read`,
//! at the latest `idle` later. A connection on which nothing arrives for `idle`
//! is closed; a caller that takes no byte of its answer for `idle`, or not all of
//! it within `read` and `idle`, is given up.
//!
//! Not bounded, because `tiny_http` owns the connections: the number of
//! connections, with one thread each; the time of a head that arrives byte by
//! byte; and the memory of one header line. None of these holds a worker. When
//! file descriptors run out, the entry stops to accept until there are some again.
//! A body stated as longer than 64 MiB is answered by a 413 without a
//! length and keeps its connection's thread until the process ends.

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

/// Settings of the entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Threads that handle requests.
    pub workers: usize,
    /// Threads that read and handle requests with bodies above 1 KiB.
    pub uploads: usize,
    /// Limit of a body, bytes.
    pub body: u64,
    /// Limit of a request line and headers, bytes.
    pub header: usize,
    /// Time in which a body has to arrive, and an answer has to be taken.
    pub read: Duration,
    /// Time after which a connection on which nothing moves is closed.
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

/// Failure to start the entry.
#[derive(Debug, Snafu)]
pub enum EntryError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Handler of whole requests.
pub trait Service: Send + Sync + 'static {
    /// Answers a request; called on many threads at once, may block.
    fn handle(&self, request: EntryRequest) -> EntryAnswer;

    /// Learns the verdict of each request, also of those that the entry refuses itself.
    fn record_verdict(&self, _verdict: Verdict) {}
}

/// Running entry.
#[derive(Debug)]
pub struct Entry {
    listener: Listener,
    pool: Arc<Pool>,
}

impl Entry {
    /// Starts to listen and to handle requests.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
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

    /// Stops to accept connections and waits for the requests in flight, at most `bound`.
    ///
    /// Requests that still arrive on open connections are refused as not run.
    /// Connections that are not accepted yet are reset, and requests on them not read.
    /// Returns how many requests were cut off.
    #[must_use]
    pub fn drain(&self, bound: Duration) -> usize {
        self.listener.close();
        let left = self.pool.drain(bound);
        self.listener.stop();
        left
    }
}
