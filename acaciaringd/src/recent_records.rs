//! Cache of recent log records, for members that cannot reach the log service.

use std::collections::VecDeque;

use acaciaring_core::Generation;
use acaciaring_schema::log::Batch;
use parking_lot::Mutex;

/// Limit on cached records.
const MAX_RECORDS: usize = 2048;

/// Newest records of the log that this process has folded.
#[derive(Debug, Default)]
pub(crate) struct RecentRecords {
    records: Mutex<Records>,
}

#[derive(Debug, Default)]
struct Records {
    generation: Generation,
    start: u64,
    entries: VecDeque<Vec<u8>>,
}

impl RecentRecords {
    /// Adds the records of a folded batch.
    pub(crate) fn keep(&self, batch: &Batch) {
        let mut records = self.records.lock();
        records.generation = Generation(batch.generation);
        for (offset, entry) in (batch.start..).zip(&batch.entries) {
            records.push(offset, entry);
        }
    }

    /// Returns at most `max` records from offset `from`, none if that offset is not cached.
    ///
    /// A batch never starts later than requested: the reader must not mistake a gap for the end of
    /// the log. A reader of a later generation that has read nothing gets all, as it only looks for
    /// the snapshot with which that begins.
    pub(crate) fn read(&self, from: u64, max: u32) -> Batch {
        let records = self.records.lock();
        let next = records.start + records.entries.len() as u64;
        let generation = records.generation;
        let seeks = generation > Generation::default() && from == generation.first();
        let from = if seeks { from.max(records.start) } else { from };
        let mut batch = Batch {
            oldest: records.start,
            next,
            start: from,
            entries: Vec::new(),
            generation: generation.0,
        };
        let Some(skip) =
            from.checked_sub(records.start).and_then(|skip| usize::try_from(skip).ok())
        else {
            return batch;
        };
        let wanted = records.entries.iter().skip(skip).take(max as usize);
        batch.entries = wanted.cloned().collect();
        batch
    }
}

impl Records {
    fn push(&mut self, offset: u64, entry: &[u8]) {
        let next = self.start + self.entries.len() as u64;
        if offset > next || self.entries.is_empty() {
            self.entries.clear();
            self.start = offset;
        } else if offset < next {
            return;
        }
        self.entries.push_back(entry.to_vec());
        if self.entries.len() > MAX_RECORDS {
            self.entries.pop_front();
            self.start += 1;
        }
    }
}
