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
use self::segment::{Piece, Pieces};
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
const WINDOW: usize = 8;

/// Time until an order that was not taken is given again.
const AGAIN: Duration = Duration::from_millis(50);

/// Time until an order that was rejected is given again.
const REJECTED: Duration = Duration::from_secs(1);

/// Time between two looks at what waits for a place or for requests in flight.
const LOOK: Duration = Duration::from_millis(10);

/// Order under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Open {
    order: Order,
    /// Token of the assignment, without the epoch.
    token: Token,
    since: Time,
    /// Starts of the upstream that were known when it was given.
    starts: u64,
}

/// What the upstream beside this member holds by order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Orders {
    /// Longest time for which a grant is given.
    hold: Duration,
    starts: Incarnations,
    pieces: Pieces,
    open: BTreeMap<u64, Open>,
    /// Orders given so far.
    count: u64,
    /// Starts of the upstream that took the place of an earlier one.
    replaced: u64,
    epoch: Epoch,
    /// Time until which the upstream may hold anything by a former process.
    unknown: Time,
    /// True when something but time has changed since orders were last decided.
    changed: bool,
    /// When the next order is due by time alone.
    due: Time,
    /// When the first of the grants that are served lapses.
    lapse: Option<Time>,
}

impl Orders {
    /// Makes a record of an upstream of which nothing is known.
    ///
    /// It may hold what a former process has granted, for as long as any grant lasts.
    #[must_use]
    pub fn new(now: Time, hold: Duration) -> Self {
        Self {
            hold,
            starts: Incarnations::new(now),
            pieces: Pieces::default(),
            open: BTreeMap::new(),
            count: 0,
            replaced: 0,
            epoch: Epoch::default(),
            unknown: now + hold.mul_f64(1.0 + DRIFT),
            changed: true,
            due: now,
            lapse: None,
        }
    }

    /// Returns the present start of the upstream.
    #[must_use]
    pub const fn incarnation(&self) -> Option<&Incarnation> {
        self.starts.present()
    }

    /// Takes in a report, which says nothing of what is held.
    pub fn report(&mut self, now: Time, start: &Incarnation, sequence: u64) -> ReportOutcome {
        let report = self.starts.report(now, start, sequence);
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
        self.replaced += 1;
        self.pieces.all_mut().for_each(Piece::mark_refused);
        self.changed = true;
    }

