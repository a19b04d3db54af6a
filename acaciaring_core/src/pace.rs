//! Pacing of reads of the log.

use std::time::Duration;

use crate::fanout::{PASS_TIMEOUT, READ_INTERVAL, ReadMode};
use crate::id::{Generation, Offset};
use crate::time::Time;

/// Maximum interval between two reads, however many members there are.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Average time between the ends of two waiting reads of all members together.
const POLL_SPACING: Duration = Duration::from_millis(250);

/// Minimum average duration of a waiting read.
const MIN_POLL_WAIT: Duration = Duration::from_secs(1);

/// Returns how long a read may wait for something new, at most `longest`.
///
/// Guards against a service that stops answering above TCP: its open connections look alive, and
/// reads that wait there would notice only after their whole duration that it answers again. Members
/// tell each other what they have read, so it suffices that one of them reads anew soon. The duration
/// grows with the number of members, which keeps their common rate of reads, and `random`, from 0 to
/// 1, spreads the reads of members that began to wait together.
#[must_use]
pub fn poll_wait(members: usize, longest: Duration, random: f64) -> Duration {
    let average = average_poll_wait(members).min(longest.max(MIN_POLL_WAIT));
    average.mul_f64(0.5 + random.clamp(0.0, 1.0)).min(longest)
}

/// Returns the longest duration of a waiting read of one of `members` members.
#[must_use]
pub fn max_poll_wait(members: usize) -> Duration {
    average_poll_wait(members).mul_f64(1.5)
}

fn average_poll_wait(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    POLL_SPACING.saturating_mul(members).max(MIN_POLL_WAIT)
}

/// Paces one member's reads of the log, so that the reads of all members keep to a common rate.
///
/// Guards against a number of reads that grows with members times records, as each record ends the
/// pending read of each member. A member pauses after a read and fetches the records of the pause
/// together. It does not pause while a caller waits for a record known to be in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadPacer {
    generation: Generation,
    /// Offset of the next record to read.
    next: Offset,
    /// Offset after the last record that a caller waits for.
    required: Offset,
    interval: Duration,
    /// Time at which the last read was answered.
    last_read: Time,
    mode: ReadMode,
    /// Time since which a required record has not been passed on.
    missing_since: Option<Time>,
    /// Offset that was required when the present read began.
    sought: Offset,
    /// True when the last read ended before the end of the log.
    partial: bool,
}

impl ReadPacer {
    /// Starts at the first record, without a pause.
    #[must_use]
    pub fn new() -> Self {
        Self { next: 1, ..Self::default() }
    }

    /// Starts at the first record of a generation of the log, without a pause.
    pub const fn restart(&mut self, generation: Generation) {
        self.generation = generation;
        self.next = generation.first();
        self.required = 0;
        self.sought = 0;
        self.last_read = Time::ZERO;
        self.missing_since = None;
        self.partial = false;
    }

    /// Returns the generation of the log that is read.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Records that a read begins.
    pub const fn begin(&mut self) {
        self.sought = self.required;
    }

    /// Records that the log service has answered a read.
    pub const fn answered(&mut self, now: Time) {
        self.answered_by_member(now);
        if matches!(self.mode, ReadMode::Passed) && self.required <= self.sought {
            // The answer contains all records that existed when the read began, so the rest was
            // expected in vain.
            self.required = 0;
            self.missing_since = None;
        }
    }

    /// Records that another member has answered a read, which may lack records of the log.
    pub const fn answered_by_member(&mut self, now: Time) {
        self.last_read = now;
    }

    /// Sets the offset after the last folded record.
    pub const fn folded(&mut self, next: Offset) {
        self.next = next;
    }

    /// Sets the offset after the last folded record, and the end of the log at the last read.
    pub fn folded_until(&mut self, next: Offset, end: Offset) {
        self.folded(next);
        self.require(end);
        self.partial = next < end;
    }

    /// Sets how records reach this member.
    pub const fn set_mode(&mut self, mode: ReadMode) {
        self.mode = mode;
    }

    /// Updates since when a required record has not been passed on.
    pub fn track_missing(&mut self, now: Time) {
        let missing = self.next < self.required;
        self.missing_since = missing.then(|| self.missing_since.unwrap_or(now));
    }

    /// Sets the interval from the number of members and their common rate in reads per second.
    pub fn set_rate(&mut self, members: usize, rate: u32) {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(members) / rate.max(1);
        self.interval = interval.min(MAX_INTERVAL);
    }

    /// Records that a caller waits for all records before `end`.
    pub fn require(&mut self, end: Offset) {
        self.required = self.required.max(end);
    }

    /// Records that a caller waits for a record that may be in the log already.
    pub fn expect_record(&mut self) {
        self.require(self.next.saturating_add(1));
    }

    /// Returns the interval between two reads.
    #[must_use]
    pub const fn interval(&self) -> Duration {
        match self.mode {
            ReadMode::Paced => self.interval,
            ReadMode::Every(interval) => interval,
            ReadMode::Passed => READ_INTERVAL,
        }
    }

    /// Returns the time until the next read may start.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        let missing = self.next < self.required;
        match self.mode {
            _ if missing && self.partial => Duration::ZERO,
            ReadMode::Passed => {
                let due = self.missing_since.map(|since| since + PASS_TIMEOUT);
                due.map_or(MAX_INTERVAL, |due| due.since(now))
            }
            _ if missing => Duration::ZERO,
            ReadMode::Paced => (self.last_read + self.interval).since(now),
            ReadMode::Every(interval) => (self.last_read + interval).since(now),
        }
    }
}
