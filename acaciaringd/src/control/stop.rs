//! Graceful shutdown of the process.

use std::sync::atomic::Ordering;
use std::time::Duration;

use acaciaring_core::Time;
use tracing::{info, warn};

use super::Control;
use super::identity::Retiring;

/// Time for which a process that is to be started again beside its upstream still serves.
///
/// Callers leave it once it has said twice, a second apart, that it is not ready.
const PAUSE: Duration = Duration::from_millis(2300);

/// Stop of this process that is under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopping {
    /// When it was asked for.
    since: Time,
    /// True when the next process beside the same upstream takes the place of this one.
    pausing: bool,
    /// True once no request of a caller is left, and none is taken.
    callerless: bool,
}

impl Control {
    /// Begins a graceful shutdown that was asked for at `since`.
    pub(super) fn stop(&mut self, now: Time, since: Time) {
        info!("graceful shutdown begins");
        let pausing = self.resumable();
        self.stopping.get_or_insert(Stopping { since, pausing, callerless: false });
        self.context.shared.stopping.store(true, Ordering::Release);
        self.report_leaving();
        if pausing {
            return;
        }
        match &mut self.identity {
            Some(identity) => {
                identity.retire(now, Retiring::Stop);
            }
            None => self.proposals.clear(),
        }
    }

    /// Notes that no request of a caller is left.
    pub(super) fn callers_gone(&mut self) {
        if let Some(stopping) = &mut self.stopping {
            stopping.callerless = true;
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
        if stopping.pausing {
            return self.rests(inflight) && stopping.callerless;
        }
        self.closed && self.all_released()
    }

    /// Returns true once a process that is to be started again runs nothing for its upstream, and says so.
    ///
    /// It goes on until its callers have gone. Guards against a wait for them without control: the
    /// lease lapses in it, and what the upstream holds, so its units would move or be served cold.
    fn rests(&self, inflight: usize) -> bool {
        // The closed view was published before the count was read, so no request has slipped in.
        let rests = self.context.shared.view().closed && inflight == 0;
        if rests {
            // Only the first word is taken.
            let _ = self.context.drained.try_send(());
        }
        rests
    }

    /// Returns true once a process that is to be started again takes no more requests for its upstream.
    pub(super) fn paused(&self, now: Time) -> bool {
        self.stopping.is_some_and(|stop| stop.pausing && now.since(stop.since) >= PAUSE)
    }

    /// Returns true while this process stops and the next one beside its upstream takes its place.
    pub(super) fn pausing(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.pausing)
    }
}
