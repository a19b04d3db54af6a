//! Load, latency and failures of one member.

use std::time::Duration;

use super::{Outcome, SelectorSettings};
use crate::time::Time;

/// Weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 1.0 / 8.0;

/// Idle time after which a member is probed whatever its cost, as a multiple of its latency.
///
/// The multiple bounds the fraction of one caller's time that probes of a slow member cost.
const PROBE_INTERVAL_LATENCIES: u32 = 16;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 10;

#[derive(Debug)]
pub(super) struct Peer {
    /// Requests in flight or waiting, as last reported.
    busy: f64,
    capacity: f64,
    reported: Time,
    /// Own requests sent since the report, less those that have ended since.
    sent_since: f64,
    /// Own requests in flight.
    in_flight: f64,
    /// Smoothed latency in seconds, `None` before the first answer.
    latency: Option<f64>,
    sampled: Time,
    /// Time at which a request was last sent.
    last_sent: Time,
    cold_since: Option<Time>,
    backoff_until: Time,
    ejected_until: Time,
    failures: u32,
}

impl Peer {
    pub(super) fn new(now: Time, settings: &SelectorSettings, cold: bool) -> Self {
        Self {
            busy: 0.0,
            capacity: f64::from(settings.slots),
            reported: now,
            sent_since: 0.0,
            in_flight: 0.0,
            latency: None,
            sampled: now,
            last_sent: now,
            cold_since: cold.then_some(now),
            backoff_until: Time::ZERO,
            ejected_until: Time::ZERO,
            failures: 0,
        }
    }

    pub(super) fn report(&mut self, now: Time, busy: u32, capacity: u32) {
        self.busy = f64::from(busy);
        self.capacity = f64::from(capacity.max(1));
        self.reported = now;
        self.sent_since = 0.0;
    }

    pub(super) fn back_off_until(&mut self, until: Time) {
        self.backoff_until = self.backoff_until.max(until);
    }

    pub(super) fn sent(&mut self, now: Time) {
        self.last_sent = now;
        self.sent_since += 1.0;
        self.in_flight += 1.0;
    }

    pub(super) fn done(
        &mut self,
        now: Time,
        outcome: Outcome,
        settings: &SelectorSettings,
        mean_latency: f64,
    ) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        self.sent_since = (self.sent_since - 1.0).max(0.0);
        match outcome {
            Outcome::Answered(took) => {
                self.failures = 0;
                self.sample(now, took.as_secs_f64(), settings, mean_latency);
            }
            Outcome::Refused(retry) => self.back_off_until(now + retry.unwrap_or_default()),
            Outcome::Failed => self.fail(now, settings),
            Outcome::Cancelled(took) => {
                let took = took.as_secs_f64();
                if took > self.latency(now, settings, mean_latency) {
                    self.sample(now, took, settings, mean_latency);
                }
            }
        }
    }

    fn sample(&mut self, now: Time, took: f64, settings: &SelectorSettings, mean_latency: f64) {
        // The sample is added to the decayed latency; otherwise a single probe would restore an old
        // high latency that had decayed.
        let latency = self.latency(now, settings, mean_latency);
        // A sample after a long gap weighs more; otherwise a rarely probed member would look slow
        // long after it has warmed up.
        let age = now.since(self.sampled);
        let share = LATENCY_WEIGHT.max(1.0 - decay(age, settings.half_life));
        self.latency = Some(latency + share * (took - latency));
        self.sampled = now;
    }

    /// Returns true when the member was idle for so long that it should be probed.
    ///
    /// Guards against a new member that was slow while its caches were cold: while the others carry
    /// the load it gets no requests, so its latency would never be corrected.
    pub(super) fn probe_due(
        &self,
        now: Time,
        settings: &SelectorSettings,
        mean_latency: f64,
    ) -> bool {
        let latency = Duration::from_secs_f64(self.latency(now, settings, mean_latency));
        now.since(self.last_sent) >= latency * PROBE_INTERVAL_LATENCIES
    }

    /// Returns the smoothed latency in seconds.
    ///
    /// An unconfirmed latency decays towards the mean, so that a member that was slow once is tried
    /// again.
    pub(super) fn latency(&self, now: Time, settings: &SelectorSettings, mean_latency: f64) -> f64 {
        let known = self.latency.unwrap_or(mean_latency);
        mean_latency
            + (known - mean_latency) * decay(now.since(self.sampled), settings.half_life * 4)
    }

    fn fail(&mut self, now: Time, settings: &SelectorSettings) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let pause =
            settings.base_ejection.saturating_mul(1 << doublings).min(settings.max_ejection);
        self.ejected_until = self.ejected_until.max(now + pause);
    }

    pub(super) fn available(&self, now: Time) -> bool {
        !self.shedding(now) && self.ejected_until <= now
    }

    pub(super) fn shedding(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    pub(super) fn retry_after(&self, now: Time) -> Option<Duration> {
        self.shedding(now).then(|| self.backoff_until.since(now))
    }

    pub(super) fn cost(&self, now: Time, settings: &SelectorSettings, mean_latency: f64) -> f64 {
        let latency = self.latency(now, settings, mean_latency);
        latency * (self.busy(now, settings) + 1.0)
            / (self.capacity * self.ramp_share(now, settings))
    }

    /// Returns the load as a fraction of capacity.
    pub(super) fn load(&self, now: Time, settings: &SelectorSettings) -> f64 {
        self.busy(now, settings) / (self.capacity * self.ramp_share(now, settings))
    }

    fn busy(&self, now: Time, settings: &SelectorSettings) -> f64 {
        let fresh = decay(now.since(self.reported), settings.half_life);
        // Own requests in flight count even if no report includes them.
        (self.busy * fresh + self.sent_since).max(self.in_flight)
    }

    /// Returns the fraction of its capacity that a cold member is given.
    fn ramp_share(&self, now: Time, settings: &SelectorSettings) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let grown = now.since(since).as_secs_f64() / settings.ramp.as_secs_f64();
        (settings.initial_share + (1.0 - settings.initial_share) * grown).min(1.0)
    }
}

/// Returns the remaining weight of a value of this age.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
