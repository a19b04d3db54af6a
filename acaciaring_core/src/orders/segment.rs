//! Pieces of the keys, of which each is wanted and held as a whole.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::{AGAIN, REJECTED};
use crate::holds::DRIFT;
use crate::id::{Name, Token};
use crate::orders::Answer;
use crate::time::Time;

/// Part of a grant's time that is left when it is renewed, as a divisor.
///
/// One order without answer, and one that is sent again after it, then cost no hold.
const RENEW_PART: u32 = 2;

/// Grant that the upstream has confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    token: Token,
    /// When it is to be renewed.
    renewal: Time,
    /// When the upstream may have let go.
    lapse: Time,
}

/// Piece of the keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Piece {
    pub(super) last: u32,
    /// True while the upstream is to hold it.
    pub(super) wanted: bool,
    /// Token under which it is wanted, or was last.
    pub(super) token: Token,
    /// What the last holder gave out, for the first grant under the token.
    pub(super) handover: Name,
    /// Number of the order under way.
    pub(super) open: Option<u64>,
    /// What the upstream gave out when it released the piece.
    pub(super) freed: Name,
    grant: Option<Grant>,
    /// Until when the upstream may hold it by what it has answered.
    held: Time,
    /// Until when it may hold it by what it has not answered.
    unsure: Time,
    /// Time before which no order is given.
    pause: Time,
    /// Token for which the upstream has seen a higher one.
    superseded: Option<Token>,
    /// True when the piece must be ordered by itself.
    pub(super) single: bool,
}

/// What others have to know of a piece.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct PieceState {
    serves: Option<Token>,
    held: bool,
    superseded: bool,
}

impl Piece {
    fn new(last: u32, token: Token, handover: Name) -> Self {
        Self {
            last,
            wanted: true,
            token,
            handover,
            open: None,
            freed: Name::from(""),
            grant: None,
            held: Time::ZERO,
            unsure: Time::ZERO,
            pause: Time::ZERO,
            superseded: None,
            single: false,
        }
    }

    fn want(&mut self, token: Token, handover: &Name) {
        if self.token != token {
            self.single = false;
            self.superseded = None;
            self.pause = Time::ZERO;
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
    pub(super) fn granted(
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
                let renewal = since + hold / RENEW_PART;
                self.grant = Some(Grant { token, renewal, lapse: since + hold });
                self.held = self.held.max(longest);
                self.freed = Name::from("");
                self.single = false;
            }
            // Its connection is closed by now, so it has arrived or never will.
            Answer::Unknown => self.unsure = self.unsure.max(longest),
            Answer::Superseded if alone => self.superseded = Some(token),
            Answer::Superseded => self.single = true,
            Answer::Rejected => self.pause = now + REJECTED,
            Answer::Unsent => self.pause = now + AGAIN,
            Answer::Unconnected => {}
        }
    }

    /// Takes in the answer to a release.
    pub(super) fn released(&mut self, now: Time, answer: &Answer) {
        match answer {
            Answer::Done { handover } => {
                self.grant = None;
                self.held = now;
                self.freed = Name::clone(handover);
            }
            Answer::Unknown | Answer::Unconnected => {}
            Answer::Unsent => self.pause = now + AGAIN,
            Answer::Superseded | Answer::Rejected => self.pause = now + REJECTED,
        }
    }

    pub(super) fn serves(&self, now: Time, token: Token) -> bool {
        let acts = |grant: &Grant| grant.token == token && now < grant.lapse;
        self.wanted && self.grant.as_ref().is_some_and(acts)
    }

    /// Returns true while the upstream may hold the piece, or an order that could change it is under way.
    pub(super) fn may_be_held(&self, now: Time) -> bool {
        self.open.is_some() || now < self.held || now < self.unsure
    }

    /// Returns true when the upstream may hold the piece by what it has answered.
    ///
    /// What it has not answered cannot be released: it may be carried out after the release.
    pub(super) fn is_to_release(&self, now: Time) -> bool {
        !self.wanted && self.is_free(now) && now < self.held
    }

    pub(super) fn is_superseded(&self) -> bool {
        self.wanted && self.superseded == Some(self.token)
    }

    /// Returns true while the piece may be ordered.
    pub(super) fn is_free(&self, now: Time) -> bool {
        self.open.is_none() && now >= self.pause
    }

