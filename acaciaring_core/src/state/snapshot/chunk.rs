//! Snapshot to records of the log.

use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Chunk, Commit, Record};
use prost::Message;
use xxhash_rust::xxh3;

use crate::state::{RecordId, State};

/// Usual bytes of a chunk; with its frame it stays below the log's 256 KiB for one record.
pub const CHUNK_SIZE: usize = 192 * 1024;

/// Returns the records of a snapshot: its chunks, then the commit.
///
/// `id` must be random. The same state, id and size give the same records, so
/// an append whose answer was lost can be repeated. Only after all chunks are
/// appended may the commit be.
///
/// # Panics
///
/// Panics when the state needs more than `u32::MAX` chunks.
#[must_use]
pub fn chunk(state: &State, id: RecordId, chunk_size: usize) -> Vec<Record> {
    let bytes = state.to_snapshot().encode_to_vec();
    let parts = (0..).zip(bytes.chunks(chunk_size.max(1)));
    let chunk = |(index, data): (u32, &[u8])| {
        Body::Chunk(Chunk { snapshot: id.to_vec(), index, data: data.to_vec() })
    };
    let mut bodies: Vec<_> = parts.map(chunk).collect();
    let chunks = u32::try_from(bodies.len()).expect("a state has fewer chunks");
    bodies.push(Body::Commit(Commit {
        snapshot: id.to_vec(),
        next: state.next(),
        chunks,
        digest: digest(&bytes).to_vec(),
    }));
    let record = |(index, body)| Record { id: record_id(id, index).to_vec(), body: Some(body) };
    (0..).zip(bodies).map(record).collect()
}

/// Returns the digest of the joined chunks.
pub(super) fn digest(bytes: &[u8]) -> [u8; 16] {
    xxh3::xxh3_128(bytes).to_le_bytes()
}

/// Derives the id of a snapshot's record.
fn record_id(id: RecordId, index: u32) -> RecordId {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&id);
    hasher.update(&index.to_le_bytes());
    hasher.digest128().to_le_bytes()
}
