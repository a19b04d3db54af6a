//! Bound on the requests of other members that run at once.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{Semaphore, SemaphorePermit};

/// Requests that wait for their turn; further ones are refused.
const MAX_WAITING: usize = 4096;

/// Turns for requests; calls between members need none.
///
/// An owner's request waits for its standby's reply to an intent. If requests and calls shared
/// the turns, two members full of requests would wait for each other until all requests time
/// out; calls always run.
pub(super) struct RequestLimiter {
    permits: Semaphore,
    waiting: AtomicUsize,
}

/// Turn of one request; ends when dropped.
pub(super) type Permit<'a> = SemaphorePermit<'a>;

impl RequestLimiter {
    /// Makes turns for `workers` requests at a time.
    pub fn new(workers: usize) -> Self {
        Self { permits: Semaphore::new(workers.max(1)), waiting: AtomicUsize::new(0) }
    }

    /// Waits for a turn; `None` when too many wait already.
    pub async fn acquire(&self) -> Option<Permit<'_>> {
        if let Ok(permit) = self.permits.try_acquire() {
            return Some(permit);
        }
        let _slot = QueueSlot::take(&self.waiting)?;
        // Fails only when the semaphore is closed, which nobody does.
        self.permits.acquire().await.ok()
    }
}

/// Place in the queue; given back when dropped.
struct QueueSlot<'a>(&'a AtomicUsize);

impl<'a> QueueSlot<'a> {
    fn take(waiting: &'a AtomicUsize) -> Option<Self> {
        if waiting.fetch_add(1, Ordering::AcqRel) < MAX_WAITING {
            return Some(Self(waiting));
        }
        waiting.fetch_sub(1, Ordering::AcqRel);
        None
    }
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
