//! Requests to services that are divided by key.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::route::Repeat;
use acaciaring_core::state::Assignment;
use acaciaring_core::{MemberId, Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use tokio::time::sleep;

use super::{COME_BACK, Plan, Router, Try};
use crate::clock;
use crate::metrics::{Counter, Timer};
use crate::view::View;

/// Search for a member that may serve the key that every request may take.
const PATIENCE: Duration = Duration::from_millis(150);

/// Search that a few requests at a time may take.
///
/// It covers a takeover after a loss. A thread that waits for one serves nobody
/// else, so that the keys of one lost member could hold up all others if every
/// request waited; those beyond the bound are told when to come back.
const LONG_PATIENCE: Duration = Duration::from_millis(2500);

/// Pause between two tries that found no server for the key.
const PAUSE: Duration = Duration::from_millis(10);

/// The same once the search has become long.
const LONG_PAUSE: Duration = Duration::from_millis(50);

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
}

impl Router {
    /// Brings a request to the owner of its key.
    pub(super) async fn keyed(&self, plan: &Plan) -> Result<Answer, Refusal> {
        let now = clock::now();
        let mut search = Search {
            soon: plan.deadline.min(now + PATIENCE),
            end: plan.deadline.min(now + self.patience()),
            tries: 0,
            hint: None,
            last: Refusal::not_run(Reason::Unreachable).after(COME_BACK),
            lost: false,
            repeats: 0,
        };
        let mut place = None;
        loop {
            if let Some(answer) = self.search(plan, &mut search).await? {
                return Ok(answer);
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
                let pause = if place.is_some() { LONG_PAUSE } else { PAUSE };
                sleep(pause).await;
            }
        }
    }

    /// Returns for how long a few requests at a time may search.
    ///
    /// A caller that is told at once when to come back is served as soon as one that waits, and
    /// may do something else meanwhile; only the wait for a move that is under way is shorter.
    fn patience(&self) -> Duration {
        if self.shared.declares { PATIENCE } else { LONG_PATIENCE }
    }

    /// Makes one try, if there is a member to try; an error is the final answer.
    async fn search(&self, plan: &Plan, search: &mut Search) -> Result<Option<Answer>, Refusal> {
        let view = self.shared.view();
        let Some(target) = self.target(&view, plan, search) else { return Ok(None) };
        if let Some(refusal) = self.refuse_full(clock::now(), plan, target) {
            return Err(search.settle(refusal));
        }
        self.count_try(search);
        search.tries += 1;
        search.hint = None;
        match self.attempt(plan, &view, target).await {
            Try::Whole(answer) => {
                self.suspects.clear(target);
                self.end_outage(&view, plan);
                return Ok(Some(answer));
            }
            Try::Refused { refusal, owner, .. } => {
                self.suspects.clear(target);
                self.note_full(plan, target, refusal);
                search.refused(plan, refusal)?;
                if refusal.verdict == Verdict::Unknown || refusal.reason == Reason::Shed {
                    self.repeat(plan, search, refusal).await?;
                }
                let now = clock::now();
                if refusal.reason == Reason::Draining {
                    // A member that stops while the log is down has released to the standby.
                    self.suspects.add(now, target);
                }
                let known =
                    |owner: &MemberId| *owner == target || self.suspects.contains(now, *owner);
                search.hint =
                    owner.filter(|owner| refusal.reason == Reason::NotOwner && !known(owner));
            }
            Try::Undelivered => self.suspects.add(clock::now(), target),
            Try::Lost => {
                self.suspects.add(clock::now(), target);
                let lost = Refusal::unknown(Reason::LostAnswer);
                search.lose(lost);
                self.repeat(plan, search, lost).await?;
            }
        }
        Ok(None)
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
    ///
    /// Guards against an upstream that answers nothing while it works: each request would run
    /// there as often as fits into the search. A request that may run once needs no leave, for
    /// its further tries only ask what became of it.
    ///
    /// An upstream that refuses requests while it has places by its own word takes the next one
    /// as likely as not, and no other may serve the key.
    async fn repeat(
        &self,
        plan: &Plan,
        search: &mut Search,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if plan.class.repeat == Repeat::Once && refusal.verdict == Verdict::Unknown {
            // Nobody remembers a request whose identity is used once: a second try could run it again.
            return if plan.class.single { Err(search.give_up()) } else { Ok(()) };
        }
        search.repeats += 1;
        let now = clock::now();
        let failure = Failure {
            refusal,
            repeat: plan.class.repeat,
            left: plan.deadline.since(now),
            tries: search.repeats,
            redirects: 0,
            arrived: true,
            elsewhere: false,
            most: plan.class.tries,
        };
        match self.allowed(now, plan, &failure) {
            RetryDecision::Retry { after } => sleep(after).await,
            RetryDecision::GiveUp => return Err(search.give_up()),
        }
        // The search may go on for as long as before the repeat.
        search.soon = plan.deadline.min(clock::now() + PATIENCE);
        search.end = search.end.max(search.soon);
        Ok(())
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
