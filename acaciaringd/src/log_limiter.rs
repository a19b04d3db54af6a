//! Bound on the lines of one kind that are written in a second.

use std::time::Duration;

use acaciaring_core::Time;
use parking_lot::Mutex;

/// Span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines that may be written in each second; the others are counted.
///
/// Guards against an overload whose lines cost more processor time than the requests they are about.
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
    /// Makes a bound of this many lines a second.
    pub(crate) fn new(max_lines: u32) -> Self {
        Self { max_lines, state: Mutex::default() }
    }

    /// Returns how many lines were left out since the last one, `None` when this one is to be left out too.
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
