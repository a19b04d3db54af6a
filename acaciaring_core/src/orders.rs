//! What an upstream holds by order: each grant and each release is a call to it.
//!
//! An order may stay without answer and be carried out seconds later, after newer ones. So each
//! range has two bounds: until when the upstream may hold it by what it has answered, which a
//! release ends, and by what it has not answered, which nothing ends but time.

mod order;
mod runs;
mod segment;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

pub use self::order::{Action, Answer, Completion, Issued, Order};
use self::runs::{Run, grants, releases};
use self::segment::{Segment, Segments};
use crate::holds::{DRIFT, Epoch, Incarnation, Incarnations, LEAST, ReportOutcome, Wanted};
use crate::id::{Name, Token};
use crate::time::Time;

/// Time from the decision on an order until it is given up without answer.
///
/// The upstream is on the same VM and answers within milliseconds. The time is taken off what a
/// grant may last, for the upstream counts from the arrival.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Grants under way at once, and releases under way at once.
///
/// Each takes a connection; those that wait without answer must not hold up the others.
const MAX_IN_FLIGHT: usize = 8;

/// Time until an order that was not taken is given again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time until an order that was rejected is given again.
const REJECTED_DELAY: Duration = Duration::from_secs(1);

/// Time between two looks at what waits for a place or for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Order under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlight {
    order: Order,
    /// Token of the assignment, without the epoch.
    token: Token,
    since: Time,
    /// Starts of the upstream that were known when it was given.
    replacements: u64,
}

/// What the upstream beside this member holds by order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Orders {
    /// Longest time for which a grant is given.
    hold: Duration,
    incarnations: Incarnations,
    segments: Segments,
    in_flight: BTreeMap<u64, InFlight>,
    /// Orders given so far.
    count: u64,
    /// Starts of the upstream that took the place of an earlier one.
    replacements: u64,
    epoch: Epoch,
    /// Time until which the upstream may hold anything by a former process.
    unknown_until: Time,
    /// True when something but time has changed since orders were last decided.
    changed: bool,
    /// When the next order is due by time alone.
    due: Time,
    /// When the first of the grants that are served lapses.
    next_expiry: Option<Time>,
}

impl Orders {
    /// Makes a record of an upstream of which nothing is known.
    ///
    /// It may hold what a former process has granted, for as long as any grant lasts.
    #[must_use]
    pub fn new(now: Time, hold: Duration) -> Self {
        Self {
            hold,
            incarnations: Incarnations::new(now),
            segments: Segments::default(),
            in_flight: BTreeMap::new(),
            count: 0,
            replacements: 0,
            epoch: Epoch::default(),
            unknown_until: now + hold.mul_f64(1.0 + DRIFT),
            changed: true,
            due: now,
            next_expiry: None,
        }
    }

    /// Returns the present start of the upstream.
    #[must_use]
    pub const fn incarnation(&self) -> Option<&Incarnation> {
        self.incarnations.present()
    }

    /// Takes in a report, which says nothing of what is held.
    pub fn report(&mut self, now: Time, incarnation: &Incarnation, sequence: u64) -> ReportOutcome {
        let report = self.incarnations.report(now, incarnation, sequence);
        if report == ReportOutcome::NewIncarnation {
            self.restarted(now);
        }
        report
    }

    /// Notes that another start of the upstream has taken the place of the present one.
    ///
    /// It holds nothing but what it was granted between its start and its first report, over a new
    /// connection, and nobody knows which grants those are. So the bounds on what it may hold stay, and
    /// all is granted anew. Tokens rise, for the keys pass to another holder.
    fn restarted(&mut self, now: Time) {
        self.epoch.raise(now);
        self.replacements += 1;
        self.segments.all_mut().for_each(Segment::mark_refused);
        self.changed = true;
    }

    /// Takes over which units the upstream is to hold; everything else is to be released.
    pub fn set_wanted(&mut self, wanted: &[Wanted]) {
        self.segments.all_mut().for_each(|segment| segment.wanted = false);
        for wanted in wanted {
            for keys in &wanted.keys {
                self.segments.set_wanted(keys, wanted.token, &wanted.handover);
            }
        }
        self.changed = true;
    }

    /// Decides which orders are to be given now.
    ///
    /// `lease` is the end of this member's lease, which no grant may outlast. `idle` tells whether
    /// no request for a range of keys is in flight; only then it is released, so that the answer
    /// comes at once and one long request does not hold up its neighbours.
    pub fn decide(
        &mut self,
        now: Time,
        lease: Time,
        idle: impl Fn(u32, u32) -> bool,
    ) -> Vec<Issued> {
        if !self.changed && now < self.due {
            return Vec::new();
        }
        self.changed = false;
        self.segments.prune(now);
        let mut issued = Vec::new();
        let hold = lease.since(now + ORDER_TIMEOUT).mul_f64(1.0 / (1.0 + DRIFT)).min(self.hold);
        if hold >= LEAST {
            let room = MAX_IN_FLIGHT.saturating_sub(self.in_flight_count(false));
            for run in grants(now, &self.segments, room) {
                let action = Action::Grant { hold, handover: Name::clone(&run.handover) };
                issued.push(self.issue(now, &run, action));
            }
        }
        let room = MAX_IN_FLIGHT.saturating_sub(self.in_flight_count(true));
        for run in releases(now, &self.segments, idle, room) {
            issued.push(self.issue(now, &run, Action::Release));
        }
        self.next_expiry = self.segments.all().filter_map(|segment| segment.expiry(now)).min();
        let due = self.segments.all().filter_map(|segment| segment.due(now)).min();
        // What is due already waits for a place, or for requests in flight.
        self.due = due.unwrap_or(now + self.hold).max(now + POLL_INTERVAL);
        issued
    }

