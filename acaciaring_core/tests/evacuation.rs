//! Tests of the state of evacuated data centres.

use std::sync::Arc;

use acaciaring_core::evacuation::Evacuations;
use acaciaring_core::{Generation, Name};
use proptest::prelude::{Strategy, any, proptest};
use proptest::{collection, prop_assert_eq};

const CENTRES: [&str; 3] = ["north", "south", "west"];

/// Record of the source: the data centre and whether it is evacuated.
type Entry = (usize, bool);

/// Way in which a member learns of the source.
#[derive(Debug, Clone)]
enum Step {
    /// It reads the next record.
    Next,
    /// It reads the whole source up to an end.
    Newest(usize),
    /// It gets the state of a member that has read this many records.
    Passed(usize),
}

fn centre(entry: Entry) -> Name {
    Arc::from(CENTRES[entry.0])
}

fn newest(entries: &[Entry]) -> Evacuations {
    let mut state = Evacuations::default();
    for (offset, entry) in (1..).zip(entries) {
        state.apply(offset, &centre(*entry), entry.1);
    }
    Evacuations::new(entries.len() as u64 + 1, state.centres().cloned())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..3_u8, 0..24_usize).prop_map(|(kind, length)| match kind {
        0 => Step::Next,
        1 => Step::Newest(length),
        _ => Step::Passed(length),
    });
    collection::vec(step, 0..32)
}

proptest! {
    /// Guards against members that differ for good on what is evacuated, whatever each has read.
    #[test]
    fn all_members_agree_once_they_know_the_source(
        entries in collection::vec((0..CENTRES.len(), any::<bool>()), 24),
        steps in steps(),
    ) {
        let mut state = Evacuations::default();
        let mut read = 0;
        for step in steps {
            match step {
                Step::Next if read < entries.len() => {
                    state.apply(read as u64 + 1, &centre(entries[read]), entries[read].1);
                    read += 1;
                }
                Step::Next => {}
                Step::Newest(length) => {
                    state.replace(newest(&entries[..length]));
                    read = read.max(length);
                }
                Step::Passed(length) => {
                    state.replace(newest(&entries[..length]));
                }
            }
            let covered = usize::try_from(state.version()).expect("short").saturating_sub(1);
            let known: Vec<&Name> = state.centres().collect();
            let right = newest(&entries[..covered]);
            prop_assert_eq!(known, right.centres().collect::<Vec<_>>());
        }
    }
}

/// Guards against an evacuation that an old record, read late, takes back.
#[test]
fn a_record_that_is_already_covered_changes_nothing() {
    let north: Name = "north".into();
    let mut state = Evacuations::default();
    assert!(state.replace(Evacuations::new(8, [Name::clone(&north)])));
    assert!(!state.apply(7, &north, false));
    assert!(state.contains("north"));
    assert!(state.apply(8, &north, false));
    assert!(!state.contains("north"));
    assert!(!state.replace(Evacuations::new(8, [north])));
    assert!(!state.contains("north"));
}

/// Guards against requests to an evacuated data centre because its source came back from an older
/// copy, which lacks the record.
#[test]
fn what_was_evacuated_stays_so_in_a_later_generation() {
    let [first, second] = [Generation(0), Generation(1)];
    let [welkom, kroonstad] = ["welkom", "kroonstad"].map(Name::from);
    let mut known = Evacuations::new(first.offset(9), [Name::clone(&welkom)]);
    assert!(known.replace(Evacuations::new(second.offset(4), [Name::clone(&kroonstad)])));
    assert!(known.contains("welkom") && known.contains("kroonstad"));
    assert!(!known.replace(Evacuations::new(first.offset(20), [])), "of the former copy");
    assert!(known.apply(second.offset(5), &welkom, false), "declared again, and ended");
    assert!(!known.contains("welkom"));
    assert!(known.replace(Evacuations::new(second.offset(9), [])), "of the same generation");
    assert!(!known.contains("kroonstad"));
}
