//! Encoding of a snapshot as log records.

use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Chunk, Commit, Record};
use prost::Message;
use xxhash_rust::xxh3;

use crate::state::{RecordId, State};

/// Default chunk size in bytes; the record with its framing stays below the log's limit of 256 KiB.
pub const CHUNK_SIZE: usize = 192 * 1024;

/// Returns the records of a snapshot: its chunks of `chunk_size` bytes, then the commit.
///
/// `id` must be random. The records are a function of the arguments, so an append whose
/// acknowledgement was lost can be retried. The commit must be appended after all chunks.
///
/// # Panics
///
/// Panics if the snapshot needs more than `u32::MAX` chunks.
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
    let generation = state.generation().0;
    let record =
        |(index, body)| Record { id: record_id(id, index).to_vec(), body: Some(body), generation };
    (0..).zip(bodies).map(record).collect()
}

/// Returns the XXH3 digest of the concatenated chunks.
pub(super) fn digest(bytes: &[u8]) -> [u8; 16] {
    xxh3::xxh3_128(bytes).to_le_bytes()
}

/// Derives a record id from the snapshot's id and the record's index.
fn record_id(id: RecordId, index: u32) -> RecordId {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(&id);
    hasher.update(&index.to_le_bytes());
    hasher.digest128().to_le_bytes()
}
