//! Attempts at members that stopped responding, whose answers may still arrive.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use acaciaring_core::{MemberId, Refusal, Time, Verdict};
use acaciaring_schema::peer::{Answer, Request};

use super::outcome::{AttemptOutcome, classify};
use super::{Router, clock};
use crate::metrics::Timer;
use crate::peer::{RequestOutcome, RunningRequest};

/// Attempt at a member that stopped responding.
pub(super) struct StalledAttempt {
    target: MemberId,
    address: SocketAddr,
    start: Time,
    running: RunningRequest,
}

impl Router {
    /// Forwards a request to another member until it ends or the member stops responding.
    pub(super) async fn forward(
        &self,
        target: MemberId,
        address: SocketAddr,
        request: Request,
        left: Duration,
    ) -> Result<AttemptOutcome, StalledAttempt> {
        let start = clock::now();
        let mut running = self.transport.start_request(address, request, left);
        match running.outcome_or_silence().await {
            Some(outcome) => Ok(self.finish_attempt(address, start, outcome)),
            None => Err(StalledAttempt { target, address, start, running }),
        }
    }

    /// Waits for the end of a stalled attempt.
    ///
    /// Guards against losing the answer of a member that only lacks processor time. A death
    /// recorded in the log is no proof either: its process may still run and rejoin as another
    /// member.
    pub(super) async fn await_stalled(&self, stalled: StalledAttempt) -> AttemptOutcome {
        let StalledAttempt { target, address, start, running } = stalled;
        let outcome = running.outcome().await;
        let ended = self.finish_attempt(address, start, outcome);
        if matches!(ended, AttemptOutcome::Answered(_) | AttemptOutcome::Refused { .. }) {
            self.suspects.clear(target);
        }
        ended
    }

    /// Runs `rest` beside a stalled attempt and returns the first answer.
    pub(super) async fn race_stalled(
        &self,
        stalled: StalledAttempt,
        rest: impl Future<Output = Result<Answer, Refusal>>,
    ) -> Result<Answer, Refusal> {
        let mut first = pin!(self.await_stalled(stalled));
        let mut rest = pin!(rest);
        tokio::select! {
            biased;
            first = &mut first => match first.result() {
                Ok(answer) => Ok(answer),
                Err(refusal) => rest.await.map_err(|last| combine(refusal, last)),
            },
            rest = &mut rest => match rest {
                Ok(answer) => Ok(answer),
                Err(last) => first.await.result().map_err(|refusal| combine(refusal, last)),
            },
        }
    }

    fn finish_attempt(
        &self,
        address: SocketAddr,
        start: Time,
        outcome: RequestOutcome,
    ) -> AttemptOutcome {
        if let RequestOutcome::Answer(answer) = &outcome {
            self.declarations.observe_version(address, answer.declared);
        }
        self.metrics.time(Timer::Peer, clock::now().since(start));
        classify(outcome)
    }
}

/// Combines the refusals of two attempts; the result is "not run" only if neither can have run.
fn combine(first: Refusal, last: Refusal) -> Refusal {
    if first.verdict == Verdict::Unknown { first } else { last }
}
