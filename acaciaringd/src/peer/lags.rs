//! Network delays of messages, estimated for each sending process.

use std::collections::HashMap;
use std::time::Duration;

use acaciaring_core::lag::DelayEstimator;
use parking_lot::Mutex;

use crate::clock;

/// Largest number of processes with an estimate; above it all are cleared.
const MAX_PROCESSES: usize = 4096;

/// Delay estimates by the random id of the sender's run of its process.
#[derive(Debug, Default)]
pub(super) struct Lags {
    processes: Mutex<HashMap<u64, DelayEstimator>>,
}

impl Lags {
    /// Returns the delay of a message, given the sender's clock in microseconds; zero without one.
    pub fn delay(&self, process: u64, timestamp: u64) -> Duration {
        if timestamp == 0 {
            return Duration::ZERO;
        }
        let mut processes = self.processes.lock();
        if processes.len() >= MAX_PROCESSES && !processes.contains_key(&process) {
            processes.clear();
        }
        let lag = processes.entry(process).or_default();
        lag.delay(clock::now(), Duration::from_micros(timestamp))
    }
}
