//! For how long callers wait, and so which of them have come before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::{Name, Time};
use parking_lot::Mutex;

/// Time for which the longest span that callers stated counts, and twice that at most.
///
/// Callers of a class state the same span at first; a minute is long enough to see it, and short
/// enough to follow operators who change it.
const WINDOW: Duration = Duration::from_mins(1);

/// Classes that are remembered; beyond it all begin anew.
const MAX_CLASSES: usize = 4096;

/// Longest spans that callers have stated lately, by service and class.
///
/// A caller that was refused and has come back states what is left of its time. Guards against an
/// overload in which it counts like a new one: its answer is wanted as soon as was that of its
/// first try, and it would be served late after it was passed by others that can wait.
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
    /// Returns for how long a caller that states `asked` has probably been waiting.
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
