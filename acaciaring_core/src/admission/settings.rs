//! Settings of admission.

use std::time::Duration;

use super::RANK_COUNT;

/// Settings of admission beside one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait at most.
    pub queue: usize,
    /// Requests that run at once when the upstream is cold.
    pub initial_slots: u32,
    /// Time in which a cold upstream comes to all its slots.
    pub ramp: Duration,
    /// Service time that is assumed before the first answer.
    pub service_time: Duration,
    /// Mean deviations that are added to the service time when a deadline is checked.
    pub deviations: f64,
    /// Least share of the slot time per rank while it waits, most important rank first.
    ///
    /// The share of critical requests has no effect, they go first.
    pub min_shares: [f64; RANK_COUNT],
    /// Waiting places per rank that no other rank but critical may take, most important rank first.
    ///
    /// A rank that gets a small share of the slots needs enough places to ride out bursts.
    pub reserved: [usize; RANK_COUNT],
    /// Shortest time after which a refused caller is asked to come back.
    pub min_retry: Duration,
    /// Longest time for which an upstream that sheds load is left alone.
    ///
    /// A longer wish is cut. An upstream that asks for hours by mistake would look lost to callers.
    pub max_shed: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            slots: 20,
            queue: 40,
            initial_slots: 2,
            ramp: Duration::from_secs(10),
            service_time: Duration::from_millis(10),
            deviations: 1.0,
            min_shares: [0.0, 0.0, 0.15, 0.05],
            reserved: [0, 0, 8, 8],
            min_retry: Duration::from_millis(50),
            max_shed: Duration::from_secs(30),
        }
    }
}
