//! Key ranges in heartbeats of the upstream and in the replies.

use std::ops::RangeInclusive;

use crate::id::{Name, Token, UnitId};

/// Range of keys that an upstream holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// First key.
    pub first: u32,
    /// Last key.
    pub last: u32,
    /// Fencing token under which it holds them.
    pub token: Token,
}

/// Range of keys that an upstream has released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freed {
    /// First key.
    pub first: u32,
    /// Last key.
    pub last: u32,
    /// Handover value for the next holder, which need not warm up then; empty when there is none.
    pub handover: Name,
}

/// Range of keys granted to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// First key.
    pub first: u32,
    /// Last key.
    pub last: u32,
    /// Fencing token.
    pub token: Token,
    /// Handover value of the previous holder, empty when there is none or it was passed on.
    pub handover: Name,
}

/// Room for the ranges of a reply.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Bytes for all ranges.
    pub bytes: usize,
    /// Returns the bytes that a range takes without its handover.
    pub length: fn(&Granted) -> usize,
}

impl Room {
    /// Returns true if the ranges fit.
    #[must_use]
    pub fn fits(&self, ranges: &[Granted]) -> bool {
        ranges.iter().map(self.length).sum::<usize>() <= self.bytes
    }
}

/// Unit that an upstream is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// Unit.
    pub unit: UnitId,
    /// Token under which this member serves it.
    pub token: Token,
    /// Its keys.
    pub keys: Vec<RangeInclusive<u32>>,
    /// Handover value of the previous holder.
    pub handover: Name,
}

/// Returns true when any of the keys is in a held range.
pub(super) fn overlap(keys: &[RangeInclusive<u32>], held: &[Held]) -> bool {
    let overlaps = |keys: &RangeInclusive<u32>, held: &Held| {
        held.first <= *keys.end() && *keys.start() <= held.last
    };
    held.iter().any(|held| keys.iter().any(|keys| overlaps(keys, held)))
}

/// Returns true when two sets of key ranges have a key in common.
pub(super) fn ranges_overlap(one: &[RangeInclusive<u32>], other: &[RangeInclusive<u32>]) -> bool {
    let overlaps = |a: &RangeInclusive<u32>, b: &RangeInclusive<u32>| {
        a.start() <= b.end() && b.start() <= a.end()
    };
    one.iter().any(|a| other.iter().any(|b| overlaps(a, b)))
}

/// Returns true when all of the keys lie in the range from `first` to `last`.
pub(super) fn lie_within(keys: &[RangeInclusive<u32>], first: u32, last: u32) -> bool {
    keys.iter().all(|keys| first <= *keys.start() && *keys.end() <= last)
}

/// Returns the ranges of units; adjacent ones with the same token and handover are merged.
pub(super) fn ranges(units: &[&Wanted]) -> Vec<Granted> {
    let range = |unit: &Wanted, keys: &RangeInclusive<u32>| Granted {
        first: *keys.start(),
        last: *keys.end(),
        token: unit.token,
        handover: Name::clone(&unit.handover),
    };
    let mut ranges: Vec<Granted> =
        units.iter().flat_map(|unit| unit.keys.iter().map(|keys| range(unit, keys))).collect();
    ranges.sort_unstable_by_key(|range| range.first);
    let mut merged: Vec<Granted> = Vec::with_capacity(ranges.len());
    for range in ranges {
        match merged.last_mut() {
            Some(last)
                if last.last + 1 == range.first
                    && last.token == range.token
                    && last.handover == range.handover =>
            {
                last.last = range.last;
            }
            _ => merged.push(range),
        }
    }
    merged
}
