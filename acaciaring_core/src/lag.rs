//! Estimates how much longer than usual messages of another process are in transit.
//!
//! The two clocks share only their rate. The smallest difference between the receiver's clock and
//! the sender's time stamp belongs to the fastest message; the excess over it is the delay of
//! another one.

use std::time::Duration;

use crate::time::Time;

/// Window of the minimum, which covers one to two windows.
///
/// It is short enough that clock drift within it is small: a drift of a thousandth is 30 ms.
const WINDOW: Duration = Duration::from_secs(30);

/// Delays of the messages of one process.
#[derive(Debug, Clone, Default)]
pub struct DelayEstimator {
    window_start: Time,
    /// Smallest difference in the current window and in the previous one, in microseconds.
    current_min: Option<i64>,
    previous_min: Option<i64>,
}

impl DelayEstimator {
    /// Returns the delay of a message beyond that of the fastest recent one.
    ///
    /// `stamp` is the sender's clock when it sent, `now` the receiver's when it handles the
    /// message, so time in which the receiver was not scheduled counts too. The first message
    /// counts as fast.
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
