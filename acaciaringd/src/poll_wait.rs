//! Duration of reads that wait for something new at a service of the platform.

use std::sync::Arc;
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
        let members =
            self.shared.view().state.members().filter(|member| Member::alive(member)).count();
        pace::poll_wait(members, self.longest, rand::random())
    }
}
