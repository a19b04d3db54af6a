//! Smoothed service times of the upstream (RFC 6298).

use std::time::Duration;

use super::{Completion, RANK_COUNT};
use crate::route::Rank;

/// Weight of a new sample in the mean, as in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

/// Weight of a new sample in the mean deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Minimum mean in seconds, so that queued work never counts as zero.
const MIN_MEAN_SECS: f64 = 1e-5;

#[derive(Debug, Clone, Copy)]
pub(super) struct Smoothed {
    pub(super) mean: f64,
    deviation: f64,
}

impl Smoothed {
    /// Returns the estimate to which the first value is then added as a sample.
    pub(super) fn first(value: f64) -> Self {
        Self { mean: value, deviation: value / 2.0 }
    }

    /// Returns the mean plus a number of mean deviations.
    pub(super) fn upper(self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }

    pub(super) fn sample(&mut self, value: f64) {
        let error = value - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }
}

/// Smoothed service times, per rank and over all ranks.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    ranks: [Option<Smoothed>; RANK_COUNT],
    all: Smoothed,
    /// Slot time in seconds for which each request counts at the least.
    min_slot_time: f64,
}

impl ServiceTimes {
    pub(super) fn new(assumed: Duration) -> Self {
        let mean = assumed.as_secs_f64().max(MIN_MEAN_SECS);
        Self {
            ranks: [None; RANK_COUNT],
            all: Smoothed { mean, deviation: 0.0 },
            min_slot_time: 0.0,
        }
    }

    /// Adds a sample of the service time.
    ///
    /// A request without an answer took at least this long, so it may only raise the mean.
    /// Otherwise an upstream that fails connections fast would look fast.
    pub(super) fn sample(&mut self, rank: Rank, took: Duration, completion: Completion) {
        let took = took.as_secs_f64().max(MIN_MEAN_SECS);
        let counts = match completion {
            Completion::Answered => true,
            Completion::Refused => false,
            Completion::Unanswered => took > self.mean(rank),
        };
        if counts {
            self.all.sample(took);
            self.ranks[rank as usize].get_or_insert(Smoothed::first(took)).sample(took);
        }
    }

    /// Returns the mean over all ranks, in seconds.
    pub(super) fn overall(&self) -> f64 {
        self.all.mean
    }

    /// Returns the mean of a rank, in seconds; the mean over all ranks before its first sample.
    pub(super) fn mean(&self, rank: Rank) -> f64 {
        self.smoothed(rank).mean
    }

    /// Sets the slot time in seconds for which each request counts at the least.
    pub(super) fn set_min_slot_time(&mut self, seconds: f64) {
        self.min_slot_time = seconds;
    }

    /// Returns the slot time in seconds for which a request of a rank counts.
    pub(super) fn slot_time(&self, rank: Rank) -> f64 {
        self.mean(rank).max(self.min_slot_time)
    }

    /// Returns the mean of a rank plus a number of mean deviations.
    pub(super) fn upper_estimate(&self, rank: Rank, deviations: f64) -> Duration {
        Duration::from_secs_f64(self.smoothed(rank).upper(deviations))
    }

    fn smoothed(&self, rank: Rank) -> Smoothed {
        self.ranks[rank as usize].unwrap_or(self.all)
    }
}
