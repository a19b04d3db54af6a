//! How much longer than usual messages of another process are under way.
//!
//! The two clocks have nothing in common but their rate. The smallest difference between the
//! receiver's clock and the sender's stamp belongs to the fastest message; how far another one
//! lies above it is its delay beyond that.

use std::time::Duration;

use crate::time::Time;

/// Span over which the smallest difference is sought, and twice that at most.
///
/// Clocks that drift by a thousandth move by 30 ms in it.
const WINDOW: Duration = Duration::from_secs(30);

/// Delays of the messages of one process.
#[derive(Debug, Clone, Default)]
pub struct DelayEstimator {
    window_start: Time,
    /// Smallest difference in this window and the one before, in microseconds.
    current_min: Option<i64>,
    previous_min: Option<i64>,
}

impl DelayEstimator {
    /// Returns for how long a message was under way beyond the fastest one lately.
    ///
    /// `stamp` is the sender's clock when it sent, `now` the receiver's when the message is dealt
    /// with, so time in which the receiver had no processor counts too. The first message counts
    /// as fast.
    pub fn delay(&mut self, now: Time, stamp: Duration) -> Duration {
        let difference = micros(now.since_start()).saturating_sub(micros(stamp));
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.previous_min = self.current_min.take();
        }
        let min = self.current_min.map_or(difference, |min| min.min(difference));
        self.current_min = Some(min);
        let base = self.previous_min.map_or(min, |previous| previous.min(min));
        Duration::from_micros(u64::try_from(difference.saturating_sub(base)).unwrap_or(0))
    }
}

fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}
