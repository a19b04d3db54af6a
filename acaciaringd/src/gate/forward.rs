//! Forwarding of admitted requests to the local upstream.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::admission::Ticket;
use acaciaring_core::{Fingerprint, Name, Reason, Refusal, Time};
use acaciaring_schema::peer::{Answer, Request};
use tracing::info;

use super::{Gate, Grant, Job, MOVE_RETRY, request_id};
use crate::clock;
use crate::fingerprint::fingerprint;
use crate::metrics::{Counter, Timer};
use crate::upstream::{Fence, UpstreamReply, UpstreamRequest};
use crate::view::{Shared, UpstreamEndpoint};
use crate::wire;

/// Remaining lease time below which no request is sent to the upstream.
///
/// Covers the transmission, so that a fenced upstream rarely refuses. Safety rests on the fence,
/// not on this margin.
const LEASE_MARGIN: Duration = Duration::from_millis(20);

/// Timeout of one wait for a change of the view; the wait is repeated.
const CHANGE_TIMEOUT: Duration = Duration::from_mins(10);

impl Gate {
    /// Waits for admission and sends the request to the upstream.
    pub(super) async fn forward(
        &self,
        job: &Job<'_>,
        grant: Option<Grant>,
    ) -> Result<Answer, Refusal> {
        let _turn = self.isolate(job).await?;
        let ticket = Ticket {
            rank: job.rank,
            deadline: job.aim,
            expiry: job.deadline,
            attempt: job.request.attempt,
            answer: self.expected_answer(job),
        };
        let moved = self.moved(job, grant);
        let permit = self.queue.enter(ticket, job.cancelled, moved).await?;
        let view = self.shared.view();
        let endpoint = view.endpoint.as_ref().ok_or(Refusal::not_run(Reason::UpstreamDown))?;
        if *endpoint.workspace != *job.workspace {
            return Err(Refusal::not_run(Reason::UpstreamDown));
        }
        let fence = grant.map(|grant| fence(&self.shared, endpoint, grant)).transpose()?;
        if job.cancelled.is_set() {
            return Err(Refusal::not_run(Reason::Cancelled));
        }
        let sent = clock::now();
        let result = self.send(job, endpoint, fence).await;
        if let Ok(answer) = &result {
            self.record_answer(job, answer);
        }
        permit.finish(&result);
        self.check_crash(job, endpoint, sent, result).await
    }

    /// Returns the expected bytes of a large answer, 0 for a class without large answers.
    fn expected_answer(&self, job: &Job<'_>) -> u64 {
        if !job.request.large {
            return 0;
        }
        let class = Name::from(job.request.class.as_str());
        self.sizes.lock().expected(&job.workspace, &class)
    }

    /// Records the size of an answer of a class with large answers.
    fn record_answer(&self, job: &Job<'_>, answer: &Answer) {
        if job.request.large {
            let class = Name::from(job.request.class.as_str());
            self.sizes.lock().record(&job.workspace, &class, answer.body.len() as u64);
        }
    }

    /// Completes when the unit is no longer served here.
    ///
    /// Guards against slow handovers of busy units: queued requests leave the queue at once, so the
    /// next owner does not wait until all of them have run here.
    async fn moved(&self, job: &Job<'_>, grant: Option<Grant>) -> Refusal {
        let Some(Grant { unit, .. }) = grant else { return future::pending().await };
        while self.shared.view().permit(&job.workspace, unit).is_some() {
            self.shared.changed(CHANGE_TIMEOUT).await;
        }
        Refusal::not_run(Reason::NotOwner)
    }

