//! Delays of the messages of other processes.

use std::collections::HashMap;
use std::time::Duration;

use acaciaring_core::lag::DelayEstimator;
use parking_lot::Mutex;

use crate::clock;

/// Processes that are remembered; beyond it all begin anew.
const MOST: usize = 4096;

/// Delays by the random number of the sender's process start.
#[derive(Debug, Default)]
pub(super) struct Lags {
    processes: Mutex<HashMap<u64, DelayEstimator>>,
}

impl Lags {
    /// Returns for how long a message of a process was held up, zero when it states no clock.
    pub fn delay(&self, process: u64, stamp: u64) -> Duration {
        if stamp == 0 {
            return Duration::ZERO;
        }
        let mut processes = self.processes.lock();
        if processes.len() >= MOST && !processes.contains_key(&process) {
            processes.clear();
        }
        let lag = processes.entry(process).or_default();
        lag.delay(clock::now(), Duration::from_micros(stamp))
    }
}
