//! Bytes of messages between members in the last seconds, which tell what filled a link.

use std::collections::VecDeque;
use std::time::Duration;

use acaciaring_core::Time;

use crate::peer::Volumes;

/// Span that is kept, about the term of a lease.
const SPAN: Duration = Duration::from_secs(3);

/// Totals at recent moments, oldest first.
#[derive(Debug, Default)]
pub(super) struct VolumeHistory(VecDeque<(Time, Volumes)>);

impl VolumeHistory {
    /// Records the totals at a moment.
    pub(super) fn record(&mut self, now: Time, totals: Volumes) {
        while self.0.get(1).is_some_and(|(at, _)| *at + SPAN <= now) {
            self.0.pop_front();
        }
        self.0.push_back((now, totals));
    }

    /// Returns the bytes since the oldest moment that is kept, and the time since then.
    pub(super) fn recent(&self, now: Time, totals: &Volumes) -> (Duration, Volumes) {
        let oldest = self.0.front();
        oldest.map_or_else(Default::default, |(at, then)| (now.since(*at), totals.since(then)))
    }
}
