//! When the log is read next.

use std::time::Duration;

use crate::id::Offset;
use crate::time::Time;

/// Longest rest between two reads, however many members there are.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Pace at which one member reads the log, so that the reads of all keep to a common rate.
///
/// Guards against calls that grow with members times records: each record ends the waiting read
/// of each member. A member rests after a read, and records that come meanwhile are read together.
/// It does not rest while something here waits for a record that is known to stand in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadPacer {
    /// Offset of the next record to read.
    next: Offset,
    /// Offset behind the last record that something waits for.
    required: Offset,
    interval: Duration,
    /// When the last read was answered.
    last_read: Time,
}

impl ReadPacer {
    /// Begins with the first record, without a rest.
    #[must_use]
    pub fn new() -> Self {
        Self { next: 1, ..Self::default() }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Notes that a read was answered.
    pub const fn answered(&mut self, now: Time) {
        self.last_read = now;
    }

    /// Notes how far the log is folded.
    pub const fn folded(&mut self, next: Offset) {
        self.next = next;
    }

    /// Notes how many members read, and how often all together may each second.
    pub fn set_rate(&mut self, members: usize, rate: u32) {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(members) / rate.max(1);
        self.interval = interval.min(MAX_INTERVAL);
    }

    /// Notes that something here waits for all records before an offset.
    pub fn require(&mut self, end: Offset) {
        self.required = self.required.max(end);
    }

    /// Notes that a record may stand in the log for which something here waits.
    pub fn expect_record(&mut self) {
        self.require(self.next.saturating_add(1));
    }

    /// Returns the rest between two reads.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns for how long the next read has to wait, zero when it may begin.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        if self.next < self.required {
            return Duration::ZERO;
        }
        (self.last_read + self.interval).since(now)
    }
}
