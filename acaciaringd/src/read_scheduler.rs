//! Pacing of log reads, shared between the reader and the threads that need records.

use std::time::Duration;

use acaciaring_core::fanout::ReadMode;
use acaciaring_core::pace::ReadPacer;
use acaciaring_core::{Generation, Offset, Time};
use parking_lot::{Condvar, Mutex};

use crate::clock;

/// Pacer of log reads; wakes the reader early when a record is needed.
#[derive(Debug)]
pub(crate) struct ReadScheduler {
    pace: Mutex<ReadPacer>,
    changed: Condvar,
    /// Maximum rate of reads by all members together, per second.
    rate: u32,
}

impl ReadScheduler {
    /// Creates a pacer that starts at the first record.
    pub(crate) fn new(rate: u32) -> Self {
        Self { pace: Mutex::new(ReadPacer::new()), changed: Condvar::new(), rate }
    }

    /// Waits until the next read is due; returns the generation and the offset that it starts at.
    pub(crate) fn wait(&self) -> (Generation, Offset) {
        let mut pace = self.pace.lock();
        loop {
            let left = pace.remaining(clock::now());
            if left.is_zero() {
                pace.begin();
                return (pace.generation(), pace.next());
            }
            self.changed.wait_for(&mut pace, left);
        }
    }

    /// Starts at the first record of a generation of the log.
    pub(crate) fn restart(&self, generation: Generation) {
        self.pace.lock().restart(generation);
        self.changed.notify_all();
    }

    /// Records that the log service has answered a read.
    pub(crate) fn answered(&self, now: Time) {
        self.pace.lock().answered(now);
    }

    /// Records that another member has answered a read.
    pub(crate) fn answered_by_member(&self, now: Time) {
        self.pace.lock().answered_by_member(now);
    }

    /// Updates the next offset to read, the end of the log and the number of members that read it.
    pub(crate) fn folded(&self, next: Offset, end: Offset, members: usize) {
        let mut pace = self.pace.lock();
        pace.folded_until(next, end);
        pace.set_rate(members, self.rate);
        pace.track_missing(clock::now());
    }

    /// Sets how records reach this member.
    pub(crate) fn set_mode(&self, mode: ReadMode) {
        self.pace.lock().set_mode(mode);
        self.changed.notify_all();
    }

    /// Requests a read of all records before an offset.
    pub(crate) fn request_before(&self, end: Offset) {
        let mut pace = self.pace.lock();
        pace.require(end);
        pace.track_missing(clock::now());
        self.changed.notify_all();
    }

    /// Requests a read, for a record that may be in the log.
    pub(crate) fn request_read(&self) {
        let mut pace = self.pace.lock();
        pace.expect_record();
        pace.track_missing(clock::now());
        self.changed.notify_all();
    }

    /// Returns the interval between two reads.
    pub(crate) fn interval(&self) -> Duration {
        self.pace.lock().interval()
    }
}
