//! Messages of others that are in hand, so that a stop can wait for what is due to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Where messages are taken in, until it closes.
#[derive(Debug, Default)]
pub(super) struct Desk {
    held: AtomicUsize,
    closed: AtomicBool,
    /// Whether a message was dropped with an unknown effect.
    unsure: AtomicBool,
}

impl Desk {
    /// Takes a message in until what is returned is dropped; `None` once no more are taken.
    pub fn take(self: &Arc<Self>) -> Option<Held> {
        // Counted before it is asked: one that closes sees the count, or this one sees that it has closed.
        let held = self.hold();
        if self.closed.load(Ordering::SeqCst) {
            held.settle();
            return None;
        }
        Some(held)
    }

    /// Counts a message as in hand, also after the close.
    pub fn hold(self: &Arc<Self>) -> Held {
        self.held.fetch_add(1, Ordering::SeqCst);
        Held { desk: Arc::clone(self), settled: false }
    }

    /// Takes no more messages.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns how many messages are in hand.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    /// Returns whether each message that was taken in has been settled, and no more will be taken.
    pub fn is_settled(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
            && self.held() == 0
            && !self.unsure.load(Ordering::SeqCst)
    }
}

/// Message in hand; one that is dropped before it is settled has an unknown effect.
#[derive(Debug)]
pub(super) struct Held {
    desk: Arc<Desk>,
    settled: bool,
}

impl Held {
    /// Records that the sender has the answer, or that the message had no effect.
    pub fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.settled {
            self.desk.unsure.store(true, Ordering::SeqCst);
        }
        self.desk.held.fetch_sub(1, Ordering::SeqCst);
    }
}
