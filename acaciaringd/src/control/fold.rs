//! Fold of log records into the replicated state, and settlement of own proposals.

use std::mem;
use std::sync::Arc;

use acaciaring_core::state::{Folded, ReplicaError, State};
use acaciaring_core::{Generation, Time};
use acaciaring_schema::log::{Batch, Record, record};
use prost::Message;
use tracing::{Level, debug, enabled, error, info};

use super::Control;
use crate::metrics::Counter;
use crate::reader::Origin;

/// Progress of this member in the log.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// When records were last folded.
    pub(super) last_folded: Time,
    /// When another member was last asked for records.
    pub(super) last_queried: Time,
    /// True once the log was folded to its end.
    pub(super) caught_up: bool,
    /// True once the log was read to its end, even where its generation has not begun.
    pub(super) at_end: bool,
    /// True while reads of the log service end before the position of this member.
    pub(super) regressed: bool,
}

impl Control {
    /// Reports a read of the log service that ends before the position of this member.
    ///
    /// A single one may have been overtaken by records that were passed on.
    pub(super) fn report_regression(&mut self, origin: Origin, batch: &Batch) {
        if !matches!(origin, Origin::Service(_)) {
            return;
        }
        self.context.metrics.count(Counter::LogRegressed, 1);
        if !mem::replace(&mut self.progress.regressed, true) {
            let (position, end) = (self.replica.position(), batch.next);
            info!(position, end, "a read of the log ends before the position of this member");
        }
    }

    /// Folds a batch of records and settles own proposals among them.
    ///
    /// Records of an earlier generation of the log are of an answer that was held up.
    pub(super) fn on_batch(&mut self, now: Time, batch: &Batch) {
        let generation = Generation(batch.generation);
        self.observe_generation(now, generation);
        if generation != self.replica.generation() {
            let present = self.replica.generation();
            debug!(%generation, %present, "ignoring records of an earlier generation of the log");
            return;
        }
        let before = self.replica.state().next();
        self.context.recent.keep(batch);
        match self.fold(batch) {
            Ok(folded) => {
                self.snapshots.track_empty(&folded);
                for record in folded {
                    log_folded(batch, &record);
                    let proposal =
                        record.id.and_then(|id| self.proposals.settle(&id, &record.outcome));
                    if let Some(proposal) = proposal {
                        self.on_settled(&proposal, &record);
                    }
                }
            }
            Err(error) => error!(%error, "cannot fold log records"),
        }
        let state = self.replica.state();
        let alive = |state: &State| state.members().filter(|member| member.alive()).count();
        let members = alive(state).max(alive(&self.state));
        self.context.read_scheduler.folded(self.replica.position(), batch.next, members);
        // The first member of a new cluster finds an empty log and must not wait for a record.
        self.progress.at_end |= self.replica.position() >= batch.next;
        self.progress.caught_up |= self.replica.is_open() && state.next().max(1) >= batch.next;
        if state.next() != before {
            self.progress.last_folded = now;
            let new = batch.entries.iter().zip(batch.start..).filter(|(_, at)| *at >= before);
            let new = new.map(|(entry, _)| entry.clone()).collect();
            let before = mem::replace(&mut self.state, Arc::new(state.clone()));
            if before.generation() < self.state.generation() {
                self.enter_generation(now, &before);
            }
            self.on_folded(now);
            self.pass_on(now, new);
            self.track_moves(now, &before);
        }
    }

    /// Folds a batch; each `Assign` is folded separately, to find units with a first owner.
    ///
    /// Of a generation of the log that has not begun, a batch is read as a whole: a snapshot at its end
    /// may cover how the generation began.
    fn fold(&mut self, batch: &Batch) -> Result<Vec<Folded>, ReplicaError> {
        if !self.replica.is_open() {
            return self.replica.apply_batch(batch);
        }
        let mut folded = Vec::new();
        let mut rest = batch.clone();
        while let Some(index) = rest.entries.iter().position(|entry| is_assign(entry)) {
            let tail = rest.entries.split_off(index);
            let head = Batch { entries: mem::take(&mut rest.entries), ..rest };
            folded.extend(self.replica.apply_batch(&head)?);
            let offset = rest.start + index as u64;
            let assign = Batch { start: offset, entries: tail[..1].to_vec(), ..rest };
            let before = self.unserved_units();
            folded.extend(self.replica.apply_batch(&assign)?);
            self.track_first_owned(before);
            rest = Batch { start: offset + 1, entries: tail[1..].to_vec(), ..rest };
        }
        folded.extend(self.replica.apply_batch(&rest)?);
        Ok(folded)
    }
}

/// Logs a folded record with its body, to trace which record changed an owner.
fn log_folded(batch: &Batch, Folded { offset, outcome, .. }: &Folded) {
    if !enabled!(Level::DEBUG) {
        return;
    }
    let index = usize::try_from(offset.saturating_sub(batch.start)).unwrap_or(usize::MAX);
    let entry = batch.entries.get(index).and_then(|entry| Record::decode(entry.as_slice()).ok());
    let body = entry.and_then(|record| record.body);
    debug!(offset, ?outcome, ?body, "record folded");
}

fn is_assign(entry: &[u8]) -> bool {
    Record::decode(entry).is_ok_and(|record| matches!(record.body, Some(record::Body::Assign(_))))
}
