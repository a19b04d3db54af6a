//! Limit on the requests of other members that run concurrently.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{Semaphore, SemaphorePermit};

/// Requests that wait for a permit; further ones are refused.
const MAX_WAITING: usize = 4096;

/// Limits concurrent requests; calls between members are not limited.
///
/// Guards against a deadlock: an owner's request waits for a call to its standby, so if calls
/// needed permits too, two saturated members would wait for each other until all requests time out.
pub(super) struct RequestLimiter {
    permits: Semaphore,
    waiting: AtomicUsize,
}

/// Permit of one running request, released on drop.
pub(super) type Permit<'a> = SemaphorePermit<'a>;

impl RequestLimiter {
    /// Creates a limit of `workers` concurrent requests.
    pub fn new(workers: usize) -> Self {
        Self { permits: Semaphore::new(workers.max(1)), waiting: AtomicUsize::new(0) }
    }

    /// Waits for a permit; `None` if the queue is full.
    pub async fn acquire(&self) -> Option<Permit<'_>> {
        if let Ok(permit) = self.permits.try_acquire() {
            return Some(permit);
        }
        let _slot = QueueSlot::take(&self.waiting)?;
        // Fails only if the semaphore is closed, which never happens.
        self.permits.acquire().await.ok()
    }
}

/// Slot in the queue, released on drop.
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
