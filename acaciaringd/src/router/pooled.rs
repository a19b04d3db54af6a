//! Routing of requests to services that are not partitioned by key.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::selector::{LocalMember, NearbyMembers, Outcome};
use acaciaring_core::{MemberId, Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use tokio::time::sleep;

use super::outcome::LOST_ANSWER;
use super::{AttemptOutcome, Load, Plan, RETRY_AFTER, Router, StalledAttempt, reached_upstream};
use crate::clock;
use crate::metrics::Counter;
use crate::peer::BoxFuture;
use crate::view::View;

/// Members whose upstream serves the workspace of a request.
struct Candidates {
    all: Vec<MemberId>,
    /// This process, if it is one of them.
    own: Option<MemberId>,
    /// Members in the data centre of this process, including itself.
    near: Vec<MemberId>,
}

/// Attempts made for one request.
#[derive(Default, Clone)]
struct Progress {
    tried: Vec<MemberId>,
    tries: u32,
    /// Attempts that reached no upstream.
    unseen: u32,
    /// True once an upstream may have run the request.
    may_have_run: bool,
}

impl Router {
    /// Sends a request to one of the members whose upstream serves the workspace.
    pub(super) async fn route_pooled(&self, plan: &Plan) -> Result<Answer, Refusal> {
        self.try_members(plan, Progress::default()).await
    }

    /// Tries members until one answers or no further retry is allowed.
    async fn try_members(&self, plan: &Plan, mut progress: Progress) -> Result<Answer, Refusal> {
        loop {
            let view = self.shared.view();
            let mut candidates = Candidates::find(&view, plan);
            let now = clock::now();
            let full = self.exclude_full(now, plan, &mut candidates.all, &progress.tried);
            candidates.sync_near();
            let refusal = if let Some(refusal) = full {
                refusal
            } else {
                let Some(target) = self.choose(now, &candidates, &progress.tried) else {
                    return Err(progress.final_refusal(self.no_member(now, &candidates.all)));
                };
                progress.tried.push(target);
                let ended = match self.attempt_tracked(plan, &view, target).await {
                    Ok(ended) => ended,
                    Err(stalled) => {
                        let mut later = progress.clone();
                        later.tries += 1;
                        if let Some(after) =
                            self.retry_delay(plan, &candidates, LOST_ANSWER, &mut later)
                        {
                            return self
                                .race_stalled(stalled, self.resume_tries(plan, after, later))
                                .await;
                        }
                        self.await_stalled(stalled).await
                    }
                };
                if let AttemptOutcome::Refused { refusal, .. } = &ended {
                    self.record_full(plan, target, *refusal);
                }
                match ended.result() {
                    Ok(answer) => return Ok(answer),
                    Err(refusal) => refusal,
                }
            };
            progress.record(refusal);
            let after = self.retry_delay(plan, &candidates, refusal, &mut progress);
            sleep(after.ok_or_else(|| progress.final_refusal(refusal))?).await;
            self.metrics.count(Counter::RequestsRetried, 1);
        }
    }

    /// Continues with further members after a delay.
    fn resume_tries<'a>(
        &'a self,
        plan: &'a Plan,
        after: Duration,
        progress: Progress,
    ) -> BoxFuture<'a, Result<Answer, Refusal>> {
        Box::pin(async move {
            sleep(after).await;
            self.metrics.count(Counter::RequestsRetried, 1);
            self.try_members(plan, progress).await
        })
    }

    /// Sends the request to a member and reports the outcome to the load balancer.
    async fn attempt_tracked(
        &self,
        plan: &Plan,
        view: &View,
        target: MemberId,
    ) -> Result<AttemptOutcome, StalledAttempt> {
        let flight = InFlight::new(self, target);
        let outcome = self.attempt(plan, view, target).await;
        // Counts as a failure, so that other requests avoid a member that does not respond.
        flight.end(outcome.as_ref().unwrap_or(&AttemptOutcome::Lost));
        outcome
    }

    /// Chooses a member that has not been tried, or one that has when there is no other.
    fn choose(&self, now: Time, candidates: &Candidates, tried: &[MemberId]) -> Option<MemberId> {
        let own = candidates.own.map(|member| {
            let (busy, capacity) = self.gate.load();
            LocalMember { member, busy, capacity }
        });
        let near = NearbyMembers { local: own, others: &candidates.near };
        self.selector.lock().choose_near(now, &mut rand::rng(), near, &candidates.all, tried)
    }

    /// Returns the refusal of a request for which no member is available.
    fn no_member(&self, now: Time, candidates: &[MemberId]) -> Refusal {
        match self.selector.lock().retry_after(now, candidates) {
            Some(retry) => Refusal::not_run(Reason::Busy).after(retry),
            None => Refusal::not_run(Reason::Unreachable).after(RETRY_AFTER),
        }
    }

    /// Returns the delay before the next attempt; `None` when there may be none.
    fn retry_delay(
        &self,
        plan: &Plan,
        candidates: &Candidates,
        refusal: Refusal,
        progress: &mut Progress,
    ) -> Option<Duration> {
        let now = clock::now();
        let elsewhere = self.choose(now, candidates, &progress.tried).is_some();
        let failure = Failure {
            refusal,
            repeat: plan.class.repeat,
            time_left: plan.deadline.since(now),
            attempts: progress.tries,
            redirects: progress.unseen,
            reached_upstream: reached_upstream(refusal),
            has_alternative: elsewhere,
            max_attempts: progress.max_tries(plan.class.max_tries),
        };
        let RetryDecision::Retry { after } = self.decide_retry(now, plan, &failure) else {
            return None;
        };
        if !elsewhere {
            // Each member was tried; all are candidates again after the delay.
            progress.tried.clear();
        }
        Some(after)
    }
}

