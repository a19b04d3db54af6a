//! Request rates by unit, and the hottest keys among them.
//!
//! Rates decay exponentially: an event of age `a` counts `2^(-a / half_life)`. Instead of decaying
//! old counts, new events weigh more as time goes on (forward decay, Cormode et al., 2009).

mod sketch;

use std::collections::HashMap;
use std::time::Duration;

use self::sketch::Sketch;
use crate::id::{KeyHash, UnitId};
use crate::time::Time;

/// Half-lives after which counts are scaled down, so that weights do not overflow.
const REBASE_HALF_LIVES: f64 = 64.0;

/// Rate in requests per second below which a unit is dropped.
const MIN_RATE: f64 = 1e-3;

/// Settings of rate measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RateSettings {
    /// Time in which an event loses half of its weight.
    pub half_life: Duration,
    /// Maximum number of keys tracked.
    pub max_keys: usize,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self { half_life: Duration::from_secs(10), max_keys: 1024 }
    }
}

/// Rate of one key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKeyRate {
    /// Unit that contains the key.
    pub unit: UnitId,
    /// Hash of the key.
    pub key: KeyHash,
    /// Lower bound of the key's rate, in requests per second.
    pub rate: f64,
}

/// Request rates of one service at one member.
#[derive(Debug)]
pub struct RequestRates {
    settings: RateSettings,
    start: Time,
    /// Time at which an event weighs 1.
    base: Time,
    total: f64,
    units: HashMap<UnitId, f64>,
    sketch: Sketch,
}

impl RequestRates {
    /// Starts measuring at `now`.
    #[must_use]
    pub fn new(now: Time, settings: RateSettings) -> Self {
        let sketch = Sketch::new(settings.max_keys);
        Self { settings, start: now, base: now, total: 0.0, units: HashMap::new(), sketch }
    }

    /// Records a request.
    pub fn record(&mut self, now: Time, unit: UnitId, key: KeyHash) {
        let mut weight = self.weight(now);
        if weight > REBASE_HALF_LIVES.exp2() {
            self.rebase(now);
            weight = 1.0;
        }
        self.total += weight;
        *self.units.entry(unit).or_default() += weight;
        self.sketch.add(unit, key, weight);
    }

    /// Returns the rate over all units, in requests per second.
    #[must_use]
    pub fn total(&self, now: Time) -> f64 {
        self.rate_of(now, self.total)
    }

    /// Returns the rate of a unit, in requests per second.
    #[must_use]
    pub fn rate(&self, now: Time, unit: UnitId) -> f64 {
        self.units.get(&unit).map_or(0.0, |count| self.rate_of(now, *count))
    }

    /// Returns the rate of each recorded unit, in requests per second.
    pub fn rates(&self, now: Time) -> impl Iterator<Item = (UnitId, f64)> {
        let scale = self.scale(now);
        self.units.iter().map(move |(unit, count)| (*unit, count * scale))
    }

    /// Returns the keys with at least `min_rate` requests per second, hottest first.
    #[must_use]
    pub fn hot_keys(&self, now: Time, min_rate: f64) -> Vec<HotKeyRate> {
        let scale = self.scale(now);
        let rates = self.sketch.counts().map(|(unit, key, count)| HotKeyRate {
            unit,
            key,
            rate: count * scale,
        });
        let mut hot: Vec<_> = rates.filter(|hot| hot.rate >= min_rate && hot.rate > 0.0).collect();
        hot.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.key.cmp(&b.key)));
        hot
    }

    /// Drops a unit that this member no longer owns.
    pub fn forget(&mut self, unit: UnitId) {
        if let Some(count) = self.units.remove(&unit) {
            self.total = (self.total - count).max(0.0);
        }
        self.sketch.forget(unit);
    }

    fn weight(&self, now: Time) -> f64 {
        self.half_lives(now.since(self.base)).exp2()
    }

    fn half_lives(&self, span: Duration) -> f64 {
        span.as_secs_f64() / self.settings.half_life.as_secs_f64()
    }

    fn rate_of(&self, now: Time, count: f64) -> f64 {
        count * self.scale(now)
    }

    /// Returns the factor from a count to requests per second.
    ///
    /// Shortly after the start it is larger, because the measurement covers less than its full
    /// window.
    fn scale(&self, now: Time) -> f64 {
        let coverage = 1.0 - (-self.half_lives(now.since(self.start))).exp2();
        let seconds = self.settings.half_life.as_secs_f64() / std::f64::consts::LN_2;
        1.0 / (self.weight(now) * seconds * coverage.max(0.05))
    }

    fn rebase(&mut self, now: Time) {
        let scale = self.scale(now);
        self.units.retain(|_, count| *count * scale > MIN_RATE);
        let factor = 1.0 / self.weight(now);
        self.total *= factor;
        self.units.values_mut().for_each(|count| *count *= factor);
        self.sketch.scale(factor);
        self.base = now;
    }
}
