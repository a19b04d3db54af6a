//! Graceful shutdown of the process.

use std::sync::atomic::Ordering;
use std::time::Duration;

use acaciaring_core::Time;
use tracing::{info, warn};

use super::Control;
use super::identity::EndReason;

/// Time for which a process that is to be started again beside its upstream still serves.
///
/// Callers leave it once it has said twice, a second apart, that it is not ready.
const RESTART_DELAY: Duration = Duration::from_millis(2300);

/// Stop of this process that is under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopping {
    /// When it was asked for.
    since: Time,
    /// True when the next process beside the same upstream takes the place of this one.
    restarting: bool,
    /// True once no request of a caller is left, and none is taken.
    callers_gone: bool,
}

impl Control {
    /// Begins a graceful shutdown that was asked for at `since`.
    pub(super) fn stop(&mut self, now: Time, since: Time) {
        info!("graceful shutdown begins");
        let restarting = self.resumable();
        self.stopping.get_or_insert(Stopping { since, restarting, callers_gone: false });
        self.context.shared.stopping.store(true, Ordering::Release);
        self.report_leaving();
        if restarting {
            return;
        }
        match &mut self.identity {
            Some(identity) => {
                identity.retire(now, EndReason::Stop);
            }
            None => self.proposals.clear(),
        }
    }

    /// Notes that no request of a caller is left.
    pub(super) fn callers_gone(&mut self) {
        if let Some(stopping) = &mut self.stopping {
            stopping.callers_gone = true;
        }
    }

    /// Returns true when the process may exit.
    pub(super) fn finished(&self, now: Time) -> bool {
        let Some(stopping) = self.stopping else { return false };
        if self.identity.is_none() {
            return true;
        }
        let inflight = self.context.shared.inflight.total();
        if now.since(stopping.since) >= self.context.drain_timeout {
            warn!(inflight, "shutdown takes too long, ending it");
            return true;
        }
        if stopping.restarting {
            return self.is_quiescent(inflight) && stopping.callers_gone;
        }
        self.closed && self.all_released()
    }

    /// Returns true once a process that is to be started again runs nothing for its upstream, and says so.
    ///
    /// It goes on until its callers have gone. Guards against a wait for them without control: the
    /// lease lapses in it, and what the upstream holds, so its units would move or be served cold.
    fn is_quiescent(&self, inflight: usize) -> bool {
        // The closed view was published before the count was read, so no request has slipped in.
        let is_quiescent = self.context.shared.view().closed && inflight == 0;
        if is_quiescent {
            // Only the first word is taken.
            let _ = self.context.drained.try_send(());
        }
        is_quiescent
    }

    /// Returns true once a process that is to be started again takes no more requests for its upstream.
    pub(super) fn closed_for_restart(&self, now: Time) -> bool {
        self.stopping.is_some_and(|stop| stop.restarting && now.since(stop.since) >= RESTART_DELAY)
    }

    /// Returns true while this process stops and the next one beside its upstream takes its place.
    pub(super) fn restarting(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.restarting)
    }
}
