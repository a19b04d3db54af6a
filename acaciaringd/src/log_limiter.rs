//! Rate limit on log lines of one kind.

use std::time::Duration;

use acaciaring_core::Time;
use parking_lot::Mutex;

/// Window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits log lines per second and counts those that are suppressed.
///
/// Guards against an overload in which logging costs more processor time than serving the requests.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    max_lines: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    start: Time,
    written: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limit of `max_lines` per second.
    pub(crate) fn new(max_lines: u32) -> Self {
        Self { max_lines, state: Mutex::default() }
    }

    /// Returns the number of lines suppressed since the last one, `None` to suppress this one.
    pub(crate) fn admit(&self, now: Time) -> Option<u64> {
        let mut state = self.state.lock();
        if now.since(state.start) >= WINDOW {
            state.start = now;
            state.written = 0;
        }
        if state.written >= self.max_lines {
            state.suppressed += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}

#[cfg(test)]
mod tests;
