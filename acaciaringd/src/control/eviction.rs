//! Eviction of members that can no longer hold a lease.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use acaciaring_core::lease::Proof;
use acaciaring_core::state::{Member, Phase, State};
use acaciaring_core::{MemberId, Time};
use acaciaring_schema::log::{Evict, Vote, record};
use tracing::warn;

use super::Control;
use super::identity::Identity;
use super::proposal::Purpose;
use super::vote_recipients::vote_recipients;

/// Delay per rank, so that not every member that holds a proof proposes the eviction.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// Why a member may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EvictionReason {
    /// Votes prove that its lease has expired permanently.
    Proof,
    /// This process is a later one on its VM and address.
    Successor,
    /// It has no lessors, so it holds no lease.
    NoLessors,
}

/// Reason to evict each member, and since when it has held without interruption.
#[derive(Debug, Default)]
pub(super) struct EvictionReasons(HashMap<MemberId, (EvictionReason, Time)>);

impl EvictionReasons {
    /// Records the current reason to evict a member and returns since when it has held.
    ///
    /// Each reason has its own delay. Guards against an immediate eviction when the reason changes
    /// after a process restart: the surviving upstream still holds keys that another would be
    /// granted.
    fn since(&mut self, now: Time, member: MemberId, reason: Option<EvictionReason>) -> Time {
        let Some(reason) = reason else {
            self.0.remove(&member);
            return now;
        };
        let known = self.0.entry(member).or_insert((reason, now));
        if known.0 != reason {
            *known = (reason, now);
        }
        known.1
    }

    /// Removes a member.
    pub(super) fn forget(&mut self, member: MemberId) {
        self.0.remove(&member);
    }

    /// Removes all members.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

impl Control {
    /// Proposes the eviction of members for which a reason has held long enough.
    pub(super) fn evict(&mut self, now: Time) {
        let mut proposals = Vec::new();
        let Some(identity) = &self.identity else { return };
        for member in self.state.members() {
            if member.phase == Phase::Dead || member.id == identity.me {
                continue;
            }
            let found = self.eviction_reason(now, identity, member);
            let since =
                self.eviction_reasons.since(now, member.id, found.as_ref().map(|found| found.0));
            let Some((reason, evict)) = found else { continue };
            let delay = self.eviction_delay(reason) + RANK_DELAY * self.rank(reason, member);
            if now.since(since) >= delay {
                proposals.push(evict);
            }
        }
        for evict in proposals {
            let member = MemberId(evict.member);
            if self.proposals.propose(now, Purpose::Evict(member), record::Body::Evict(evict)) {
                warn!(%member, "member can no longer hold a lease, proposing its eviction");
            }
        }
    }

    /// Returns the reason to evict a member and the record for it, if there is one.
    fn eviction_reason(
        &self,
        now: Time,
        identity: &Identity,
        member: &Member,
    ) -> Option<(EvictionReason, Evict)> {
        if let Some(proof) = identity.tally.proof(now, member) {
            return Some((EvictionReason::Proof, eviction(member, &proof)));
        }
        if let Some(successor) = successor(&self.state, identity.me, member) {
            let evict = Evict { successor: successor.0, ..eviction(member, &no_proof(member)) };
            return Some((EvictionReason::Successor, evict));
        }
        let no_lessors = member.lessors.is_empty();
        no_lessors.then(|| (EvictionReason::NoLessors, eviction(member, &no_proof(member))))
    }

    /// Returns how long a reason must hold before the eviction is proposed.
    fn eviction_delay(&self, reason: EvictionReason) -> Duration {
        match reason {
            EvictionReason::Proof => Duration::ZERO,
            // Its last grant predates the successor, so its lease has expired by then.
            EvictionReason::Successor => self.context.lease.term * 2,
            EvictionReason::NoLessors => self.context.lease.abandon,
        }
    }

    /// Returns the members whose lease is proved expired and which are not yet evicted.
    pub(super) fn expired(&self, now: Time) -> HashSet<MemberId> {
        let Some(identity) = &self.identity else { return HashSet::new() };
        let live = self.state.members().filter(|member| member.phase != Phase::Dead);
        let expired = live.filter(|member| identity.tally.proof(now, member).is_some());
        expired.map(|member| member.id).collect()
    }

    /// Returns this member's position among those that may propose an eviction.
    fn rank(&self, reason: EvictionReason, member: &Member) -> u32 {
        if reason == EvictionReason::Successor {
            return 0;
        }
        let Some(identity) = &self.identity else { return u32::MAX >> 8 };
        let recipients = vote_recipients(&self.state, member.id);
        let rank = recipients.into_iter().position(|id| id == identity.me);
        let rank = rank.or_else(|| self.state.snapshot_rank(identity.me));
        rank.map_or(u32::MAX >> 8, |rank| u32::try_from(rank).unwrap_or(u32::MAX >> 8))
    }
}

/// Returns the local member `me` if it is a later one on the VM and address of a member.
///
/// Only the later process itself knows that it runs: the `Join` of a process that was killed may be
/// appended after that of the next one at its address, and would look like a successor of it.
fn successor(state: &State, me: MemberId, member: &Member) -> Option<MemberId> {
    let later = state.member(me).filter(|later| later.id > member.id);
    let same = later.filter(|later| later.vm == member.vm && later.peer == member.peer);
    same.map(|later| later.id)
}

/// Returns an empty proof, for evictions that need no votes.
fn no_proof(member: &Member) -> Proof {
    Proof { version: member.version, votes: Vec::new(), lapsed: Vec::new() }
}

fn eviction(member: &Member, proof: &Proof) -> Evict {
    let vote = |lessor: &MemberId| Vote {
        lessor: lessor.0,
        member: member.id.0,
        version: proof.version,
        newest: 0,
    };
    Evict {
        member: member.id.0,
        version: proof.version,
        votes: proof.votes.iter().map(vote).collect(),
        lapsed: proof.lapsed.iter().map(|id| id.0).collect(),
        successor: 0,
    }
}

#[cfg(test)]
mod tests;
