//! One established connection to a member.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use quinn::{Connection, ConnectionError, Endpoint, SendStream, VarInt};
use snafu::ResultExt;

use crate::peer::error::{BrokenSnafu, ConnectError};
use crate::peer::frame::{Code, FrameReader};

/// Length of a greeting, which holds the process id.
const GREETING_BYTES: usize = size_of::<u64>();

/// Id that orders the connections of this process by their start.
pub(super) type LinkId = u64;

/// Time at which a peer was last heard on a connection, and whether the connection is suspect.
#[derive(Debug, Clone)]
pub(super) struct Liveness {
    start: Instant,
    millis: Arc<AtomicU64>,
    suspect: Arc<AtomicBool>,
}

impl Liveness {
    /// Creates a record of a peer that was heard now.
    pub fn new() -> Self {
        Self { start: Instant::now(), millis: Arc::default(), suspect: Arc::default() }
    }

    /// Records that the peer was heard now, which ends a suspicion.
    pub fn touch(&self) {
        self.millis.store(self.millis(), Ordering::Relaxed);
        self.suspect.store(false, Ordering::Relaxed);
    }

    /// Marks the connection as suspect; returns whether it was not before.
    pub fn mark_suspect(&self) -> bool {
        !self.suspect.swap(true, Ordering::Relaxed)
    }

    /// Returns whether the connection was marked as suspect and the peer not heard since.
    pub fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::Relaxed)
    }

    /// Returns the time since the connection was made.
    pub fn age(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns whether the peer was heard within `window`.
    pub fn heard_within(&self, window: Duration) -> bool {
        let millis = self.millis().saturating_sub(self.millis.load(Ordering::Relaxed));
        Duration::from_millis(millis) < window
    }

    fn millis(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Connection to a member after the exchange of greetings.
pub(super) struct Link {
    /// Id of the connection.
    pub id: LinkId,
    /// Random id of the peer's run of its process.
    ///
    /// A process that restarts at the same address has lost its record of attempts, so its reply
    /// "not arrived" does not apply to an attempt that was sent to its predecessor.
    pub process: u64,
    /// QUIC connection.
    pub conn: Connection,
    /// Time of the peer's last datagram, stream or answer.
    pub liveness: Liveness,
    /// Set once another connection has replaced this one.
    retired: AtomicBool,
    /// Endpoint of a connection that this process opened.
    endpoint: Option<Endpoint>,
}

impl Link {
    /// Creates a link; `endpoint` is set for a connection that this process opened.
    pub fn new(id: LinkId, process: u64, conn: Connection, endpoint: Option<Endpoint>) -> Self {
        let retired = AtomicBool::new(false);
        Self { id, process, conn, liveness: Liveness::new(), retired, endpoint }
    }

    /// Returns whether the connection is open as far as this end knows.
    pub fn is_open(&self) -> bool {
        self.conn.close_reason().is_none()
    }

    /// Returns whether the peer closed the connection because its process stops.
    pub fn has_stopped(&self) -> bool {
        self.conn.close_reason().is_some_and(|reason| is_stop(&reason))
    }

    /// Returns the number of packets received.
    pub fn received(&self) -> u64 {
        self.conn.stats().udp_rx.datagrams
    }

    /// Records that another connection replaces this one.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    /// Returns whether another connection has replaced this one.
    pub fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Opens a stream and returns its two halves.
    pub async fn open(&self, limit: usize) -> Option<(SendStream, FrameReader)> {
        open(&self.conn, limit).await
    }
}

/// Returns whether a connection ended because the peer's process stops.
pub(super) fn is_stop(reason: &ConnectionError) -> bool {
    is_closed_with(reason, &[Code::Stopping, Code::Settled])
}

/// Returns whether a connection ended while the peer waited for nothing on it.
pub(super) fn was_unused(reason: &ConnectionError) -> bool {
    is_closed_with(reason, &[Code::Unused])
}

fn is_closed_with(reason: &ConnectionError, codes: &[Code]) -> bool {
    let ConnectionError::ApplicationClosed(close) = reason else { return false };
    codes.iter().any(|&code| close.error_code == VarInt::from(code))
}

/// Opens a stream on a connection and returns its two halves.
pub(super) async fn open(conn: &Connection, limit: usize) -> Option<(SendStream, FrameReader)> {
    let (send, recv) = conn.open_bi().await.ok()?;
    Some((send, FrameReader::new(recv, limit)))
}

impl Drop for Link {
    /// Closes a connection that this process opened, once nothing uses it.
    fn drop(&mut self) {
        if self.endpoint.is_some() {
            self.conn.close(Code::Unused.into(), &[]);
        }
    }
}

/// Exchanges greetings on a new connection and returns the peer's process id.
///
/// The peer greets only after it has accepted this end's certificate.
pub(super) async fn greet(conn: &Connection, process: u64) -> Result<u64, ConnectError> {
    let mut send = conn.open_uni().await.context(BrokenSnafu)?;
    let greeting = process.to_be_bytes();
    send.write_all(&greeting).await.map_err(|_| connect_error(conn))?;
    send.finish().map_err(|_| ConnectError::Greeting)?;
    let mut recv = conn.accept_uni().await.context(BrokenSnafu)?;
    let greeting = recv.read_to_end(GREETING_BYTES).await.map_err(|_| connect_error(conn))?;
    let greeting = greeting.try_into().map_err(|_| ConnectError::Greeting)?;
    Ok(u64::from_be_bytes(greeting))
}

fn connect_error(conn: &Connection) -> ConnectError {
    conn.close_reason().map_or(ConnectError::Greeting, |source| ConnectError::Broken { source })
}