    fn issue(&mut self, now: Time, run: &Run, action: Action) -> Issued {
        self.count += 1;
        let number = self.count;
        for segment in self.segments.starting_in_mut(run.first, run.last) {
            segment.in_flight = Some(number);
        }
        let token = self.epoch.fence(run.token);
        let order = Order { first: run.first, last: run.last, token, action };
        let open = InFlight {
            order: order.clone(),
            token: run.token,
            since: now,
            replacements: self.replacements,
        };
        self.in_flight.insert(number, open);
        Issued {
            number,
            order,
            deadline: now + ORDER_TIMEOUT,
            may_connect: self.epoch.is_fresh(now),
        }
    }

    /// Takes in what came of an order; `None` for a number that is not under way.
    pub fn complete(&mut self, now: Time, number: u64, answer: &Answer) -> Option<Completion> {
        let InFlight { order, token, since, replacements } = self.in_flight.remove(&number)?;
        // What a former start has answered says nothing of the present one.
        let answer = if replacements == self.replacements { answer } else { &Answer::Unknown };
        if *answer == Answer::Unconnected {
            // Behind a new connection may be another start of the upstream.
            self.epoch.raise(now);
        }
        let mut changed = false;
        let segments = self.segments.starting_in_mut(order.first, order.last);
        let mut segments: Vec<&mut Segment> =
            segments.filter(|segment| segment.in_flight == Some(number)).collect();
        let alone = segments.len() == 1;
        for segment in &mut segments {
            segment.in_flight = None;
            let before = segment.state(now);
            match &order.action {
                Action::Grant { hold, .. } => {
                    segment.handle_grant(now, since, token, *hold, answer, alone);
                }
                Action::Release => segment.handle_release(now, answer),
            }
            changed |= before != segment.state(now);
        }
        self.changed = true;
        Some(Completion { order, age: now.since(since), changed })
    }

    /// Returns true while the upstream runs requests for keys under a token.
    #[must_use]
    pub fn serves(&self, now: Time, keys: &[RangeInclusive<u32>], token: Token) -> bool {
        keys.iter().all(|keys| self.segments.is_covered(keys, |segment| segment.serves(now, token)))
    }

    /// Returns true when a grant has lapsed since the last decision.
    #[must_use]
    pub fn has_expired(&self, now: Time) -> bool {
        self.next_expiry.is_some_and(|expiry| now >= expiry)
    }

    /// Returns when something is to be done or changes by time alone.
    #[must_use]
    pub fn next_due(&self) -> Time {
        self.next_expiry.map_or(self.due, |expiry| self.due.min(expiry))
    }

    /// Notes that the upstream has refused a request for keys that it should hold.
    ///
    /// Guards against a release that is carried out late, after a newer grant, and against a start
    /// that no report has told of: the keys are granted again.
    pub fn mark_refused(&mut self, keys: &[RangeInclusive<u32>]) {
        for keys in keys {
            for segment in self.segments.overlapping_mut(keys) {
                segment.mark_refused();
            }
        }
        self.changed = true;
    }

    /// Returns true while the upstream may hold some of the keys, by orders of this process or a former one.
    #[must_use]
    pub fn may_hold(&self, now: Time, keys: &[RangeInclusive<u32>]) -> bool {
        let held = |keys| self.segments.overlapping(keys).any(|segment| segment.may_be_held(now));
        now < self.unknown_until || keys.iter().any(held)
    }

    /// Returns true while the upstream may hold anything.
    #[must_use]
    pub fn may_hold_any(&self, now: Time) -> bool {
        now < self.unknown_until || self.segments.all().any(|segment| segment.may_be_held(now))
    }

    /// Returns what the upstream gave out when it released keys, empty when it gave nothing.
    #[must_use]
    pub fn handover(&self, keys: &[RangeInclusive<u32>]) -> Name {
        let segment = keys.first().and_then(|keys| self.segments.overlapping(keys).next());
        segment.map_or_else(|| Name::from(""), |segment| Name::clone(&segment.freed))
    }

    /// Returns true when keys cannot be granted under their present token, for one above it was seen.
    #[must_use]
    pub fn superseded(&self, keys: &[RangeInclusive<u32>]) -> bool {
        keys.iter().any(|keys| self.segments.overlapping(keys).any(Segment::is_superseded))
    }

    fn in_flight_count(&self, releases: bool) -> usize {
        let fits = |open: &&InFlight| (open.order.action == Action::Release) == releases;
        self.in_flight.values().filter(fits).count()
    }
}
