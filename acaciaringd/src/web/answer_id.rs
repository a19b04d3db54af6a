//! Ids of answers, and those that a connection has carried.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use acaciaring_core::Time;

/// What tells the answer to a request from all others on its connection, such as an id that the
/// server repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerId {
    hash: u64,
    /// Time until which another request may be sent under the same id.
    until: Time,
}

impl AnswerId {
    /// Creates an id under which further requests may be sent until some time.
    #[must_use]
    pub fn new(id: &[u8], until: Time) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self { hash: hasher.finish(), until }
    }
}

/// Ids that a connection has carried and under which further requests may still be sent.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(VecDeque<AnswerId>);

impl CarriedIds {
    /// Adds the id of a request that is about to be sent.
    pub(super) fn add(&mut self, now: Time, id: AnswerId) {
        while self.0.front().is_some_and(|oldest| oldest.until <= now) {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }

    /// Returns true if a request with this id was sent before.
    pub(super) fn contains(&self, id: AnswerId) -> bool {
        self.0.iter().any(|carried| carried.hash == id.hash)
    }
}

#[cfg(test)]
mod tests;
