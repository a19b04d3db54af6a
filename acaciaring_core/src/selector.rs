//! Selection of a member for a request of a service that is not partitioned by key.
//!
//! Power of two choices: of two members drawn at random, the one with the lower expected cost, load
//! times latency, is selected. Load reports lag, so requests sent since the report are added. A
//! member that has not been tried for long is probed regardless of its cost. Health endpoints of
//! upstreams are not used because they can report healthy while requests fail. Nearby members are
//! preferred while they have capacity.

mod near;
mod peer;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

pub use self::near::{LocalMember, NearbyMembers};
use self::peer::Peer;
use crate::id::MemberId;
use crate::time::Time;

/// Random draws before all candidates are scanned.
const MAX_DRAWS: usize = 8;

/// Settings of member selection.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectorSettings {
    /// Concurrency limit assumed before the first report.
    pub slots: u32,
    /// Latency assumed before the first answer.
    pub latency: Duration,
    /// Time in which a report or an unconfirmed latency loses half of its weight.
    pub half_life: Duration,
    /// Time in which a cold member reaches its full share.
    pub ramp: Duration,
    /// Initial share of a cold member.
    pub initial_share: f64,
    /// Time for which a member is ejected after a failure; it doubles with each consecutive one.
    pub base_ejection: Duration,
    /// Maximum ejection time.
    pub max_ejection: Duration,
}

impl Default for SelectorSettings {
    fn default() -> Self {
        Self {
            slots: 20,
            latency: Duration::from_millis(10),
            half_life: Duration::from_secs(2),
            ramp: Duration::from_secs(10),
            initial_share: 0.1,
            base_ejection: Duration::from_millis(200),
            max_ejection: Duration::from_secs(5),
        }
    }
}

/// How a request that was sent to a member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete answer after this time.
    Answered(Duration),
    /// Refused without running, with the retry delay that the member gave.
    Refused(Option<Duration>),
    /// No complete answer, or no connection.
    Failed,
    /// Cancelled by the caller after this time, which is a lower bound of the latency.
    Cancelled(Duration),
}

/// Load and latency of the members of one service, and the selection among them.
#[derive(Debug)]
pub struct Selector {
    settings: SelectorSettings,
    peers: HashMap<MemberId, Peer>,
    /// Smoothed latency over all members, in seconds.
    latency: f64,
}

impl Selector {
    /// Returns a selector without members.
    #[must_use]
    pub fn new(settings: SelectorSettings) -> Self {
        let latency = settings.latency.as_secs_f64();
        Self { settings, peers: HashMap::new(), latency }
    }

    /// Adds a member; a cold one ramps up from a small share.
    pub fn join(&mut self, now: Time, member: MemberId, cold: bool) {
        let peer = Peer::new(now, &self.settings, cold);
        self.peers.entry(member).or_insert(peer);
    }

    /// Removes a member.
    pub fn leave(&mut self, member: MemberId) {
        self.peers.remove(&member);
    }

    /// Records a load report: requests in flight or waiting, and the concurrency limit.
    pub fn report(&mut self, now: Time, member: MemberId, busy: u32, capacity: u32) {
        self.peer(now, member).report(now, busy, capacity);
    }

    /// Records that a member sheds load for `retry`.
    pub fn shed(&mut self, now: Time, member: MemberId, retry: Duration) {
        self.peer(now, member).back_off_until(now + retry);
    }

    /// Records that a request is sent to a member.
    pub fn sent(&mut self, now: Time, member: MemberId) {
        self.peer(now, member).sent(now);
    }

    /// Records how a request ended; must be called once for each [`Selector::sent`].
    pub fn done(&mut self, now: Time, member: MemberId, outcome: Outcome) {
        let mean_latency = self.latency;
        let Some(peer) = self.peers.get_mut(&member) else { return };
        peer.done(now, outcome, &self.settings, mean_latency);
        if let Outcome::Answered(took) = outcome {
            self.latency += (took.as_secs_f64() - self.latency) / 32.0;
        }
    }

    /// Selects a member; `None` when each candidate is excluded or sheds load.
    ///
    /// If all others are ejected, one of those is selected nevertheless: the failures may be local
    /// to this process, and ejecting every member would turn them into an outage.
    pub fn choose(
        &self,
        now: Time,
        rng: &mut impl Rng,
        candidates: &[MemberId],
        exclude: &[MemberId],
    ) -> Option<MemberId> {
        let available = |id: &MemberId| !exclude.contains(id) && self.available(now, *id);
        let first = pick(rng, candidates, available);
        let Some(first) = first else {
            let usable = |id: &MemberId| !exclude.contains(id) && !self.shedding(now, *id);
            return pick(rng, candidates, usable);
        };
        let second = pick(rng, candidates, |id| *id != first && available(id));
        match second {
            Some(second) if self.prefers(now, second, first) => Some(second),
            _ => Some(first),
        }
    }

    /// Returns true when `one` is to get the next request rather than `other`.
    fn prefers(&self, now: Time, one: MemberId, other: MemberId) -> bool {
        match (self.probe_due(now, one), self.probe_due(now, other)) {
            (true, false) => true,
            (false, true) => false,
            _ => self.cost(now, one) < self.cost(now, other),
        }
    }

    fn probe_due(&self, now: Time, member: MemberId) -> bool {
        self.peers
            .get(&member)
            .is_some_and(|peer| peer.probe_due(now, &self.settings, self.latency))
    }

    /// Returns the time until the first of the candidates that shed load may be tried again.
    #[must_use]
    pub fn retry_after(&self, now: Time, candidates: &[MemberId]) -> Option<Duration> {
        let peers = candidates.iter().filter_map(|id| self.peers.get(id));
        peers.filter_map(|peer| peer.retry_after(now)).min()
    }

    /// Returns the expected cost of one more request at a member, for comparison only.
    fn cost(&self, now: Time, member: MemberId) -> f64 {
        match self.peers.get(&member) {
            Some(peer) => peer.cost(now, &self.settings, self.latency),
            None => self.latency / f64::from(self.settings.slots),
        }
    }

    fn available(&self, now: Time, member: MemberId) -> bool {
        self.peers.get(&member).is_none_or(|peer| peer.available(now))
    }

    fn shedding(&self, now: Time, member: MemberId) -> bool {
        self.peers.get(&member).is_some_and(|peer| peer.shedding(now))
    }

    fn peer(&mut self, now: Time, member: MemberId) -> &mut Peer {
        let settings = &self.settings;
        self.peers.entry(member).or_insert_with(|| Peer::new(now, settings, false))
    }
}

/// Draws a candidate that passes; scans all of them only after several failed draws.
fn pick(
    rng: &mut impl Rng,
    candidates: &[MemberId],
    passes: impl Fn(&MemberId) -> bool,
) -> Option<MemberId> {
    if candidates.is_empty() {
        return None;
    }
    for _ in 0..MAX_DRAWS {
        let id = candidates[rng.random_range(0..candidates.len())];
        if passes(&id) {
            return Some(id);
        }
    }
    let left: Vec<_> = candidates.iter().filter(|id| passes(id)).collect();
    if left.is_empty() { None } else { Some(*left[rng.random_range(0..left.len())]) }
}
