//! Pieces of the keys, of which each is wanted and held as a whole.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::{REJECTED_DELAY, RETRY_DELAY};
use crate::holds::DRIFT;
use crate::id::{Name, Token};
use crate::orders::Answer;
use crate::time::Time;

/// Part of a grant's time that is left when it is renewed, as a divisor.
///
/// One order without answer, and one that is sent again after it, then cost no hold.
const RENEWAL_DIVISOR: u32 = 2;

/// Grant that the upstream has confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    token: Token,
    /// When it is to be renewed.
    renewal: Time,
    /// When the upstream may have let go.
    expiry: Time,
}

/// Piece of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Segment {
    pub(super) last: u32,
    /// True while the upstream is to hold it.
    pub(super) wanted: bool,
    /// Token under which it is wanted, or was last.
    pub(super) token: Token,
    /// What the last holder gave out, for the first grant under the token.
    pub(super) handover: Name,
    /// Number of the order under way.
    pub(super) in_flight: Option<u64>,
    /// What the upstream gave out when it released the piece.
    pub(super) freed: Name,
    grant: Option<Grant>,
    /// Until when the upstream may hold it by what it has answered.
    held_until: Time,
    /// Until when it may hold it by what it has not answered.
    unconfirmed_until: Time,
    /// Time before which no order is given.
    paused_until: Time,
    /// Token for which the upstream has seen a higher one.
    superseded: Option<Token>,
    /// True when the piece must be ordered by itself.
    pub(super) isolated: bool,
}

/// What others have to know of a piece.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct SegmentState {
    serves: Option<Token>,
    held: bool,
    superseded: bool,
}

impl Segment {
    fn new(last: u32, token: Token, handover: Name) -> Self {
        Self {
            last,
            wanted: true,
            token,
            handover,
            in_flight: None,
            freed: Name::from(""),
            grant: None,
            held_until: Time::ZERO,
            unconfirmed_until: Time::ZERO,
            paused_until: Time::ZERO,
            superseded: None,
            isolated: false,
        }
    }

    fn set_wanted(&mut self, token: Token, handover: &Name) {
        if self.token != token {
            self.isolated = false;
            self.superseded = None;
            self.paused_until = Time::ZERO;
        }
        self.wanted = true;
        self.token = token;
        self.handover = Name::clone(handover);
    }

    /// Notes that the upstream does not hold the piece, as far as is known.
    pub(super) fn mark_refused(&mut self) {
        self.grant = None;
    }

    /// Takes in the answer to a grant that was decided at `since`; `alone` when it bore this piece only.
    pub(super) fn handle_grant(
        &mut self,
        now: Time,
        since: Time,
        token: Token,
        hold: Duration,
        answer: &Answer,
        alone: bool,
    ) {
        let longest = now + hold.mul_f64(1.0 + DRIFT);
        match answer {
            Answer::Done { .. } => {
                let renewal = since + hold / RENEWAL_DIVISOR;
                self.grant = Some(Grant { token, renewal, expiry: since + hold });
                self.held_until = self.held_until.max(longest);
                self.freed = Name::from("");
                self.isolated = false;
            }
            // Its connection is closed by now, so it has arrived or never will.
            Answer::Unknown => self.unconfirmed_until = self.unconfirmed_until.max(longest),
            Answer::Superseded if alone => self.superseded = Some(token),
            Answer::Superseded => self.isolated = true,
            Answer::Rejected => self.paused_until = now + REJECTED_DELAY,
            Answer::Unsent => self.paused_until = now + RETRY_DELAY,
            Answer::Unconnected => {}
        }
    }

    /// Takes in the answer to a release.
    pub(super) fn handle_release(&mut self, now: Time, answer: &Answer) {
        match answer {
            Answer::Done { handover } => {
                self.grant = None;
                self.held_until = now;
                self.freed = Name::clone(handover);
            }
            Answer::Unknown | Answer::Unconnected => {}
            Answer::Unsent => self.paused_until = now + RETRY_DELAY,
            Answer::Superseded | Answer::Rejected => self.paused_until = now + REJECTED_DELAY,
        }
    }

    pub(super) fn serves(&self, now: Time, token: Token) -> bool {
        let valid = |grant: &Grant| grant.token == token && now < grant.expiry;
        self.wanted && self.grant.as_ref().is_some_and(valid)
    }

    /// Returns true while the upstream may hold the piece, or an order that could change it is under way.
    pub(super) fn may_be_held(&self, now: Time) -> bool {
        self.in_flight.is_some() || now < self.held_until || now < self.unconfirmed_until
    }

    /// Returns true when the upstream may hold the piece by what it has answered.
    ///
    /// What it has not answered cannot be released: it may be carried out after the release.
    pub(super) fn is_releasable(&self, now: Time) -> bool {
        !self.wanted && self.is_orderable(now) && now < self.held_until
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.wanted && self.superseded == Some(self.token)
    }

    /// Returns true while the piece may be ordered.
    pub(super) fn is_orderable(&self, now: Time) -> bool {
        self.in_flight.is_none() && now >= self.paused_until
    }

    /// Returns true while the piece may be granted.
    pub(super) fn is_grantable(&self, now: Time) -> bool {
        self.wanted && self.is_orderable(now) && !self.is_superseded()
    }

