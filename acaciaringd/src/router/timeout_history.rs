//! Timeouts that clients state, from which the waiting time of a retrying client is estimated.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::{Name, Time};
use parking_lot::Mutex;

/// Window of the longest stated timeout, which counts for this window and the next.
///
/// Clients of a class state the same timeout on their first try; the window is long enough to see
/// one of these, and short enough to follow a change of that timeout.
const WINDOW: Duration = Duration::from_mins(1);

/// Largest number of classes with a history; above it all are cleared.
const MAX_CLASSES: usize = 4096;

/// Longest timeouts that clients have stated recently, by service and class.
///
/// A client that retries after a refusal states what is left of its timeout. Guards against an
/// overload in which a retry is queued like a new request: its latency target counts from the first
/// try, so it would be answered late behind requests that can wait.
#[derive(Debug, Default)]
pub(crate) struct TimeoutHistory {
    seen: Mutex<HashMap<(Name, Name), LongestTimeout>>,
}

#[derive(Debug, Clone, Copy)]
struct LongestTimeout {
    start: Time,
    timeout: Duration,
    previous: Duration,
}

impl TimeoutHistory {
    /// Estimates for how long a client that states this timeout has already been waiting.
    pub(super) fn estimate_wait(
        &self,
        now: Time,
        service: &Name,
        class: &Name,
        stated: Duration,
    ) -> Duration {
        let key = (Arc::clone(service), Arc::clone(class));
        let mut seen = self.seen.lock();
        if seen.len() > MAX_CLASSES {
            seen.clear();
        }
        let fresh = LongestTimeout { start: now, timeout: stated, previous: Duration::ZERO };
        let longest = seen.entry(key).or_insert(fresh);
        if now.since(longest.start) >= WINDOW {
            *longest = LongestTimeout { start: now, timeout: stated, previous: longest.timeout };
        }
        longest.timeout = longest.timeout.max(stated);
        longest.timeout.max(longest.previous).saturating_sub(stated)
    }
}

#[cfg(test)]
mod tests;
