//! How late this process is, by its own timers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::clock;

/// Time between two looks: well below the times within which answers are wanted, at twenty wake-ups a second.
const INTERVAL: Duration = Duration::from_millis(50);

/// Lateness that is usual for a timer and says nothing.
const TIMER_TOLERANCE: Duration = Duration::from_millis(5);

/// Lateness of the threads for traffic.
///
/// Guards against a machine that has turned slow: requests wait in its sockets until it reads
/// them, and each seems to have just come. Served in turn all would be late; the lateness tells
/// for how long they have waited, so that what cannot be in time is refused for little.
#[derive(Debug, Default)]
pub(crate) struct LagMonitor {
    /// Microseconds.
    lag: AtomicU64,
}

impl LagMonitor {
    /// Starts to look on the threads of a runtime, for as long as it runs.
    pub(crate) fn start(runtime: &Handle) -> Arc<Self> {
        let monitor = Arc::new(Self::default());
        let recorder = Arc::clone(&monitor);
        runtime.spawn(async move {
            loop {
                let start = clock::now();
                sleep(INTERVAL).await;
                recorder
                    .record(clock::now().since(start).saturating_sub(INTERVAL + TIMER_TOLERANCE));
            }
        });
        monitor
    }

    /// Takes in how late a timer was; what was seen before counts half.
    fn record(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        let before = self.lag.load(Ordering::Relaxed);
        self.lag.store(delay.max(before / 2), Ordering::Relaxed);
    }

    /// Returns for how long what is read now has probably waited.
    pub(crate) fn lag(&self) -> Duration {
        Duration::from_micros(self.lag.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests;
