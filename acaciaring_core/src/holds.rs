//! Units that an upstream holds by grants in the replies to its heartbeats.
//!
//! The upstream runs a request only while it holds the request's unit. It reports the key ranges
//! that it holds, and each reply states all ranges that it is to hold and for how long. A unit may
//! pass to another member only once its upstream can no longer hold it.

mod epoch;
mod incarnation;
mod ranges;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::slice;
use std::time::Duration;

pub use self::epoch::Epoch;
pub use self::incarnation::{Incarnation, Incarnations, ReportOutcome};
pub use self::ranges::{Freed, Granted, Held, Room, Wanted};
use self::ranges::{lie_within, overlap, ranges, ranges_overlap};
use crate::id::{KeyHash, Name, Token, UnitId};
use crate::time::Time;

/// Time after which a reply that the upstream has not applied can no longer take effect.
///
/// An upstream ignores replies later than a second after its heartbeat; the rest is for transit.
const REPLY_TTL: Duration = Duration::from_millis(1100);

/// Time from a reply until the upstream applies a new grant.
const EFFECT_DELAY: Duration = Duration::from_millis(4);

/// Time after the first report from which reports are relied on.
///
/// The first report that a process sees may be delayed and date from before the upstream held keys.
const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Maximum relative drift between the clocks of this process and the upstream.
pub(crate) const CLOCK_DRIFT: f64 = 0.03;

/// Minimum duration of a grant; shorter ones are not sent.
pub(crate) const MIN_GRANT: Duration = Duration::from_millis(100);

/// Maximum number of released ranges kept.
const MAX_FREED: usize = 1024;

/// Grant of a unit that the upstream may hold.
#[derive(Debug, Clone)]
struct UnitGrant {
    token: Token,
    keys: Vec<RangeInclusive<u32>>,
    /// When the upstream has applied it.
    effective: Time,
    /// When a reply last included it.
    last_sent: Time,
    /// True when the last reply included it.
    current: bool,
    /// True when the upstream refused a request for the unit and has not reported it as held since.
    refused: bool,
}

/// Grants to the upstream of this member and the key ranges that it reports as held.
#[derive(Debug, Clone)]
pub struct Holds {
    /// Maximum duration of a grant.
    hold: Duration,
    incarnations: Incarnations,
    epoch: Epoch,
    reported: Vec<Held>,
    grants: BTreeMap<UnitId, UnitGrant>,
    /// Former grants of units whose keys have changed, which the upstream may have applied.
    replaced: Vec<UnitGrant>,
    freed: Vec<Freed>,
    /// Time at which everything held expires unless it is granted again.
    held_until: Time,
    /// Time from which the upstream may have stopped holding what the last reply granted.
    expiry: Time,
    /// Times at which grants take effect, sorted and without duplicates.
    effect_times: Vec<Time>,
}

impl Holds {
    /// Creates the state for an upstream of which nothing is known.
    ///
    /// It may hold any keys by grants of an earlier process, for the maximum duration of a grant.
    #[must_use]
    pub fn new(now: Time, hold: Duration) -> Self {
        Self {
            hold,
            incarnations: Incarnations::new(now),
            epoch: Epoch::default(),
            reported: Vec::new(),
            grants: BTreeMap::new(),
            replaced: Vec::new(),
            freed: Vec::new(),
            held_until: now + hold.mul_f64(1.0 + CLOCK_DRIFT),
            expiry: now,
            effect_times: Vec::new(),
        }
    }

    /// Sets the time between two heartbeats of the upstream.
    #[must_use]
    pub const fn with_beat(mut self, beat: Duration) -> Self {
        self.incarnations.set_beat(beat);
        self
    }

    /// Returns the current incarnation of the upstream.
    #[must_use]
    pub const fn incarnation(&self) -> Option<&Incarnation> {
        self.incarnations.current()
    }

    /// Returns the incarnations of the upstream.
    #[must_use]
    pub const fn incarnations(&self) -> &Incarnations {
        &self.incarnations
    }

    /// Returns the incarnations of the upstream.
    #[must_use]
    pub const fn incarnations_mut(&mut self) -> &mut Incarnations {
        &mut self.incarnations
    }

