//! Lessor's side of a lease.

use std::collections::BTreeMap;

use crate::id::{MemberId, Offset};
use crate::lease::{Grant, LeaseSettings, Vote};
use crate::time::Time;

/// What a lessor remembers of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HolderState {
    /// End of the grant, or of the wait for the first renewal.
    ends: Time,
    /// Highest version of the holder's lessor set that was seen.
    version: Offset,
    /// Version of the last vote.
    voted: Option<Offset>,
    /// True when the newest set seen contains this lessor.
    in_set: bool,
    /// True when the holder is dead in the log.
    dead: bool,
}

/// Grants that one member identity gives to others.
///
/// Nothing is forgotten while the holder may live: a lessor that forgot its
/// vote would grant again, one that forgot a version would vote by a set that
/// the holder has dropped. A process that restarts is another member and in no
/// set. Of a dead holder one entry stays so that a holder that lags behind the
/// log is refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lessor {
    me: MemberId,
    settings: LeaseSettings,
    holders: BTreeMap<MemberId, HolderState>,
    stopped: bool,
}

impl Lessor {
    /// Makes a lessor that has granted nothing.
    #[must_use]
    pub fn new(me: MemberId, settings: LeaseSettings) -> Self {
        Self { me, settings, holders: BTreeMap::new(), stopped: false }
    }

    /// Returns the identity that grants.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// Answers a renewal.
    ///
    /// `abandoned` is [`Holder::abandoned`](crate::lease::Holder::abandoned) of
    /// this member's own lease at `now`. Failure: a lessor wakes from a long
    /// pause and answers renewals that have waited in its socket, while its
    /// recorded death already counts as its vote. Asked at `now`, it refuses.
    pub fn renew(
        &mut self,
        now: Time,
        holder: MemberId,
        version: Offset,
        abandoned: bool,
    ) -> Grant {
        self.stopped |= abandoned;
        let ends = now + self.settings.term;
        let initial = HolderState { ends, version, voted: None, in_set: true, dead: false };
        let state = self.holders.entry(holder).or_insert(initial);
        if self.stopped || state.dead || state.voted.is_some() {
            return Grant { granted: false, version: state.version };
        }
        state.ends = ends;
        state.version = state.version.max(version);
        Grant { granted: true, version: state.version }
    }

    /// Notes that this member is a lessor of `holder` by the set of `version`.
    ///
    /// A holder that has never asked gets a full term from here before a vote.
    pub fn join_set(&mut self, now: Time, holder: MemberId, version: Offset) {
        let ends = now + self.settings.term;
        let initial = HolderState { ends, version, voted: None, in_set: true, dead: false };
        let state = self.holders.entry(holder).or_insert(initial);
        if version >= state.version {
            state.version = version;
            state.in_set = true;
        }
    }

    /// Notes that the set of `version` does not contain this member: no vote is wanted.
    pub fn leave_set(&mut self, holder: MemberId, version: Offset) {
        let Some(state) = self.holders.get_mut(&holder) else { return };
        if version >= state.version {
            state.version = version;
            state.in_set = false;
        }
    }

    /// Notes that `holder` is dead in the log: no grant and no vote from now on.
    pub fn mark_dead(&mut self, holder: MemberId) {
        if let Some(state) = self.holders.get_mut(&holder) {
            state.dead = true;
        }
    }

    /// Returns the holders whose grant has run out and that are still to be voted on.
    #[must_use]
    pub fn expired(&self, now: Time) -> Vec<MemberId> {
        let due = |state: &HolderState| state.voted != Some(state.version) && may_vote(state, now);
        self.holders.iter().filter(|(_, state)| due(state)).map(|(id, _)| *id).collect()
    }

    /// Returns the time at which the next grant runs out.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let open = |state: &&HolderState| state.in_set && !state.dead && state.voted.is_none();
        self.holders.values().filter(open).map(|state| state.ends).min()
    }

    /// Votes on a holder, none while its grant runs.
    ///
    /// A member without a lease of its own does not vote: it is more likely cut
    /// off itself. From the vote on it never grants to this holder again.
    pub fn vote(&mut self, now: Time, holder: MemberId, leased: bool) -> Option<Vote> {
        let state = self.holders.get_mut(&holder)?;
        if !leased || !may_vote(state, now) {
            return None;
        }
        state.voted = Some(state.version);
        Some(Vote { member: holder, version: state.version })
    }

    /// Returns the votes on holders that are not dead in the log, to be sent again.
    pub fn votes(&self) -> impl Iterator<Item = Vote> {
        let live = self.holders.iter().filter(|(_, state)| !state.dead);
        live.filter_map(|(id, state)| Some(Vote { member: *id, version: state.voted? }))
    }

    /// Returns true while a grant to a holder that `counts` runs.
    ///
    /// Guards against a lease that is lost because two lessors end together: one leaves by plan
    /// while its holders still exchange it, another crashes in that moment, and the old set makes
    /// no majority any more. The holders were without lease until they gave up their identities.
    /// A member that stays until its last grant has run out has been exchanged by then.
    pub fn has_active_grant(&self, now: Time, counts: impl Fn(MemberId) -> bool) -> bool {
        let runs = |(holder, state): (&MemberId, &HolderState)| {
            !state.dead && now < state.ends && counts(*holder)
        };
        self.holders.iter().any(runs)
    }

    /// Grants nothing any more: this identity is given up.
    pub fn stop(&mut self) {
        self.stopped = true;
    }
}

/// Returns true when a vote is legal and wanted.
fn may_vote(state: &HolderState, now: Time) -> bool {
    state.in_set && !state.dead && now >= state.ends
}