    /// Returns true while the upstream does not hold the piece under its token.
    pub(super) fn is_new(&self) -> bool {
        self.grant.is_none_or(|grant| grant.token != self.token)
    }

    /// Returns when a grant of the piece is due: at once when it is new, else before it lapses.
    pub(super) fn renewal(&self) -> Time {
        let grant = self.grant.filter(|grant| grant.token == self.token);
        grant.map_or(Time::ZERO, |grant| grant.renewal)
    }

    /// Returns when the grant lapses under which the piece is served.
    pub(super) fn expiry(&self, now: Time) -> Option<Time> {
        let grant = self.grant.filter(|_| self.wanted)?;
        (now < grant.expiry).then_some(grant.expiry)
    }

    /// Returns when an order for the piece is due by time alone.
    pub(super) fn due(&self, now: Time) -> Option<Time> {
        if self.in_flight.is_some() {
            return None;
        }
        if self.wanted && !self.is_superseded() {
            return Some(self.renewal().max(self.paused_until));
        }
        // Requests in flight may keep it from being released until they end.
        (!self.wanted && now < self.held_until).then_some(self.paused_until)
    }

    pub(super) fn state(&self, now: Time) -> SegmentState {
        let grant = self.grant.filter(|grant| self.wanted && now < grant.expiry);
        SegmentState {
            serves: grant.map(|grant| grant.token),
            held: self.may_be_held(now),
            superseded: self.is_superseded(),
        }
    }
}

/// Pieces by their first keys; they do not overlap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Segments(BTreeMap<u32, Segment>);

impl Segments {
    pub(super) fn all(&self) -> impl Iterator<Item = &Segment> {
        self.0.values()
    }

    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Segment> {
        self.0.values_mut()
    }

    /// Returns the pieces with their first keys, in order.
    pub(super) fn ordered(&self) -> impl Iterator<Item = (u32, &Segment)> {
        self.0.iter().map(|(first, segment)| (*first, segment))
    }

    /// Returns the pieces that begin in a range.
    pub(super) fn starting_in_mut(
        &mut self,
        first: u32,
        last: u32,
    ) -> impl Iterator<Item = &mut Segment> {
        self.0.range_mut(first..=last).map(|(_, segment)| segment)
    }

    /// Returns the pieces that have keys in a range.
    pub(super) fn overlapping(&self, keys: &RangeInclusive<u32>) -> impl Iterator<Item = &Segment> {
        let first = *keys.start();
        let before = self.0.range(..first).next_back().map(|(_, segment)| segment);
        let before = before.filter(move |segment| first <= segment.last);
        before.into_iter().chain(self.0.range(keys.clone()).map(|(_, segment)| segment))
    }

    pub(super) fn overlapping_mut(
        &mut self,
        keys: &RangeInclusive<u32>,
    ) -> impl Iterator<Item = &mut Segment> {
        let first = *keys.start();
        let begin = self.0.range(..first).next_back().filter(|(_, segment)| first <= segment.last);
        let begin = begin.map_or(first, |(begin, _)| *begin);
        self.0.range_mut(begin..=*keys.end()).map(|(_, segment)| segment)
    }

    /// Returns true when pieces that all fit cover a range.
    pub(super) fn is_covered(
        &self,
        keys: &RangeInclusive<u32>,
        fits: impl Fn(&Segment) -> bool,
    ) -> bool {
        let mut next = *keys.start();
        while next <= *keys.end() {
            let Some((first, segment)) = self.0.range(..=next).next_back() else { return false };
            if *first > next || segment.last < next || !fits(segment) {
                return false;
            }
            next = segment.last + 1;
        }
        true
    }

    /// Makes the pieces of a range wanted; what lies between them becomes new pieces.
    pub(super) fn set_wanted(&mut self, keys: &RangeInclusive<u32>, token: Token, handover: &Name) {
        let (first, last) = (*keys.start(), *keys.end());
        self.split_at(first);
        self.split_at(last + 1);
        let mut gaps = Vec::new();
        let mut next = first;
        for (begin, segment) in self.0.range_mut(first..=last) {
            if next < *begin {
                gaps.push((next, *begin - 1));
            }
            next = segment.last + 1;
            segment.set_wanted(token, handover);
        }
        if next <= last {
            gaps.push((next, last));
        }
        for (first, last) in gaps {
            let segment = Segment::new(last, token, Name::clone(handover));
            self.0.insert(first, segment);
        }
    }

    /// Makes a piece begin at a key, if one covers it.
    fn split_at(&mut self, at: u32) {
        let Some((_, segment)) = self.0.range_mut(..at).next_back() else { return };
        if segment.last < at {
            return;
        }
        let upper = segment.clone();
        segment.last = at - 1;
        self.0.insert(at, upper);
    }

    /// Forgets pieces that are neither wanted nor held, but for what they gave out.
    pub(super) fn prune(&mut self, now: Time) {
        let kept = |segment: &Segment| {
            segment.wanted || segment.may_be_held(now) || !segment.freed.is_empty()
        };
        self.0.retain(|_, segment| kept(segment));
    }
}
