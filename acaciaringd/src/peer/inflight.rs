//! Tracking of messages that are being handled, so that a stop can wait for their answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Counts the messages in flight and refuses new ones once it is closed.
#[derive(Debug, Default)]
pub(super) struct InflightTracker {
    count: AtomicUsize,
    closed: AtomicBool,
    /// Set once a message ended without being settled.
    uncertain: AtomicBool,
}

impl InflightTracker {
    /// Counts a message until the guard is dropped; `None` once the tracker is closed.
    pub fn try_track(self: &Arc<Self>) -> Option<InflightGuard> {
        // Counted before the check, so that either `close` sees the count or this sees the close.
        let guard = self.track();
        if self.closed.load(Ordering::SeqCst) {
            guard.settle();
            return None;
        }
        Some(guard)
    }

    /// Counts a message, even if the tracker is closed.
    pub fn track(self: &Arc<Self>) -> InflightGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        InflightGuard { tracker: Arc::clone(self), settled: false }
    }

    /// Refuses further messages.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns the number of messages in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Returns whether the tracker is closed and every message was settled.
    pub fn is_settled(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
            && self.count() == 0
            && !self.uncertain.load(Ordering::SeqCst)
    }
}

/// Message in flight; if it is dropped before it is settled, its effect is unknown.
#[derive(Debug)]
pub(super) struct InflightGuard {
    tracker: Arc<InflightTracker>,
    settled: bool,
}

impl InflightGuard {
    /// Ends a message whose answer the sender has, or that had no effect.
    pub fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        if !self.settled {
            self.tracker.uncertain.store(true, Ordering::SeqCst);
        }
        self.tracker.count.fetch_sub(1, Ordering::SeqCst);
    }
}
