//! Tries at members that have gone silent: their answers may yet come.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use acaciaring_core::{MemberId, Refusal, Time, Verdict};
use acaciaring_schema::peer::{Answer, Request};

use super::outcome::{AttemptOutcome, classify};
use super::{Router, clock};
use crate::metrics::Timer;
use crate::peer::{RequestOutcome, Running};

/// Try at a member that has gone silent.
pub(super) struct StalledAttempt {
    target: MemberId,
    address: SocketAddr,
    start: Time,
    running: Running,
}

impl Router {
    /// Makes a try at another member, up to its end or until the member has gone silent.
    pub(super) async fn forward(
        &self,
        target: MemberId,
        address: SocketAddr,
        request: Request,
        left: Duration,
    ) -> Result<AttemptOutcome, StalledAttempt> {
        let start = clock::now();
        let mut running = self.transport.start_request(address, request, left);
        match running.heard().await {
            Some(outcome) => Ok(self.finish_attempt(address, start, outcome)),
            None => Err(StalledAttempt { target, address, start, running }),
        }
    }

    /// Waits for a try at a silent member up to its end.
    ///
    /// Guards against a member without processor that is taken for a lost one: its upstream would
    /// end with a whole answer that nobody takes. That the log calls the member dead is no
    /// proof either: its process may go on, and join anew as another.
    pub(super) async fn await_stalled(&self, stalled: StalledAttempt) -> AttemptOutcome {
        let StalledAttempt { target, address, start, running } = stalled;
        let outcome = running.end().await;
        let ended = self.finish_attempt(address, start, outcome);
        if matches!(ended, AttemptOutcome::Answered(_) | AttemptOutcome::Refused { .. }) {
            self.suspects.clear(target);
        }
        ended
    }

    /// Goes on elsewhere while a member is silent, and takes the answer that comes first.
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
            self.declarations.heard(address, answer.declared);
        }
        self.metrics.time(Timer::Peer, clock::now().since(start));
        classify(outcome)
    }
}

/// Returns what a caller is told of two tries; "not run" only if neither may have run.
fn combine(first: Refusal, last: Refusal) -> Refusal {
    if first.verdict == Verdict::Unknown { first } else { last }
}
