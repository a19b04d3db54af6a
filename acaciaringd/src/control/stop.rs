//! Graceful shutdown of the process.

use std::sync::atomic::Ordering;
use std::time::Duration;

use acaciaring_core::Time;
use tracing::{info, warn};

use super::Control;
use super::identity::EndReason;

/// Time for which a process that is to be restarted beside its upstream still serves.
///
/// Callers stop using it after two failed readiness checks, one second apart.
const RESTART_DELAY: Duration = Duration::from_millis(2300);

/// Graceful shutdown in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopping {
    /// When it was requested.
    since: Time,
    /// True when a new process is expected to take over the same upstream.
    restarting: bool,
    /// True once no caller requests are left and none are accepted.
    callers_gone: bool,
}

impl Control {
    /// Begins a graceful shutdown that was requested at `since`.
    pub(super) fn stop(&mut self, now: Time, since: Time) {
        info!("graceful shutdown started");
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

    /// Records that no caller requests are left.
    pub(super) fn callers_gone(&mut self) {
        if let Some(stopping) = &mut self.stopping {
            stopping.callers_gone = true;
        }
    }

    /// Returns true when the process may exit.
    pub(super) fn finished(&self, now: Time) -> bool {
        let Some(stopping) = self.stopping else { return false };
        let inflight = self.context.shared.inflight.total();
        if now.since(stopping.since) >= self.context.drain_timeout {
            warn!(inflight, "graceful shutdown timed out, exiting");
            return true;
        }
        let done = match &self.identity {
            None => true,
            Some(_) if stopping.restarting => self.is_quiescent(inflight) && stopping.callers_gone,
            Some(_) => self.closed && self.all_released(),
        };
        done && self.answers_delivered()
    }

    /// Returns true once no other member waits for the answer of a request that ran here.
    ///
    /// The control thread runs on until then, since it renews the lease: a member that is short of
    /// processor time or loses packets may take seconds to fetch an answer.
    fn answers_delivered(&self) -> bool {
        self.context.transport.refuse_requests() == 0
    }

    /// Returns true once a restarting process runs no requests on its upstream, and announces it.
    ///
    /// The control thread runs on until the callers are gone: without it the lease and the grants
    /// of the upstream would expire meanwhile, and its units would move.
    fn is_quiescent(&self, inflight: usize) -> bool {
        // The closed view was published before the count was read, so no new request can start.
        let is_quiescent = self.context.shared.view().closed && inflight == 0;
        if is_quiescent {
            // Only the first notification counts; the channel holds one.
            let _ = self.context.drained.try_send(());
        }
        is_quiescent
    }

    /// Returns true once a restarting process accepts no more requests for its upstream.
    pub(super) fn closed_for_restart(&self, now: Time) -> bool {
        self.stopping.is_some_and(|stop| stop.restarting && now.since(stop.since) >= RESTART_DELAY)
    }

    /// Returns true while this process stops and a new one is to take over its upstream.
    pub(super) fn restarting(&self) -> bool {
        self.stopping.is_some_and(|stopping| stopping.restarting)
    }
}
