//! Ids of the records folded last, against duplicate appends.

use std::collections::{BTreeSet, VecDeque};

/// Id of a record: random bytes chosen once for all tries of one append.
pub type RecordId = [u8; 16];

/// Most ids that are remembered.
///
/// At the log's several hundred appends a second a duplicate is recognised for
/// about ten seconds under full load, for hours under the usual load. A
/// proposer must not repeat an append later than that.
pub const RECENT_MAX: usize = 4096;

/// Bounded window of record ids, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct RecentIds {
    order: VecDeque<RecordId>,
    ids: BTreeSet<RecordId>,
}

impl RecentIds {
    /// Adds an id and returns true, or returns false when it is known.
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

    /// Returns the ids, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RecordId> {
        self.order.iter()
    }
}
