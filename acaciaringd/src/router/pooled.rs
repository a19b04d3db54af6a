//! Requests to services that are not divided by key.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::selector::{LocalMember, NearbyMembers, Outcome};
use acaciaring_core::{MemberId, Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use tokio::time::sleep;

use super::outcome::LOST;
use super::{COME_BACK, Load, Plan, Router, Silence, Try, arrived};
use crate::clock;
use crate::metrics::Counter;
use crate::peer::Pending;
use crate::view::View;

/// Members that may take a request.
struct Candidates {
    all: Vec<MemberId>,
    /// This process's own, if it is one of them.
    own: Option<MemberId>,
    /// Those of this data centre, this process's own among them.
    near: Vec<MemberId>,
}

/// Progress of one request.
#[derive(Default, Clone)]
struct Progress {
    tried: Vec<MemberId>,
    tries: u32,
    /// Tries that no upstream has seen.
    unseen: u32,
    /// True once a try may have reached an upstream.
    lost: bool,
}

impl Router {
    /// Brings a request to one of the members whose upstream serves the workspace.
    pub(super) async fn pooled(&self, plan: &Plan) -> Result<Answer, Refusal> {
        self.tries(plan, Progress::default()).await
    }

    /// Makes tries until one is answered or no further one is allowed.
    async fn tries(&self, plan: &Plan, mut progress: Progress) -> Result<Answer, Refusal> {
        loop {
            let view = self.shared.view();
            let mut candidates = Candidates::find(&view, plan);
            let now = clock::now();
            let full = self.retain_open(now, plan, &mut candidates.all, &progress.tried);
            candidates.keep_open();
            let refusal = if let Some(refusal) = full {
                refusal
            } else {
                let Some(target) = self.choose(now, &candidates, &progress.tried) else {
                    return Err(progress.settle(self.none(now, &candidates.all)));
                };
                progress.tried.push(target);
                let ended = match self.timed(plan, &view, target).await {
                    Ok(ended) => ended,
                    Err(silence) => {
                        let mut later = progress.clone();
                        later.tries += 1;
                        if let Some(after) = self.again(plan, &candidates, LOST, &mut later) {
                            return self.beside(silence, self.tries_on(plan, after, later)).await;
                        }
                        self.wait(silence).await
                    }
                };
                if let Try::Refused { refusal, .. } = &ended {
                    self.note_full(plan, target, *refusal);
                }
                match ended.result() {
                    Ok(answer) => return Ok(answer),
                    Err(refusal) => refusal,
                }
            };
            progress.note(refusal);
            let after = self.again(plan, &candidates, refusal, &mut progress);
            sleep(after.ok_or_else(|| progress.settle(refusal))?).await;
            self.metrics.count(Counter::RequestsRetried, 1);
        }
    }

    /// Makes further tries after a pause.
    fn tries_on<'a>(
        &'a self,
        plan: &'a Plan,
        after: Duration,
        progress: Progress,
    ) -> Pending<'a, Result<Answer, Refusal>> {
        Box::pin(async move {
            sleep(after).await;
            self.metrics.count(Counter::RequestsRetried, 1);
            self.tries(plan, progress).await
        })
    }

    /// Makes a try and lets the choice learn from it.
    async fn timed(&self, plan: &Plan, view: &View, target: MemberId) -> Result<Try, Silence> {
        let flight = Flight::new(self, target);
        let outcome = self.attempt(plan, view, target).await;
        // Others are better off elsewhere while the member is silent.
        flight.end(outcome.as_ref().unwrap_or(&Try::Lost));
        outcome
    }

    /// Chooses a member not tried yet, or one tried before when there is no other.
    fn choose(&self, now: Time, candidates: &Candidates, tried: &[MemberId]) -> Option<MemberId> {
        let own = candidates.own.map(|member| {
            let (busy, capacity) = self.gate.load();
            LocalMember { member, busy, capacity }
        });
        let near = NearbyMembers { local: own, others: &candidates.near };
        self.choice.lock().choose_near(now, &mut rand::rng(), near, &candidates.all, tried)
    }

    /// Returns the refusal of a request for which there is no member.
    fn none(&self, now: Time, candidates: &[MemberId]) -> Refusal {
        match self.choice.lock().retry_after(now, candidates) {
            Some(retry) => Refusal::not_run(Reason::Busy).after(retry),
            None => Refusal::not_run(Reason::Unreachable).after(COME_BACK),
        }
    }

    /// Returns after which pause a further try may go out; `None` when none may.
    fn again(
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
            reached_upstream: arrived(refusal),
            has_alternative: elsewhere,
            max_attempts: progress.most(plan.class.tries),
        };
        let RetryDecision::Retry { after } = self.allowed(now, plan, &failure) else { return None };
        if !elsewhere {
            // Each member was tried; after the pause they may be tried again.
            progress.tried.clear();
        }
        Some(after)
    }
}

