//! Monotonic time, passed as an argument to all decisions.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Time on this process's monotonic clock, which advances while the VM is suspended.
///
/// Times of two processes must not be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(Duration);

impl Time {
    /// Origin of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the time at `elapsed` after the origin of the clock.
    #[must_use]
    pub const fn from_start(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns the time at `millis` milliseconds after the origin of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the duration since the origin of the clock.
    #[must_use]
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the duration since `earlier`, zero when `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}
