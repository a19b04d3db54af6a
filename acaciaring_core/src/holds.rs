//! What an upstream holds by grant: it runs a request only while it holds the request's unit.
//!
//! The upstream reports what it holds, and each reply says all that it is to hold and for how
//! long. A unit may pass to another member only once its upstream surely holds it no more.

mod epoch;
mod incarnation;
mod ranges;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::slice;
use std::time::Duration;

pub use self::epoch::Epoch;
pub use self::incarnation::{Incarnation, Incarnations, ReportOutcome};
pub use self::ranges::{Freed, Granted, Held, Wanted};
use self::ranges::{lie_within, overlap, ranges};
use crate::id::{Name, Token, UnitId};
use crate::time::Time;

/// Time after which a reply that the upstream has not taken has no effect any more.
///
/// An upstream takes a reply within a second of its report or not at all; the rest is for the way.
const REPLY_TTL: Duration = Duration::from_millis(1100);

/// Time from a reply until the upstream acts on what it was newly given.
const EFFECT_DELAY: Duration = Duration::from_millis(4);

/// Time from the first report until what a second one says is believed.
///
/// The first report that a process sees may be one that was held up for seconds, from before the
/// upstream held anything.
const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Part of its own time by which the clock of the upstream may run slow, with a reserve.
pub(crate) const CLOCK_DRIFT: f64 = 0.03;

/// Shortest time for which a grant is worth its reply.
pub(crate) const MIN_GRANT: Duration = Duration::from_millis(100);

/// Released ranges that are remembered.
const MAX_FREED: usize = 1024;

/// Unit that the upstream may hold.
#[derive(Debug, Clone)]
struct UnitGrant {
    token: Token,
    keys: Vec<RangeInclusive<u32>>,
    /// When the upstream acts on it.
    effective: Time,
    /// When a reply last contained it.
    last_sent: Time,
    /// True while the last reply contained it.
    current: bool,
    /// True when the upstream has refused a request for it, and no report has said since that it is held.
    refused: bool,
}

/// What the upstream beside this member holds.
#[derive(Debug, Clone)]
pub struct Holds {
    /// Longest time for which a grant is given.
    hold: Duration,
    incarnations: Incarnations,
    epoch: Epoch,
    reported: Vec<Held>,
    grants: BTreeMap<UnitId, UnitGrant>,
    freed: Vec<Freed>,
    /// Time from which nothing is held that is not given anew.
    held_until: Time,
    /// Time from which the upstream may have let go what it was given last.
    expiry: Time,
    /// When what was given last takes effect, each time once.
    effect_times: Vec<Time>,
}

impl Holds {
    /// Makes a record of an upstream of which nothing is known.
    ///
    /// It may hold what a former process has given, for as long as any grant lasts.
    #[must_use]
    pub fn new(now: Time, hold: Duration) -> Self {
        Self {
            hold,
            incarnations: Incarnations::new(now),
            epoch: Epoch::default(),
            reported: Vec::new(),
            grants: BTreeMap::new(),
            freed: Vec::new(),
            held_until: now + hold.mul_f64(1.0 + CLOCK_DRIFT),
            expiry: now,
            effect_times: Vec::new(),
        }
    }

    /// Returns the present start of the upstream.
    #[must_use]
    pub const fn incarnation(&self) -> Option<&Incarnation> {
        self.incarnations.current()
    }

