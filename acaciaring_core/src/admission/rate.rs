//! Limit on the rate at which requests start at the upstream.
//!
//! An upstream may state a limit, and one that is cold takes fewer requests for a while. The lower
//! of the two counts.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Time over which unused starts accumulate.
const BURST: Duration = Duration::from_millis(250);

/// Lowest limit, requests per second.
///
/// Guards against an upstream that states zero and could never state another limit, which it does
/// with its answers only.
const MIN_RATE: f64 = 0.5;

/// Span over which the starts at a cold upstream are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Starts per second that a cold upstream tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Starts per second.
    pub rate: f64,
    /// Time until which the upstream stays cold.
    pub until: Time,
}

/// Limits on starts: the one that the upstream states, and the one while it is cold.
#[derive(Debug, Default)]
pub(super) struct RateLimits {
    /// Starts per second that the upstream states.
    stated: Option<f64>,
    cold: Option<ColdLimit>,
    bucket: Option<RateLimit>,
    /// Starts of the last second, oldest first.
    ///
    /// They count against the limit of an upstream that turns cold. Guards against one that gets
    /// its cold limit in addition to what it has just received.
    recent: VecDeque<Time>,
}

impl RateLimits {
    /// Sets the limit that the upstream states.
    pub(super) fn state(&mut self, now: Time, limit: Option<f64>) {
        self.stated = limit;
        self.update(now);
    }

    /// Sets the limit of a cold upstream; `None` for one that is not cold.
    pub(super) fn set_cold(&mut self, now: Time, cold: Option<ColdLimit>) {
        self.cold = cold;
        self.update(now);
    }

    /// Ends the limit of an upstream that is no longer cold; returns true if the limit changed.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let ends = self.cold.is_some_and(|cold| cold.until <= now);
        if ends {
            self.cold = None;
            self.update(now);
        }
        ends
    }

    /// Returns the limit in force, in starts per second.
    pub(super) fn rate(&self) -> Option<f64> {
        self.bucket.as_ref().map(RateLimit::rate)
    }

    /// Returns true if a request may start.
    pub(super) fn allows(&self, now: Time) -> bool {
        self.bucket.as_ref().is_none_or(|bucket| bucket.allows(now))
            && self.window_end(now).is_none()
    }

    /// Returns the time until a request may start.
    pub(super) fn wait(&self, now: Time) -> Duration {
        let bucket = self.bucket.as_ref().map_or(Duration::ZERO, |bucket| bucket.wait(now));
        bucket.max(self.window_end(now).map_or(Duration::ZERO, |end| end.since(now)))
    }

    /// Records a start.
    pub(super) fn take(&mut self, now: Time) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now);
        }
        while self.recent.front().is_some_and(|start| *start + WINDOW <= now) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Returns when a start of the last second no longer counts, if a cold upstream has got as many
    /// as it tolerates.
    fn window_end(&self, now: Time) -> Option<Time> {
        let cold = self.cold.filter(|cold| now < cold.until)?;
        let most = max_starts(cold.rate);
        let index = self.recent.len().checked_sub(most)?;
        self.recent.get(index).map(|start| *start + WINDOW).filter(|end| now < *end)
    }

    fn update(&mut self, now: Time) {
        let cold = self.cold.map(|cold| cold.rate);
        let rate = [self.stated, cold].into_iter().flatten().reduce(f64::min);
        match (&mut self.bucket, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
            (bucket, rate) => *bucket = rate.map(|rate| RateLimit::new(now, rate)),
        }
    }
}

/// Returns how many requests may start within a second at a rate, bursts included.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "it saturates, and is not negative"
)]
fn max_starts(rate: f64) -> usize {
    (rate * (WINDOW + BURST).as_secs_f64()).max(1.0) as usize
}

/// Token bucket of starts.
#[derive(Debug)]
struct RateLimit {
    /// Starts per second.
    rate: f64,
    tokens: f64,
    refilled: Time,
}

impl RateLimit {
    /// Returns a limit of `rate` per second that allows one start at once.
    fn new(now: Time, rate: f64) -> Self {
        Self { rate: rate.max(MIN_RATE), tokens: 1.0, refilled: now }
    }

    fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate; starts that were saved up are kept.
    fn set_rate(&mut self, now: Time, rate: f64) {
        self.tokens = self.tokens(now);
        self.refilled = now;
        self.rate = rate.max(MIN_RATE);
    }

    /// Returns true if a request may start.
    fn allows(&self, now: Time) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Returns the time until a request may start.
    fn wait(&self, now: Time) -> Duration {
        Duration::from_secs_f64((1.0 - self.tokens(now)).max(0.0) / self.rate)
    }

    /// Records a start.
    fn take(&mut self, now: Time) {
        self.tokens = self.tokens(now) - 1.0;
        self.refilled = now;
    }

    fn tokens(&self, now: Time) -> f64 {
        let earned = now.since(self.refilled).as_secs_f64() * self.rate;
        (self.tokens + earned).min((self.rate * BURST.as_secs_f64()).max(1.0))
    }
}
