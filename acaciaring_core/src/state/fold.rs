//! Folding of one log record into the state.

use acaciaring_schema::log::Record;
use acaciaring_schema::log::record::Body;
use prost::Message;

use super::{Outcome, RecordId, Rejection, State};
use crate::id::{Generation, Offset};

/// Record with a well-formed id and a known body.
#[derive(Debug)]
pub(super) struct Decoded {
    pub(super) id: RecordId,
    pub(super) generation: Generation,
    pub(super) body: Body,
}

impl Decoded {
    /// Decodes a record, or returns `None` for bytes that are not a known record.
    ///
    /// The result depends only on the bytes, so all members agree on it.
    pub(super) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let record = Record::decode(bytes).ok()?;
        let generation = Generation(record.generation);
        Some(Self { id: record.id.try_into().ok()?, generation, body: record.body? })
    }
}

impl State {
    /// Folds the record at `offset`; any bytes are accepted.
    ///
    /// [`Outcome::Gap`] leaves the state unchanged; any other outcome advances it past `offset`.
    pub fn fold(&mut self, offset: Offset, record: &[u8]) -> Outcome {
        self.fold_decoded(offset, Decoded::from_bytes(record).as_ref())
    }

    /// Folds a decoded record, `None` when it does not decode.
    pub(super) fn fold_decoded(&mut self, offset: Offset, record: Option<&Decoded>) -> Outcome {
        let expected = self.next.max(1);
        if offset != expected {
            return Outcome::Gap { expected };
        }
        self.next = offset + 1;
        let outcome = record.map_or(Outcome::Undecodable, |record| self.apply_once(offset, record));
        if !outcome.applied() {
            self.skipped += 1;
        }
        outcome
    }

    fn apply_once(&mut self, offset: Offset, record: &Decoded) -> Outcome {
        // Snapshot records do not change the state, so duplicates are harmless.
        if matches!(record.body, Body::Chunk(_) | Body::Commit(_)) {
            return Outcome::Applied;
        }
        // Its proposer acted on records that the log may have lost.
        if record.generation != self.generation {
            return Outcome::Rejected(Rejection::Generation { generation: record.generation });
        }
        // The id of a rejected record is kept too: its proposer was informed that it has no
        // effect, so a duplicate must not take effect later.
        if !self.recent.insert(record.id) {
            return Outcome::Duplicate;
        }
        match self.apply(offset, &record.body) {
            Ok(()) => Outcome::Applied,
            Err(rejection) => Outcome::Rejected(rejection),
        }
    }

    /// Applies a record atomically, or rejects it and changes nothing.
    fn apply(&mut self, offset: Offset, body: &Body) -> Result<(), Rejection> {
        match body {
            Body::Publish(publish) => self.publish(offset, publish),
            Body::Join(join) => {
                self.join(offset, join);
                Ok(())
            }
            Body::Attach(attach) => self.attach(offset, attach),
            Body::Detach(detach) => self.detach(offset, *detach),
            Body::Lessors(lessors) => self.set_lessors(offset, lessors),
            Body::Assign(assign) => self.assign(offset, assign),
            Body::Switchover(switchover) => self.switch_over(offset, switchover),
            Body::Handoff(handoff) => self.hand_off(offset, handoff),
            Body::Split(split) => self.split(offset, split),
            Body::Merge(merge) => self.merge(offset, merge),
            Body::Leave(leave) => self.leave(offset, *leave),
            Body::Exit(exit) => self.exit(offset, *exit),
            Body::Evict(evict) => self.evict(offset, evict),
            Body::Settle(_) => self.settle(),
            Body::Depart(depart) => self.depart(depart),
            Body::Chunk(_) | Body::Commit(_) => Ok(()),
        }
    }
}