    /// Takes in a report.
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
            // Given by a former process; its grants last no longer than any of this one.
            self.held_until = self.held_until.max(now + self.hold.mul_f64(1.0 + CLOCK_DRIFT));
        }
        self.prune(now);
        report
    }

    /// Returns true while the upstream may hold anything.
    #[must_use]
    pub fn may_hold_any(&self, now: Time) -> bool {
        now < self.held_until
            && (self.is_unknown() || !self.reported.is_empty() || !self.grants.is_empty())
    }

    fn restarted(&mut self, now: Time) {
        self.epoch.raise(now);
        self.reported.clear();
        self.grants.clear();
        self.freed.clear();
    }

    /// Decides what the upstream is to hold, at most `room` ranges; `None` renews nothing.
    ///
    /// What it holds already goes before what is new, so that a lack of room moves nothing to
    /// and fro. The grant ends with the lease of this member, on a slow clock of the upstream too.
    pub fn grant(
        &mut self,
        now: Time,
        lease: Time,
        wanted: &[Wanted],
        room: usize,
    ) -> Option<(Vec<Granted>, Duration)> {
        let hold = lease.since(now).mul_f64(1.0 / (1.0 + CLOCK_DRIFT)).min(self.hold);
        if hold < MIN_GRANT {
            return None;
        }
        let known = |wanted: &&Wanted| self.grants.contains_key(&wanted.unit);
        let (mut units, new): (Vec<&Wanted>, Vec<&Wanted>) = wanted.iter().partition(known);
        units.extend(new);
        let mut granted = ranges(&units);
        if granted.len() > room {
            // More units never make fewer rows, but for those that close a gap between two.
            let fits = |count: &usize| ranges(&units[..*count]).len() <= room;
            let counts: Vec<usize> = (0..=units.len()).collect();
            units.truncate(counts.partition_point(fits) - 1);
            granted = ranges(&units);
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
        // The upstream counts from the sending of its report, a moment before it was heard.
        self.expiry = self.incarnations.last_report() + hold.saturating_sub(EFFECT_DELAY);
        for range in &mut granted {
            range.token = self.epoch.fence(range.token);
        }
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
        grant.token = wanted.token;
        grant.keys.clone_from(&wanted.keys);
        grant.last_sent = now;
        grant.current = true;
        grant.refused &= !held;
    }

    /// Returns true while the upstream runs requests for a unit under a token.
    #[must_use]
    pub fn serves(&self, now: Time, unit: UnitId, token: Token) -> bool {
        let valid = |grant: &UnitGrant| {
            grant.current && !grant.refused && grant.token == token && now >= grant.effective
        };
        now < self.expiry && self.grants.get(&unit).is_some_and(valid)
    }

    /// Returns when the next grant takes effect or all lapse, none when neither is to come.
    #[must_use]
    pub fn next_effect(&self, now: Time) -> Option<Time> {
        let times = self.effect_times.iter().copied().chain([self.expiry]);
        times.filter(|time| now < *time).min()
    }

    /// Notes that the upstream has refused a request for a unit that it should hold.
    ///
    /// Guards against a grant that it has not taken: each request for the unit would be sent and
    /// refused again, as often as there is time for. The unit is served again once a report
    /// says that it is held.
    pub fn mark_refused(&mut self, unit: UnitId) {
        if let Some(grant) = self.grants.get_mut(&unit) {
            grant.refused = true;
        }
    }

    /// Returns true while the upstream may hold keys of a unit, by grants of this process or a former one.
    #[must_use]
    pub fn may_hold(&self, now: Time, unit: UnitId, keys: &[RangeInclusive<u32>]) -> bool {
        if now >= self.held_until {
            return false;
        }
        let reported = overlap(keys, &self.reported);
        self.is_unknown() || reported || self.grants.contains_key(&unit)
    }

    /// Returns true while no report says for sure what the upstream holds.
    ///
    /// Guards against a process that starts beside a living upstream and sees a report that was
    /// held up: it would pass on at once what the upstream still holds by the former process.
    fn is_unknown(&self) -> bool {
        let soon = self.incarnations.current().is_none()
            || self.incarnations.report_span() < CONFIRM_PERIOD;
        !self.incarnations.was_replaced() && soon
    }

    /// Returns what the upstream gave out when it released keys, empty when it gave nothing.
    #[must_use]
    pub fn handover(&self, keys: &[RangeInclusive<u32>]) -> Name {
        let freed = self.freed.iter().rev().find(|freed| lie_within(keys, freed.first, freed.last));
        freed.map_or_else(|| Name::from(""), |freed| Name::clone(&freed.handover))
    }

    /// Forgets units that the upstream has released, or never took.
    fn prune(&mut self, now: Time) {
        let (reported, freed) = (&self.reported, &self.freed);
        self.grants.retain(|_, grant| {
            let held = overlap(&grant.keys, reported);
            let released =
                freed.iter().any(|freed| lie_within(&grant.keys, freed.first, freed.last));
            let taken = now.since(grant.last_sent) < REPLY_TTL;
            held || grant.current || (taken && !released)
        });
        // What is held again was not released for good.
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
