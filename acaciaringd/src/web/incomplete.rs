//! Limit on the incomplete answers of a client.

use std::sync::atomic::{AtomicU64, Ordering};

use super::held::{HeldBytes, HeldGuard};

/// Bytes of all incomplete answers of a client, and the limit on them.
#[derive(Debug)]
pub(crate) struct IncompleteAnswers {
    bytes: AtomicU64,
    limit: u64,
}

impl IncompleteAnswers {
    /// Creates a limit in bytes.
    pub(crate) const fn new(limit: u64) -> Self {
        Self { bytes: AtomicU64::new(0), limit }
    }

    /// Begins an answer, whose bytes also count as held.
    pub(crate) fn begin(&self, held: &HeldBytes) -> IncompleteAnswer<'_> {
        IncompleteAnswer { all: self, bytes: 0, held: held.hold(0) }
    }
}

/// Answer that is being received; its bytes are counted until it is dropped.
#[derive(Debug)]
pub(crate) struct IncompleteAnswer<'a> {
    all: &'a IncompleteAnswers,
    bytes: u64,
    held: HeldGuard,
}

impl IncompleteAnswer<'_> {
    /// Counts bytes; returns false if the answer takes too much of what is left.
    ///
    /// An answer may be as large as the space that all of them leave free, so a few that never end
    /// leave room for the others.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        let count = bytes as u64;
        self.held.add(bytes);
        self.bytes += count;
        let all = self.all.bytes.fetch_add(count, Ordering::Relaxed) + count;
        self.bytes <= self.all.limit.saturating_sub(all)
    }
}

impl Drop for IncompleteAnswer<'_> {
    fn drop(&mut self) {
        self.all.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
