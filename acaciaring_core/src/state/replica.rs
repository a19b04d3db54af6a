//! Replica of the state, fed with batches of the log in any pieces.

use acaciaring_schema::log::Batch;
use acaciaring_schema::log::record::Body;
use snafu::{Snafu, ensure};

use super::fold::Decoded;
use super::snapshot::{Assembler, CompleteSnapshot, SnapshotError};
use super::{Outcome, RecordId, State};
use crate::id::Offset;

/// What became of one record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Folded {
    /// Offset of the record.
    pub offset: Offset,
    /// Id by which its proposer knows it, `None` when it does not decode.
    pub id: Option<RecordId>,
    /// Effect.
    pub outcome: Outcome,
}

/// Why a batch brought the replica no further.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReplicaError {
    /// The batch begins after the record that is wanted, which the log still keeps.
    #[snafu(display("the batch begins at {start}, wanted is {position}"))]
    BatchGap {
        /// Offset that must come next.
        position: Offset,
        /// Offset at which the batch begins.
        start: Offset,
    },
    /// The log ends before records that were read from it.
    #[snafu(display("the log ends before {next}, wanted is {position}"))]
    Regressed {
        /// Offset that must come next.
        position: Offset,
        /// End of the log.
        next: Offset,
    },
    /// The log dropped records that are needed and has no whole snapshot up to its end.
    ///
    /// Later batches may still bring one.
    #[snafu(display("the log begins at {oldest} and has no whole snapshot"))]
    HistoryLost {
        /// Offset of the oldest record kept.
        oldest: Offset,
        /// What was wrong with the last whole snapshot, if there was one.
        problem: Option<SnapshotError>,
    },
}

/// State with what it takes to keep up with a log of limited retention.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    state: State,
    assembler: Assembler,
    phase: Phase,
    snapshot_next: Offset,
}

#[derive(Debug, Clone, Default)]
enum Phase {
    /// Each record is folded as it comes.
    #[default]
    Folding,
    /// Records are missing; a snapshot that covers them is looked for.
    Scanning(Scan),
}

/// Search for a snapshot.
#[derive(Debug, Clone)]
struct Scan {
    /// Offset of the first record in `kept`.
    start: Offset,
    /// Records read so far, which a snapshot to come may not cover.
    buffered: Vec<Vec<u8>>,
    problem: Option<SnapshotError>,
}

impl Scan {
    fn new(start: Offset) -> Self {
        Self { start, buffered: Vec::new(), problem: None }
    }

    fn next(&self) -> Offset {
        let count = u64::try_from(self.buffered.len()).unwrap_or(u64::MAX);
        self.start.saturating_add(count)
    }
}

impl Replica {
    /// Returns the state, which may lag behind the log.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns true unless records are missing and a snapshot is looked for.
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

    /// Returns where the newest whole snapshot seen in the log ends, 0 when none was seen.
    #[must_use]
    pub fn snapshot_next(&self) -> Offset {
        self.snapshot_next
    }

    /// Takes a batch and returns the outcomes of the records folded by it, in order.
    ///
    /// Records that were folded before are passed over. When retention has taken
    /// records that are wanted, the replica looks for a snapshot that is newer
    /// than its state and begins within what the log keeps; until it is found the
    /// state stays as it is. Records that a snapshot covers have no outcome here.
    ///
    /// # Errors
    ///
    /// Fails when the batch does not fit or no snapshot was found; the replica is
    /// still good, and the next batch is to begin at [`Self::position`].
    pub fn apply_batch(&mut self, batch: &Batch) -> Result<Vec<Folded>, ReplicaError> {
        let position = self.position();
        ensure!(batch.next >= position, RegressedSnafu { position, next: batch.next });
        if batch.oldest > position {
            // Retention overtook this reader, for example after a long pause. Folding
            // on would skip records, so only a snapshot that covers them may follow.
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
        if let Phase::Scanning(scan) = &self.phase {
            let problem = scan.problem.clone();
            ensure!(scan.next() < batch.next, HistoryLostSnafu { oldest: scan.start, problem });
        }
        Ok(folded)
    }

    fn process_record(&mut self, offset: Offset, entry: &[u8], folded: &mut Vec<Folded>) {
        let record = Decoded::from_bytes(entry);
        let snapshot = record.as_ref().and_then(|record| self.assemble(offset, &record.body));
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

    fn assemble(&mut self, offset: Offset, body: &Body) -> Option<CompleteSnapshot> {
        let snapshot = self.assembler.feed(offset, body)?;
        self.snapshot_next = self.snapshot_next.max(snapshot.next);
        Some(snapshot)
    }

    /// Goes on from a snapshot if no record is missing after it.
    fn load_snapshot(&mut self, snapshot: &CompleteSnapshot, folded: &mut Vec<Folded>) {
        let Phase::Scanning(scan) = &mut self.phase else { return };
        // What the search began with is later than the state, so such a snapshot is newer.
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
}

fn fold(state: &mut State, offset: Offset, record: Option<&Decoded>) -> Folded {
    let outcome = state.fold_decoded(offset, record);
    Folded { offset, id: record.map(|record| record.id), outcome }
}
