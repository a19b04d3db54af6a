//! Members that a search has asked, and from when on they may be asked again.

use std::time::Duration;

use acaciaring_core::{MemberId, Offset, Time};

/// Pause before a member that served nothing is asked again.
const PAUSE: Duration = Duration::from_millis(25);

/// Longest such pause; it doubles with each time.
const LONGEST: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Entry {
    member: MemberId,
    /// Assignment that was known when it was asked.
    version: Option<Offset>,
    again: Time,
    pause: Duration,
}

/// Members that one search has asked.
///
/// Guards against units without server: each request would ask the same member as often as fits into
/// its search, and all of these together take the processor time that members need to serve again.
#[derive(Debug, Default)]
pub(super) struct Asked {
    entries: Vec<Entry>,
}

impl Asked {
    /// Notes that a member has served nothing under an assignment.
    pub(super) fn note(&mut self, now: Time, member: MemberId, version: Option<Offset>) {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.member == member) {
            entry.pause = (entry.pause * 2).min(LONGEST);
            entry.version = version;
            entry.again = now + entry.pause;
            return;
        }
        self.entries.push(Entry { member, version, again: now + PAUSE, pause: PAUSE });
    }

    /// Returns true when a member may be asked: never before, long ago, or under another assignment.
    pub(super) fn may(&self, now: Time, member: MemberId, version: Option<Offset>) -> bool {
        let entry = self.entries.iter().find(|entry| entry.member == member);
        entry.is_none_or(|entry| entry.version != version || now >= entry.again)
    }

    /// Returns how long it takes until the first of the members may be asked whatever has changed.
    pub(super) fn pause(&self, now: Time) -> Duration {
        let again = self.entries.iter().map(|entry| entry.again.since(now));
        again.filter(|pause| !pause.is_zero()).min().unwrap_or(PAUSE)
    }

    /// Lets all members be asked at once.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}

#[cfg(test)]
mod tests;
