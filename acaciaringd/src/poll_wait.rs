//! Reads that wait for something new at a service of the platform: whether and for how long.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use acaciaring_core::pace;
use acaciaring_core::state::Member;

use crate::view::Shared;

/// Source of the durations of waiting reads, which depend on the number of live members.
#[derive(Clone)]
pub struct PollWait {
    shared: Arc<Shared>,
    longest: Duration,
}

impl PollWait {
    pub(crate) const fn new(shared: Arc<Shared>, longest: Duration) -> Self {
        Self { shared, longest }
    }

    /// Returns how long the next read may wait, a random time so that members read in turn.
    #[must_use]
    pub fn next(&self) -> Duration {
        let readers = match self.shared.readers.load(Ordering::Acquire) {
            0 => self.shared.view().state.members().filter(|member| Member::alive(member)).count(),
            readers => readers,
        };
        pace::poll_wait(readers, self.longest, rand::random())
    }

    /// Returns false while other members pass on what is new, so that this one need not read.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        !self.shared.passed.load(Ordering::Acquire)
    }
}
