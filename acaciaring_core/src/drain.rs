//! Deadlines of the requests of callers while their process drains.

use std::time::Duration;

use crate::time::Time;

/// Time before the end of a drain by which requests end, so that their answers are still written.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Drain of a process that stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// Time until which callers are accepted.
    pub accepted: Time,
    /// Time at which the process exits.
    pub end: Time,
}

impl Drain {
    /// Returns the deadline of a request that was complete at `received`.
    ///
    /// Guards against requests that are passed on and cut at the end of the drain. One that is
    /// complete only after callers are accepted is refused, with `None`, unless its deadline is
    /// within the drain; earlier ones get as much time as there is.
    #[must_use]
    pub fn deadline(&self, received: Time, deadline: Time) -> Option<Time> {
        let last = self.end - ANSWER_MARGIN;
        let late = received > self.accepted;
        (deadline <= last || !late).then(|| deadline.min(last))
    }
}
