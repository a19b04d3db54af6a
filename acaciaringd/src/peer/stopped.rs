//! Processes of other members that have announced their stop.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Time for which a stop is remembered; longer than a search for an attempt can last.
const RETENTION: Duration = Duration::from_mins(10);

/// Processes that closed a connection because they stop, by their random ids.
#[derive(Debug, Default)]
pub(super) struct StoppedProcesses(Mutex<HashMap<u64, Instant>>);

impl StoppedProcesses {
    /// Records that a process has stopped.
    pub fn add(&self, now: Instant, process: u64) {
        let mut stops = self.0.lock();
        stops.retain(|_, at| now.duration_since(*at) < RETENTION);
        stops.insert(process, now);
    }

    /// Returns whether a process has stopped.
    pub fn contains(&self, process: u64) -> bool {
        self.0.lock().contains_key(&process)
    }
}
