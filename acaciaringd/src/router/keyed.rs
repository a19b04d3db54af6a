//! Routing of requests to services that are partitioned by key.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::route::Repeat;
use acaciaring_core::state::Assignment;
use acaciaring_core::{MemberId, Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use tokio::time::sleep;

use super::member_backoff::MemberBackoff;
use super::outcome::LOST_ANSWER;
use super::{AttemptOutcome, Plan, RETRY_AFTER, Router, StalledAttempt};
use crate::clock;
use crate::metrics::{Counter, Timer};
use crate::peer::BoxFuture;
use crate::view::View;

/// Time that any request may spend on finding a member that serves its key.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Search time of a limited number of requests, long enough for a takeover.
///
/// Guards against the keys of one lost member blocking all others: a waiting request occupies a
/// worker, so requests above the limit are refused with a retry delay.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2500);

/// State of the search for the owner of one request.
struct Search {
    /// End of the search for a request without a permit to wait longer.
    soft_end: Time,
    end: Time,
    tries: u32,
    hint: Option<MemberId>,
    /// Refusal that the client gets if the search ends here.
    last_refusal: Refusal,
    /// True once an upstream may have run the request.
    may_have_run: bool,
    /// Retries granted after an upstream saw, or may have seen, the request.
    reruns: u32,
    backoff: MemberBackoff,
}

/// Result of one step of a search.
enum Step {
    Answered(Answer),
    /// No member served the request; the search continues.
    NotServed,
    /// The member stopped responding; the request may be sent to another one after this delay.
    Stalled(StalledAttempt, Duration),
}

impl Router {
    /// Sends a request to the owner of its key.
    pub(super) async fn route_keyed(&self, plan: &Plan) -> Result<Answer, Refusal> {
        let now = clock::now();
        let search = Search {
            soft_end: plan.deadline.min(now + SEARCH_TIMEOUT),
            end: plan.deadline.min(now + self.search_timeout()),
            tries: 0,
            hint: None,
            last_refusal: Refusal::not_run(Reason::Unreachable).after(RETRY_AFTER),
            may_have_run: false,
            reruns: 0,
            backoff: MemberBackoff::default(),
        };
        self.find_owner(plan, search).await
    }

    /// Searches for a member that serves the key.
    async fn find_owner(&self, plan: &Plan, mut search: Search) -> Result<Answer, Refusal> {
        let mut permit = None;
        loop {
            match self.try_member(plan, &mut search).await? {
                Step::Answered(answer) => return Ok(answer),
                Step::NotServed => {}
                Step::Stalled(stalled, after) => {
                    let answer =
                        self.race_stalled(stalled, self.resume_search(plan, after, search)).await?;
                    self.end_outage(&self.shared.view(), plan);
                    return Ok(answer);
                }
            }
            self.record_outage(plan, &search);
            let now = clock::now();
            if now >= search.soft_end && permit.is_none() {
                permit = self.wait_limit.try_acquire();
            }
            if now >= search.end || (now >= search.soft_end && permit.is_none()) {
                return Err(search.give_up());
            }
            if search.hint.is_none() {
                let end = if permit.is_some() { search.end } else { search.soft_end };
                // A change of state may name another member or end the backoff of this one.
                self.shared.changed(search.backoff.next_delay(now).min(end.since(now))).await;
            }
        }
    }

    /// Continues a search after a delay.
    fn resume_search<'a>(
        &'a self,
        plan: &'a Plan,
        after: Duration,
        mut search: Search,
    ) -> BoxFuture<'a, Result<Answer, Refusal>> {
        Box::pin(async move {
            sleep(after).await;
            search.extend(plan);
            self.find_owner(plan, search).await
        })
    }

    /// Returns the search time of a request that holds a permit to wait.
    ///
    /// With a declared configuration waiting longer than a planned move takes gains nothing: a
    /// client that is refused at once with a retry delay is served as soon as one that waits.
    fn search_timeout(&self) -> Duration {
        if self.shared.declares { SEARCH_TIMEOUT } else { TAKEOVER_TIMEOUT }
    }

    /// Sends the request to the next candidate, if there is one; an error is the final answer.
    async fn try_member(&self, plan: &Plan, search: &mut Search) -> Result<Step, Refusal> {
        let view = self.shared.view();
        let version = assignment(&view, plan).map(|assignment| assignment.version);
        let target = self.next_target(&view, plan, search);
        let target = target.filter(|target| search.backoff.allows(clock::now(), *target, version));
        let Some(target) = target else {
            search.hint = None;
            return Ok(Step::NotServed);
        };
        if let Some(refusal) = self.refuse_full(clock::now(), plan, target) {
            return Err(search.final_refusal(refusal));
        }
        self.count_try(search);
        search.tries += 1;
        search.hint = None;
        let outcome = match self.attempt(plan, &view, target).await {
            Ok(outcome) => outcome,
            Err(stalled) => {
                self.suspects.add(clock::now(), target);
                if let Some(after) = self.rerun_delay(plan, search, LOST_ANSWER) {
                    return Ok(Step::Stalled(stalled, after));
                }
                let outcome = self.await_stalled(stalled).await;
                search.extend(plan);
                outcome
            }
        };
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.suspects.clear(target);
                self.end_outage(&view, plan);
                return Ok(Step::Answered(answer));
            }
            AttemptOutcome::Refused { refusal, owner, .. } => {
                self.suspects.clear(target);
                self.record_full(plan, target, refusal);
                search.handle_refusal(plan, refusal)?;
                search.backoff.record(clock::now(), target, version);
                if refusal.verdict == Verdict::Unknown || refusal.reason == Reason::Shed {
                    self.await_rerun(plan, search, refusal).await?;
                }
                let now = clock::now();
                if refusal.reason == Reason::Draining {
                    // A member that stops while the log is down has released to the standby.
                    self.suspects.add(now, target);
                }
                let unavailable = |owner: &MemberId| {
                    self.suspects.contains(now, *owner)
                        || !search.backoff.allows(now, *owner, version)
                };
                search.hint =
                    owner.filter(|owner| refusal.reason == Reason::NotOwner && !unavailable(owner));
            }
            AttemptOutcome::Undelivered => {
                self.suspects.add(clock::now(), target);
                search.backoff.record(clock::now(), target, version);
            }
            AttemptOutcome::Lost => {
                self.suspects.add(clock::now(), target);
                search.backoff.record(clock::now(), target, version);
                search.mark_lost(LOST_ANSWER);
                self.await_rerun(plan, search, LOST_ANSWER).await?;
            }
        }
        Ok(Step::NotServed)
    }

    fn count_try(&self, search: &Search) {
        if search.tries > 0 {
            self.metrics.count(Counter::RequestsRetried, 1);
        }
        if search.hint.is_some() {
            self.metrics.count(Counter::RequestsRedirected, 1);
        }
    }

    /// Records that a unit has no server, unless a hint names another member to ask at once.
    fn record_outage(&self, plan: &Plan, search: &Search) {
        let view = self.shared.view();
        let unit = plan.key.and_then(|key| view.unit(&plan.route.workspace, key));
        if let Some(unit) = unit.filter(|_| search.hint.is_none()) {
            self.outages.begin(clock::now(), &plan.route.workspace, unit);
        }
    }

    /// Records that a unit has a server again, with the length of the outage.
    fn end_outage(&self, view: &View, plan: &Plan) {
        let unit = plan.key.and_then(|key| view.unit(&plan.route.workspace, key));
        let Some(unit) = unit else { return };
        if let Some(took) = self.outages.end(clock::now(), &plan.route.workspace, unit) {
            self.metrics.time(Timer::UnitsUnavailable, took);
        }
    }

    /// Waits until the upstream may be sent the request again; an error is the final answer.
    async fn await_rerun(
        &self,
        plan: &Plan,
        search: &mut Search,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let after = self.rerun_delay(plan, search, refusal).ok_or_else(|| search.give_up())?;
        if after > Duration::ZERO {
            sleep(after).await;
            search.extend(plan);
        }
        Ok(())
    }

    /// Returns the delay before the upstream may be sent a request again; `None` if it may not.
    ///
    /// Guards against an upstream that works but does not answer: without a budget it would run
    /// each request as often as fits into the search. A request that runs at most once is exempt:
    /// owner and standby deduplicate it, so its retries only ask for the outcome.
    ///
    /// An upstream that sheds requests despite free capacity may well accept the retry, and no
    /// other member may serve the key.
    fn rerun_delay(&self, plan: &Plan, search: &mut Search, refusal: Refusal) -> Option<Duration> {
        if plan.class.repeat == Repeat::Once && refusal.verdict == Verdict::Unknown {
            // An identity that is used once is not deduplicated, so a retry could run it twice.
            return (!plan.class.single_use).then_some(Duration::ZERO);
        }
        let now = clock::now();
        let failure = Failure {
            refusal,
            repeat: plan.class.repeat,
            time_left: plan.deadline.since(now),
            attempts: search.reruns + 1,
            redirects: 0,
            reached_upstream: true,
            has_alternative: false,
            max_attempts: plan.class.max_tries,
        };
        let RetryDecision::Retry { after } = self.decide_retry(now, plan, &failure) else {
            return None;
        };
        search.reruns += 1;
        Some(after)
    }

    /// Chooses the next member: a hint, the owner, or the standby while the owner is suspect.
    fn next_target(&self, view: &View, plan: &Plan, search: &Search) -> Option<MemberId> {
        if let Some(hint) = search.hint {
            return Some(hint);
        }
        let assignment = assignment(view, plan)?;
        let now = clock::now();
        let owner = assignment.owner.filter(|owner| !self.suspects.should_avoid(now, *owner));
        owner.or(assignment.standby).or(assignment.owner)
    }
}

