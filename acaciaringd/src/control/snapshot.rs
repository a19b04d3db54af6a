//! Snapshots of the folded state, so that the log service can drop old records.

use std::sync::Arc;

use acaciaring_core::state::Folded;
use acaciaring_core::state::snapshot::{self, CHUNK_SIZE};
use acaciaring_core::{Offset, Time};
use tracing::info;

use super::Control;
use crate::metrics::Counter;

/// Extra records per rank after which a member writes the snapshot in place of a lower rank.
const RECORDS_PER_RANK: u64 = 50;

/// Age of the newest snapshot after which another is written, if there are new records.
const MAX_AGE: std::time::Duration = std::time::Duration::from_mins(10);

/// Extra age per rank, and the least time between two snapshots of one member.
const DELAY_PER_RANK: std::time::Duration = std::time::Duration::from_secs(20);

/// Snapshots in the log, as known to this member.
#[derive(Debug)]
pub(super) struct Snapshots {
    /// End of the newest snapshot, and when it was first seen.
    covered: Offset,
    first_seen: Time,
    /// When this member last wrote a snapshot, and where that ends.
    last_written: Time,
    own_end: Offset,
    /// Offsets of empty records after the end of the newest snapshot.
    ///
    /// Trimming appends one empty record per record that a snapshot covers. They must not count
    /// towards the next snapshot, or each snapshot would soon trigger another.
    empty_records: Vec<Offset>,
}

impl Snapshots {
    /// Creates the state as if a snapshot had been seen at `now`.
    pub(super) fn new(now: Time) -> Self {
        Self {
            covered: 0,
            first_seen: now,
            last_written: Time::ZERO,
            own_end: 0,
            empty_records: Vec::new(),
        }
    }

    /// Records the offsets of empty records.
    pub(super) fn track_empty(&mut self, folded: &[Folded]) {
        let empty = folded.iter().filter(|record| record.id.is_none());
        self.empty_records.extend(empty.map(|record| record.offset));
    }
}

impl Control {
    /// Has the log service drop the records that this member's own snapshot covers.
    fn trim(&self, covered: Offset) {
        if self.snapshots.own_end != covered {
            return;
        }
        let log = Arc::clone(&self.context.log);
        let generation = self.state.generation();
        // Blocks on the log service, which the control thread must never do.
        self.context.transport.runtime().spawn_blocking(move || log.trim(generation, covered));
    }

    /// Writes a snapshot when one is due for the rank of this member.
    pub(super) fn snapshot(&mut self, now: Time) {
        let Some(identity) = &self.identity else { return };
        let Some(rank) = self.state.snapshot_rank(identity.me) else { return };
        if !self.replica.is_open() {
            return;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let newest = self.replica.snapshot_next();
        if newest != self.snapshots.covered {
            self.trim(newest);
            self.snapshots.empty_records.retain(|offset| *offset >= newest);
            self.snapshots.covered = newest;
            self.snapshots.first_seen = now;
        }
        let records =
            self.context.snapshot_records.saturating_add(RECORDS_PER_RANK * u64::from(rank));
        let age = MAX_AGE.saturating_add(DELAY_PER_RANK.saturating_mul(rank));
        let empty = u64::try_from(self.snapshots.empty_records.len()).unwrap_or(u64::MAX);
        let due = snapshot::due(self.state.next().saturating_sub(empty), newest, records);
        let aged =
            self.state.next() > newest && snapshot::aged(now, self.snapshots.first_seen, age);
        if !due && !aged || now.since(self.snapshots.last_written) < DELAY_PER_RANK {
            return;
        }
        self.snapshots.last_written = now;
        self.snapshots.own_end = self.state.next();
        let chunks = snapshot::chunk(&self.state, rand::random(), CHUNK_SIZE);
        info!(next = self.state.next(), records = chunks.len(), "writing a snapshot");
        self.context.metrics.count(Counter::LogSnapshots, 1);
        for record in chunks {
            self.proposals.append(self.state.generation(), record);
        }
    }
}
