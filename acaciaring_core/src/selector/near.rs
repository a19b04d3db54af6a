//! Members that cost less to reach than others, and take a request as long as they have room.

use rand::Rng;

use super::{Selector, pick};
use crate::id::MemberId;
use crate::time::Time;

/// Part of its capacity up to which a member that is near is preferred whatever others have free.
const NEAR_LOAD_LIMIT: f64 = 0.5;

/// Times the latency over all members that a member may have and still be preferred.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// The member of the choosing process itself, and its load as its gate counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalMember {
    /// Its identity.
    pub member: MemberId,
    /// Requests at the upstream or waiting for it.
    pub busy: u32,
    /// Requests that may run at once; 0 while the upstream asks to be left alone.
    pub capacity: u32,
}

/// Candidates that are near the choosing process.
#[derive(Debug, Clone, Copy, Default)]
pub struct NearbyMembers<'a> {
    /// The process's own member, where it serves the service.
    pub local: Option<LocalMember>,
    /// Members of the same data centre.
    pub others: &'a [MemberId],
}

/// What one more request means for a member.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Part of its capacity that is in use.
    load: f64,
    cost: f64,
}

impl Selector {
    /// Chooses among all like [`Selector::choose`], but prefers what is near as long as it has room.
    ///
    /// A request that stays needs no second process, and one that goes to a neighbour no bytes
    /// between data centres. Beyond a part of the capacity only the cost counts: else a newcomer
    /// elsewhere would idle while those before it are nearly full.
    pub fn choose_near(
        &self,
        now: Time,
        rng: &mut impl Rng,
        near: NearbyMembers<'_>,
        candidates: &[MemberId],
        exclude: &[MemberId],
    ) -> Option<MemberId> {
        let any = self.choose(now, rng, candidates, exclude)?;
        if !self.is_fast(now, any) && self.probe_due(now, any) {
            // Nothing else would show that it has become fast.
            return Some(any);
        }
        let max_cost = self.estimate(now, any).cost;
        let fits = |id: MemberId, estimate: Estimate| {
            let has_capacity = estimate.load < NEAR_LOAD_LIMIT || estimate.cost <= max_cost;
            let available = !exclude.contains(&id) && self.available(now, id);
            has_capacity && available && (self.is_fast(now, id) || self.probe_due(now, id))
        };
        if let Some(own) = near.local.filter(|own| fits(own.member, self.estimate_local(now, *own)))
        {
            return Some(own.member);
        }
        let passes = |id: &MemberId| fits(*id, self.estimate(now, *id));
        let Some(first) = pick(rng, near.others, passes) else { return Some(any) };
        let second = pick(rng, near.others, |id| *id != first && passes(id));
        Some(second.filter(|second| self.prefers(now, *second, first)).unwrap_or(first))
    }

    fn estimate(&self, now: Time, member: MemberId) -> Estimate {
        let load = self.peers.get(&member).map_or(0.0, |peer| peer.load(now, &self.settings));
        Estimate { load, cost: self.cost(now, member) }
    }

    fn estimate_local(&self, now: Time, own: LocalMember) -> Estimate {
        let (busy, capacity) = (f64::from(own.busy), f64::from(own.capacity));
        Estimate {
            load: busy / capacity,
            cost: self.latency(now, own.member) * (busy + 1.0) / capacity,
        }
    }

    /// Returns false for a member that is slower than others by far.
    fn is_fast(&self, now: Time, member: MemberId) -> bool {
        self.latency(now, member) <= self.latency * MAX_LATENCY_RATIO
    }

    fn latency(&self, now: Time, member: MemberId) -> f64 {
        let known = self.peers.get(&member);
        known.map_or(self.latency, |peer| peer.latency(now, &self.settings, self.latency))
    }
}
