//! Members that a search has asked, and from when on they may be asked again.

use std::time::Duration;

use acaciaring_core::{MemberId, Offset, Time};

/// Pause before a member that served nothing is asked again.
const MIN_DELAY: Duration = Duration::from_millis(25);

/// Longest such pause; it doubles with each time.
const MAX_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Entry {
    member: MemberId,
    /// Assignment that was known when it was asked.
    version: Option<Offset>,
    retry_at: Time,
    delay: Duration,
}

/// Members that one search has asked.
///
/// Guards against units without server: each request would ask the same member as often as fits into
/// its search, and all of these together take the processor time that members need to serve again.
#[derive(Debug, Default)]
pub(super) struct MemberBackoff {
    entries: Vec<Entry>,
}

impl MemberBackoff {
    /// Notes that a member has served nothing under an assignment.
    pub(super) fn record(&mut self, now: Time, member: MemberId, version: Option<Offset>) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.member == member) {
            entry.delay = (entry.delay * 2).min(MAX_DELAY);
            entry.version = version;
            entry.retry_at = now + entry.delay;
            return;
        }
        self.entries.push(Entry { member, version, retry_at: now + MIN_DELAY, delay: MIN_DELAY });
    }

    /// Returns true when a member may be asked: never before, long ago, or under another assignment.
    pub(super) fn allows(&self, now: Time, member: MemberId, version: Option<Offset>) -> bool {
        let entry = self.entries.iter().find(|entry| entry.member == member);
        entry.is_none_or(|entry| entry.version != version || now >= entry.retry_at)
    }

    /// Returns how long it takes until the first of the members may be asked whatever has changed.
    pub(super) fn next_delay(&self, now: Time) -> Duration {
        let delays = self.entries.iter().map(|entry| entry.retry_at.since(now));
        delays.filter(|delay| !delay.is_zero()).min().unwrap_or(MIN_DELAY)
    }

    /// Lets all members be asked at once.
    pub(super) fn reset(&mut self) {
        self.entries.clear();
    }
}

#[cfg(test)]
mod tests;
