//! Folding of the log's records, and what became of own proposals.

use std::mem;
use std::sync::Arc;

use acaciaring_core::Time;
use acaciaring_core::state::{Folded, ReplicaError};
use acaciaring_schema::log::{Batch, Record, record};
use prost::Message;
use tracing::error;

use super::Control;

/// How far this member has come in the log.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// When records were last folded.
    pub(super) folded: Time,
    /// When another member was last asked for records.
    pub(super) asked: Time,
    /// True once the log was folded to its end.
    pub(super) caught: bool,
}

impl Control {
    /// Folds records and learns what became of own proposals.
    pub(super) fn batch(&mut self, now: Time, batch: &Batch) {
        let before = self.replica.state().next();
        self.parts.recent.keep(batch);
        match self.fold(batch) {
            Ok(folded) => {
                self.snapshots.note(&folded);
                for record in folded {
                    let proposal =
                        record.id.and_then(|id| self.proposals.settle(&id, &record.outcome));
                    if let Some(proposal) = proposal {
                        self.settled(&proposal, &record);
                    }
                }
            }
            Err(error) => error!(%error, "the log cannot be folded"),
        }
        let state = self.replica.state();
        let members = state.members().filter(|member| member.alive()).count();
        self.parts.wanted.folded(self.replica.position(), batch.next, members);
        // The first member of a new system finds no record; it would wait for one for ever.
        self.progress.caught |= state.next().max(1) >= batch.next;
        if state.next() != before {
            self.progress.folded = now;
            let before = mem::replace(&mut self.state, Arc::new(state.clone()));
            self.folded(now);
            self.note_moves(now, &before);
        }
    }

    /// Folds a batch; an assignment of slots is folded alone, to see which slots are new.
    fn fold(&mut self, batch: &Batch) -> Result<Vec<Folded>, ReplicaError> {
        let mut folded = Vec::new();
        let mut rest = batch.clone();
        while let Some(place) = rest.entries.iter().position(|entry| is_assign(entry)) {
            let tail = rest.entries.split_off(place);
            let head = Batch { entries: mem::take(&mut rest.entries), ..rest };
            folded.extend(self.replica.apply_batch(&head)?);
            let offset = rest.start + place as u64;
            let assign = Batch { start: offset, entries: tail[..1].to_vec(), ..rest };
            let before = self.fresh_units();
            folded.extend(self.replica.apply_batch(&assign)?);
            self.note_founded(before);
            rest = Batch { start: offset + 1, entries: tail[1..].to_vec(), ..rest };
        }
        folded.extend(self.replica.apply_batch(&rest)?);
        Ok(folded)
    }
}

fn is_assign(entry: &[u8]) -> bool {
    Record::decode(entry).is_ok_and(|record| matches!(record.body, Some(record::Body::Assign(_))))
}
