//! Generations of the log: how a state continues after the log service has lost records.

use super::{Rejection, State};
use crate::id::{Generation, Offset};

impl State {
    /// Returns the generation of the log in which the state was folded.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the offset of the record that began the generation, 0 in the first one.
    ///
    /// All offsets before it were given out by earlier copies of the log, which may have had records
    /// that this state does not include.
    #[must_use]
    pub fn floor(&self) -> Offset {
        self.floor
    }

    /// Returns true while members that missed the beginning of the generation may still serve.
    #[must_use]
    pub fn settling(&self) -> bool {
        self.settling
    }

    /// Returns this state as the one with which a later generation begins.
    ///
    /// `settling` is false only where no earlier copy of the log can have had records.
    #[must_use]
    pub fn for_opening(&self, settling: bool) -> Self {
        Self { settling, ..self.clone() }
    }

    /// Continues in a later generation, which the record at `offset` begins.
    pub(super) fn open(&mut self, generation: Generation, offset: Offset) {
        self.generation = generation;
        self.floor = offset;
        self.next = offset + 1;
    }

    pub(super) fn settle(&mut self) -> Result<(), Rejection> {
        if !self.settling {
            return Err(Rejection::Settled);
        }
        self.settling = false;
        Ok(())
    }
}
