//! Settings of admission control.

use std::time::Duration;

use super::RANK_COUNT;

/// Settings of admission control in front of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Concurrency limit in requests.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub queue: usize,
    /// Concurrency limit of a cold upstream at the start of the ramp.
    pub initial_slots: u32,
    /// Time in which a cold upstream reaches the full concurrency limit.
    pub ramp: Duration,
    /// Service time assumed before the first answer.
    pub service_time: Duration,
    /// Mean deviations added to the service time when a deadline is checked.
    pub deviations: f64,
    /// Minimum share of the slot time per waiting rank, most important rank first.
    ///
    /// The share of critical requests has no effect because they always start first.
    pub min_shares: [f64; RANK_COUNT],
    /// Queue places per rank that only critical requests may take from it, most important rank
    /// first.
    ///
    /// A rank with a small share of the slots needs enough places to absorb bursts.
    pub reserved: [usize; RANK_COUNT],
    /// Minimum retry delay given to a refused caller.
    pub min_retry: Duration,
    /// Maximum time for which an upstream may ask for load shedding.
    ///
    /// Guards against an upstream that asks for hours by mistake and would look unavailable.
    pub max_shed: Duration,
    /// Bytes per second that the link of this VM carries, 0 for no limit.
    pub link_rate: u64,
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
            link_rate: 0,
        }
    }
}
