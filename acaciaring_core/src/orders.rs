//! Keys that an upstream holds where each grant and each release of a key range is a call to it.
//!
//! An order without an answer may be carried out seconds later, after newer ones. So each key range
//! has two bounds on how long the upstream may hold it: one from confirmed grants, which a release
//! ends, and one from unanswered grants, which ends only with time.

mod order;
mod runs;
mod segment;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

pub use self::order::{Action, Answer, Completion, Issued, Order};
use self::runs::{Run, grants, releases};
use self::segment::{Segment, Segments};
use crate::holds::{
    CLOCK_DRIFT, Epoch, Incarnation, Incarnations, MIN_GRANT, ReportOutcome, Wanted,
};
use crate::id::{Name, Token};
use crate::time::Time;

/// Timeout of an order, from its decision.
///
/// It is subtracted from the duration of a grant, which the upstream counts from arrival. The
/// upstream is on the same VM and answers within milliseconds.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of grants in flight that may be answered soon, and of releases.
const MAX_IN_FLIGHT: usize = 8;

/// Maximum number of all grants in flight, and of releases; each takes a connection.
const MAX_OPEN: usize = 24;

/// Age from which an order in flight is overdue.
///
/// Guards against unanswered orders that hold up the others until they time out, so that grants of
/// other keys expire.
const OVERDUE_AGE: Duration = Duration::from_millis(40);

/// Delay before retrying an order that did not arrive or was not accepted for now.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay before retrying an order that was rejected.
const REJECTED_DELAY: Duration = Duration::from_secs(1);

/// Interval at which orders that wait for a free slot or for requests in flight are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Order in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlight {
    order: Order,
    /// Token of the assignment, without epoch.
    token: Token,
    since: Time,
    /// Value of `Orders::replacements` when it was issued.
    replacements: u64,
}

/// Orders to the upstream of this member and the keys that it holds by them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Orders {
    /// Maximum duration of a grant.
    hold: Duration,
    incarnations: Incarnations,
    segments: Segments,
    in_flight: BTreeMap<u64, InFlight>,
    /// Orders issued so far.
    count: u64,
    /// Incarnations of the upstream that replaced an earlier one.
    replacements: u64,
    epoch: Epoch,
    /// Time until which the upstream may hold any keys by grants of an earlier process.
    unknown_until: Time,
    /// True when anything but the time has changed since the last decision.
    changed: bool,
    /// When the next order becomes due if nothing but the time changes.
    due: Time,
    /// When the first grant of a wanted segment expires.
    next_expiry: Option<Time>,
}

impl Orders {
    /// Creates the state for an upstream of which nothing is known.
    ///
    /// It may hold any keys by grants of an earlier process, the last of which may still arrive, for
    /// the maximum duration of a grant.
    #[must_use]
    pub fn new(now: Time, hold: Duration) -> Self {
        let last_arrival = now + ORDER_TIMEOUT;
        Self {
            hold,
            incarnations: Incarnations::new(now),
            segments: Segments::default(),
            in_flight: BTreeMap::new(),
            count: 0,
            replacements: 0,
            epoch: Epoch::default(),
            unknown_until: last_arrival + hold.mul_f64(1.0 + CLOCK_DRIFT),
            changed: true,
            due: now,
            next_expiry: None,
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

    /// Handles a heartbeat of the upstream, which does not state the keys that it holds.
    pub fn report(&mut self, now: Time, incarnation: &Incarnation, sequence: u64) -> ReportOutcome {
        let report = self.incarnations.report(now, incarnation, sequence);
        if report == ReportOutcome::NewIncarnation {
            self.restarted(now);
        }
        report
    }

    /// Handles a new incarnation of the upstream, which must be granted all keys again.
    ///
    /// The bounds on what it may hold stay, as it may have received some grants before its first
    /// heartbeat. The epoch rises, so that its tokens are above those of the previous incarnation.
    fn restarted(&mut self, now: Time) {
        self.epoch.raise(now);
        self.replacements += 1;
        self.segments.all_mut().for_each(Segment::mark_refused);
        self.changed = true;
    }

    /// Sets the units that the upstream is to hold; all other keys are to be released.
    pub fn set_wanted(&mut self, wanted: &[Wanted]) {
        self.segments.all_mut().for_each(|segment| segment.wanted = false);
        for wanted in wanted {
            for keys in &wanted.keys {
                self.segments.set_wanted(keys, wanted.token, &wanted.handover);
            }
        }
        self.changed = true;
    }

    /// Decides which orders to send now.
    ///
    /// `lease` is the expiry of this member's lease, which no grant may outlast. A key range is
    /// released only once `idle` says that no request for it is in flight, so that the release is
    /// answered at once and a long request does not delay the release of neighbouring keys.
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
        let hold =
            lease.since(now + ORDER_TIMEOUT).mul_f64(1.0 / (1.0 + CLOCK_DRIFT)).min(self.hold);
        if hold >= MIN_GRANT {
            let room = self.room(now, false);
            for run in grants(now, &self.segments, room) {
                let action = Action::Grant { hold, handover: Name::clone(&run.handover) };
                issued.push(self.issue(now, &run, action));
            }
        }
        let room = self.room(now, true);
        for run in releases(now, &self.segments, idle, room) {
            issued.push(self.issue(now, &run, Action::Release));
        }
        self.next_expiry = self.segments.all().filter_map(|segment| segment.expiry(now)).min();
        let due = self.segments.all().filter_map(|segment| segment.due(now)).min();
        // What is due already waits for a free slot, or for requests in flight.
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
            may_connect: self.epoch.is_current(now),
        }
    }

