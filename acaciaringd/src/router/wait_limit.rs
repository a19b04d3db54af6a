//! Bound on the requests that wait for a takeover.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Requests that search for longer than others, at most a fixed number.
#[derive(Debug)]
pub(crate) struct WaitLimit {
    count: AtomicUsize,
    limit: usize,
}

/// Place of one request; free again when dropped.
#[derive(Debug)]
pub(crate) struct WaitPermit<'a>(&'a WaitLimit);

impl WaitLimit {
    /// Makes places for `limit` requests.
    pub(crate) const fn new(limit: usize) -> Self {
        Self { count: AtomicUsize::new(0), limit }
    }

    /// Takes a place, if one is free.
    pub(crate) fn try_acquire(&self) -> Option<WaitPermit<'_>> {
        let permit = WaitPermit(self);
        let before = self.count.fetch_add(1, Ordering::AcqRel);
        // Dropping the guard gives the place back.
        (before < self.limit).then_some(permit)
    }
}

impl Drop for WaitPermit<'_> {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}
