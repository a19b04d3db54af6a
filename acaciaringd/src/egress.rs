//! Permits for large answers on the link of this VM, across all its connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::link_queue::{
    AnswerId, LARGE_BYTES, LargeAnswer, LinkQueue, LinkSettings, Overdue, Started,
};
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time;
use tracing::warn;

use crate::clock;
use crate::log_limiter::LogLimiter;
use crate::metrics::{Counter, Metrics, Timer};

/// Limit on log lines per second about permits that ran out.
const MAX_LOG_LINES: u32 = 5;

/// Returns whether an answer of a class with large answers needs a permit.
pub(crate) const fn is_large(body: &[u8]) -> bool {
    body.len() >= LARGE_BYTES
}

/// Issues the permits; clones share them.
#[derive(Debug, Clone)]
pub struct Egress {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: LinkSettings,
    inner: Mutex<Inner>,
    /// Bytes that wait or are being transmitted.
    backlog: Arc<AtomicU64>,
    metrics: Metrics,
    log_limit: LogLimiter,
}

#[derive(Debug, Default)]
struct Inner {
    queue: LinkQueue,
    /// Waiting answers, which receive the time limit of their permit.
    grants: HashMap<AnswerId, oneshot::Sender<Time>>,
}

impl Egress {
    /// Creates permits for a link of `rate` bytes per second; 0 for no limit on transmissions.
    #[must_use]
    pub fn new(rate: u64) -> Self {
        Self::metered(rate, Metrics::none())
    }

    /// Like [`Egress::new`], with metrics of the link.
    #[must_use]
    pub fn metered(rate: u64, metrics: Metrics) -> Self {
        let settings = LinkSettings { rate, ..LinkSettings::default() };
        let inner = Inner { queue: LinkQueue::new(settings), grants: HashMap::new() };
        let shared = Shared {
            settings,
            inner: Mutex::new(inner),
            backlog: Arc::default(),
            metrics,
            log_limit: LogLimiter::new(MAX_LOG_LINES),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the bytes of large answers that wait or are being transmitted.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.shared.backlog.load(Ordering::Relaxed)
    }

    /// Returns the shared counter of these bytes, which must only be read.
    #[must_use]
    pub fn backlog_counter(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.shared.backlog)
    }

    /// Waits until an answer of `bytes` may cross the link; must run within a Tokio runtime.
    ///
    /// `aim` is the time by which the caller wants the answer, `expiry` that at which it stops
    /// waiting. The answer counts toward the backlog from this call until the permit is dropped; if
    /// the future is dropped first, the answer leaves the queue.
    pub async fn cross(&self, bytes: u64, aim: Option<Time>, expiry: Time) -> Permit {
        let joined = clock::now();
        let (mut permit, granted) = self.join(joined, LargeAnswer { bytes, aim, expiry });
        // The sender is dropped only with the permit.
        let until = granted.await.unwrap_or(joined);
        self.shared.metrics.time(Timer::LinkWait, clock::now().since(joined));
        let task = tokio::spawn(watch(Arc::clone(&self.shared), until, expiry));
        permit.watch = Some(task.abort_handle());
        permit
    }

    /// Like [`Egress::cross`], and occupies the link for the transmission time of the answer.
    ///
    /// For an answer to a caller of this process, whose TCP connection reports no acknowledgement.
    pub(crate) async fn pass(&self, bytes: u64, aim: Option<Time>, expiry: Time) {
        let permit = self.cross(bytes, aim, expiry).await;
        let transmission = self.shared.settings.transmission_time(bytes);
        tokio::spawn(async move {
            time::sleep(transmission).await;
            drop(permit);
        });
    }

    fn join(&self, now: Time, answer: LargeAnswer) -> (Permit, oneshot::Receiver<Time>) {
        let (grant, granted) = oneshot::channel();
        let mut inner = self.shared.inner.lock();
        let id = inner.queue.join(answer);
        inner.grants.insert(id, grant);
        let overdue = self.shared.advance(&mut inner, now);
        drop(inner);
        self.shared.report(now, &overdue);
        (Permit { shared: Arc::clone(&self.shared), id, watch: None }, granted)
    }
}

impl Shared {
    /// Applies the time limits, issues the permits that are free and publishes the backlog.
    #[must_use]
    fn advance(&self, inner: &mut Inner, now: Time) -> Vec<Overdue> {
        let overdue = inner.queue.expire(now);
        for Started { id, until } in inner.queue.start(now) {
            if let Some(grant) = inner.grants.remove(&id) {
                // Fails only if the answer is leaving the queue; dropping its permit ends it.
                let _ = grant.send(until);
            }
        }
        self.backlog.store(inner.queue.backlog(), Ordering::Relaxed);
        overdue
    }

    /// Ends an answer that waits or is being transmitted.
    fn end(&self, now: Time, id: AnswerId) {
        let mut inner = self.inner.lock();
        inner.queue.end(id);
        inner.grants.remove(&id);
        let overdue = self.advance(&mut inner, now);
        drop(inner);
        self.report(now, &overdue);
    }

    /// Applies the time limits at `now`.
    fn tick(&self, now: Time) {
        let overdue = self.advance(&mut self.inner.lock(), now);
        self.report(now, &overdue);
    }

    /// Counts the permits that ran out, and logs them rate limited.
    fn report(&self, now: Time, overdue: &[Overdue]) {
        for Overdue { id, bytes } in overdue {
            self.metrics.count(Counter::LinkOverdue, 1);
            let Some(left_out) = self.log_limit.admit(now) else { continue };
            warn!(
                answer = id,
                bytes,
                backlog = self.backlog.load(Ordering::Relaxed),
                left_out,
                "large answer was not acknowledged within the time limit of its permit"
            );
        }
    }
}

/// Applies the time limit of a permit, and later the expiry of its answer.
async fn watch(shared: Arc<Shared>, until: Time, expiry: Time) {
    for limit in [until, expiry.max(until)] {
        loop {
            let left = limit.since(clock::now());
            if left.is_zero() {
                break;
            }
            time::sleep(left.max(Duration::from_millis(1))).await;
        }
        shared.tick(clock::now());
    }
}

/// Place of a large answer in the queue or on the link, which dropping it gives back.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    id: AnswerId,
    /// Task that applies the time limit.
    watch: Option<AbortHandle>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(watch) = &self.watch {
            watch.abort();
        }
        self.shared.end(clock::now(), self.id);
    }
}

#[cfg(test)]
mod tests;