    /// Returns true while the piece may be granted.
    pub(super) fn is_grantable(&self, now: Time) -> bool {
        self.wanted && self.is_free(now) && !self.is_superseded()
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
    pub(super) fn lapse(&self, now: Time) -> Option<Time> {
        let grant = self.grant.filter(|_| self.wanted)?;
        (now < grant.lapse).then_some(grant.lapse)
    }

    /// Returns when an order for the piece is due by time alone.
    pub(super) fn due(&self, now: Time) -> Option<Time> {
        if self.open.is_some() {
            return None;
        }
        if self.wanted && !self.is_superseded() {
            return Some(self.renewal().max(self.pause));
        }
        // Requests in flight may keep it from being released until they end.
        (!self.wanted && now < self.held).then_some(self.pause)
    }

    pub(super) fn state(&self, now: Time) -> PieceState {
        let grant = self.grant.filter(|grant| self.wanted && now < grant.lapse);
        PieceState {
            serves: grant.map(|grant| grant.token),
            held: self.may_be_held(now),
            superseded: self.is_superseded(),
        }
    }
}

/// Pieces by their first keys; they do not overlap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Pieces(BTreeMap<u32, Piece>);

impl Pieces {
    pub(super) fn all(&self) -> impl Iterator<Item = &Piece> {
        self.0.values()
    }

    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Piece> {
        self.0.values_mut()
    }

    /// Returns the pieces with their first keys, in order.
    pub(super) fn ordered(&self) -> impl Iterator<Item = (u32, &Piece)> {
        self.0.iter().map(|(first, piece)| (*first, piece))
    }

    /// Returns the pieces that begin in a range.
    pub(super) fn within_mut(&mut self, first: u32, last: u32) -> impl Iterator<Item = &mut Piece> {
        self.0.range_mut(first..=last).map(|(_, piece)| piece)
    }

    /// Returns the pieces that have keys in a range.
    pub(super) fn meeting(&self, keys: &RangeInclusive<u32>) -> impl Iterator<Item = &Piece> {
        let first = *keys.start();
        let before = self.0.range(..first).next_back().map(|(_, piece)| piece);
        let before = before.filter(move |piece| first <= piece.last);
        before.into_iter().chain(self.0.range(keys.clone()).map(|(_, piece)| piece))
    }

    pub(super) fn meeting_mut(
        &mut self,
        keys: &RangeInclusive<u32>,
    ) -> impl Iterator<Item = &mut Piece> {
        let first = *keys.start();
        let begin = self.0.range(..first).next_back().filter(|(_, piece)| first <= piece.last);
        let begin = begin.map_or(first, |(begin, _)| *begin);
        self.0.range_mut(begin..=*keys.end()).map(|(_, piece)| piece)
    }

    /// Returns true when pieces that all fit cover a range.
    pub(super) fn cover(&self, keys: &RangeInclusive<u32>, fits: impl Fn(&Piece) -> bool) -> bool {
        let mut next = *keys.start();
        while next <= *keys.end() {
            let Some((first, piece)) = self.0.range(..=next).next_back() else { return false };
            if *first > next || piece.last < next || !fits(piece) {
                return false;
            }
            next = piece.last + 1;
        }
        true
    }

    /// Makes the pieces of a range wanted; what lies between them becomes new pieces.
    pub(super) fn want(&mut self, keys: &RangeInclusive<u32>, token: Token, handover: &Name) {
        let (first, last) = (*keys.start(), *keys.end());
        self.cut(first);
        self.cut(last + 1);
        let mut gaps = Vec::new();
        let mut next = first;
        for (begin, piece) in self.0.range_mut(first..=last) {
            if next < *begin {
                gaps.push((next, *begin - 1));
            }
            next = piece.last + 1;
            piece.want(token, handover);
        }
        if next <= last {
            gaps.push((next, last));
        }
        for (first, last) in gaps {
            let piece = Piece::new(last, token, Name::clone(handover));
            self.0.insert(first, piece);
        }
    }

    /// Makes a piece begin at a key, if one covers it.
    fn cut(&mut self, at: u32) {
        let Some((_, piece)) = self.0.range_mut(..at).next_back() else { return };
        if piece.last < at {
            return;
        }
        let upper = piece.clone();
        piece.last = at - 1;
        self.0.insert(at, upper);
    }

    /// Forgets pieces that are neither wanted nor held, but for what they gave out.
    pub(super) fn settle(&mut self, now: Time) {
        let kept =
            |piece: &Piece| piece.wanted || piece.may_be_held(now) || !piece.freed.is_empty();
        self.0.retain(|_, piece| kept(piece));
    }
}
