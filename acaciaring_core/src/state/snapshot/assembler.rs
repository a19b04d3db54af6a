//! Reassembly of snapshots from log records.

use std::collections::BTreeMap;

use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Chunk, Commit};
use acaciaring_schema::state::Snapshot;
use prost::Message;

use super::chunk::digest;
use super::decode::{NextSnafu, SnapshotError};
use crate::id::Offset;
use crate::state::{RecordId, State};

/// Maximum number of partial snapshots held.
const PARTIAL_MAX: usize = 8;

/// Maximum size in bytes of all chunks held.
const BYTES_MAX: usize = 64 << 20;

/// Reassembles snapshots from their chunks while the log is read.
///
/// Accepts any chunks and never yields a snapshot with a missing or corrupt one. Memory is bounded:
/// when a limit is exceeded, the partial snapshot without a chunk for the longest time is evicted.
#[derive(Debug, Clone, Default)]
pub struct Assembler {
    partial: BTreeMap<RecordId, Partial>,
}

/// Snapshot that is not committed yet.
#[derive(Debug, Clone, Default)]
struct Partial {
    chunks: BTreeMap<u32, Vec<u8>>,
    bytes: usize,
    last_offset: Offset,
}

/// Committed snapshot with all chunks and a matching digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteSnapshot {
    /// Offset of the first record not covered by the snapshot.
    pub next: Offset,
    /// Offset of the commit record.
    pub committed: Offset,
    bytes: Vec<u8>,
}

impl CompleteSnapshot {
    /// Decodes and restores the state.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot is invalid or its offset differs from that of the commit record.
    pub fn state(&self) -> Result<State, SnapshotError> {
        let snapshot = Snapshot::decode(&*self.bytes).map_err(|_| SnapshotError::Undecodable)?;
        if snapshot.next != self.next {
            return NextSnafu { next: snapshot.next }.fail();
        }
        State::from_snapshot(&snapshot)
    }
}

impl Assembler {
    /// Processes the record at `offset` and returns the snapshot that it completes, if any.
    pub fn feed(&mut self, offset: Offset, body: &Body) -> Option<CompleteSnapshot> {
        match body {
            Body::Chunk(chunk) => {
                self.add(offset, chunk);
                None
            }
            Body::Commit(commit) => self.complete(offset, commit),
            _ => None,
        }
    }

    fn add(&mut self, offset: Offset, chunk: &Chunk) {
        let Ok(id) = chunk.snapshot.as_slice().try_into() else { return };
        let partial = self.partial.entry(id).or_default();
        partial.last_offset = offset;
        // A retried append repeats the same chunk; the digest detects one that differs.
        if let Some(old) = partial.chunks.insert(chunk.index, chunk.data.clone()) {
            partial.bytes -= old.len();
        }
        partial.bytes += chunk.data.len();
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        let bytes =
            |partial: &BTreeMap<_, Partial>| partial.values().map(|p| p.bytes).sum::<usize>();
        while self.partial.len() > PARTIAL_MAX || bytes(&self.partial) > BYTES_MAX {
            let oldest = self.partial.iter().min_by_key(|(_, partial)| partial.last_offset);
            let Some(id) = oldest.map(|(id, _)| *id) else { return };
            self.partial.remove(&id);
        }
    }

    fn complete(&mut self, offset: Offset, commit: &Commit) -> Option<CompleteSnapshot> {
        let id: RecordId = commit.snapshot.as_slice().try_into().ok()?;
        let partial = self.partial.remove(&id)?;
        let indices = partial.chunks.keys().copied();
        let complete = indices.eq(0..commit.chunks) && commit.next <= offset;
        let bytes = partial.chunks.into_values().collect::<Vec<_>>().concat();
        let digest_matches = commit.digest == digest(&bytes);
        (complete && digest_matches).then_some(CompleteSnapshot {
            next: commit.next,
            committed: offset,
            bytes,
        })
    }
}
