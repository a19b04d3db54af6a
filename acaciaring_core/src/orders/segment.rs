//! Segments of the key space, each of which is wanted, granted and released as a whole.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::{REJECTED_DELAY, RETRY_DELAY};
use crate::holds::CLOCK_DRIFT;
use crate::id::{Name, Token};
use crate::orders::Answer;
use crate::time::Time;

/// Divisor of a grant's duration after which it is renewed.
///
/// The rest of the duration leaves time to retry one lost renewal, and for the retry to be lost too.
const RENEWAL_DIVISOR: u32 = 2;

/// Confirmed grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    token: Token,
    /// When it must be renewed.
    renewal: Time,
    /// When the upstream may have stopped holding the segment.
    expiry: Time,
}

/// Segment of the key space; its first key is its index in [`Segments`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Segment {
    pub(super) last: u32,
    /// True while the upstream should hold it.
    pub(super) wanted: bool,
    /// Token under which it is wanted or was last wanted.
    pub(super) token: Token,
    /// Handover value of the previous holder, for the first grant under the token.
    pub(super) handover: Name,
    /// Number of the order in flight.
    pub(super) in_flight: Option<u64>,
    /// Handover value that the upstream gave when it released the segment.
    pub(super) freed: Name,
    grant: Option<Grant>,
    /// Time until which the upstream may hold it by confirmed grants.
    held_until: Time,
    /// Time until which the upstream may hold it by unanswered grants.
    unconfirmed_until: Time,
    /// Time before which no order is issued.
    paused_until: Time,
    /// Token that the upstream refused, having seen a higher one.
    superseded: Option<Token>,
    /// True when the segment needs an order of its own.
    pub(super) isolated: bool,
}

/// State of a segment that determines which keys the upstream serves or may hold.
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

    /// Drops the confirmed grant, as the upstream seems not to hold the segment.
    pub(super) fn mark_refused(&mut self) {
        self.grant = None;
    }

    /// Handles the result of a grant issued at `since`; `alone` if it covered no other segment.
    pub(super) fn handle_grant(
        &mut self,
        now: Time,
        since: Time,
        token: Token,
        hold: Duration,
        answer: &Answer,
        alone: bool,
    ) {
        let longest = now + hold.mul_f64(1.0 + CLOCK_DRIFT);
        match answer {
            Answer::Done { .. } => {
                let renewal = since + hold / RENEWAL_DIVISOR;
                self.grant = Some(Grant { token, renewal, expiry: since + hold });
                self.held_until = self.held_until.max(longest);
                self.freed = Name::from("");
                self.isolated = false;
            }
            // Its connection is closed, so the order has arrived by now or never will.
            Answer::Unknown => self.unconfirmed_until = self.unconfirmed_until.max(longest),
            Answer::Superseded if alone => self.superseded = Some(token),
            Answer::Superseded => self.isolated = true,
            Answer::Rejected => self.paused_until = now + REJECTED_DELAY,
            Answer::Unsent => self.paused_until = now + RETRY_DELAY,
            Answer::Unconnected => {}
        }
    }

    /// Handles the result of a release.
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

    /// Returns true while the upstream may hold the segment or an order for it is in flight.
    pub(super) fn may_be_held(&self, now: Time) -> bool {
        self.in_flight.is_some() || now < self.held_until || now < self.unconfirmed_until
    }

    /// Returns true when the segment is not wanted and may be held by confirmed grants.
    ///
    /// A release cannot end unanswered grants, which may be carried out after it.
    pub(super) fn is_releasable(&self, now: Time) -> bool {
        !self.wanted && self.is_orderable(now) && now < self.held_until
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.wanted && self.superseded == Some(self.token)
    }

    /// Returns true while an order for the segment may be issued.
    pub(super) fn is_orderable(&self, now: Time) -> bool {
        self.in_flight.is_none() && now >= self.paused_until
    }

    /// Returns true while a grant of the segment may be issued.
    pub(super) fn is_grantable(&self, now: Time) -> bool {
        self.wanted && self.is_orderable(now) && !self.is_superseded()
    }

    /// Returns true when no grant under the current token is confirmed.
    pub(super) fn is_new(&self) -> bool {
        self.grant.is_none_or(|grant| grant.token != self.token)
    }

    /// Returns when a grant is due: at once for a new segment, else before the current one expires.
    pub(super) fn renewal(&self) -> Time {
        let grant = self.grant.filter(|grant| grant.token == self.token);
        grant.map_or(Time::ZERO, |grant| grant.renewal)
    }

    /// Returns when the grant of a wanted segment expires, `None` when there is none.
    pub(super) fn expiry(&self, now: Time) -> Option<Time> {
        let grant = self.grant.filter(|_| self.wanted)?;
        (now < grant.expiry).then_some(grant.expiry)
    }

    /// Returns when an order for the segment becomes due if nothing but the time changes.
    pub(super) fn due(&self, now: Time) -> Option<Time> {
        if self.in_flight.is_some() {
            return None;
        }
        if self.wanted && !self.is_superseded() {
            return Some(self.renewal().max(self.paused_until));
        }
        // Requests in flight may delay the release.
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

/// Segments by their first keys, without overlap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Segments(BTreeMap<u32, Segment>);

impl Segments {
    pub(super) fn all(&self) -> impl Iterator<Item = &Segment> {
        self.0.values()
    }

    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Segment> {
        self.0.values_mut()
    }

    /// Returns the segments with their first keys, in order.
    pub(super) fn ordered(&self) -> impl Iterator<Item = (u32, &Segment)> {
        self.0.iter().map(|(first, segment)| (*first, segment))
    }

    /// Returns the segments that begin in a range.
    pub(super) fn starting_in_mut(
        &mut self,
        first: u32,
        last: u32,
    ) -> impl Iterator<Item = &mut Segment> {
        self.0.range_mut(first..=last).map(|(_, segment)| segment)
    }

    /// Returns the segments that overlap a range.
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

    /// Returns true when segments for which `fits` is true cover the whole range.
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

    /// Marks a range as wanted; segments are split at its ends and gaps filled with new ones.
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

    /// Splits the segment that contains `at`, if any, so that one begins there.
    fn split_at(&mut self, at: u32) {
        let Some((_, segment)) = self.0.range_mut(..at).next_back() else { return };
        if segment.last < at {
            return;
        }
        let upper = segment.clone();
        segment.last = at - 1;
        self.0.insert(at, upper);
    }

    /// Removes segments that are neither wanted nor held and have no handover value.
    pub(super) fn prune(&mut self, now: Time) {
        let kept = |segment: &Segment| {
            segment.wanted || segment.may_be_held(now) || !segment.freed.is_empty()
        };
        self.0.retain(|_, segment| kept(segment));
    }
}
