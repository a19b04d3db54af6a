//! Duration of reads that wait for something new at a service of the platform.

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
        pace::poll_wait(self.members(), self.longest, rand::random())
    }

    /// The same for a read of the log, which in a wide fleet few members read.
    pub(crate) fn next_log_read(&self) -> Duration {
        let readers = match self.shared.readers.load(Ordering::Acquire) {
            0 => self.members(),
            readers => readers,
        };
        pace::poll_wait(readers, self.longest, rand::random())
    }

    fn members(&self) -> usize {
        self.shared.view().state.members().filter(|member| Member::alive(member)).count()
    }
}
