//! Lessor's side of a lease.

use std::collections::BTreeMap;

use crate::id::{MemberId, Offset};
use crate::lease::{Grant, LeaseSettings, Vote};
use crate::time::Time;

/// What a lessor remembers of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    /// End of the grant, or of the wait for the first renewal.
    ends: Time,
    /// Highest version of the holder's lessor set that was seen.
    version: Offset,
    /// Version of the last vote.
    voted: Option<Offset>,
    /// True when the newest set seen contains this lessor.
    member: bool,
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
    records: BTreeMap<MemberId, Record>,
    stopped: bool,
}

impl Lessor {
    /// Makes a lessor that has granted nothing.
    #[must_use]
    pub fn new(me: MemberId, settings: LeaseSettings) -> Self {
        Self { me, settings, records: BTreeMap::new(), stopped: false }
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
        let fresh = Record { ends, version, voted: None, member: true, dead: false };
        let record = self.records.entry(holder).or_insert(fresh);
        if self.stopped || record.dead || record.voted.is_some() {
            return Grant { granted: false, version: record.version };
        }
        record.ends = ends;
        record.version = record.version.max(version);
        Grant { granted: true, version: record.version }
    }

    /// Notes that this member is a lessor of `holder` by the set of `version`.
    ///
    /// A holder that has never asked gets a full term from here before a vote.
    pub fn join_set(&mut self, now: Time, holder: MemberId, version: Offset) {
        let ends = now + self.settings.term;
        let fresh = Record { ends, version, voted: None, member: true, dead: false };
        let record = self.records.entry(holder).or_insert(fresh);
        if version >= record.version {
            record.version = version;
            record.member = true;
        }
    }

    /// Notes that the set of `version` does not contain this member: no vote is wanted.
    pub fn leave_set(&mut self, holder: MemberId, version: Offset) {
        let Some(record) = self.records.get_mut(&holder) else { return };
        if version >= record.version {
            record.version = version;
            record.member = false;
        }
    }

    /// Notes that `holder` is dead in the log: no grant and no vote from now on.
    pub fn mark_dead(&mut self, holder: MemberId) {
        if let Some(record) = self.records.get_mut(&holder) {
            record.dead = true;
        }
    }

    /// Returns the holders whose grant has run out and that are still to be voted on.
    #[must_use]
    pub fn expired(&self, now: Time) -> Vec<MemberId> {
        let due = |record: &Record| record.voted != Some(record.version) && ripe(record, now);
        self.records.iter().filter(|(_, record)| due(record)).map(|(id, _)| *id).collect()
    }

    /// Returns the time at which the next grant runs out.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        let open = |record: &&Record| record.member && !record.dead && record.voted.is_none();
        self.records.values().filter(open).map(|record| record.ends).min()
    }

    /// Votes on a holder, none while its grant runs.
    ///
    /// A member without a lease of its own does not vote: it is more likely cut
    /// off itself. From the vote on it never grants to this holder again.
    pub fn vote(&mut self, now: Time, holder: MemberId, leased: bool) -> Option<Vote> {
        let record = self.records.get_mut(&holder)?;
        if !leased || !ripe(record, now) {
            return None;
        }
        record.voted = Some(record.version);
        Some(Vote { member: holder, version: record.version })
    }

    /// Returns the votes on holders that are not dead in the log, to be sent again.
    pub fn votes(&self) -> impl Iterator<Item = Vote> {
        let live = self.records.iter().filter(|(_, record)| !record.dead);
        live.filter_map(|(id, record)| Some(Vote { member: *id, version: record.voted? }))
    }

    /// Returns true while a grant to a holder that `counts` runs.
    ///
    /// Guards against a lease that is lost because two lessors end together: one leaves by plan
    /// while its holders still exchange it, another crashes in that moment, and the old set makes
    /// no majority any more. The holders were without lease until they gave up their identities.
    /// A member that stays until its last grant has run out has been exchanged by then.
    pub fn has_active_grant(&self, now: Time, counts: impl Fn(MemberId) -> bool) -> bool {
        let runs = |(holder, record): (&MemberId, &Record)| {
            !record.dead && now < record.ends && counts(*holder)
        };
        self.records.iter().any(runs)
    }

    /// Grants nothing any more: this identity is given up.
    pub fn stop(&mut self) {
        self.stopped = true;
    }
}

/// Returns true when a vote is legal and wanted.
fn ripe(record: &Record, now: Time) -> bool {
    record.member && !record.dead && now >= record.ends
}
