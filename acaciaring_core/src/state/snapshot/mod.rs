//! Snapshots of the state, written to the log so that retention can drop the records they cover.

mod assembler;
mod chunk;
mod decode;
mod encode;

use std::time::Duration;

pub use self::assembler::{Assembler, CompleteSnapshot};
pub use self::chunk::{CHUNK_SIZE, chunk};
pub use self::decode::SnapshotError;
use crate::id::Offset;
use crate::time::Time;

/// Returns true if the log has at least `records` records that the last snapshot does not cover.
///
/// `records` must exceed the number of records of a snapshot itself, or each snapshot would trigger
/// the next one.
#[must_use]
pub const fn due(state_next: Offset, last_snapshot_next: Offset, records: u64) -> bool {
    state_next.saturating_sub(last_snapshot_next) >= records
}

/// Returns true if the last snapshot is at least `age` old.
///
/// The log drops records by age, so snapshots are required even without new records.
#[must_use]
pub fn aged(now: Time, last: Time, age: Duration) -> bool {
    now.since(last) >= age
}
