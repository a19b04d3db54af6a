//! Backoff of a search for each member that it has asked.

use std::time::Duration;

use acaciaring_core::{MemberId, Offset, Time};

/// First delay before a member that did not serve the request is asked again.
const MIN_DELAY: Duration = Duration::from_millis(25);

/// Longest such delay; it doubles each time.
const MAX_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Entry {
    member: MemberId,
    /// Version of the assignment that was known when the member was asked.
    version: Option<Offset>,
    retry_at: Time,
    delay: Duration,
}

/// Backoff of one search for each member that it has asked.
///
/// Guards against a retry storm while a unit has no server: it would take the processor time that
/// members need to recover.
#[derive(Debug, Default)]
pub(super) struct MemberBackoff {
    entries: Vec<Entry>,
}

impl MemberBackoff {
    /// Records that a member did not serve the request under an assignment.
    pub(super) fn record(&mut self, now: Time, member: MemberId, version: Option<Offset>) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.member == member) {
            entry.delay = (entry.delay * 2).min(MAX_DELAY);
            entry.version = version;
            entry.retry_at = now + entry.delay;
            return;
        }
        self.entries.push(Entry { member, version, retry_at: now + MIN_DELAY, delay: MIN_DELAY });
    }

    /// Returns true if a member was not asked yet, its delay is over or the assignment has changed.
    pub(super) fn allows(&self, now: Time, member: MemberId, version: Option<Offset>) -> bool {
        let entry = self.entries.iter().find(|entry| entry.member == member);
        entry.is_none_or(|entry| entry.version != version || now >= entry.retry_at)
    }

    /// Returns the time until the first delay ends.
    pub(super) fn next_delay(&self, now: Time) -> Duration {
        let delays = self.entries.iter().map(|entry| entry.retry_at.since(now));
        delays.filter(|delay| !delay.is_zero()).min().unwrap_or(MIN_DELAY)
    }

    /// Ends all delays.
    pub(super) fn reset(&mut self) {
        self.entries.clear();
    }
}

#[cfg(test)]
mod tests;
