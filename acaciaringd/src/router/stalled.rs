//! Tries at members that have gone silent: their answers may yet come.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use acaciaring_core::{MemberId, Refusal, Time, Verdict};
use acaciaring_schema::peer::{Answer, Request};

use super::outcome::{Try, judge};
use super::{Router, clock};
use crate::metrics::Timer;
use crate::peer::{RequestOutcome, Running};

/// Try at a member that has gone silent.
pub(super) struct Silence {
    target: MemberId,
    address: SocketAddr,
    start: Time,
    running: Running,
}

impl Router {
    /// Makes a try at another member, up to its end or until the member has gone silent.
    pub(super) async fn hop(
        &self,
        target: MemberId,
        address: SocketAddr,
        request: Request,
        left: Duration,
    ) -> Result<Try, Silence> {
        let start = clock::now();
        let mut running = self.transport.start_request(address, request, left);
        match running.heard().await {
            Some(outcome) => Ok(self.ended(address, start, outcome)),
            None => Err(Silence { target, address, start, running }),
        }
    }

    /// Waits for a try at a silent member up to its end.
    ///
    /// Guards against a member without processor that is taken for a lost one: its upstream would
    /// end with a whole answer that nobody takes. That the log calls the member dead is no
    /// proof either: its process may go on, and join anew as another.
    pub(super) async fn wait(&self, silence: Silence) -> Try {
        let Silence { target, address, start, running } = silence;
        let outcome = running.end().await;
        let ended = self.ended(address, start, outcome);
        if matches!(ended, Try::Whole(_) | Try::Refused { .. }) {
            self.suspects.clear(target);
        }
        ended
    }

    /// Goes on elsewhere while a member is silent, and takes the answer that comes first.
    pub(super) async fn beside(
        &self,
        silence: Silence,
        rest: impl Future<Output = Result<Answer, Refusal>>,
    ) -> Result<Answer, Refusal> {
        let mut first = pin!(self.wait(silence));
        let mut rest = pin!(rest);
        tokio::select! {
            biased;
            first = &mut first => match first.result() {
                Ok(answer) => Ok(answer),
                Err(refusal) => rest.await.map_err(|last| both(refusal, last)),
            },
            rest = &mut rest => match rest {
                Ok(answer) => Ok(answer),
                Err(last) => first.await.result().map_err(|refusal| both(refusal, last)),
            },
        }
    }

    fn ended(&self, address: SocketAddr, start: Time, outcome: RequestOutcome) -> Try {
        if let RequestOutcome::Answer(answer) = &outcome {
            self.declarations.heard(address, answer.declared);
        }
        self.metrics.time(Timer::Peer, clock::now().since(start));
        judge(outcome)
    }
}

/// Returns what a caller is told of two tries; "not run" only if neither may have run.
fn both(first: Refusal, last: Refusal) -> Refusal {
    if first.verdict == Verdict::Unknown { first } else { last }
}
