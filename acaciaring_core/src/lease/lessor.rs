//! Lessor side of the lease protocol: grants leases to other members and votes on their expiry.

use std::collections::BTreeMap;

use crate::id::{MemberId, Offset};
use crate::lease::{Grant, LeaseSettings, Vote};
use crate::time::Time;

/// State that a lessor keeps for one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HolderState {
    /// End of the grant, or of the waiting time for the first renewal.
    ends: Time,
    /// Highest version of the holder's lessor set seen.
    version: Offset,
    /// Lessor set version of the last vote.
    voted: Option<Offset>,
    /// True when the newest lessor set seen contains this lessor.
    in_set: bool,
    /// True when the log records the holder as dead.
    dead: bool,
}

/// Grants and votes of one member identity for other members.
///
/// Entries are never removed. A lessor that lost its vote would grant again, one that lost a
/// version would vote by a set that the holder has dropped, and without the entry of a dead holder
/// it would grant to one that lags behind the log. A restarted process has a new identity, which is
/// in no lessor set.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lessor {
    me: MemberId,
    settings: LeaseSettings,
    holders: BTreeMap<MemberId, HolderState>,
    stopped: bool,
}

impl Lessor {
    /// Creates a lessor without grants.
    #[must_use]
    pub fn new(me: MemberId, settings: LeaseSettings) -> Self {
        Self { me, settings, holders: BTreeMap::new(), stopped: false }
    }

    /// Returns the identity of this lessor.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// Answers a renewal.
    ///
    /// `abandoned` is [`Holder::abandoned`](crate::lease::Holder::abandoned) of this member's own
    /// lease at `now`. It must be evaluated for each renewal: after a long pause, a lessor whose
    /// recorded death already counts as its vote would otherwise grant renewals that waited in its
    /// socket.
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

    /// Records that the lessor set of `holder` at `version` contains this member.
    ///
    /// A holder that has not renewed yet gets a full term before this member votes.
    pub fn join_set(&mut self, now: Time, holder: MemberId, version: Offset) {
        let ends = now + self.settings.term;
        let initial = HolderState { ends, version, voted: None, in_set: true, dead: false };
        let state = self.holders.entry(holder).or_insert(initial);
        if version >= state.version {
            state.version = version;
            state.in_set = true;
        }
    }

    /// Records that the lessor set of `holder` at `version` lacks this member, which need not vote.
    pub fn leave_set(&mut self, holder: MemberId, version: Offset) {
        let Some(state) = self.holders.get_mut(&holder) else { return };
        if version >= state.version {
            state.version = version;
            state.in_set = false;
        }
    }

    /// Records that the log states the death of `holder`: it gets no more grants and no more votes.
    pub fn mark_dead(&mut self, holder: MemberId) {
        if let Some(state) = self.holders.get_mut(&holder) {
            state.dead = true;
        }
    }

    /// Returns the holders whose grant has expired and on which this lessor has not voted yet.
    #[must_use]
    pub fn expired(&self, now: Time) -> Vec<MemberId> {
        let due = |state: &HolderState| state.voted != Some(state.version) && may_vote(state, now);
        self.holders.iter().filter(|(_, state)| due(state)).map(|(id, _)| *id).collect()
    }

    /// Returns the time at which the next grant expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let open = |state: &&HolderState| state.in_set && !state.dead && state.voted.is_none();
        self.holders.values().filter(open).map(|state| state.ends).min()
    }

    /// Votes that the grant to a holder has expired; returns `None` while the grant is valid.
    ///
    /// A member that is not `leased` itself does not vote, since it is more likely to be
    /// partitioned than the holder. After the vote it never grants to this holder again.
    pub fn vote(&mut self, now: Time, holder: MemberId, leased: bool) -> Option<Vote> {
        let state = self.holders.get_mut(&holder)?;
        if !leased || !may_vote(state, now) {
            return None;
        }
        state.voted = Some(state.version);
        Some(Vote { member: holder, version: state.version })
    }

    /// Returns the votes on holders that are not recorded as dead, for retransmission.
    pub fn votes(&self) -> impl Iterator<Item = Vote> {
        let live = self.holders.iter().filter(|(_, state)| !state.dead);
        live.filter_map(|(id, state)| Some(Vote { member: *id, version: state.voted? }))
    }

    /// Returns true while a grant to a holder for which `counts` is true has not expired.
    ///
    /// A leaving member stays until then, so that its holders have replaced it. Otherwise a crash
    /// of a second lessor during the replacement would cost a holder its majority, and so its
    /// lease.
    pub fn has_active_grant(&self, now: Time, counts: impl Fn(MemberId) -> bool) -> bool {
        let runs = |(holder, state): (&MemberId, &HolderState)| {
            !state.dead && now < state.ends && counts(*holder)
        };
        self.holders.iter().any(runs)
    }

    /// Stops granting permanently, as this identity is abandoned.
    pub fn stop(&mut self) {
        self.stopped = true;
    }
}

/// Returns true when the grant has expired and the newest lessor set needs this lessor's vote.
fn may_vote(state: &HolderState, now: Time) -> bool {
    state.in_set && !state.dead && now >= state.ends
}
