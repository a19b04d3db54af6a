//! Requests that may run at most once.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::dedup::Begin;
use acaciaring_core::{Reason, Refusal, RequestId, Verdict};
use acaciaring_schema::peer::{Answer, DedupEntry, DedupState, Intent, Outcome, call, reply};

use tokio::time::sleep;

use super::{Gate, Grant, Job, request_id, standby_to_notify};
use crate::clock;
use crate::metrics::Counter;
use crate::wire;

/// Timeout of the standby's acknowledgement of an intent.
const INTENT_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a repeated request checks whether the first one has finished.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Retry hint after the standby did not acknowledge an intent.
const STANDBY_RETRY: Duration = Duration::from_millis(300);

impl Gate {
    /// Runs a request at most once; a repeated request gets the recorded result.
    pub(super) async fn run_once(&self, job: &Job<'_>, grant: Grant) -> Result<Answer, Refusal> {
        let id = request_id(job.request)?;
        loop {
            let now = clock::now();
            match self.dedup.begin(now, &job.workspace, grant.unit, id) {
                Begin::Run => return self.run_first(job, grant, id).await,
                Begin::Done(answer) => {
                    self.metrics.count(Counter::RequestsRepeated, 1);
                    return Ok(Answer::clone(&answer));
                }
                Begin::Unknown(reason) => return Err(Refusal::unknown(reason)),
                Begin::Refused(refusal) => return Err(refusal),
                Begin::Running if now >= job.deadline => {
                    return Err(Refusal::unknown(Reason::LostAnswer));
                }
                Begin::Running if job.cancelled.is_set() => {
                    return Err(Refusal::unknown(Reason::Cancelled));
                }
                Begin::Running => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Runs a request whose id was not seen before.
    ///
    /// Guards against a second run by the standby after this VM has failed: a request runs only
    /// after the standby has acknowledged its id; once it has taken over, it acknowledges none.
    async fn run_first(
        &self,
        job: &Job<'_>,
        grant: Grant,
        id: RequestId,
    ) -> Result<Answer, Refusal> {
        let running = Running { gate: self, job, grant, id, finished: false };
        let result = match self.announce_intent(job, grant, id).await {
            Ok(()) => self.forward(job, Some(grant)).await,
            Err(refusal) => Err(refusal),
        };
        running.finish(&result);
        result
    }

    fn record_result(
        &self,
        job: &Job<'_>,
        grant: Grant,
        id: RequestId,
        result: &Result<Answer, Refusal>,
    ) {
        let now = clock::now();
        match result {
            Ok(answer) => {
                self.dedup.finish(now, &job.workspace, grant.unit, id, Arc::new(answer.clone()));
                self.send_outcome(job, grant, id, answer.clone());
            }
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                self.dedup.not_run(&job.workspace, grant.unit, id);
            }
            Err(_) => self.dedup.unknown(now, &job.workspace, grant.unit, id),
        }
    }

    /// Sends the intent to run a request to the standby and waits for its acknowledgement.
    async fn announce_intent(
        &self,
        job: &Job<'_>,
        grant: Grant,
        id: RequestId,
    ) -> Result<(), Refusal> {
        let view = self.shared.view();
        let Some(standby) = standby_to_notify(&view, &job.workspace, grant) else { return Ok(()) };
        let lost = Refusal::not_run(Reason::StandbyLost).after(STANDBY_RETRY);
        let unit_key = (Arc::clone(&job.workspace), grant.unit);
        if view.synced.get(&unit_key) != Some(&standby) {
            return Err(lost);
        }
        let address = view.peer(standby).ok_or(lost)?;
        let intent = Intent {
            member: view.me.map_or(0, |me| me.0),
            workspace: job.workspace.to_string(),
            slot: grant.unit.slot,
            key: grant.unit.key.map(|key| key.0),
            version: grant.version,
            id: id.0.to_vec(),
        };
        let timeout = job.deadline.since(clock::now()).min(INTENT_TIMEOUT);
        match self.transport.call(address, call::Body::Intent(intent), timeout).await {
            Ok(reply::Body::Intent(reply)) if reply.accepted => Ok(()),
            _ => Err(lost),
        }
    }

    /// Sends the result to the standby in the background.
    fn send_outcome(&self, job: &Job<'_>, grant: Grant, id: RequestId, answer: Answer) {
        let view = self.shared.view();
        let standby =
            standby_to_notify(&view, &job.workspace, grant).and_then(|standby| view.peer(standby));
        let Some(address) = standby else { return };
        let entry = DedupEntry {
            slot: grant.unit.slot,
            key: grant.unit.key.map(|key| key.0),
            id: id.0.to_vec(),
            state: DedupState::Done.into(),
            answer: Some(answer),
            age: 0,
        };
        let outcome = Outcome { workspace: job.workspace.to_string(), dedup: Some(entry) };
        self.outbox.call(
            address,
            call::Body::Outcome(outcome),
            wire::CALL_TIMEOUT,
            Box::new(|_| {}),
        );
    }
}

/// Request that is running; recorded as unknown if dropped without a result.
///
/// Guards against an id that stays in the running state after a panic or a cancellation: each
/// repeated request would wait until its deadline.
struct Running<'a> {
    gate: &'a Gate,
    job: &'a Job<'a>,
    grant: Grant,
    id: RequestId,
    finished: bool,
}

impl Running<'_> {
    fn finish(mut self, result: &Result<Answer, Refusal>) {
        self.finished = true;
        self.gate.record_result(self.job, self.grant, self.id, result);
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.finished {
            let lost = Err(Refusal::unknown(Reason::LostAnswer));
            self.gate.record_result(self.job, self.grant, self.id, &lost);
        }
    }
}
