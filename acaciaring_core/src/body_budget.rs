//! Memory that the request bodies of a process may take together.
//!
//! A body that needs more than is free takes the place of others that are still arriving: first of
//! those that have stalled, then of those that are larger than itself. Complete bodies stay.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::Time;

/// Divisor of the limit that gives the size up to which a body is small.
const SMALL_DIVISOR: u64 = 64;

/// Divisor of the limit that gives the part in which there is room for small bodies only.
const RESERVE_DIVISOR: u64 = 8;

/// Id of a body, unique within its budget.
pub type BodyId = u64;

/// Request body in memory.
#[derive(Debug)]
struct Body {
    bytes: u64,
    /// `None` once the body is complete.
    arrival: Option<Arrival>,
}

/// Progress of a body that is arriving.
#[derive(Debug)]
struct Arrival {
    progress: Time,
    /// Time without progress after which the body has stalled.
    patience: Duration,
}

/// Limit on the bytes of all request bodies of a process.
#[derive(Debug)]
pub struct BodyBudget {
    limit: u64,
    used: u64,
    last: BodyId,
    bodies: BTreeMap<BodyId, Body>,
}

impl BodyBudget {
    /// Creates a limit in bytes.
    #[must_use]
    pub const fn new(limit: u64) -> Self {
        Self { limit, used: 0, last: 0, bodies: BTreeMap::new() }
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the size of the largest body that there is ever room for, in bytes.
    #[must_use]
    pub const fn largest(&self) -> u64 {
        self.limit - self.limit / RESERVE_DIVISOR
    }

    /// Returns the bytes that bodies take now.
    #[must_use]
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Adds a body that begins to arrive and takes nothing yet.
    ///
    /// It has stalled if nothing of it arrives for `patience`.
    pub fn begin(&mut self, now: Time, patience: Duration) -> BodyId {
        self.last += 1;
        let arrival = Some(Arrival { progress: now, patience });
        self.bodies.insert(self.last, Body { bytes: 0, arrival });
        self.last
    }

    /// Records that a part of a body has arrived.
    pub fn progressed(&mut self, now: Time, id: BodyId) {
        if let Some(Body { arrival: Some(arrival), .. }) = self.bodies.get_mut(&id) {
            arrival.progress = now;
        }
    }

    /// Lets a body take more bytes; returns the bodies that are removed for it, `None` if there is no
    /// room or the body itself was removed.
    pub fn grow(&mut self, now: Time, id: BodyId, bytes: u64) -> Option<Vec<BodyId>> {
        let total = self.bodies.get(&id)?.bytes.saturating_add(bytes);
        let needed = self.used.saturating_add(bytes).saturating_sub(self.ceiling(total));
        let removed = self.removable(now, id, total, needed)?;
        for id in &removed {
            self.end(*id);
        }
        let body = self.bodies.get_mut(&id)?;
        body.bytes = total;
        self.used += bytes;
        Some(removed)
    }

    /// Records that a body is complete, so that it stays; returns false if it was removed before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let body = self.bodies.get_mut(&id).map(|body| body.arrival = None);
        body.is_some()
    }

    /// Removes a body, unless it was removed for another one.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.bytes;
        }
    }

    /// Returns the bytes that all bodies together may take when one of `total` bytes grows.
    ///
    /// A few large bodies that are complete would otherwise keep out the many small ones.
    const fn ceiling(&self, total: u64) -> u64 {
        if total > self.limit / SMALL_DIVISOR { self.largest() } else { self.limit }
    }

    /// Returns the bodies by whose removal `needed` bytes become free, `None` if there are too few.
    fn removable(&self, now: Time, id: BodyId, total: u64, needed: u64) -> Option<Vec<BodyId>> {
        let (mut removed, mut freed) = (Vec::new(), 0);
        if needed == 0 {
            return Some(removed);
        }
        for (other, bytes) in self.candidates(now, id, total) {
            removed.push(other);
            freed += bytes;
            if freed >= needed {
                return Some(removed);
            }
        }
        None
    }

    /// Returns the bodies that may be removed for one of `total` bytes, in order, with their sizes.
    fn candidates(&self, now: Time, id: BodyId, total: u64) -> impl Iterator<Item = (BodyId, u64)> {
        let (mut stalled, mut larger) = (Vec::new(), Vec::new());
        for (other, body) in self.bodies.iter().filter(|(other, _)| **other != id) {
            match &body.arrival {
                Some(Arrival { progress, patience }) if now.since(*progress) >= *patience => {
                    stalled.push((*progress, *other, body.bytes));
                }
                Some(_) if body.bytes > total => larger.push((Reverse(body.bytes), *other)),
                _ => {}
            }
        }
        stalled.sort_unstable();
        larger.sort_unstable();
        let stalled = stalled.into_iter().map(|(_, id, bytes)| (id, bytes));
        stalled.chain(larger.into_iter().map(|(Reverse(bytes), id)| (id, bytes)))
    }
}
