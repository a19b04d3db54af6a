//! Connections of callers, and the limit on them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use acaciaring_core::Time;
use acaciaring_core::connection_limit::{Admission, Phase, admit};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tracing::warn;

use crate::clock;
use crate::log_limiter::LogLimiter;
use crate::metrics::{Counter, Metrics};

/// Limit on log lines per second about connections that are closed for others.
const MAX_LOG_LINES: u32 = 1;

/// What a connection does, shared with the tasks that serve it.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    /// True while a request is in progress.
    busy: AtomicBool,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Time,
    /// True once the connection must close for another one.
    closing: bool,
}

impl Activity {
    pub(super) fn new(now: Time) -> Self {
        let state = State { phase: Phase::Receiving, since: now, closing: false };
        Self { state: Mutex::new(state), busy: AtomicBool::new(false) }
    }

    /// Sets the phase; returns false if the connection must close instead.
    ///
    /// Guards against a request that runs although its connection is closed for another one.
    pub(super) fn enter(&self, phase: Phase) -> bool {
        let mut state = self.state.lock();
        if !state.closing && state.phase != phase {
            *state = State { phase, since: clock::now(), closing: false };
        }
        !state.closing
    }

    fn phase(&self) -> (Phase, Time) {
        let state = self.state.lock();
        (state.phase, state.since)
    }

    /// Closes the connection, unless a request of it is being answered.
    fn close(&self) -> bool {
        let mut state = self.state.lock();
        state.closing = state.phase == Phase::Receiving;
        state.closing
    }

    /// Records that a request has begun to arrive, or that its answer is to be written.
    pub(super) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Release);
        if busy {
            self.state.lock().since = clock::now();
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }
}

/// Open connections of a listener.
#[derive(Debug)]
pub(super) struct Connections {
    limit: usize,
    open: Mutex<HashMap<u64, Open>>,
    /// Number of all that were accepted and have not ended, which includes those that must close.
    count: AtomicUsize,
    /// Notified when a connection ends.
    ended: Notify,
    metrics: Metrics,
    log_limit: LogLimiter,
}

#[derive(Debug)]
struct Open {
    activity: Arc<Activity>,
    /// Closes the connection when it is dropped.
    _close: oneshot::Sender<()>,
}

impl Connections {
    pub(super) fn new(limit: usize, metrics: Metrics) -> Self {
        Self {
            limit: limit.max(1),
            open: Mutex::default(),
            count: AtomicUsize::new(0),
            ended: Notify::new(),
            metrics,
            log_limit: LogLimiter::new(MAX_LOG_LINES),
        }
    }

    /// Returns the number of connections that have not ended.
    pub(super) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Opens a connection, and waits for the end of one that gives way; `None` if none can.
    pub(super) async fn open(self: &Arc<Self>, number: u64) -> Option<OpenConnection> {
        if !self.make_room() {
            return None;
        }
        while self.count() >= self.limit {
            self.ended.notified().await;
        }
        let activity = Arc::new(Activity::new(clock::now()));
        let (close, closed) = oneshot::channel();
        let open = Open { activity: Arc::clone(&activity), _close: close };
        self.open.lock().insert(number, open);
        self.count.fetch_add(1, Ordering::AcqRel);
        let guard = ConnectionGuard { connections: Arc::clone(self), number };
        Some(OpenConnection { activity, closed, guard })
    }

    /// Closes a connection for a new one if necessary; returns false if there is no room.
    fn make_room(&self) -> bool {
        let mut open = self.open.lock();
        let admission = admit(
            self.limit,
            open.iter().map(|(number, open)| {
                let (phase, since) = open.activity.phase();
                (*number, phase, since)
            }),
        );
        let admitted = match admission {
            Admission::Open => return true,
            Admission::Replace(number) if open[&number].activity.close() => {
                open.remove(&number).is_some()
            }
            Admission::Replace(_) | Admission::Refuse => false,
        };
        drop(open);
        self.metrics.count(Counter::ConnectionsClosed, 1);
        if let Some(left_out) = self.log_limit.admit(clock::now()) {
            let limit = self.limit;
            warn!(limit, admitted, left_out, "too many connections of callers, closing some");
        }
        admitted
    }
}

/// Connection that was opened.
pub(super) struct OpenConnection {
    pub(super) activity: Arc<Activity>,
    /// Ends when the connection must close for another one.
    pub(super) closed: oneshot::Receiver<()>,
    pub(super) guard: ConnectionGuard,
}

/// Counts a connection as open until dropped.
pub(super) struct ConnectionGuard {
    connections: Arc<Connections>,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let Self { connections, number } = self;
        connections.open.lock().remove(number);
        connections.count.fetch_sub(1, Ordering::AcqRel);
        connections.ended.notify_one();
    }
}
