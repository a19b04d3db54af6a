//! Requests to services that are divided by key.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::route::Repeat;
use acaciaring_core::state::Assignment;
use acaciaring_core::{MemberId, Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use tokio::time::sleep;

use super::asked::Asked;
use super::outcome::LOST;
use super::{COME_BACK, Plan, Router, Silence, Try};
use crate::clock;
use crate::metrics::{Counter, Timer};
use crate::peer::Pending;
use crate::view::View;

/// Search for a member that may serve the key that every request may take.
const PATIENCE: Duration = Duration::from_millis(150);

/// Search that a few requests at a time may take.
///
/// It covers a takeover after a loss. A thread that waits for one serves nobody
/// else, so that the keys of one lost member could hold up all others if every
/// request waited; those beyond the bound are told when to come back.
const LONG_PATIENCE: Duration = Duration::from_millis(2500);

/// Progress of one request.
struct Search {
    /// Time up to which every request may search.
    soon: Time,
    end: Time,
    tries: u32,
    hint: Option<MemberId>,
    /// What the caller is told if the search ends here.
    last: Refusal,
    /// True once a try may have reached an upstream.
    lost: bool,
    /// Tries that an upstream has seen or may have seen, and that may be repeated.
    repeats: u32,
    asked: Asked,
}

/// What a search has come to after a try.
enum Step {
    Answered(Answer),
    /// No member served the request; the search goes on.
    Missed,
    /// The member has gone silent; the request may be given elsewhere meanwhile, after this pause.
    Silent(Silence, Duration),
}

impl Router {
    /// Brings a request to the owner of its key.
    pub(super) async fn keyed(&self, plan: &Plan) -> Result<Answer, Refusal> {
        let now = clock::now();
        let search = Search {
            soon: plan.deadline.min(now + PATIENCE),
            end: plan.deadline.min(now + self.patience()),
            tries: 0,
            hint: None,
            last: Refusal::not_run(Reason::Unreachable).after(COME_BACK),
            lost: false,
            repeats: 0,
            asked: Asked::default(),
        };
        self.seek(plan, search).await
    }

    /// Searches for a member that serves the key.
    async fn seek(&self, plan: &Plan, mut search: Search) -> Result<Answer, Refusal> {
        let mut place = None;
        loop {
            match self.search(plan, &mut search).await? {
                Step::Answered(answer) => return Ok(answer),
                Step::Missed => {}
                Step::Silent(silence, after) => {
                    let answer = self.beside(silence, self.seek_on(plan, after, search)).await?;
                    self.end_outage(&self.shared.view(), plan);
                    return Ok(answer);
                }
            }
            self.note_outage(plan, &search);
            let now = clock::now();
            if now >= search.soon && place.is_none() {
                place = self.lingerers.enter();
            }
            if now >= search.end || (now >= search.soon && place.is_none()) {
                return Err(search.give_up());
            }
            if search.hint.is_none() {
                let end = if place.is_some() { search.end } else { search.soon };
                // What has changed may name another member, or let one be asked again.
                self.shared.changed(search.asked.pause(now).min(end.since(now))).await;
            }
        }
    }

    /// Goes on with a search after a pause.
    fn seek_on<'a>(
        &'a self,
        plan: &'a Plan,
        after: Duration,
        mut search: Search,
    ) -> Pending<'a, Result<Answer, Refusal>> {
        Box::pin(async move {
            sleep(after).await;
            search.prolong(plan);
            self.seek(plan, search).await
        })
    }

    /// Returns for how long a few requests at a time may search.
    ///
    /// A caller that is told at once when to come back is served as soon as one that waits, and
    /// may do something else meanwhile; only the wait for a move that is under way is shorter.
    fn patience(&self) -> Duration {
        if self.shared.declares { PATIENCE } else { LONG_PATIENCE }
    }

    /// Makes one try, if there is a member to try; an error is the final answer.
    async fn search(&self, plan: &Plan, search: &mut Search) -> Result<Step, Refusal> {
        let view = self.shared.view();
        let version = assignment(&view, plan).map(|assignment| assignment.version);
        let target = self.target(&view, plan, search);
        let target = target.filter(|target| search.asked.may(clock::now(), *target, version));
        let Some(target) = target else {
            search.hint = None;
            return Ok(Step::Missed);
        };
        if let Some(refusal) = self.refuse_full(clock::now(), plan, target) {
            return Err(search.settle(refusal));
        }
        self.count_try(search);
        search.tries += 1;
        search.hint = None;
        let ended = match self.attempt(plan, &view, target).await {
            Ok(ended) => ended,
            Err(silence) => {
                self.suspects.add(clock::now(), target);
                if let Some(after) = self.leave(plan, search, LOST) {
                    return Ok(Step::Silent(silence, after));
                }
                let ended = self.wait(silence).await;
                search.prolong(plan);
                ended
            }
        };
        match ended {
            Try::Whole(answer) => {
                self.suspects.clear(target);
                self.end_outage(&view, plan);
                return Ok(Step::Answered(answer));
            }
            Try::Refused { refusal, owner, .. } => {
                self.suspects.clear(target);
                self.note_full(plan, target, refusal);
                search.refused(plan, refusal)?;
                search.asked.note(clock::now(), target, version);
                if refusal.verdict == Verdict::Unknown || refusal.reason == Reason::Shed {
                    self.repeat(plan, search, refusal).await?;
                }
                let now = clock::now();
                if refusal.reason == Reason::Draining {
                    // A member that stops while the log is down has released to the standby.
                    self.suspects.add(now, target);
                }
                let known = |owner: &MemberId| {
                    self.suspects.contains(now, *owner) || !search.asked.may(now, *owner, version)
                };
                search.hint =
                    owner.filter(|owner| refusal.reason == Reason::NotOwner && !known(owner));
            }
            Try::Undelivered => {
                self.suspects.add(clock::now(), target);
                search.asked.note(clock::now(), target, version);
            }
            Try::Lost => {
                self.suspects.add(clock::now(), target);
                search.asked.note(clock::now(), target, version);
                search.lose(LOST);
                self.repeat(plan, search, LOST).await?;
            }
        }
        Ok(Step::Missed)
    }

    fn count_try(&self, search: &Search) {
        if search.tries > 0 {
            self.metrics.count(Counter::RequestsRetried, 1);
        }
        if search.hint.is_some() {
            self.metrics.count(Counter::RequestsRedirected, 1);
        }
    }

    /// Notes that a unit had no server, unless there is another member to ask at once.
    fn note_outage(&self, plan: &Plan, search: &Search) {
        let view = self.shared.view();
        let unit = plan.key.and_then(|key| view.unit(&plan.route.workspace, key));
        if let Some(unit) = unit.filter(|_| search.hint.is_none()) {
            self.outages.begin(clock::now(), &plan.route.workspace, unit);
        }
    }

    /// Notes that a unit has a server again, if it had none.
    fn end_outage(&self, view: &View, plan: &Plan) {
        let unit = plan.key.and_then(|key| view.unit(&plan.route.workspace, key));
        let Some(unit) = unit else { return };
        if let Some(took) = self.outages.end(clock::now(), &plan.route.workspace, unit) {
            self.metrics.time(Timer::UnitsUnavailable, took);
        }
    }

    /// Waits for leave to give the upstream a request again; an error is the final answer.
    async fn repeat(
        &self,
        plan: &Plan,
        search: &mut Search,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let after = self.leave(plan, search, refusal).ok_or_else(|| search.give_up())?;
        if after > Duration::ZERO {
            sleep(after).await;
            search.prolong(plan);
        }
        Ok(())
    }

    /// Returns after which pause the upstream may be given a request again; `None` when it may not.
    ///
    /// Guards against an upstream that answers nothing while it works: each request would run
    /// there as often as fits into the search. A request that may run once needs no leave, for
    /// its further tries only ask what became of it.
    ///
    /// An upstream that refuses requests while it has places by its own word takes the next one
    /// as likely as not, and no other may serve the key.
    fn leave(&self, plan: &Plan, search: &mut Search, refusal: Refusal) -> Option<Duration> {
        if plan.class.repeat == Repeat::Once && refusal.verdict == Verdict::Unknown {
            // Nobody remembers a request whose identity is used once: a second try could run it again.
            return (!plan.class.single).then_some(Duration::ZERO);
        }
        let now = clock::now();
        let failure = Failure {
            refusal,
            repeat: plan.class.repeat,
            time_left: plan.deadline.since(now),
            attempts: search.repeats + 1,
            redirects: 0,
            reached_upstream: true,
            has_alternative: false,
            max_attempts: plan.class.tries,
        };
        let RetryDecision::Retry { after } = self.allowed(now, plan, &failure) else { return None };
        search.repeats += 1;
        Some(after)
    }

    /// Chooses where the next try goes: a hint, the owner, or the standby while the owner cannot be reached.
    fn target(&self, view: &View, plan: &Plan, search: &Search) -> Option<MemberId> {
        if let Some(hint) = search.hint {
            return Some(hint);
        }
        let assignment = assignment(view, plan)?;
        let now = clock::now();
        let owner = assignment.owner.filter(|owner| !self.suspects.avoids(now, *owner));
        owner.or(assignment.standby).or(assignment.owner)
    }
}

