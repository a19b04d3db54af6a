//! Replica of the state that follows the log and recovers from a snapshot after log truncation.

use acaciaring_schema::log::Batch;
use snafu::{Snafu, ensure};

use super::fold::Decoded;
use super::snapshot::{Assembler, CompleteSnapshot, SnapshotError};
use super::{Outcome, RecordId, State};
use crate::id::{Generation, Offset};

/// Record folded by a replica, with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Folded {
    /// Offset of the record.
    pub offset: Offset,
    /// Id of the record, `None` when it does not decode.
    pub id: Option<RecordId>,
    /// Effect on the state.
    pub outcome: Outcome,
}

/// Reason why a batch did not bring the replica up to date.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReplicaError {
    /// The batch starts after the replica's position, although the log still has that record.
    #[snafu(display("batch starts at offset {start}, expected offset {position}"))]
    BatchGap {
        /// Offset that must come next.
        position: Offset,
        /// Offset at which the batch begins.
        start: Offset,
    },
    /// The log ends before the replica's position: it lost records that were read from it.
    #[snafu(display("log ends before offset {next}, expected offset {position}"))]
    Regressed {
        /// Offset that must come next.
        position: Offset,
        /// End of the log.
        next: Offset,
    },
    /// The log dropped required records and contains no complete, valid snapshot that covers them.
    ///
    /// Later batches may still contain one.
    #[snafu(display("log starts at offset {oldest} and contains no usable snapshot"))]
    HistoryLost {
        /// Offset of the oldest record in the log.
        oldest: Offset,
        /// Error of the last complete snapshot, if there was one.
        problem: Option<SnapshotError>,
    },
}

/// State with which a generation of the log has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Earlier generation in which the state was folded.
    pub source: Generation,
    /// Offset of the first record of that generation that the state does not include.
    pub next: Offset,
}

impl Opening {
    /// Returns true if a state that was folded up to `next` is continued: all records that it
    /// includes are included in the one with which the generation has begun.
    #[must_use]
    pub fn continues(&self, generation: Generation, next: Offset) -> bool {
        generation == self.source && next <= self.next
    }
}

/// State that follows one generation of a log with limited retention.
///
/// A generation after the first one begins with a snapshot of the state that a member folded in an
/// earlier one. What precedes it in the log has no effect.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    state: State,
    generation: Generation,
    opening: Option<Opening>,
    assembler: Assembler,
    phase: Phase,
    snapshot_next: Offset,
}

#[derive(Debug, Clone, Default)]
enum Phase {
    /// Folding each record as it arrives.
    #[default]
    Folding,
    /// Records are missing; scanning the log for a snapshot that covers them.
    Scanning(Scan),
}

/// Scan of the log for a snapshot.
#[derive(Debug, Clone)]
struct Scan {
    /// Offset of the first record in `buffered`.
    start: Offset,
    /// Records read during the scan; those after the snapshot are folded once it is loaded.
    buffered: Vec<Vec<u8>>,
    problem: Option<SnapshotError>,
    /// First snapshot of an earlier generation, with which this one begins unless a later snapshot
    /// of this generation is found.
    opening: Option<CompleteSnapshot>,
}

impl Scan {
    fn new(start: Offset) -> Self {
        Self { start, buffered: Vec::new(), problem: None, opening: None }
    }

    fn next(&self) -> Offset {
        let count = u64::try_from(self.buffered.len()).unwrap_or(u64::MAX);
        self.start.saturating_add(count)
    }
}

impl Replica {
    /// Creates a replica that has read nothing of a generation.
    #[must_use]
    pub fn in_generation(generation: Generation) -> Self {
        let phase = match generation {
            Generation(0) => Phase::Folding,
            _ => Phase::Scanning(Scan::new(generation.first())),
        };
        Self { generation, phase, ..Self::default() }
    }

