//! Limit on the rate at which requests start at the upstream.

use std::time::Duration;

use crate::time::Time;

/// Time over which unused starts accumulate.
const BURST: Duration = Duration::from_millis(250);

/// Lowest limit, requests per second.
///
/// Guards against an upstream that states zero and could never state another limit, which it does
/// with its answers only.
const MIN_RATE: f64 = 0.5;

/// Token bucket of starts.
#[derive(Debug)]
pub(super) struct RateLimit {
    /// Starts per second.
    rate: f64,
    tokens: f64,
    refilled: Time,
}

impl RateLimit {
    /// Returns a limit of `rate` per second that allows one start at once.
    pub(super) fn new(now: Time, rate: f64) -> Self {
        Self { rate: rate.max(MIN_RATE), tokens: 1.0, refilled: now }
    }

    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate; starts that were saved up are kept.
    pub(super) fn set_rate(&mut self, now: Time, rate: f64) {
        self.tokens = self.tokens(now);
        self.refilled = now;
        self.rate = rate.max(MIN_RATE);
    }

    /// Returns true if a request may start.
    pub(super) fn allows(&self, now: Time) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Returns the time until a request may start.
    pub(super) fn wait(&self, now: Time) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens(now)).max(0.0) / self.rate)
    }

    /// Records a start.
    pub(super) fn take(&mut self, now: Time) {
        self.tokens = self.tokens(now) - 1.0;
        self.refilled = now;
    }

    fn tokens(&self, now: Time) -> f64 {
        let earned = now.since(self.refilled).as_secs_f64() * self.rate;
        (self.tokens + earned).min((self.rate * BURST.as_secs_f64()).max(1.0))
    }
}
