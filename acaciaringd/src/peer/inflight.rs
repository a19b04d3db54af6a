//! Messages of others that are in hand, so that a stop can wait for what is due to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Where messages are taken in, until it closes.
#[derive(Debug, Default)]
pub(super) struct InflightTracker {
    count: AtomicUsize,
    closed: AtomicBool,
    /// Whether a message was dropped with an unknown effect.
    uncertain: AtomicBool,
}

impl InflightTracker {
    /// Takes a message in until what is returned is dropped; `None` once no more are taken.
    pub fn try_track(self: &Arc<Self>) -> Option<InflightGuard> {
        // Counted before it is asked: one that closes sees the count, or this one sees that it has closed.
        let guard = self.track();
        if self.closed.load(Ordering::SeqCst) {
            guard.settle();
            return None;
        }
        Some(guard)
    }

    /// Counts a message as in hand, also after the close.
    pub fn track(self: &Arc<Self>) -> InflightGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        InflightGuard { tracker: Arc::clone(self), settled: false }
    }

    /// Takes no more messages.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns how many messages are in hand.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Returns whether each message that was taken in has been settled, and no more will be taken.
    pub fn is_settled(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
            && self.count() == 0
            && !self.uncertain.load(Ordering::SeqCst)
    }
}

/// Message in hand; one that is dropped before it is settled has an unknown effect.
#[derive(Debug)]
pub(super) struct InflightGuard {
    tracker: Arc<InflightTracker>,
    settled: bool,
}

impl InflightGuard {
    /// Records that the sender has the answer, or that the message had no effect.
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
