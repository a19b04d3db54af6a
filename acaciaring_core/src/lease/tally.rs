//! Votes about other members.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{MemberId, Offset};
use crate::lease::{LeaseSettings, Proof};
use crate::state::{Member, Phase, majority};
use crate::time::Time;

/// Votes collected by one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Tally {
    settings: LeaseSettings,
    /// Lessors that voted on each member, with the versions of their votes.
    votes: BTreeMap<MemberId, BTreeSet<(MemberId, Offset)>>,
    /// When each dead member was read as dead.
    deaths: BTreeMap<MemberId, Time>,
}

impl Tally {
    /// Makes a tally without votes.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self { settings, votes: BTreeMap::new(), deaths: BTreeMap::new() }
    }

    /// Takes in a vote.
    pub fn vote(&mut self, lessor: MemberId, member: MemberId, version: Offset) {
        if !self.deaths.contains_key(&member) {
            self.votes.entry(member).or_default().insert((lessor, version));
        }
    }

    /// Notes that `member` was read as dead in the log at `now`.
    pub fn record_death(&mut self, now: Time, member: MemberId) {
        self.deaths.entry(member).or_insert(now);
        self.votes.remove(&member);
    }

    /// Forgets dead members for which `wanted` is false, for example those in no lessor set.
    ///
    /// Forgetting is safe at any time: a death that is noted again waits anew.
    pub fn retain(&mut self, wanted: impl Fn(MemberId) -> bool) {
        self.deaths.retain(|id, _| wanted(*id));
    }

    /// Returns the proof that the lease of `member` is over for good, none while there is no majority.
    ///
    /// Only votes with the very version of the set count. Failure: old lessors
    /// that the holder no longer asks vote, and a member that lags behind the
    /// log counts them; a holder drops a set only when that can make no majority.
    #[must_use]
    pub fn proof(&self, now: Time, member: &Member) -> Option<Proof> {
        let (votes, rest): (Vec<MemberId>, Vec<MemberId>) =
            member.lessors.iter().partition(|id| self.voted(member, **id));
        let lapsed: Vec<MemberId> = rest.into_iter().filter(|id| self.lapsed(now, *id)).collect();
        let enough = votes.len() + lapsed.len() >= majority(member.lessors.len());
        enough.then_some(Proof { version: member.version, votes, lapsed })
    }

    /// Returns true when the lease of `member` is over for good.
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
