//! Connections of callers, and the limit on them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use acaciaring_core::Time;
use acaciaring_core::connection_limit::{Admission, Phase, admit, oldest_head};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tracing::warn;

use crate::clock;
use crate::log_limiter::LogLimiter;
use crate::metrics::{Counter, Metrics};

/// Divisor of the limit on connections that gives the limit on those with a part of a head.
const HEAD_DIVISOR: usize = 8;

/// Limit on log lines per second about connections that are closed for others.
const MAX_LOG_LINES: u32 = 1;

/// What a connection does, shared with the tasks that serve it.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    /// True while a request is in progress.
    busy: AtomicBool,
    connections: Arc<Connections>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Time,
    /// True once the connection must close for another one.
    closing: bool,
}

impl Activity {
    fn new(now: Time, connections: Arc<Connections>) -> Self {
        let state = State { phase: Phase::Receiving, since: now, closing: false };
        Self { state: Mutex::new(state), busy: AtomicBool::new(false), connections }
    }

    /// Sets the phase; returns false if the connection must close instead.
    ///
    /// Guards against a request that runs although its connection is closed for another one.
    pub(super) fn enter(&self, phase: Phase) -> bool {
        let mut state = self.state.lock();
        if state.closing {
            return false;
        }
        if state.phase == phase {
            return true;
        }
        let before = std::mem::replace(&mut state.phase, phase);
        state.since = clock::now();
        drop(state);
        self.connections.count_head(before, phase);
        true
    }

    fn phase(&self) -> (Phase, Time) {
        let state = self.state.lock();
        (state.phase, state.since)
    }

    /// Closes the connection, unless a request of it is being answered.
    fn close(&self) -> bool {
        let mut state = self.state.lock();
        state.closing = state.phase != Phase::Answering;
        state.closing
    }

    /// Records that a request has begun to arrive, or that its answer is to be written.
    pub(super) fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Release);
        if busy {
            self.enter(Phase::Receiving);
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
    /// Number of connections with a part of a head.
    heads: AtomicUsize,
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
            heads: AtomicUsize::new(0),
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
        let activity = Arc::new(Activity::new(clock::now(), Arc::clone(self)));
        let (close, closed) = oneshot::channel();
        let open = Open { activity: Arc::clone(&activity), _close: close };
        self.open.lock().insert(number, open);
        self.count.fetch_add(1, Ordering::AcqRel);
        let guard = ConnectionGuard { activity: Arc::clone(&activity), number };
        Some(OpenConnection { activity, closed, guard })
    }

    /// Closes a connection for a new one if necessary; returns false if there is no room.
    fn make_room(&self) -> bool {
        let mut open = self.open.lock();
        let admitted = match admit(self.limit, open.iter().map(phase_of)) {
            Admission::Open => return true,
            Admission::Replace(number) if open[&number].activity.close() => {
                open.remove(&number).is_some()
            }
            Admission::Replace(_) | Admission::Refuse => false,
        };
        drop(open);
        self.report(admitted);
        admitted
    }

    /// Counts the connections with a part of a head; closes one of them if there are too many.
    fn count_head(&self, before: Phase, after: Phase) {
        if before == Phase::Head {
            self.heads.fetch_sub(1, Ordering::AcqRel);
        }
        if after != Phase::Head {
            return;
        }
        let heads = self.heads.fetch_add(1, Ordering::AcqRel) + 1;
        if heads <= (self.limit / HEAD_DIVISOR).max(1) {
            return;
        }
        let mut open = self.open.lock();
        let oldest = oldest_head(open.iter().map(phase_of));
        let closed = oldest.filter(|number| open[number].activity.close());
        if closed.and_then(|number| open.remove(&number)).is_some() {
            drop(open);
            self.report(true);
        }
    }

    fn report(&self, admitted: bool) {
        self.metrics.count(Counter::ConnectionsClosed, 1);
        if let Some(left_out) = self.log_limit.admit(clock::now()) {
            let limit = self.limit;
            warn!(limit, admitted, left_out, "too many connections of callers, closing some");
        }
    }
}

fn phase_of((number, open): (&u64, &Open)) -> (u64, Phase, Time) {
    let (phase, since) = open.activity.phase();
    (*number, phase, since)
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
    activity: Arc<Activity>,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let Self { activity, number } = self;
        let connections = &activity.connections;
        if activity.phase().0 == Phase::Head {
            connections.heads.fetch_sub(1, Ordering::AcqRel);
        }
        connections.open.lock().remove(number);
        connections.count.fetch_sub(1, Ordering::AcqRel);
        connections.ended.notify_one();
    }
}
