//! Notices of the local upstream: its limit on requests, and that it is leaving.

use acaciaring_core::{Name, Time};
use parking_lot::Mutex;
use tracing::info;

use crate::upstream::UpstreamNotice;

/// What the upstream last said about itself.
#[derive(Default)]
pub(super) struct Notices {
    state: Mutex<Option<State>>,
}

struct State {
    instance: Name,
    notice: UpstreamNotice,
    /// When the newest request was sent whose response named it.
    sent: Time,
}

impl Notices {
    /// Forgets the notice of a former incarnation.
    pub(super) fn reset(&self) {
        *self.state.lock() = None;
    }

    /// Records the notice in the response to a request that was sent at `sent`; returns true if
    /// it is another one than before.
    ///
    /// A response to an earlier request does not ease the notice: responses may be read in another
    /// order than the upstream sent them.
    pub(super) fn observe(&self, sent: Time, instance: &Name, notice: UpstreamNotice) -> bool {
        let mut state = self.state.lock();
        let known = state.as_ref().filter(|state| state.instance == *instance);
        let former = known.map(|known| known.notice).unwrap_or_default();
        let newest = known.map_or(sent, |known| known.sent.max(sent));
        if sent < newest && eases(former, notice) {
            return false;
        }
        *state = Some(State { instance: Name::clone(instance), notice, sent: newest });
        if notice != former {
            let UpstreamNotice { limit, leaving } = notice;
            info!(%instance, ?limit, leaving, "the upstream changed what it says about itself");
        }
        notice != former
    }
}

/// Returns true if `later` allows more requests than `former`.
fn eases(former: UpstreamNotice, later: UpstreamNotice) -> bool {
    let limit = |notice: UpstreamNotice| notice.limit.unwrap_or(f64::INFINITY);
    (former.leaving && !later.leaving) || limit(later) > limit(former)
}

#[cfg(test)]
mod tests;