    /// Handles a heartbeat of the upstream with the ranges that it holds and has released.
    pub fn report(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        sequence: u64,
        held: Vec<Held>,
        freed: Vec<Freed>,
    ) -> ReportOutcome {
        let report = self.incarnations.report(now, incarnation, sequence);
        match report {
            ReportOutcome::Stale => return report,
            ReportOutcome::NewIncarnation => self.restarted(now),
            ReportOutcome::Current => {}
        }
        self.reported = held;
        self.freed.extend(freed);
        if !self.reported.is_empty() && self.grants.is_empty() {
            // Granted by an earlier process, whose grants last no longer than those of this one.
            self.held_until = self.held_until.max(now + self.hold.mul_f64(1.0 + CLOCK_DRIFT));
        }
        self.prune(now);
        report
    }

    /// Returns true while the upstream may hold any keys.
    #[must_use]
    pub fn may_hold_any(&self, now: Time) -> bool {
        now < self.held_until
            && (self.is_unknown() || !self.reported.is_empty() || !self.grants.is_empty())
    }

    fn restarted(&mut self, now: Time) {
        self.epoch.raise(now);
        self.reported.clear();
        self.grants.clear();
        self.replaced.clear();
        self.freed.clear();
    }

    /// Returns the ranges to grant that fit and their duration, `None` for too short a lease.
    ///
    /// Units granted before take precedence over new ones, so that a lack of room does not make
    /// units alternate. The grant expires before `lease`, the expiry of this member's lease, even
    /// if the clock of the upstream is slow.
    pub fn grant(
        &mut self,
        now: Time,
        lease: Time,
        wanted: &[Wanted],
        room: Room,
    ) -> Option<(Vec<Granted>, Duration)> {
        let hold = lease.since(now).mul_f64(1.0 / (1.0 + CLOCK_DRIFT)).min(self.hold);
        if hold < MIN_GRANT {
            return None;
        }
        let known = |wanted: &&Wanted| self.grants.contains_key(&wanted.unit);
        let (mut units, new): (Vec<&Wanted>, Vec<&Wanted>) = wanted.iter().partition(known);
        units.extend(new);
        let epoch = self.epoch;
        let fenced = |units: &[&Wanted]| {
            let mut granted = ranges(units);
            for range in &mut granted {
                range.token = epoch.fence(range.token);
            }
            granted
        };
        let mut granted = fenced(&units);
        if !room.fits(&granted) {
            // The ranges grow with the units, except where a unit joins two ranges.
            let fits = |count: &usize| room.fits(&fenced(&units[..*count]));
            let counts: Vec<usize> = (0..=units.len()).collect();
            units.truncate(counts.partition_point(fits) - 1);
            granted = fenced(&units);
        }
        for grant in self.grants.values_mut() {
            grant.current = false;
        }
        for unit in &units {
            self.grant_unit(now, unit);
        }
        self.effect_times = self.grants.values().map(|grant| grant.effective).collect();
        self.effect_times.sort_unstable();
        self.effect_times.dedup();
        self.held_until = self.held_until.max(now + hold.mul_f64(1.0 + CLOCK_DRIFT));
        // The upstream counts from when it sent its heartbeat, shortly before this process got it.
        self.expiry = self.incarnations.last_report() + hold.saturating_sub(EFFECT_DELAY);
        Some((granted, hold))
    }

    fn grant_unit(&mut self, now: Time, wanted: &Wanted) {
        let held = self.is_reported(&wanted.keys, self.epoch.fence(wanted.token));
        let effective = if held { now } else { now + EFFECT_DELAY };
        let grant = self.grants.entry(wanted.unit).or_insert(UnitGrant {
            token: wanted.token,
            keys: wanted.keys.clone(),
            effective,
            last_sent: now,
            current: true,
            refused: false,
        });
        if grant.token != wanted.token || grant.keys != wanted.keys {
            grant.effective = effective;
        }
        if grant.keys != wanted.keys {
            self.replaced.push(grant.clone());
        }
        grant.token = wanted.token;
        grant.keys.clone_from(&wanted.keys);
        grant.last_sent = now;
        grant.current = true;
        grant.refused &= !held;
    }

