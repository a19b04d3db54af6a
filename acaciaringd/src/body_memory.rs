//! Memory of the request bodies that this process holds, over all connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::body_budget::{BodyBudget, BodyId};
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tracing::warn;

use crate::log_limiter::LogLimiter;
use crate::metrics::{Counter, Metrics};

/// Limit on log lines per second about bodies without room.
const MAX_LOG_LINES: u32 = 1;

/// Limit on the bytes of all request bodies; clones share it.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    metrics: Metrics,
    log_limit: LogLimiter,
}

#[derive(Debug)]
struct State {
    budget: BodyBudget,
    /// Tell the readers of bodies that are arriving that their body was removed.
    readers: HashMap<BodyId, oneshot::Sender<()>>,
}

impl BodyMemory {
    /// Creates a limit in bytes.
    #[must_use]
    pub fn new(limit: u64, metrics: Metrics) -> Self {
        let state = State { budget: BodyBudget::new(limit), readers: HashMap::new() };
        let log_limit = LogLimiter::new(MAX_LOG_LINES);
        Self(Arc::new(Shared { state: Mutex::new(state), metrics, log_limit }))
    }

    /// Returns the size of the largest body that there is ever room for, in bytes.
    pub(crate) fn largest(&self) -> u64 {
        self.0.state.lock().budget.largest()
    }

    /// Returns the bytes that bodies take now.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.0.state.lock().budget.used()
    }

    /// Begins a body, which has stalled if nothing of it arrives for `patience`.
    ///
    /// The channel is closed once the body must be given up for another one.
    pub(crate) fn begin(&self, now: Time, patience: Duration) -> (Charge, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.0.state.lock();
        let id = state.budget.begin(now, patience);
        state.readers.insert(id, sender);
        (Charge { memory: self.clone(), id }, receiver)
    }

    /// Takes memory for a message with a body that arrives as a whole; `None` if there is no room.
    pub(crate) fn take(&self, now: Time, bytes: usize) -> Option<Charge> {
        let (charge, _) = self.begin(now, Duration::MAX);
        charge.grow(now, bytes).then_some(charge)?.completed()
    }

    fn grow(&self, now: Time, id: BodyId, bytes: u64) -> bool {
        let mut state = self.0.state.lock();
        let removed = state.budget.grow(now, id, bytes);
        for id in removed.iter().flatten() {
            state.readers.remove(id);
        }
        let (held, limit) = (state.budget.used(), state.budget.limit());
        drop(state);
        let given_up = removed.as_ref().map_or(1, Vec::len);
        if given_up > 0 {
            self.0.metrics.count(Counter::BodiesRefused, given_up as u64);
            if let Some(left_out) = self.0.log_limit.admit(now) {
                warn!(held, limit, left_out, "request bodies need more memory, giving up some");
            }
        }
        removed.is_some()
    }
}

/// Memory of one body; released on drop.
#[derive(Debug)]
pub(crate) struct Charge {
    memory: BodyMemory,
    id: BodyId,
}

impl Charge {
    /// Takes more bytes; returns false if there is no room, and the body must be given up.
    pub(crate) fn grow(&self, now: Time, bytes: usize) -> bool {
        self.memory.grow(now, self.id, bytes as u64)
    }

    /// Records that a part of the body has arrived.
    pub(crate) fn progressed(&self, now: Time) {
        self.memory.0.state.lock().budget.progressed(now, self.id);
    }

    /// Records that the body is complete, so that it stays; `None` if it was removed before.
    fn completed(self) -> Option<Self> {
        let mut state = self.memory.0.state.lock();
        let complete = state.budget.complete(self.id);
        state.readers.remove(&self.id);
        drop(state);
        complete.then_some(self)
    }

    /// Returns the complete body, whose memory is released with its last reference; `None` if it
    /// was removed for another one.
    pub(crate) fn complete(self, body: Bytes) -> Option<Bytes> {
        Some(self.completed()?.hold(body))
    }

    /// Returns a message that releases its memory with its last reference.
    pub(crate) fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.memory.0.state.lock();
        state.budget.end(self.id);
        state.readers.remove(&self.id);
    }
}

/// Body with its charge; both are dropped with the last reference to the body.
struct Held {
    body: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
