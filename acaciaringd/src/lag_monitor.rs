//! Scheduling delay of this process, measured by a periodic timer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::clock;

/// Interval of the timer.
///
/// Well below the times within which answers are wanted, at twenty wake-ups per second.
const INTERVAL: Duration = Duration::from_millis(50);

/// Timer delay that is normal and not counted as lag.
const TIMER_TOLERANCE: Duration = Duration::from_millis(5);

/// Scheduling delay of the runtime that serves requests.
///
/// Guards against an overloaded machine whose requests wait in socket buffers and seem to have just
/// arrived: the delay estimates that wait, so that requests that cannot be in time are refused
/// early.
#[derive(Debug, Default)]
pub(crate) struct LagMonitor {
    /// Delay in microseconds.
    lag: AtomicU64,
}

impl LagMonitor {
    /// Starts the timer on a runtime, for as long as the runtime runs.
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

    /// Records the delay of a timer, or half the previous value if that is longer.
    fn record(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        let before = self.lag.load(Ordering::Relaxed);
        self.lag.store(delay.max(before / 2), Ordering::Relaxed);
    }

    /// Returns the estimated time for which data read now has waited.
    pub(crate) fn lag(&self) -> Duration {
        Duration::from_micros(self.lag.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests;
