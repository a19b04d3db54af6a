//! Monotonic clock of this process.

use std::time::Duration;

use acaciaring_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time.
///
/// Uses `CLOCK_BOOTTIME`, which includes the time for which the VM was suspended, so that a lease
/// that expired meanwhile is seen as expired. `CLOCK_MONOTONIC`, and so `std::time::Instant`,
/// excludes that time.
#[must_use]
pub fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Time::from_start(Duration::new(seconds, nanos))
}
