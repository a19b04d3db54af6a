//! Tests of a replica that follows a log with limited retention.

use acaciaring_core::Offset;
use acaciaring_core::route::DocumentKind::Template;
use acaciaring_core::state::snapshot::chunk;
use acaciaring_core::state::{Outcome, Replica, ReplicaError};
use acaciaring_schema::log::{Batch, DocumentKind};
use prost::Message;

use crate::support::{DATA_CENTRES, Log, encode, join, publish, retire};

/// Appends a snapshot of an earlier state and returns the offset of its first chunk.
fn snapshot(log: &mut Log, earlier: &Log, id: u8) -> Offset {
    let first = log.next();
    for record in chunk(&earlier.state, [id; 16], 200) {
        assert_eq!(log.append_entry(record.encode_to_vec()), Outcome::Applied);
    }
    first
}

fn copy(log: &Log) -> Log {
    Log { entries: log.entries.clone(), state: log.state.clone() }
}

fn publish_spare(log: &mut Log) -> Offset {
    log.applied(publish(DocumentKind::Template, "spare", 0, &[("template", "name", "spare")]))
}

#[test]
fn proposers_learn_the_outcomes_of_their_records() {
    let mut log = Log::default();
    let entry = encode([7; 16], join(0));
    log.append_entry(entry.clone());
    log.append_entry(vec![0xff]);
    log.append_entry(entry);
    let mut replica = Replica::default();
    let folded = replica.apply_batch(&log.batch(1, 1, 10)).expect("a batch from the start");
    let outcomes: Vec<_> = folded.iter().map(|f| (f.offset, f.id, f.outcome.clone())).collect();
    let expected = [
        (1, Some([7; 16]), Outcome::Applied),
        (2, None, Outcome::Undecodable),
        (3, Some([7; 16]), Outcome::Duplicate),
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(replica.state(), &log.state);
    assert_eq!(replica.state().skipped(), 2);
}

/// Guards against a read that counts as a fault of the log because later records were folded while
/// it was under way, and against a log that has lost its end and counts as such a read.
#[test]
fn a_read_that_was_overtaken_differs_from_a_log_that_has_become_shorter() {
    let log = Log::with_service(6, 8);
    let mut replica = Replica::default();
    replica.apply_batch(&log.batch(1, 1, 6)).expect("a batch from the start");
    let position = replica.position();
    let read =
        |from, next| Batch { oldest: 1, next, start: from, entries: Vec::new(), generation: 0 };
    assert!(replica.is_overtaken(&read(position - 2, position - 1)));
    assert!(replica.is_overtaken(&read(position - 1, position - 1)));
    assert!(!replica.is_overtaken(&read(position, position)));
    assert!(!replica.is_overtaken(&read(position, position - 1)));
}

/// Guards against a diverging replica when batches are repeated, overlapping or lost: no record is
/// folded twice or skipped.
#[test]
fn a_gap_is_refused_and_an_overlap_is_passed_over() {
    let log = Log::with_service(6, 8);
    let mut replica = Replica::default();
    assert_eq!(replica.apply_batch(&log.batch(1, 1, 4)).map(|folded| folded.len()), Ok(4));
    let gap = ReplicaError::BatchGap { position: 5, start: 6 };
    assert_eq!(replica.apply_batch(&log.batch(1, 6, 3)), Err(gap));
    assert_eq!(replica.position(), 5);
    assert_eq!(replica.apply_batch(&log.batch(1, 3, 4)).map(|folded| folded.len()), Ok(2));
    assert_eq!(replica.apply_batch(&log.batch(1, 1, 3)), Ok(Vec::new()));
    replica.apply_batch(&log.batch(1, 7, 100)).expect("the rest");
    assert_eq!(replica.state(), &log.state);
    let mut state = log.state.clone();
    let expected = log.next();
    assert_eq!(state.fold(expected + 1, &log.entries[0]), Outcome::Gap { expected });
    assert_eq!(state.fold(expected - 1, &log.entries[0]), Outcome::Gap { expected });
    assert_eq!(state, log.state);
    let shorter = Log { entries: log.entries[..5].to_vec(), ..Log::default() };
    let regressed = ReplicaError::Regressed { position: expected, next: 6 };
    assert_eq!(replica.apply_batch(&shorter.batch(1, 6, 10)), Err(regressed));
}

/// Guards against records skipped or fetched again when a process starts from a snapshot appended
/// later than the state it covers.
#[test]
fn a_newcomer_starts_from_a_snapshot() {
    let mut log = Log::with_service(6, 8);
    let earlier = copy(&log);
    let oldest = earlier.next();
    for centre in 0..DATA_CENTRES.len() {
        log.join(centre);
    }
    snapshot(&mut log, &earlier, 1);
    log.join(0);
    for size in [1, 2, 3, 100] {
        let mut replica = Replica::default();
        let mut folded = 0;
        while replica.position() < log.next() {
            let start = replica.position().max(oldest);
            folded += replica.apply_batch(&log.batch(oldest, start, size)).expect("in order").len();
            assert!(replica.folding() || replica.state().next() == 0);
        }
        assert_eq!(replica.state(), &log.state);
        assert_eq!(replica.snapshot_next(), oldest);
        assert_eq!(folded, log.entries.len() - earlier.entries.len());
    }
}

/// Guards against a retired template restored from a snapshot that was taken before its retirement
/// and appended after it.
#[test]
fn a_retired_template_does_not_return_from_an_old_snapshot() {
    let mut log = Log::with_members(2);
    let base = publish_spare(&mut log);
    let earlier = copy(&log);
    let retired = log.applied(retire(DocumentKind::Template, "spare", base));
    let reader = copy(&log);
    let first_chunk = snapshot(&mut log, &earlier, 1);
    let gone = |replica: &Replica| {
        let document = replica.state().document(Template, "spare");
        document.is_some_and(|document| document.retired && document.version == retired)
    };
    // The retirement is still in the log, so it is folded after the snapshot.
    let mut replica = Replica::default();
    replica.apply_batch(&log.batch(retired, retired, 100)).expect("a usable snapshot");
    assert!(gone(&replica));
    // The retirement is no longer in the log, so a new reader cannot use the snapshot.
    let mut replica = Replica::default();
    let lost = ReplicaError::HistoryLost { oldest: first_chunk, problem: None };
    assert_eq!(replica.apply_batch(&log.batch(first_chunk, first_chunk, 100)), Err(lost));
    assert_eq!(replica.state().next(), 0);
    // A reader that has folded the retirement and fell behind retention needs a newer snapshot.
    let mut replica = Replica::default();
    replica.apply_batch(&reader.batch(1, 1, 100)).expect("the log so far");
    let oldest = first_chunk + 1;
    let batch = log.batch(oldest, oldest, 100);
    assert!(matches!(replica.apply_batch(&batch), Err(ReplicaError::HistoryLost { .. })));
    assert!(gone(&replica) && !replica.folding());
    let newer = copy(&log);
    let start = snapshot(&mut log, &newer, 2);
    log.join(1);
    replica.apply_batch(&log.batch(oldest, start, 100)).expect("a newer snapshot");
    assert!(gone(&replica) && replica.folding());
    assert_eq!(replica.state(), &log.state);
}

/// Guards against a reader that continues after records were dropped by retention: it must restart
/// from a snapshot, or report the lost history when there is none.
#[test]
fn retention_overtakes_a_reader() {
    let mut log = Log::with_service(6, 8);
    let mut replica = Replica::default();
    replica.apply_batch(&log.batch(1, 1, 5)).expect("the first records");
    let before = replica.state().clone();
    let oldest = log.next();
    log.join(0);
    let batch = log.batch(oldest, oldest, 100);
    let lost = ReplicaError::HistoryLost { oldest, problem: None };
    assert_eq!(replica.apply_batch(&batch), Err(lost));
    assert_eq!(replica.state(), &before);
    // Retention also overtakes the search for a snapshot, which then starts again.
    let newer = copy(&log);
    log.join(1);
    let oldest = log.next();
    let start = snapshot(&mut log, &newer, 1);
    assert!(replica.apply_batch(&log.batch(oldest, start, 100)).is_err());
    let newer = copy(&log);
    let start = snapshot(&mut log, &newer, 2);
    assert_eq!(replica.position(), start);
    replica.apply_batch(&log.batch(oldest, start, 100)).expect("a newer snapshot");
    assert_eq!(replica.state(), &log.state);
    // Dropping records that were all read loses nothing.
    let empty = log.batch(log.next(), log.next(), 0);
    assert_eq!(replica.apply_batch(&empty), Ok(Vec::new()));
    assert!(replica.folding());
}
