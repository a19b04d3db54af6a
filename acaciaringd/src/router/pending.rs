//! Requests of callers that have no answer yet, which a stop names if it cuts them off.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use acaciaring_core::Time;
use parking_lot::Mutex;
use tracing::warn;

use super::{Plan, Router};
use crate::peer::{AttemptStage, PendingAttempt};
use crate::wire;

/// Limit on log lines about requests that a stop cuts off.
const MAX_CUT_LINES: usize = 50;

/// Requests without an answer, by number.
#[derive(Default)]
pub(crate) struct PendingRequests(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    plans: HashMap<u64, Arc<Plan>>,
    /// Number of requests so far, which numbers the next one.
    count: u64,
}

impl PendingRequests {
    /// Adds a request until the guard is dropped.
    pub(super) fn add(&self, plan: &Arc<Plan>) -> PendingGuard<'_> {
        let mut inner = self.0.lock();
        let id = inner.count;
        inner.count += 1;
        inner.plans.insert(id, Arc::clone(plan));
        PendingGuard { pending: self, id }
    }

    fn plans(&self) -> Vec<Arc<Plan>> {
        self.0.lock().plans.values().cloned().collect()
    }
}

/// Request without an answer until dropped.
pub(super) struct PendingGuard<'a> {
    pending: &'a PendingRequests,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.0.lock().plans.remove(&self.id);
    }
}

impl Router {
    /// Logs the requests that a stop cuts off, with what each of them waits for.
    pub(crate) fn log_cut(&self, now: Time) {
        let plans = self.pending.plans();
        let attempts = if plans.is_empty() { Vec::new() } else { self.transport.pending() };
        for plan in plans.iter().take(MAX_CUT_LINES) {
            let sent = plan.attempts.lock().clone();
            let mut own = attempts.iter().filter(|pending| sent.contains(&pending.attempt));
            let first = own.next();
            log_request(now, plan, first);
            own.for_each(|pending| log_request(now, plan, Some(pending)));
        }
        let left_out = plans.len().saturating_sub(MAX_CUT_LINES);
        if left_out > 0 {
            warn!(left_out, "further requests stopped before they were answered");
        }
    }
}

/// Logs one attempt of a request, or that no attempt at another member is pending.
fn log_request(now: Time, plan: &Plan, attempt: Option<&PendingAttempt>) {
    warn!(
        request = plan.label,
        service = &*plan.route.workspace,
        class = &*plan.class.name,
        key = plan.key.map(|key| key.0),
        tries = plan.tries.load(Ordering::Relaxed),
        member = plan.last_member.load(Ordering::Relaxed),
        took_ms = wire::millis(now.since(plan.received)),
        left_ms = wire::millis(plan.deadline.since(now)),
        attempt = attempt.map(|pending| pending.attempt),
        to = attempt.map(|pending| tracing::field::display(pending.to)),
        stage = attempt.map_or("here", |pending| AttemptStage::as_str(pending.stage)),
        age_ms = attempt.map(|pending| wire::millis(pending.since.elapsed())),
        stage_ms = attempt.map(|pending| wire::millis(pending.changed.elapsed())),
        closed = attempt.and_then(PendingAttempt::closed).map(tracing::field::display),
        "stopped before a request was answered"
    );
}