    /// Returns true while the upstream holds a unit under `token` and runs requests for it.
    #[must_use]
    pub fn serves(&self, now: Time, unit: UnitId, token: Token) -> bool {
        let valid = |grant: &UnitGrant| {
            grant.current && !grant.refused && grant.token == token && now >= grant.effective
        };
        now < self.expiry && self.grants.get(&unit).is_some_and(valid)
    }

    /// Returns when the next grant takes effect or all expire, `None` when neither is ahead.
    #[must_use]
    pub fn next_effect(&self, now: Time) -> Option<Time> {
        let times = self.effect_times.iter().copied().chain([self.expiry]);
        times.filter(|time| now < *time).min()
    }

    /// Records that the upstream has refused a request for a unit that it should hold.
    ///
    /// The unit is not served until a heartbeat reports it as held. Otherwise, after a lost grant,
    /// each request for the unit would be sent and refused repeatedly.
    pub fn mark_refused(&mut self, unit: UnitId) {
        if let Some(grant) = self.grants.get_mut(&unit) {
            grant.refused = true;
        }
    }

    /// Returns true while the upstream may hold any key of a unit, by this or an earlier process.
    #[must_use]
    pub fn may_hold(&self, now: Time, unit: UnitId, keys: &[RangeInclusive<u32>]) -> bool {
        if now >= self.held_until {
            return false;
        }
        let reported = overlap(keys, &self.reported);
        self.is_unknown() || reported || self.is_granted(unit, keys)
    }

    /// Returns true when a grant of the unit, or one of its slot with any of its keys, may be in
    /// force.
    ///
    /// A hot key is granted with its slot until the reply after its split.
    fn is_granted(&self, unit: UnitId, keys: &[RangeInclusive<u32>]) -> bool {
        let last = UnitId { slot: unit.slot, key: Some(KeyHash(u64::MAX)) };
        let slot = self.grants.range(UnitId::slot(unit.slot)..=last).map(|(_, grant)| grant);
        let mut grants = slot.chain(&self.replaced);
        self.grants.contains_key(&unit) || grants.any(|grant| ranges_overlap(&grant.keys, keys))
    }

    /// Returns true while the reports do not reliably state what the upstream holds.
    ///
    /// Guards against a delayed report to a restarted process, which would pass on units that the
    /// upstream still holds by grants of the earlier process.
    fn is_unknown(&self) -> bool {
        let soon = self.incarnations.current().is_none()
            || self.incarnations.report_span() < CONFIRM_PERIOD;
        !self.incarnations.was_replaced() && soon
    }

    /// Returns the handover value that the upstream gave when it released keys, or an empty one.
    #[must_use]
    pub fn handover(&self, keys: &[RangeInclusive<u32>]) -> Name {
        let freed = self.freed.iter().rev().find(|freed| lie_within(keys, freed.first, freed.last));
        freed.map_or_else(|| Name::from(""), |freed| Name::clone(&freed.handover))
    }

    /// Removes grants of units that the upstream has released or never applied.
    fn prune(&mut self, now: Time) {
        let (reported, freed) = (&self.reported, &self.freed);
        self.grants.retain(|_, grant| {
            let held = overlap(&grant.keys, reported);
            let released =
                freed.iter().any(|freed| lie_within(&grant.keys, freed.first, freed.last));
            let taken = now.since(grant.last_sent) < REPLY_TTL;
            held || grant.current || (taken && !released)
        });
        self.replaced.retain(|grant| now.since(grant.last_sent) < REPLY_TTL);
        // Ranges that are held again are no longer released.
        self.freed.retain(|freed| !overlap(&[freed.first..=freed.last], reported));
        let excess = self.freed.len().saturating_sub(MAX_FREED);
        self.freed.drain(..excess);
    }

    fn is_reported(&self, keys: &[RangeInclusive<u32>], token: Token) -> bool {
        keys.iter().all(|keys| {
            let keys = slice::from_ref(keys);
            let covers =
                |held: &Held| lie_within(keys, held.first, held.last) && held.token == token;
            self.reported.iter().any(covers)
        })
    }
}