    /// Takes over which units the upstream is to hold; everything else is to be released.
    pub fn set_wanted(&mut self, wanted: &[Wanted]) {
        self.pieces.all_mut().for_each(|piece| piece.wanted = false);
        for wanted in wanted {
            for keys in &wanted.keys {
                self.pieces.want(keys, wanted.token, &wanted.handover);
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
        self.pieces.settle(now);
        let mut issued = Vec::new();
        let hold = lease.since(now + ORDER_TIMEOUT).mul_f64(1.0 / (1.0 + DRIFT)).min(self.hold);
        if hold >= LEAST {
            let room = WINDOW.saturating_sub(self.under_way(false));
            for run in grants(now, &self.pieces, room) {
                let action = Action::Grant { hold, handover: Name::clone(&run.handover) };
                issued.push(self.issue(now, &run, action));
            }
        }
        let room = WINDOW.saturating_sub(self.under_way(true));
        for run in releases(now, &self.pieces, idle, room) {
            issued.push(self.issue(now, &run, Action::Release));
        }
        self.lapse = self.pieces.all().filter_map(|piece| piece.lapse(now)).min();
        let due = self.pieces.all().filter_map(|piece| piece.due(now)).min();
        // What is due already waits for a place, or for requests in flight.
        self.due = due.unwrap_or(now + self.hold).max(now + LOOK);
        issued
    }

    fn issue(&mut self, now: Time, run: &Run, action: Action) -> Issued {
        self.count += 1;
        let number = self.count;
        for piece in self.pieces.within_mut(run.first, run.last) {
            piece.open = Some(number);
        }
        let token = self.epoch.fence(run.token);
        let order = Order { first: run.first, last: run.last, token, action };
        let open =
            Open { order: order.clone(), token: run.token, since: now, starts: self.replaced };
        self.open.insert(number, open);
        Issued {
            number,
            order,
            deadline: now + ORDER_TIMEOUT,
            may_connect: self.epoch.is_fresh(now),
        }
    }

    /// Takes in what came of an order; `None` for a number that is not under way.
    pub fn complete(&mut self, now: Time, number: u64, answer: &Answer) -> Option<Completion> {
        let Open { order, token, since, starts } = self.open.remove(&number)?;
        // What a former start has answered says nothing of the present one.
        let answer = if starts == self.replaced { answer } else { &Answer::Unknown };
        if *answer == Answer::Unconnected {
            // Behind a new connection may be another start of the upstream.
            self.epoch.raise(now);
        }
        let mut changed = false;
        let pieces = self.pieces.within_mut(order.first, order.last);
        let mut pieces: Vec<&mut Piece> =
            pieces.filter(|piece| piece.open == Some(number)).collect();
        let alone = pieces.len() == 1;
        for piece in &mut pieces {
            piece.open = None;
            let before = piece.state(now);
            match &order.action {
                Action::Grant { hold, .. } => {
                    piece.granted(now, since, token, *hold, answer, alone);
                }
                Action::Release => piece.released(now, answer),
            }
            changed |= before != piece.state(now);
        }
        self.changed = true;
        Some(Completion { order, age: now.since(since), changed })
    }

    /// Returns true while the upstream runs requests for keys under a token.
    #[must_use]
    pub fn serves(&self, now: Time, keys: &[RangeInclusive<u32>], token: Token) -> bool {
        keys.iter().all(|keys| self.pieces.cover(keys, |piece| piece.serves(now, token)))
    }

    /// Returns true when a grant has lapsed since the last decision.
    #[must_use]
    pub fn has_expired(&self, now: Time) -> bool {
        self.lapse.is_some_and(|lapse| now >= lapse)
    }

    /// Returns when something is to be done or changes by time alone.
    #[must_use]
    pub fn next_due(&self) -> Time {
        self.lapse.map_or(self.due, |lapse| self.due.min(lapse))
    }

    /// Notes that the upstream has refused a request for keys that it should hold.
    ///
    /// Guards against a release that is carried out late, after a newer grant, and against a start
    /// that no report has told of: the keys are granted again.
    pub fn mark_refused(&mut self, keys: &[RangeInclusive<u32>]) {
        for keys in keys {
            for piece in self.pieces.meeting_mut(keys) {
                piece.mark_refused();
            }
        }
        self.changed = true;
    }

    /// Returns true while the upstream may hold some of the keys, by orders of this process or a former one.
    #[must_use]
    pub fn may_hold(&self, now: Time, keys: &[RangeInclusive<u32>]) -> bool {
        let held = |keys| self.pieces.meeting(keys).any(|piece| piece.may_be_held(now));
        now < self.unknown || keys.iter().any(held)
    }

    /// Returns true while the upstream may hold anything.
    #[must_use]
    pub fn may_hold_any(&self, now: Time) -> bool {
        now < self.unknown || self.pieces.all().any(|piece| piece.may_be_held(now))
    }

    /// Returns what the upstream gave out when it released keys, empty when it gave nothing.
    #[must_use]
    pub fn handover(&self, keys: &[RangeInclusive<u32>]) -> Name {
        let piece = keys.first().and_then(|keys| self.pieces.meeting(keys).next());
        piece.map_or_else(|| Name::from(""), |piece| Name::clone(&piece.freed))
    }

    /// Returns true when keys cannot be granted under their present token, for one above it was seen.
    #[must_use]
    pub fn superseded(&self, keys: &[RangeInclusive<u32>]) -> bool {
        keys.iter().any(|keys| self.pieces.meeting(keys).any(Piece::is_superseded))
    }

    fn under_way(&self, releases: bool) -> usize {
        let fits = |open: &&Open| (open.order.action == Action::Release) == releases;
        self.open.values().filter(fits).count()
    }
}