fn assignment(view: &View, plan: &Plan) -> Option<Assignment> {
    let workspace = &plan.route.workspace;
    let unit = view.unit(workspace, plan.key?)?;
    view.assignment(workspace, unit).copied()
}

impl Search {
    /// Lets a search go on for as long as a new one, after it has waited.
    fn prolong(&mut self, plan: &Plan) {
        self.soon = plan.deadline.min(clock::now() + PATIENCE);
        self.end = self.end.max(self.soon);
        self.asked.clear();
    }

    /// Decides after a refusal; an error is the final answer.
    ///
    /// A request that may run once is safe to try again after a lost try: the
    /// owner and the standby remember its identity, and run it at most once.
    fn refused(&mut self, plan: &Plan, refusal: Refusal) -> Result<(), Refusal> {
        match refusal.reason {
            Reason::NotOwner
            | Reason::NoLease
            | Reason::Superseded
            | Reason::Draining
            | Reason::Shed => {}
            Reason::LostAnswer if plan.class.repeat == Repeat::Idempotent => {}
            _ => return Err(self.settle(refusal)),
        }
        if refusal.verdict == Verdict::Unknown {
            self.lose(refusal);
        }
        self.last = refusal.after(refusal.retry.unwrap_or(COME_BACK));
        Ok(())
    }

    /// Notes a try that may have run.
    fn lose(&mut self, refusal: Refusal) {
        self.lost = true;
        self.last = refusal.after(COME_BACK);
    }

    /// Returns the final answer; "not run" only if no try may have run.
    fn settle(&self, refusal: Refusal) -> Refusal {
        if self.lost {
            return Refusal { verdict: Verdict::Unknown, ..refusal };
        }
        refusal
    }

    fn give_up(&self) -> Refusal {
        self.settle(self.last)
    }
}