fn assignment(view: &View, plan: &Plan) -> Option<Assignment> {
    let workspace = &plan.route.workspace;
    let unit = view.unit(workspace, plan.key?)?;
    view.assignment(workspace, unit).copied()
}

impl Search {
    /// Gives a search that has waited the time of a new one.
    fn extend(&mut self, plan: &Plan) {
        self.soft_end = plan.deadline.min(clock::now() + SEARCH_TIMEOUT);
        self.end = self.end.max(self.soft_end);
        self.backoff.reset();
    }

    /// Decides whether the search continues after a refusal; an error is the final answer.
    ///
    /// A request that runs at most once may be retried after a lost attempt, since owner and
    /// standby deduplicate it by its identity.
    fn handle_refusal(&mut self, plan: &Plan, refusal: Refusal) -> Result<(), Refusal> {
        match refusal.reason {
            Reason::NotOwner
            | Reason::NoLease
            | Reason::Superseded
            | Reason::Draining
            | Reason::Shed => {}
            Reason::LostAnswer if plan.class.repeat == Repeat::Idempotent => {}
            _ => return Err(self.final_refusal(refusal)),
        }
        if refusal.verdict == Verdict::Unknown {
            self.mark_lost(refusal);
        }
        self.last_refusal = refusal.after(refusal.retry.unwrap_or(RETRY_AFTER));
        Ok(())
    }

    /// Records an attempt that an upstream may have run.
    fn mark_lost(&mut self, refusal: Refusal) {
        self.may_have_run = true;
        self.last_refusal = refusal.after(RETRY_AFTER);
    }

    /// Returns the final refusal, which is "not run" only if no attempt can have run.
    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            return Refusal { verdict: Verdict::Unknown, ..refusal };
        }
        refusal
    }

    fn give_up(&self) -> Refusal {
        self.final_refusal(self.last_refusal)
    }
}
