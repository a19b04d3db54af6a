//! Counting of votes that other members' leases have expired.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{MemberId, Offset};
use crate::lease::{LeaseSettings, Proof};
use crate::state::{Member, Phase, majority};
use crate::time::Time;

/// Votes and lessor deaths that this process has seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Tally {
    settings: LeaseSettings,
    /// Lessors that voted on each member, with the lessor set versions of their votes.
    votes: BTreeMap<MemberId, BTreeSet<(MemberId, Offset)>>,
    /// When this process read each member's death from the log.
    deaths: BTreeMap<MemberId, Time>,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self { settings, votes: BTreeMap::new(), deaths: BTreeMap::new() }
    }

    /// Records a lessor's vote on a member.
    pub fn vote(&mut self, lessor: MemberId, member: MemberId, version: Offset) {
        if !self.deaths.contains_key(&member) {
            self.votes.entry(member).or_default().insert((lessor, version));
        }
    }

    /// Records that the death of `member` was read from the log at `now`.
    pub fn record_death(&mut self, now: Time, member: MemberId) {
        self.deaths.entry(member).or_insert(now);
        self.votes.remove(&member);
    }

    /// Removes dead members for which `wanted` is false, for example those in no lessor set.
    ///
    /// Safe at any time: a death that is recorded again restarts its waiting time.
    pub fn retain(&mut self, wanted: impl Fn(MemberId) -> bool) {
        self.deaths.retain(|id, _| wanted(*id));
    }

    /// Returns proof that the lease of `member` has expired permanently, `None` without a majority.
    ///
    /// Only votes with exactly the version of the set count. Otherwise a member that lags behind
    /// the log would count votes of lessors that the holder no longer renews with. The holder drops
    /// a set only once votes with its version can no longer form a majority.
    #[must_use]
    pub fn proof(&self, now: Time, member: &Member) -> Option<Proof> {
        let (votes, rest): (Vec<MemberId>, Vec<MemberId>) =
            member.lessors.iter().partition(|id| self.voted(member, **id));
        let lapsed: Vec<MemberId> = rest.into_iter().filter(|id| self.lapsed(now, *id)).collect();
        let enough = votes.len() + lapsed.len() >= majority(member.lessors.len());
        enough.then_some(Proof { version: member.version, votes, lapsed })
    }

    /// Returns true when the lease of `member` has expired permanently.
    #[must_use]
    pub fn expired(&self, now: Time, member: &Member) -> bool {
        member.phase == Phase::Dead || self.proof(now, member).is_some()
    }

    fn voted(&self, member: &Member, lessor: MemberId) -> bool {
        self.votes.get(&member.id).is_some_and(|votes| votes.contains(&(lessor, member.version)))
    }

    fn lapsed(&self, now: Time, lessor: MemberId) -> bool {
        self.deaths.get(&lessor).is_some_and(|read| now >= *read + self.settings.dead_vote_delay())
    }
}