impl Progress {
    fn note(&mut self, refusal: Refusal) {
        self.tries += 1;
        self.unseen += u32::from(!arrived(refusal));
        self.lost |= refusal.verdict == Verdict::Unknown;
    }

    /// Returns how many tries a class allows, those not counted that no upstream has seen.
    fn most(&self, tries: u32) -> u32 {
        if tries > 0 { tries + self.unseen } else { 0 }
    }

    /// Returns the final answer; "not run" only if no try may have run.
    ///
    /// Guards against a lost answer followed by a refusal elsewhere: the caller would be told
    /// that nothing ran, from the last try alone.
    fn settle(&self, refusal: Refusal) -> Refusal {
        let verdict = if self.lost { Verdict::Unknown } else { refusal.verdict };
        Refusal { verdict, ..refusal }
    }
}

/// Request of this entry at a member, counted there until it ends.
///
/// Guards against a panic on the way: the member would count one request in flight for ever and
/// get less than its share.
struct Flight<'a> {
    router: &'a Router,
    target: MemberId,
    start: Time,
    ended: bool,
}

impl<'a> Flight<'a> {
    fn new(router: &'a Router, target: MemberId) -> Self {
        let start = clock::now();
        router.choice.lock().sent(start, target);
        Self { router, target, start, ended: false }
    }

    fn end(mut self, outcome: &Try) {
        self.ended = true;
        let now = clock::now();
        let (sent, load) = match outcome {
            Try::Whole(answer) => {
                let load = Load { busy: answer.busy, capacity: answer.capacity };
                (Outcome::Answered(now.since(self.start)), Some(load))
            }
            Try::Refused { refusal, load, .. } => (learn(*refusal, *load), Some(*load)),
            Try::Undelivered | Try::Lost => (Outcome::Failed, None),
        };
        let mut choice = self.router.choice.lock();
        choice.done(now, self.target, sent);
        if let Some(load) = load.filter(|load| load.capacity > 0) {
            choice.report(now, self.target, load.busy, load.capacity);
        }
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.router.choice.lock().done(clock::now(), self.target, Outcome::Failed);
        }
    }
}

/// Returns what a refusal says of the member.
///
/// A full queue concerns the class and deadline of the one request: a member that refuses
/// background work still takes critical work, so it is not left alone for it.
fn learn(refusal: Refusal, load: Load) -> Outcome {
    match refusal.reason {
        Reason::Busy if load.capacity == 0 => Outcome::Refused(refusal.retry),
        Reason::UpstreamDown | Reason::Draining | Reason::LostAnswer => Outcome::Failed,
        _ => Outcome::Refused(None),
    }
}

impl Candidates {
    /// Finds the members whose upstream serves the workspace.
    fn find(view: &View, plan: &Plan) -> Self {
        let place = view.me.and_then(|me| view.state.member(me)).map(|me| &me.data_centre);
        let (mut all, mut near) = (Vec::new(), Vec::new());
        let members = view.state.members_of(&plan.route.workspace);
        for member in members.filter(|member| member.alive()) {
            all.push(member.id);
            if Some(&member.data_centre) == place {
                near.push(member.id);
            }
        }
        let own = view.me.filter(|me| !view.closed && near.contains(me));
        Self { all, own, near }
    }

    /// Leaves out of those that are near what was taken out of all.
    fn keep_open(&mut self) {
        self.near.retain(|id| self.all.contains(id));
        self.own = self.own.filter(|own| self.near.contains(own));
    }
}
