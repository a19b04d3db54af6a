//! Tests of the content, validation and assembly of snapshots.

use acaciaring_core::state::State;
use acaciaring_core::state::snapshot::{
    Assembler, CompleteSnapshot, SnapshotError, aged, chunk, due,
};
use acaciaring_core::{KeyHash, Time};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Leave, Record, Split, Unit};
use acaciaring_schema::state::{HotKey, Snapshot};
use std::time::Duration;

use crate::support::{CONTRACTS, Log, retire};

/// Returns a log whose state has an entry of every kind.
fn populated_log() -> Log {
    let mut log = Log::with_service(8, 32);
    let key = KeyHash::of(b"contract-17");
    let unit = Unit { key: Some(key.0), ..log.unit(key.slot(32)) };
    let index = usize::try_from(unit.slot).expect("a small slot");
    let member = log.slot(index).owner.expect("owned").0;
    log.applied(Body::Split(Split { member, workspace: CONTRACTS.to_owned(), units: vec![unit] }));
    let ids: Vec<_> = log.state.members().map(|member| member.id).collect();
    log.applied(log.evict(ids[6]));
    log.applied(log.evict(ids[2]));
    log.applied(Body::Leave(Leave { member: ids[4].0, applied: log.state.next() }));
    log.append_entry(vec![0xff]);
    log
}

fn feed(assembler: &mut Assembler, log: &mut Log, record: &Record) -> Option<CompleteSnapshot> {
    let body = record.body.clone().expect("a body");
    log.applied(body.clone());
    assembler.feed(log.state.next() - 1, &body)
}

#[test]
fn a_snapshot_gives_the_state_back() {
    let log = populated_log();
    let snapshot = log.state.to_snapshot();
    assert_eq!(State::from_snapshot(&snapshot), Ok(log.state));
    assert_eq!(State::from_snapshot(&Snapshot::default()), Ok(State::default()));
}

#[test]
fn a_malformed_snapshot_is_refused() {
    let log = populated_log();
    let good = log.state.to_snapshot();
    let owner = good.services[0].slots[0].owner;
    let dead = good.members.last().expect("members").id;
    let changes: [fn(&mut Snapshot, u64, u64); 13] = [
        |s, _, _| s.next = 1 << 62,
        |s, _, _| s.next = 3,
        |s, _, _| s.members[0].phase = 0,
        |s, _, _| s.members[0].join = None,
        |s, _, _| s.members[1].id = s.members[0].id,
        |s, _, _| s.members[5].lessors.reverse(),
        |s, _, _| s.members[5].lessors[0] = 1,
        |s, owner, _| s.services[0].slots[0].standby = owner,
        |s, _, dead| s.services[0].slots[0].owner = dead,
        |s, _, _| s.services[0].slots[0].token = s.services[0].slots[0].version + 1,
        |s, _, _| s.services[0].slots.truncate(31),
        |s, _, _| s.services[0].hot.push(HotKey { key: 1, slot: 0, assignment: None }),
        |s, _, _| s.recent[0] = s.recent[1].clone(),
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let mut bad = good.clone();
        change(&mut bad, owner, dead);
        assert!(State::from_snapshot(&bad).is_err(), "change {index} passes");
    }
    let mut bad = good.clone();
    bad.documents.retain(|document| document.name != "keyed");
    assert!(matches!(State::from_snapshot(&bad), Err(SnapshotError::Routes { .. })));
}

/// Guards against mixed-up chunks when two members write snapshots at once and one repeats a chunk.
#[test]
fn chunks_of_two_writers_are_kept_apart() {
    let mut log = populated_log();
    let mut assembler = Assembler::default();
    let (one, state) = (chunk(&log.state, [1; 16], 100), log.state.clone());
    log.applied(retire_contracts(&log));
    let (two, later) = (chunk(&log.state, [2; 16], 100), log.state.clone());
    let mut whole = Vec::new();
    for (one, two) in one.iter().zip(&two) {
        for record in [one, one, two] {
            whole.extend(feed(&mut assembler, &mut log, record));
        }
    }
    for record in two.iter().skip(one.len()).chain(one.iter().skip(two.len())) {
        whole.extend(feed(&mut assembler, &mut log, record));
    }
    whole.sort_by_key(|whole| whole.next);
    let states: Vec<_> = whole.iter().map(CompleteSnapshot::state).collect();
    assert_eq!(states, [Ok(state), Ok(later)]);
}

fn retire_contracts(log: &Log) -> Body {
    let kind = acaciaring_core::route::DocumentKind::Parameters;
    let base = log.state.document(kind, CONTRACTS).expect("published").version;
    retire(acaciaring_schema::log::DocumentKind::Parameters, CONTRACTS, base)
}

/// Guards against a diverging reader that accepts an incomplete or corrupt snapshot.
#[test]
fn incomplete_and_corrupt_snapshots_are_not_taken() {
    let log = populated_log();
    let good = chunk(&log.state, [1; 16], 100);
    let last = good.len() - 1;
    let mut broken = Vec::new();
    for index in [0, last / 2, last - 1] {
        let mut missing = good.clone();
        missing.remove(index);
        broken.push(missing);
        let mut corrupt = good.clone();
        let Some(Body::Chunk(chunk)) = &mut corrupt[index].body else { panic!("a chunk") };
        chunk.data[0] ^= 1;
        broken.push(corrupt);
    }
    for change in 0..3 {
        let mut wrong = good.clone();
        let Some(Body::Commit(commit)) = &mut wrong[last].body else { panic!("a commit") };
        match change {
            0 => commit.chunks -= 1,
            1 => commit.digest.truncate(15),
            _ => commit.next = 1_000_000,
        }
        broken.push(wrong);
    }
    for records in broken {
        let mut assembler = Assembler::default();
        let mut log = populated_log();
        let whole = records.iter().find_map(|record| feed(&mut assembler, &mut log, record));
        assert_eq!(whole, None);
    }
    // The digest covers only the chunks, so a wrong `next` is detected when the state is restored.
    let mut early = good;
    let Some(Body::Commit(commit)) = &mut early[last].body else { panic!("a commit") };
    commit.next -= 1;
    let mut assembler = Assembler::default();
    let mut log = populated_log();
    let whole = early.iter().find_map(|record| feed(&mut assembler, &mut log, record));
    let next = log.state.next() - offset_count(&early);
    assert_eq!(whole.expect("all chunks").state(), Err(SnapshotError::Next { next }));
}

fn offset_count(records: &[Record]) -> u64 {
    u64::try_from(records.len()).expect("a small count")
}

#[test]
fn a_snapshot_is_due_by_records_or_age() {
    assert!(due(100, 50, 50) && !due(99, 50, 50) && !due(10, 50, 1));
    let age = Duration::from_secs(1);
    assert!(aged(Time::from_millis(1500), Time::from_millis(500), age));
    assert!(!aged(Time::from_millis(1499), Time::from_millis(500), age));
}
