//! Tests of a replica of a log that comes back from an older copy.

use acaciaring_core::state::snapshot::chunk;
use acaciaring_core::state::{Opening, Outcome, Rejection, Replica, State};
use acaciaring_core::{Generation, MemberId, Offset};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Batch, Record, Settle};
use prost::Message;

use crate::support::{Log, encode, join};

const FIRST: Generation = Generation(0);
const SECOND: Generation = Generation(1);

/// Returns a record of a generation.
fn entry(generation: Generation, id: u8, body: Body) -> Vec<u8> {
    Record { id: vec![id; 16], body: Some(body), generation: generation.0 }.encode_to_vec()
}

/// Returns the records with which a generation begins.
fn opening(generation: Generation, id: u8, state: &State) -> Vec<Vec<u8>> {
    let records = chunk(&state.for_opening(true), [id; 16], 200).into_iter();
    let stamp = |record: Record| Record { generation: generation.0, ..record }.encode_to_vec();
    records.map(stamp).collect()
}

/// Returns a batch that ends with the log; `position` is that of its first entry, from 1.
fn batch(generation: Generation, position: u64, entries: &[Vec<u8>]) -> Batch {
    let start = generation.offset(position);
    let next = start + entries.len() as u64;
    Batch { oldest: start, next, start, entries: entries.to_vec(), generation: generation.0 }
}

fn read(generation: Generation, entries: &[Vec<u8>]) -> Replica {
    let mut replica = Replica::in_generation(generation);
    replica.apply_batch(&batch(generation, 1, entries)).expect("it folds");
    replica
}

/// Returns the log of a service, of which the last records are lost, and what is left of it.
fn lost(records: usize) -> (Log, Vec<Vec<u8>>) {
    let log = Log::with_service(4, 8);
    let kept = log.entries[..log.entries.len() - records].to_vec();
    (log, kept)
}

/// Guards against members that fold different records at one offset once offsets are given out again.
#[test]
fn a_generation_begins_with_the_first_state_of_a_member_that_lived_through_it() {
    let (log, mut entries) = lost(5);
    entries.push(entry(FIRST, 90, join(1)));
    let chunks = opening(SECOND, 91, &log.state);
    let other = opening(SECOND, 92, &State::default());
    // Two members propose at once; the commits follow each other.
    entries.extend_from_slice(&chunks[..chunks.len() - 1]);
    entries.extend_from_slice(&other[..other.len() - 1]);
    entries.push(chunks[chunks.len() - 1].clone());
    let floor = SECOND.offset(entries.len() as u64);
    entries.push(other[other.len() - 1].clone());
    entries.push(entry(SECOND, 93, join(2)));
    let replica = read(SECOND, &entries);
    assert!(replica.is_open());
    assert_eq!(replica.opening(), Some(Opening { source: FIRST, next: log.state.next() }));
    let state = replica.state();
    assert_eq!((state.generation(), state.floor()), (SECOND, floor));
    assert_eq!(state.service("contracts"), log.state.service("contracts"));
    let newest = state.members().last().expect("members").id;
    assert_eq!(newest, MemberId(floor + 2), "the id is above all offsets that were given out");
    assert_eq!(state.members().count(), log.state.members().count() + 1);
}

/// Guards against a record of the former copy that is appended late and names an offset that was
/// given out again.
#[test]
fn records_of_an_earlier_generation_have_no_effect() {
    let (log, mut entries) = lost(1);
    entries.extend(opening(SECOND, 91, &log.state));
    let mut replica = read(SECOND, &entries);
    let before = replica.state().members().count();
    let late = [entry(FIRST, 94, join(0)), entry(SECOND, 95, Body::Settle(Settle {}))];
    let position = entries.len() as u64 + 1;
    let folded = replica.apply_batch(&batch(SECOND, position, &late)).expect("it folds");
    let rejected = Outcome::Rejected(Rejection::Generation { generation: FIRST });
    assert_eq!(folded[0].outcome, rejected);
    assert_eq!(replica.state().members().count(), before);
    assert!(!replica.state().settling(), "the second record has taken effect");
}

/// Guards against a generation that begins anew for a reader that comes later.
#[test]
fn readers_of_any_batches_and_of_later_snapshots_have_one_state() {
    let (log, mut entries) = lost(3);
    entries.extend(opening(SECOND, 91, &log.state));
    entries.push(entry(SECOND, 96, join(3)));
    let state = read(SECOND, &entries).state().clone();
    let snapshot = chunk(&state, [97; 16], 200);
    entries.extend(snapshot.iter().map(Message::encode_to_vec));
    entries.extend(opening(SECOND, 98, &log.state));
    entries.push(entry(SECOND, 99, join(1)));
    let whole = read(SECOND, &entries);
    let mut stepwise = Replica::in_generation(SECOND);
    for (position, entry) in (1..).zip(&entries) {
        let one = Batch {
            next: SECOND.offset(entries.len() as u64 + 1),
            oldest: SECOND.first(),
            ..batch(SECOND, position, std::slice::from_ref(entry))
        };
        stepwise.apply_batch(&one).expect("it folds");
    }
    assert_eq!(stepwise.state(), whole.state());
    // What the snapshot covers was dropped; the late proposal of a beginning was not.
    let covered = usize::try_from(SECOND.position(state.next())).expect("small") - 1;
    let mut later = Replica::in_generation(SECOND);
    let tail = batch(SECOND, covered as u64 + 1, &entries[covered..]);
    later.apply_batch(&tail).expect("it folds");
    assert_eq!(later.state(), whole.state());
    assert_eq!(later.opening(), None, "it was not read");
}

/// Guards against a member that goes on with records that the log has lost.
#[test]
fn only_a_state_that_the_beginning_includes_is_continued() {
    let begun = Opening { source: SECOND, next: SECOND.offset(9) };
    assert!(begun.continues(SECOND, SECOND.offset(9)));
    assert!(begun.continues(SECOND, SECOND.offset(4)));
    assert!(!begun.continues(SECOND, SECOND.offset(10)), "folded more");
    assert!(!begun.continues(FIRST, 4), "of another generation");
}

/// Guards against offsets that fall or meet when positions are given out again.
#[test]
fn offsets_of_a_later_generation_are_higher() {
    let lost: Offset = 1 << 19;
    assert!(SECOND.offset(1) > FIRST.offset(lost));
    assert_eq!(SECOND.position(SECOND.offset(7)), 7);
    assert_eq!(FIRST.offset(7), 7, "the first generation counts positions");
    assert_eq!(encode([1; 16], join(0)), entry(FIRST, 1, join(0)));
}
