//! Snapshots of the state in the log, so that retention may take the records before them.

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

/// Returns true when `records` records or more stand after what the last snapshot covers.
///
/// `records` must exceed the count of a snapshot's own chunks, or each snapshot
/// would call for the next one.
#[must_use]
pub const fn due(state_next: Offset, last_snapshot_next: Offset, records: u64) -> bool {
    state_next.saturating_sub(last_snapshot_next) >= records
}

/// Returns true when the last snapshot is `age` old or older.
///
/// The log drops records by time, so a quiet log needs snapshots too.
#[must_use]
pub fn aged(now: Time, last: Time, age: Duration) -> bool {
    now.since(last) >= age
}
