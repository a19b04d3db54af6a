//! Pauses between tries that fail.

use std::time::Duration;

/// Pauses that double up to a longest one.
///
/// Each is spread over its second half: after an outage all members come back in the same moment.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Makes pauses that begin with `first`.
    #[must_use]
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, next: first }
    }

    /// Returns the pause after a failed try.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// Begins anew, after a try that did not fail.
    pub const fn reset(&mut self) {
        self.next = self.first;
    }
}

#[cfg(test)]
mod tests;
