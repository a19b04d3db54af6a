//! Generations of the log: what follows when the log service comes back from an older copy.
//!
//! Members that lived through it go on with what they have folded, and one of them appends it as the
//! snapshot with which the generation begins. Where nobody lived through it, it begins without
//! members and assignments. See DESIGN.md, section 3.

use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::fanout::Freshness;
use acaciaring_core::state::snapshot::{self, CHUNK_SIZE};
use acaciaring_core::state::{Folded, Opening, Outcome, Rejection, Replica, State};
use acaciaring_core::{Generation, Offset, Time};
use acaciaring_schema::log::{Settle, record};
use rand::Rng;
use tracing::{info, warn};

use super::proposal::Purpose;
use super::snapshot::Snapshots;
use super::{Control, Progress};

/// Delay per rank, so that not every member proposes the same record.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Time after which a snapshot that did not begin the generation is proposed again.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Terms of a lease for which members begin to serve nothing new after the beginning of a generation.
///
/// One for the leases of members that missed it, and one by which their lessors may read it later.
const SETTLING_TERMS: u32 = 2;

/// Progress of this member in the newest generation of the log.
#[derive(Debug, Default)]
pub(super) struct GenerationProgress {
    /// When the generation was first heard of.
    heard: Time,
    /// When this member last proposed the state with which it begins.
    proposed: Option<Time>,
    /// Part of the delay of a process without state, so that not all propose at once.
    jitter: f64,
    /// Highest offset that another member has folded in the generation of this member's state.
    farthest: Offset,
    /// State with which the generation of this member's state has begun.
    pub(super) opening: Option<Opening>,
    /// Time until which this member begins to serve nothing new.
    settles: Time,
}

impl Control {
    /// Handles a generation of the log that the log service or another member names.
    pub(super) fn observe_generation(&mut self, now: Time, generation: Generation) {
        let former = self.replica.generation();
        if generation <= former || generation > Generation::MAX {
            return;
        }
        let folded = self.state.next();
        if folded > 0 {
            warn!(%former, %generation, folded, "the log has come back from an older copy");
        }
        self.replica = Replica::in_generation(generation);
        self.context.read_scheduler.restart(generation);
        self.snapshots = Snapshots::new(now);
        self.progress = Progress { last_folded: now, ..Progress::default() };
        self.freshness = Freshness::default();
        self.generation.heard = now;
        self.generation.proposed = None;
        self.generation.jitter = rand::rng().random();
        self.update_read_mode(now);
    }

    /// Handles a generation that another member names, and requests its records if it is newer.
    pub(super) fn hear_generation(&mut self, now: Time, from: SocketAddr, generation: Generation) {
        if generation > self.replica.generation() {
            self.observe_generation(now, generation);
            self.fetch_records(now, from, self.replica.position());
        }
    }

    /// Records how far another member has folded the generation of this member's state.
    pub(super) fn observe_position(&mut self, generation: Generation, applied: Offset) {
        if generation == self.state.generation() {
            self.generation.farthest = self.generation.farthest.max(applied);
        }
    }

    /// Returns true for a member whose state is of the present generation, or was continued by it.
    ///
    /// A lessor grants no lease to others: they may serve by records that the log has lost.
    pub(super) fn is_current(&self, generation: Generation, applied: Offset) -> bool {
        generation >= self.state.generation()
            || self.generation.opening.is_some_and(|opening| opening.continues(generation, applied))
    }

    /// Proposes the state with which the present generation begins, if it has none.
    pub(super) fn open_generation(&mut self, now: Time) {
        if self.replica.is_open() || !self.progress.at_end || self.stopping.is_some() {
            return;
        }
        let waited = now.since(self.generation.heard);
        let recent = |proposed| now.since(proposed) < RETRY_INTERVAL;
        if waited < self.opening_delay(now) || self.generation.proposed.is_some_and(recent) {
            return;
        }
        self.generation.proposed = Some(now);
        let generation = self.replica.generation();
        let settling = !self.is_first_generation();
        let state = self.state.for_opening(settling);
        info!(%generation, next = state.next(), "proposing the state with which the generation begins");
        for record in snapshot::chunk(&state, rand::random(), CHUNK_SIZE) {
            self.proposals.append(generation, record);
        }
    }

