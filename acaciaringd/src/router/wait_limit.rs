//! Limit on the requests that wait for a takeover.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the number of requests that wait for a takeover at a time.
#[derive(Debug)]
pub(crate) struct WaitLimit {
    count: AtomicUsize,
    limit: usize,
}

/// Permit of one waiting request, released on drop.
#[derive(Debug)]
pub(crate) struct WaitPermit<'a>(&'a WaitLimit);

impl WaitLimit {
    /// Creates a limit of `limit` concurrent requests.
    pub(crate) const fn new(limit: usize) -> Self {
        Self { count: AtomicUsize::new(0), limit }
    }

    /// Takes a permit, if one is free.
    pub(crate) fn try_acquire(&self) -> Option<WaitPermit<'_>> {
        let permit = WaitPermit(self);
        let before = self.count.fetch_add(1, Ordering::AcqRel);
        // Above the limit the permit is dropped here, which undoes the count.
        (before < self.limit).then_some(permit)
    }
}

impl Drop for WaitPermit<'_> {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::AcqRel);
    }
}