    async fn send(
        &self,
        job: &Job<'_>,
        endpoint: &UpstreamEndpoint,
        fence: Option<Fence>,
    ) -> Result<Answer, Refusal> {
        let left = self.time_limit(job, endpoint, fence.is_some());
        if left.is_zero() {
            return Err(Refusal::not_run(Reason::Expired));
        }
        let request = job.request;
        let call = UpstreamRequest {
            address: endpoint.address,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: wire::headers(&request.headers),
            body: request.body.clone(),
            id: request_id(request)?,
            attempt: request.attempt,
            left,
            fence,
            trace: request.trace.clone(),
            instance: Arc::clone(&endpoint.instance),
            repeat: job.repeat,
        };
        let start = clock::now();
        let UpstreamReply { result, notice } = self.upstream_client.send(call, job.cancelled).await;
        if let Some(notice) = notice {
            self.observe(start, &endpoint.instance, notice);
        }
        self.metrics.time(Timer::Upstream, clock::now().since(start));
        match &result {
            Err(Refusal { reason: Reason::Busy | Reason::Shed, .. }) => {
                self.metrics.count(Counter::UpstreamShed, 1);
            }
            // The upstream refuses for a missing lease only by the fence.
            Err(Refusal { reason: Reason::NoLease, .. }) => {
                self.metrics.count(Counter::UpstreamFenced, 1);
            }
            Err(Refusal { reason: Reason::UpstreamDown, .. }) => {
                self.shared.upstream_refused.set(clock::now());
            }
            _ => {}
        }
        result.map(wire::answer)
    }

    /// Counts a lost answer against the request if the upstream has crashed.
    ///
    /// A request that was in flight at several crashes is not retried, which would crash the next
    /// upstream.
    async fn check_crash(
        &self,
        job: &Job<'_>,
        endpoint: &UpstreamEndpoint,
        sent: Time,
        result: Result<Answer, Refusal>,
    ) -> Result<Answer, Refusal> {
        match &result {
            Ok(_) => {
                self.crashes.answered(sent, &endpoint.instance);
                if let Some(fingerprint) = self.quarantine.suspect(job.request) {
                    self.quarantine.answered(clock::now(), fingerprint);
                }
            }
            Err(Refusal { reason: Reason::LostAnswer, .. }) => {
                let fingerprint = fingerprint(job.request);
                log_lost(job.request, endpoint, &fingerprint);
                let (address, instance) = (endpoint.address, &endpoint.instance);
                if !self.crashes.lost(address, instance, fingerprint).await {
                    return Err(Refusal::unknown(Reason::Quarantined));
                }
            }
            Err(_) => {}
        }
        result
    }

    /// Returns the time that a request may take.
    ///
    /// An upstream without fencing could still run a request after the lease has expired and the
    /// key has a new owner, so the remaining lease limits the time.
    fn time_limit(&self, job: &Job<'_>, endpoint: &UpstreamEndpoint, keyed: bool) -> Duration {
        let now = clock::now();
        let left = job.deadline.since(now);
        if keyed && !endpoint.fenced { left.min(self.shared.lease.get().since(now)) } else { left }
    }
}

/// Logs which request lost its answer; the same request has the same fingerprint each time.
fn log_lost(request: &Request, endpoint: &UpstreamEndpoint, fingerprint: &Fingerprint) {
    info!(
        %fingerprint,
        service = request.workspace,
        class = request.class,
        instance = &*endpoint.instance,
        "the upstream did not answer a request completely"
    );
}

/// Checks the lease immediately before the request is sent to the upstream.
///
/// Guards against a process pause after the first check, during which the lease expires and the key
/// gets a new owner. A fenced upstream refuses by `until`; without fencing this check narrows the
/// window but does not close it.
fn fence(shared: &Shared, endpoint: &UpstreamEndpoint, grant: Grant) -> Result<Fence, Refusal> {
    let end = lease_end(shared, clock::now(), grant)?;
    Ok(Fence { unit: grant.unit, token: grant.token, until: endpoint.until(end) })
}

/// Returns the end of the lease of the identity in the grant.
///
/// Guards against a request that is queued while this process is evicted and rejoins: under the
/// lease of the new identity it would run concurrently with the new owner of the key. Control
/// publishes an identity before its first lease, so the lease must be read before the identity.
fn lease_end(shared: &Shared, now: Time, grant: Grant) -> Result<Time, Refusal> {
    let end = shared.lease.get();
    let same_member = shared.view().me == Some(grant.member);
    if same_member && now + LEASE_MARGIN < end {
        return Ok(end);
    }
    Err(Refusal::not_run(Reason::NoLease).after(MOVE_RETRY))
}

#[cfg(test)]
mod tests;