    /// Returns true if neither this process nor the log knows anything of an earlier generation.
    fn is_first_generation(&self) -> bool {
        self.state.next() == 0 && self.replica.position() == self.replica.generation().first()
    }

    /// Returns how long this process waits for another one to begin the generation.
    ///
    /// The members that have folded most go first, for those that have folded more must join again. A
    /// process that has folded nothing waits longest, for all others would have to.
    fn opening_delay(&self, now: Time) -> Duration {
        let term = self.context.lease.term;
        if self.state.next() == 0 {
            let spread = term.mul_f64(self.generation.jitter / 2.0);
            return if self.is_first_generation() { spread / 4 } else { term + spread };
        }
        let rank =
            self.identity.as_ref().and_then(|identity| self.state.snapshot_rank(identity.me));
        let delay = RANK_DELAY * u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX >> 8);
        let leased = self.identity.as_ref().is_some_and(|identity| identity.holder.holds(now));
        let behind = self.state.next() < self.generation.farthest;
        if leased && !behind { delay } else { (delay + term / 2).min(term) }
    }

    /// Takes over the state with which a generation has begun; `before` is the former one.
    ///
    /// An identity that has folded records which that state does not include ends: it may serve by
    /// them, and its id may not be in the log.
    pub(super) fn enter_generation(&mut self, now: Time, before: &State) {
        let generation = self.state.generation();
        let opening = self.replica.opening();
        self.generation.opening = opening;
        self.generation.farthest = 0;
        self.generation.settles = now + self.context.lease.term * SETTLING_TERMS;
        self.proposals.set_generation(generation);
        let continues = before.next() > 0
            && opening.is_some_and(|opening| opening.continues(before.generation(), before.next()))
            && !self.proposals.any_recent(&self.state);
        info!(%generation, floor = self.state.floor(), continues, "a generation of the log has begun");
        if continues {
            self.reject_proposals();
        } else if let Some(identity) = &self.identity {
            warn!(member = %identity.me, "the log has lost records of this member, joining again");
            self.end_identity();
        } else {
            self.proposals.clear();
        }
    }

    /// Settles the proposals made in an earlier generation, which can no longer take effect.
    fn reject_proposals(&mut self) {
        let generation = self.replica.generation();
        for (id, proposal) in self.proposals.take_open() {
            let outcome = Outcome::Rejected(Rejection::Generation { generation });
            let record = Folded { offset: self.state.floor(), id: Some(id), outcome };
            self.on_settled(&proposal, &record);
        }
    }

    /// Updates what this member's rights depend on in the present generation.
    pub(super) fn update_withheld(&mut self, now: Time) {
        let withheld = self.begins_nothing(now);
        let floor = self.state.floor();
        if let Some(identity) = &mut self.identity {
            identity.rights.begin_generation(floor);
            self.dirty |= identity.rights.withhold(withheld);
        }
    }

    /// Returns the time until which this member begins to serve nothing new.
    ///
    /// Before it has read how a generation begins, that time is not known.
    pub(super) fn settles(&self, now: Time) -> Time {
        self.generation.settles.max(now + RANK_DELAY)
    }

    /// Returns true while this member begins to serve nothing but what it is released.
    ///
    /// Others may have served under tokens of a generation that it has not read, which are above
    /// those that it knows.
    fn begins_nothing(&self, now: Time) -> bool {
        !self.replica.is_open() || (self.state.settling() && now < self.generation.settles)
    }

    /// Proposes the end of the time in which members begin to serve nothing new.
    pub(super) fn settle(&mut self, now: Time) {
        let Some(identity) = &self.identity else { return };
        let rank = self.state.snapshot_rank(identity.me);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok()).unwrap_or(u32::MAX >> 8);
        let due = self.generation.settles + RANK_DELAY * rank;
        if self.replica.is_open() && self.state.settling() && now >= due {
            self.proposals.propose(now, Purpose::Settle, record::Body::Settle(Settle {}));
        }
    }
}
