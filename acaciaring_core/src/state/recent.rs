//! Ids of the most recently folded records, for detection of duplicate appends.

use std::collections::{BTreeSet, VecDeque};

/// Record id: random bytes, the same for all retries of one append.
pub type RecordId = [u8; 16];

/// Maximum number of retained ids.
///
/// A duplicate is detected only while its id is retained, so a proposer must not retry an append
/// after this many further records. At several hundred appends per second that is about ten seconds,
/// under the usual load hours.
pub const RECENT_MAX: usize = 4096;

/// Bounded FIFO set of record ids.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct RecentIds {
    order: VecDeque<RecordId>,
    ids: BTreeSet<RecordId>,
}

impl RecentIds {
    /// Adds an id and evicts the oldest when full; returns false if the id is already present.
    pub(super) fn insert(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > RECENT_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }

    pub(super) fn contains(&self, id: &RecordId) -> bool {
        self.ids.contains(id)
    }

    /// Returns the ids from oldest to newest.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RecordId> {
        self.order.iter()
    }
}
