//! Messages of others that are in hand, so that a stop can wait for what is due to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Where messages are taken in, until it closes.
#[derive(Debug, Default)]
pub(super) struct Desk {
    held: AtomicUsize,
    closed: AtomicBool,
}

impl Desk {
    /// Takes a message in until what is returned is dropped; `None` once no more are taken.
    pub fn take(self: &Arc<Self>) -> Option<Held> {
        // Counted before it is asked: one that closes sees the count, or this one sees that it has closed.
        self.held.fetch_add(1, Ordering::SeqCst);
        let held = Held(Arc::clone(self));
        (!self.closed.load(Ordering::SeqCst)).then_some(held)
    }

    /// Takes no more messages.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns how many messages are in hand.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }
}

/// Message in hand.
#[derive(Debug)]
pub(super) struct Held(Arc<Desk>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::SeqCst);
    }
}