    /// Handles the result of an order; returns `None` when the number is not in flight.
    pub fn complete(&mut self, now: Time, number: u64, answer: &Answer) -> Option<Completion> {
        let InFlight { order, token, since, replacements } = self.in_flight.remove(&number)?;
        // An answer of an earlier incarnation says nothing about the current one.
        let answer = if replacements == self.replacements { answer } else { &Answer::Unknown };
        if *answer == Answer::Unconnected {
            // A new connection may lead to another incarnation.
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

    /// Returns true while any order is in flight.
    #[must_use]
    pub fn in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Returns true while the upstream holds all of the keys under `token`.
    #[must_use]
    pub fn serves(&self, now: Time, keys: &[RangeInclusive<u32>], token: Token) -> bool {
        keys.iter().all(|keys| self.segments.is_covered(keys, |segment| segment.serves(now, token)))
    }

    /// Returns true when a grant of wanted keys has expired since the last decision.
    #[must_use]
    pub fn has_expired(&self, now: Time) -> bool {
        self.next_expiry.is_some_and(|expiry| now >= expiry)
    }

    /// Returns when the next order is due or the next grant expires.
    #[must_use]
    pub fn next_due(&self) -> Time {
        self.next_expiry.map_or(self.due, |expiry| self.due.min(expiry))
    }

    /// Drops the grants of keys for which the upstream has refused a request, to grant them again.
    ///
    /// It may not hold granted keys when a release is carried out late, after a newer grant, or
    /// after a restart that no heartbeat has announced yet.
    pub fn mark_refused(&mut self, keys: &[RangeInclusive<u32>]) {
        for keys in keys {
            for segment in self.segments.overlapping_mut(keys) {
                segment.mark_refused();
            }
        }
        self.changed = true;
    }

    /// Returns true while the upstream may hold any of the keys, by this or an earlier process.
    #[must_use]
    pub fn may_hold(&self, now: Time, keys: &[RangeInclusive<u32>]) -> bool {
        let held = |keys| self.segments.overlapping(keys).any(|segment| segment.may_be_held(now));
        now < self.unknown_until || keys.iter().any(held)
    }

    /// Returns true while the upstream may hold any keys.
    #[must_use]
    pub fn may_hold_any(&self, now: Time) -> bool {
        now < self.unknown_until || self.segments.all().any(|segment| segment.may_be_held(now))
    }

    /// Returns the handover value that the upstream gave when it released keys, or an empty one.
    #[must_use]
    pub fn handover(&self, keys: &[RangeInclusive<u32>]) -> Name {
        let segment = keys.first().and_then(|keys| self.segments.overlapping(keys).next());
        segment.map_or_else(|| Name::from(""), |segment| Name::clone(&segment.freed))
    }

    /// Returns true when the upstream refuses any of the keys, having seen a higher token for it.
    #[must_use]
    pub fn superseded(&self, keys: &[RangeInclusive<u32>]) -> bool {
        keys.iter().any(|keys| self.segments.overlapping(keys).any(Segment::is_superseded))
    }

    /// Returns how many more grants or releases may be sent.
    fn room(&self, now: Time, releases: bool) -> usize {
        let fits = |open: &&InFlight| (open.order.action == Action::Release) == releases;
        let (mut open, mut recent) = (0, 0);
        for order in self.in_flight.values().filter(fits) {
            open += 1;
            recent += usize::from(now.since(order.since) < OVERDUE_AGE);
        }
        MAX_IN_FLIGHT.saturating_sub(recent).min(MAX_OPEN.saturating_sub(open))
    }
}
