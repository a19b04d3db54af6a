//! Choice of a member for a request of a service that is not divided by key.
//!
//! Of two members drawn at random the one with the lower expected cost is taken: load times latency.
//! Load comes from reports of the process beside the upstream, which lag, so requests sent since the
//! report are added. One that was not tried for long is tried whatever it costs. Health and load
//! endpoints of upstreams play no part, they mislead. What is near goes first while it has room.

mod near;
mod peer;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

pub use self::near::{LocalMember, NearbyMembers};
use self::peer::Peer;
use crate::id::MemberId;
use crate::time::Time;

/// Draws before all candidates are looked through.
const MAX_DRAWS: usize = 8;

/// Settings of the choice among members.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectorSettings {
    /// Slots that are assumed before the first report.
    pub slots: u32,
    /// Latency that is assumed before the first answer.
    pub latency: Duration,
    /// Time in which a report, or a latency that is not confirmed, loses half of its weight.
    pub half_life: Duration,
    /// Time in which a cold member comes to its full share.
    pub ramp: Duration,
    /// Share with which a cold member starts.
    pub initial_share: f64,
    /// Time for which a member is left alone after a failure; it doubles with each further one.
    pub base_ejection: Duration,
    /// Longest time for which a member is left alone after failures.
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
    /// Whole answer after this time.
    Answered(Duration),
    /// Refused as not run, with the time after which to come back where the member named one.
    Refused(Option<Duration>),
    /// No whole answer, or no connection.
    Failed,
    /// Given up by the caller; says nothing about the member but that it took at least this long.
    Cancelled(Duration),
}

/// What is known of the members that may answer for one service.
#[derive(Debug)]
pub struct Selector {
    settings: SelectorSettings,
    peers: HashMap<MemberId, Peer>,
    /// Smoothed latency over all members, in seconds.
    latency: f64,
}

impl Selector {
    /// Returns a choice that knows no member.
    #[must_use]
    pub fn new(settings: SelectorSettings) -> Self {
        let latency = settings.latency.as_secs_f64();
        Self { settings, peers: HashMap::new(), latency }
    }

    /// Notes a new member; a cold one gets little at first.
    pub fn join(&mut self, now: Time, member: MemberId, cold: bool) {
        let peer = Peer::new(now, &self.settings, cold);
        self.peers.entry(member).or_insert(peer);
    }

    /// Forgets a member that is gone.
    pub fn leave(&mut self, member: MemberId) {
        self.peers.remove(&member);
    }

    /// Notes what a member reports: requests in flight and waiting, and how many may run at once.
    pub fn report(&mut self, now: Time, member: MemberId, busy: u32, capacity: u32) {
        self.peer(now, member).report(now, busy, capacity);
    }

    /// Notes that a member asks to be left alone for `retry`.
    pub fn shed(&mut self, now: Time, member: MemberId, retry: Duration) {
        self.peer(now, member).back_off_until(now + retry);
    }

    /// Notes that a request goes to a member.
    pub fn sent(&mut self, now: Time, member: MemberId) {
        self.peer(now, member).sent(now);
    }

    /// Notes how a request ended; to be called once for each [`Selector::sent`].
    pub fn done(&mut self, now: Time, member: MemberId, outcome: Outcome) {
        let mean_latency = self.latency;
        let Some(peer) = self.peers.get_mut(&member) else { return };
        peer.done(now, outcome, &self.settings, mean_latency);
        if let Outcome::Answered(took) = outcome {
            self.latency += (took.as_secs_f64() - self.latency) / 32.0;
        }
    }

    /// Chooses a member; `None` when each candidate is excluded or asks to be left alone.
    ///
    /// When failures have put all others into quarantine, one of those is taken all the same: the
    /// failures may be this process's own, and callers would see an outage that is none.
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

    /// Returns true when a member is to get the next request rather than another one.
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

    /// Returns when the first of the candidates that ask to be left alone may be tried again.
    #[must_use]
    pub fn retry_after(&self, now: Time, candidates: &[MemberId]) -> Option<Duration> {
        let peers = candidates.iter().filter_map(|id| self.peers.get(id));
        peers.filter_map(|peer| peer.retry_after(now)).min()
    }

    /// Returns the expected cost of one more request at a member; only its order has a meaning.
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

/// Draws a candidate that passes; looks through all of them only when a few draws fail.
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