impl Progress {
    fn record(&mut self, refusal: Refusal) {
        self.tries += 1;
        self.unseen += u32::from(!reached_upstream(refusal));
        self.may_have_run |= refusal.verdict == Verdict::Unknown;
    }

    /// Returns the limit on attempts, to which those that reached no upstream do not count.
    ///
    /// A limit of zero means none.
    fn max_tries(&self, tries: u32) -> u32 {
        if tries > 0 { tries + self.unseen } else { 0 }
    }

    /// Returns the final refusal, which is "not run" only if no attempt can have run.
    ///
    /// Guards against a lost answer followed by a refusal of another member: the last attempt
    /// alone would tell the client that nothing ran.
    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        let verdict = if self.may_have_run { Verdict::Unknown } else { refusal.verdict };
        Refusal { verdict, ..refusal }
    }
}

/// Counts a request as in flight at a member until it is dropped.
///
/// Guards against a panic before the end of the request: the count would stay too high and the
/// member would get less than its share of requests.
struct InFlight<'a> {
    router: &'a Router,
    target: MemberId,
    start: Time,
    ended: bool,
}

impl<'a> InFlight<'a> {
    fn new(router: &'a Router, target: MemberId) -> Self {
        let start = clock::now();
        router.selector.lock().sent(start, target);
        Self { router, target, start, ended: false }
    }

    fn end(mut self, outcome: &AttemptOutcome) {
        self.ended = true;
        let now = clock::now();
        let (sent, load) = match outcome {
            AttemptOutcome::Answered(answer) => {
                let load = Load { busy: answer.busy, capacity: answer.capacity };
                (Outcome::Answered(now.since(self.start)), Some(load))
            }
            AttemptOutcome::Refused { refusal, load, .. } => {
                (selector_outcome(*refusal, *load), Some(*load))
            }
            AttemptOutcome::Undelivered | AttemptOutcome::Lost => (Outcome::Failed, None),
        };
        let mut selector = self.router.selector.lock();
        selector.done(now, self.target, sent);
        if let Some(load) = load.filter(|load| load.capacity > 0) {
            selector.report(now, self.target, load.busy, load.capacity);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.router.selector.lock().done(clock::now(), self.target, Outcome::Failed);
        }
    }
}

/// Returns the outcome that the selector records for a refusal.
///
/// A full queue or link depends on the class and deadline of the request: a member that refuses
/// background work still accepts critical work, and one that refuses large answers still accepts
/// short calls, so the member is not avoided for it.
fn selector_outcome(refusal: Refusal, load: Load) -> Outcome {
    match refusal.reason {
        Reason::Busy if load.capacity == 0 => Outcome::Refused(refusal.retry),
        Reason::UpstreamDown | Reason::Draining | Reason::LostAnswer => Outcome::Failed,
        _ => Outcome::Refused(None),
    }
}

impl Candidates {
    /// Finds the members whose upstream serves the workspace.
    fn find(view: &View, plan: &Plan) -> Self {
        let data_centre = view.me.and_then(|me| view.state.member(me)).map(|me| &me.data_centre);
        let (mut all, mut near) = (Vec::new(), Vec::new());
        let members = view.state.members_of(&plan.route.workspace).filter(|member| member.alive());
        for member in members.filter(|member| !view.evacuations.contains(&member.data_centre)) {
            all.push(member.id);
            if Some(&member.data_centre) == data_centre {
                near.push(member.id);
            }
        }
        let own = view.me.filter(|me| !view.closed && near.contains(me));
        Self { all, own, near }
    }

    /// Removes from `near` and `own` the members that were removed from `all`.
    fn sync_near(&mut self) {
        self.near.retain(|id| self.all.contains(id));
        self.own = self.own.filter(|own| self.near.contains(own));
    }
}
