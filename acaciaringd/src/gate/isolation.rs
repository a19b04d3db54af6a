//! Isolation of requests that were in flight at several crashes of upstreams.

use acaciaring_core::quarantine::Treatment;
use acaciaring_core::{Reason, Refusal};
use tokio::sync::MutexGuard;
use tokio::time::timeout;

use super::{Gate, Job};
use crate::clock;

/// Turn of a request that must run alone, held while it runs.
pub(super) type Turn<'a> = Option<MutexGuard<'a, ()>>;

impl Gate {
    /// Waits for the turn of a request that must run alone, and refuses a quarantined one.
    pub(super) async fn isolate(&self, job: &Job<'_>) -> Result<Turn<'_>, Refusal> {
        let Some(fingerprint) = self.quarantine.suspect(job.request) else { return Ok(None) };
        let mut turn = None;
        loop {
            match self.quarantine.treatment(clock::now(), &fingerprint) {
                Treatment::Refuse(left) => return Err(self.quarantine.refusal(left)),
                // Checked again: the request before it may have crashed the upstream.
                Treatment::Alone if turn.is_none() => turn = Some(self.turn(job).await?),
                Treatment::Normal | Treatment::Watch | Treatment::Alone => return Ok(turn),
            }
        }
    }

    async fn turn(&self, job: &Job<'_>) -> Result<MutexGuard<'_, ()>, Refusal> {
        tokio::select! {
            turn = timeout(job.deadline.since(clock::now()), self.alone.lock()) => {
                turn.map_err(|_| Refusal::not_run(Reason::Expired))
            }
            () = job.cancelled.cancelled() => Err(Refusal::not_run(Reason::Cancelled)),
        }
    }
}
