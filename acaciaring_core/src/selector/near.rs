//! Preference for members that cost less to reach while they have capacity.

use rand::Rng;

use super::{Selector, pick};
use crate::id::MemberId;
use crate::time::Time;

/// Load, as a fraction of capacity, below which a nearby member is preferred whatever its cost.
const NEAR_LOAD_LIMIT: f64 = 0.5;

/// Maximum ratio of a preferred member's latency to the mean latency.
const MAX_LATENCY_RATIO: f64 = 2.0;

/// The member of this process, with the load that its admission control counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalMember {
    /// Id of the member.
    pub member: MemberId,
    /// Requests in flight or waiting.
    pub busy: u32,
    /// Concurrency limit; 0 while the upstream sheds load.
    pub capacity: u32,
}

/// Candidates that are near this process.
#[derive(Debug, Clone, Copy, Default)]
pub struct NearbyMembers<'a> {
    /// Member of this process, if it serves the service.
    pub local: Option<LocalMember>,
    /// Members of the same data centre.
    pub others: &'a [MemberId],
}

/// Estimated load of a member and cost of one more request.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Load as a fraction of capacity.
    load: f64,
    cost: f64,
}

impl Selector {
    /// Selects among all like [`Selector::choose`], but prefers nearby members with capacity.
    ///
    /// A local request saves a network hop, one within the data centre saves traffic between data
    /// centres. Above a fraction of the capacity only the cost counts, so that new members
    /// elsewhere do not idle while the nearby ones are nearly full.
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
            // Only a probe shows that a slow member has become fast.
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

    /// Returns false for a member that is far slower than the mean.
    fn is_fast(&self, now: Time, member: MemberId) -> bool {
        self.latency(now, member) <= self.latency * MAX_LATENCY_RATIO
    }

    fn latency(&self, now: Time, member: MemberId) -> f64 {
        let known = self.peers.get(&member);
        known.map_or(self.latency, |peer| peer.latency(now, &self.settings, self.latency))
    }
}
