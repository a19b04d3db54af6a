//! What control and the appender want of the log, shared with the thread that reads it.

use std::time::Duration;

use acaciaring_core::pace::ReadPacer;
use acaciaring_core::{Offset, Time};
use parking_lot::{Condvar, Mutex};

use crate::clock;

/// Pace of the reader, which wakes it from its rest when a record is needed.
#[derive(Debug)]
pub(crate) struct Wanted {
    pace: Mutex<ReadPacer>,
    changed: Condvar,
    /// Reads a second of all members together.
    rate: u32,
}

impl Wanted {
    /// Begins with the first record.
    pub(crate) fn new(rate: u32) -> Self {
        Self { pace: Mutex::new(ReadPacer::new()), changed: Condvar::new(), rate }
    }

    /// Waits until the next read may begin; returns where it begins.
    pub(crate) fn wait(&self) -> Offset {
        let mut pace = self.pace.lock();
        loop {
            let left = pace.remaining(clock::now());
            if left.is_zero() {
                return pace.next();
            }
            self.changed.wait_for(&mut pace, left);
        }
    }

    /// Notes that a read was answered.
    pub(crate) fn answered(&self, now: Time) {
        self.pace.lock().answered(now);
    }

    /// Notes how far the log is folded, where it ends and how many members read it.
    pub(crate) fn folded(&self, next: Offset, end: Offset, members: usize) {
        let mut pace = self.pace.lock();
        pace.folded(next);
        pace.require(end);
        pace.set_rate(members, self.rate);
    }

    /// Wakes the reader for the records before an offset.
    pub(crate) fn need(&self, end: Offset) {
        self.pace.lock().require(end);
        self.changed.notify_all();
    }

    /// Wakes the reader for a record that may stand in the log.
    pub(crate) fn ask(&self) {
        self.pace.lock().expect_record();
        self.changed.notify_all();
    }

    /// Returns the rest between two reads.
    pub(crate) fn rest(&self) -> Duration {
        self.pace.lock().interval()
    }
}