    /// Returns the generation of the log that the replica follows.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns true once the state of the generation is known.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state.generation() == self.generation
    }

    /// Returns the state with which the generation began, `None` if its record was not read.
    #[must_use]
    pub fn opening(&self) -> Option<Opening> {
        self.opening
    }

    /// Returns the state, which may lag behind the log.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns true unless the replica is scanning for a snapshot because records are missing.
    #[must_use]
    pub fn folding(&self) -> bool {
        matches!(self.phase, Phase::Folding)
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn position(&self) -> Offset {
        match &self.phase {
            Phase::Folding => self.state.next().max(1),
            Phase::Scanning(scan) => scan.next(),
        }
    }

    /// Returns the offset up to which the newest complete snapshot seen covers the log, 0 if none.
    #[must_use]
    pub fn snapshot_next(&self) -> Offset {
        self.snapshot_next
    }

    /// Applies a batch of the log and returns the outcomes of the records that it folded, in order.
    ///
    /// Records before the replica's position are skipped. If the log has dropped records that the
    /// replica still needs, it scans for a snapshot newer than its state whose records are all in
    /// the log, and leaves the state unchanged until it finds one. Records that the snapshot
    /// covers yield no outcome.
    ///
    /// # Errors
    ///
    /// Fails if the batch does not continue at the position or the scan has found no snapshot by
    /// the end of the log. The replica stays usable; the next batch must start at
    /// [`Self::position`].
    pub fn apply_batch(&mut self, batch: &Batch) -> Result<Vec<Folded>, ReplicaError> {
        let position = self.position();
        ensure!(batch.next >= position, RegressedSnafu { position, next: batch.next });
        if batch.oldest > position {
            // Retention dropped records that were not read yet, for example during a long pause.
            // Folding on would skip them, so the state must come from a snapshot that covers them.
            self.phase = Phase::Scanning(Scan::new(batch.oldest));
        }
        let position = self.position();
        let fits = batch.entries.is_empty() || batch.start <= position;
        ensure!(fits, BatchGapSnafu { position, start: batch.start });
        let mut folded = Vec::new();
        for (offset, entry) in (batch.start..).zip(&batch.entries) {
            if offset >= position {
                self.process_record(offset, entry, &mut folded);
            }
        }
        self.open(&mut folded);
        if !self.is_open() {
            return Ok(folded);
        }
        if let Phase::Scanning(scan) = &self.phase {
            let problem = scan.problem.clone();
            ensure!(scan.next() < batch.next, HistoryLostSnafu { oldest: scan.start, problem });
        }
        Ok(folded)
    }

    /// Returns true for a batch that ends before the position although it was read from within the
    /// log, because later records were folded while it was read.
    #[must_use]
    pub fn is_overtaken(&self, batch: &Batch) -> bool {
        batch.next < self.position() && batch.start <= batch.next
    }

    fn process_record(&mut self, offset: Offset, entry: &[u8], folded: &mut Vec<Folded>) {
        let record = Decoded::from_bytes(entry);
        let snapshot = record.as_ref().and_then(|record| self.assemble(offset, record));
        match &mut self.phase {
            Phase::Folding => folded.push(fold(&mut self.state, offset, record.as_ref())),
            Phase::Scanning(scan) => {
                scan.buffered.push(entry.to_vec());
                if let Some(snapshot) = snapshot {
                    self.load_snapshot(&snapshot, folded);
                }
            }
        }
    }

    fn assemble(&mut self, offset: Offset, record: &Decoded) -> Option<CompleteSnapshot> {
        if record.generation != self.generation {
            return None;
        }
        let snapshot = self.assembler.feed(offset, &record.body)?;
        self.snapshot_next = self.snapshot_next.max(snapshot.next);
        Some(snapshot)
    }

    /// Loads a snapshot and folds the buffered records after it.
    ///
    /// Ignores a snapshot that ends before the scan starts, as records between are missing.
    fn load_snapshot(&mut self, snapshot: &CompleteSnapshot, folded: &mut Vec<Folded>) {
        let is_open = self.is_open();
        let Phase::Scanning(scan) = &mut self.phase else { return };
        if snapshot.next < self.generation.first() {
            if !is_open && scan.opening.is_none() && snapshot.state().is_ok() {
                scan.opening = Some(snapshot.clone());
            }
            return;
        }
        // The scan starts after the state's position, so this snapshot is newer than the state.
        let Some(covered) = snapshot.next.checked_sub(scan.start) else { return };
        match snapshot.state() {
            Ok(state) => self.state = state,
            Err(problem) => {
                scan.problem = Some(problem);
                return;
            }
        }
        let covered = usize::try_from(covered).unwrap_or(usize::MAX);
        for (offset, entry) in (snapshot.next..).zip(scan.buffered.iter().skip(covered)) {
            folded.push(fold(&mut self.state, offset, Decoded::from_bytes(entry).as_ref()));
        }
        self.phase = Phase::Folding;
    }

    /// Begins the generation with the first snapshot of an earlier one, if one was found.
    fn open(&mut self, folded: &mut Vec<Folded>) {
        let Phase::Scanning(scan) = &mut self.phase else { return };
        let Some(snapshot) = scan.opening.take() else { return };
        let Ok(mut state) = snapshot.state() else { return };
        self.opening = Some(Opening { source: state.generation(), next: snapshot.next });
        state.open(self.generation, snapshot.committed);
        self.snapshot_next = state.next();
        let covered =
            usize::try_from(state.next().saturating_sub(scan.start)).unwrap_or(usize::MAX);
        for entry in scan.buffered.iter().skip(covered) {
            let offset = state.next();
            folded.push(fold(&mut state, offset, Decoded::from_bytes(entry).as_ref()));
        }
        self.state = state;
        self.phase = Phase::Folding;
    }
}

fn fold(state: &mut State, offset: Offset, record: Option<&Decoded>) -> Folded {
    let outcome = state.fold_decoded(offset, record);
    Folded { offset, id: record.map(|record| record.id), outcome }
}
