//! Exponential backoff with jitter.

use std::time::Duration;

/// Delays that double after each failure, up to a limit.
///
/// Jitter over the upper half of each delay keeps members from retrying at the same moment after an
/// outage.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `first`.
    #[must_use]
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, next: first }
    }

    /// Returns the delay before the next attempt, after a failed one.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// Resets the delay after a successful attempt.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
mod tests;
