//! Tests of deduplication: requests run at most once across moves and losses of their owner.

use std::time::Duration;

use acaciaring_core::dedup::{Begin, DedupSettings, DedupTable};
use acaciaring_core::{Reason, RequestId, Time, UnitId, Verdict};

const UNIT: UnitId = UnitId::slot(7);
const NOW: Time = Time::from_millis(1_000);
const WINDOW: Duration = Duration::from_mins(10);

fn id(n: u8) -> RequestId {
    RequestId([n; 16])
}

fn table() -> DedupTable<&'static str> {
    DedupTable::new(DedupSettings::default())
}

/// Returns the owner of the unit and its synchronised standby.
fn pair() -> (DedupTable<&'static str>, DedupTable<&'static str>) {
    let (mut owner, mut standby) = (table(), table());
    owner.become_first_owner(UNIT);
    standby.become_standby(UNIT, 5);
    assert!(standby.sync(NOW, UNIT, owner.export(NOW, UNIT), owner.gap(NOW, UNIT)));
    (owner, standby)
}

// Guards against a second run of a request repeated while the first attempt runs; later attempts
// get the first answer.
#[test]
fn a_second_try_while_the_first_runs_does_not_run() {
    let (mut owner, _) = pair();
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Run);
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Running);
    owner.finish(NOW, id(1), UNIT, "paid", 4);
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Done("paid"));
    assert_eq!(owner.begin(NOW, id(2), UNIT), Begin::Run);
    owner.unknown(NOW, id(2), UNIT);
    assert_eq!(owner.begin(NOW, id(2), UNIT), Begin::Unknown(Reason::LostAnswer));
    assert_eq!(owner.begin(NOW, id(3), UNIT), Begin::Run);
    owner.not_run(id(3), UNIT);
    assert_eq!(owner.begin(NOW, id(3), UNIT), Begin::Run);
}

// Guards against a second run after a planned move: the new owner gets the deduplication state, and
// the old one refuses to run requests.
#[test]
fn an_answer_survives_a_planned_move() {
    let (mut old, mut new) = pair();
    assert_eq!(old.begin(NOW, id(1), UNIT), Begin::Run);
    assert!(new.intent(NOW, id(1), UNIT, 5));
    old.finish(NOW, id(1), UNIT, "paid", 4);
    // The standby has an intent for this request, but the upstream shed it, so it did not run.
    assert_eq!(old.begin(NOW, id(2), UNIT), Begin::Run);
    assert!(new.intent(NOW, id(2), UNIT, 5));
    old.not_run(id(2), UNIT);
    new.become_owner(NOW, UNIT, old.export(NOW, UNIT), old.gap(NOW, UNIT));
    old.become_standby(UNIT, 6);
    assert_eq!(new.begin(NOW, id(1), UNIT), Begin::Done("paid"));
    assert_eq!(new.begin(NOW, id(2), UNIT), Begin::Run);
    assert!(matches!(old.begin(NOW, id(3), UNIT), Begin::Refused(_)));
    assert!(old.synced(UNIT));
    assert!(old.intent(NOW, id(3), UNIT, 6));
}

// Guards against a second run after the owner crashed: the standby answers requests with an intent
// but no outcome as unknown, and runs the others.
#[test]
fn a_crash_leaves_requests_with_an_intent_unknown() {
    let (mut owner, mut standby) = pair();
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Run);
    assert!(standby.intent(NOW, id(1), UNIT, 5));
    assert!(standby.intent(NOW, id(2), UNIT, 5));
    standby.outcome(NOW, id(2), UNIT, Some(("issued", 6)));
    standby.take_over(NOW, UNIT);
    assert_eq!(standby.begin(NOW, id(1), UNIT), Begin::Unknown(Reason::LostAnswer));
    assert_eq!(standby.begin(NOW, id(2), UNIT), Begin::Done("issued"));
    assert_eq!(standby.begin(NOW, id(3), UNIT), Begin::Run);
    // The outcome was in flight when the owner was lost.
    standby.outcome(NOW, id(1), UNIT, Some(("late", 4)));
    assert_eq!(standby.begin(NOW, id(1), UNIT), Begin::Done("late"));
}

// Guards against a paused owner that runs a request after its standby took over: the standby
// refuses its intent.
#[test]
fn an_owner_that_was_replaced_gets_no_intent_through() {
    let (_, mut standby) = pair();
    assert!(!standby.intent(NOW, id(1), UNIT, 4), "older version");
    standby.take_over(NOW, UNIT);
    assert!(!standby.intent(NOW, id(1), UNIT, 5));
    standby.become_standby(UNIT, 9);
    assert!(!standby.intent(NOW, id(1), UNIT, 5), "delayed from the former owner");
    assert!(standby.intent(NOW, id(1), UNIT, 9));
    assert!(standby.intent(NOW, id(1), UNIT, 9), "the first reply was lost");
}

// Guards against a second run by an owner without deduplication state: for the whole window it
// answers as unknown, and the gap is passed on when the unit moves.
#[test]
fn a_member_without_memory_runs_nothing_for_the_window() {
    let (mut first, mut second) = (table(), table());
    first.become_standby(UNIT, 5);
    first.take_over(NOW, UNIT);
    assert_eq!(first.begin(NOW, id(1), UNIT), Begin::Unknown(Reason::DedupLost));
    let later = NOW + WINDOW / 2;
    second.become_standby(UNIT, 6);
    second.become_owner(later, UNIT, first.export(later, UNIT), first.gap(later, UNIT));
    assert_eq!(second.begin(later, id(1), UNIT), Begin::Unknown(Reason::DedupLost));
    let end = NOW + WINDOW;
    assert_eq!(second.begin(end - Duration::from_millis(1), id(1), UNIT).clone(), {
        Begin::Unknown(Reason::DedupLost)
    });
    assert_eq!(second.begin(end, id(1), UNIT), Begin::Run);
}

// Guards against ids dropped early when the table is full: answers are dropped first, then new
// requests are refused as not run.
#[test]
fn a_full_table_drops_answers_but_no_ids() {
    let settings = DedupSettings { max_bytes: 1_024, window: WINDOW };
    let mut owner = DedupTable::new(settings);
    owner.become_first_owner(UNIT);
    for n in 1..=4 {
        assert_eq!(owner.begin(NOW, id(n), UNIT), Begin::Run);
        owner.finish(NOW + Duration::from_millis(n.into()), id(n), UNIT, "answer", 200);
        assert!(owner.bytes() <= 1_024);
    }
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Unknown(Reason::LostAnswer));
    let Begin::Refused(refusal) = owner.begin(NOW, id(5), UNIT) else { panic!("must be refused") };
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Busy));
    assert!(refusal.retry > Some(WINDOW / 2));
    for n in 1..=4 {
        assert_ne!(owner.begin(NOW + WINDOW / 2, id(n), UNIT), Begin::Run);
    }
    assert_eq!(owner.begin(NOW + WINDOW + Duration::from_secs(1), id(5), UNIT), Begin::Run);
}

// Guards against a request that runs without its intent recorded because the standby is full; a
// sync that does not fit leaves the standby unsynchronised.
#[test]
fn a_full_standby_refuses_intents_and_sync() {
    let mut standby = DedupTable::new(DedupSettings { max_bytes: 512, window: WINDOW });
    standby.become_standby(UNIT, 5);
    let mut owner = table();
    owner.become_first_owner(UNIT);
    for n in 1..=3 {
        assert_eq!(owner.begin(NOW, id(n), UNIT), Begin::Run);
    }
    assert!(!standby.sync(NOW, UNIT, owner.export(NOW, UNIT), owner.gap(NOW, UNIT)));
    assert!(!standby.intent(NOW, id(9), UNIT, 5));
    let mut other = DedupTable::new(DedupSettings { max_bytes: 512, window: WINDOW });
    other.become_owner(NOW, UNIT, owner.export(NOW, UNIT), owner.gap(NOW, UNIT));
    assert_eq!(other.begin(NOW, id(9), UNIT), Begin::Unknown(Reason::DedupLost));
    standby.take_over(NOW, UNIT);
    assert_eq!(standby.begin(NOW, id(9), UNIT), Begin::Unknown(Reason::DedupLost));
}

// Guards against an answer lost on the standby when the owner, which had to drop it, syncs or moves
// the unit.
#[test]
fn a_known_answer_is_not_lost_by_a_sync() {
    let (mut owner, mut standby) = pair();
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Run);
    assert!(standby.intent(NOW, id(1), UNIT, 5));
    standby.outcome(NOW, id(1), UNIT, Some(("paid", 4)));
    owner.unknown(NOW, id(1), UNIT);
    assert!(standby.sync(NOW, UNIT, owner.export(NOW, UNIT), owner.gap(NOW, UNIT)));
    standby.become_owner(NOW, UNIT, owner.export(NOW, UNIT), owner.gap(NOW, UNIT));
    assert_eq!(standby.begin(NOW, id(1), UNIT), Begin::Done("paid"));
}

// Guards against deduplication state lost when a hot key is split from its slot or merged back.
#[test]
fn a_split_key_keeps_what_its_slot_remembered() {
    let key = UnitId { slot: UNIT.slot, key: Some(acaciaring_core::KeyHash(42)) };
    let (mut owner, mut standby) = pair();
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Run);
    assert!(standby.intent(NOW, id(1), UNIT, 5));
    owner.split(key);
    standby.split(key);
    assert_eq!(owner.begin(NOW, id(1), key), Begin::Running);
    standby.take_over(NOW, key);
    assert_eq!(standby.begin(NOW, id(1), key), Begin::Unknown(Reason::LostAnswer));
    owner.finish(NOW, id(1), UNIT, "booked", 6);
    assert_eq!(owner.begin(NOW, id(2), key), Begin::Run);
    owner.merge(key);
    assert_eq!(owner.begin(NOW, id(2), UNIT), Begin::Running);
    assert_eq!(owner.begin(NOW, id(1), UNIT), Begin::Done("booked"));
}

// Guards against a standby that fills up with intents whose outcomes were lost: they expire after
// twice the window.
#[test]
fn an_intent_without_outcome_expires() {
    let (_, mut standby) = pair();
    assert!(standby.intent(NOW, id(1), UNIT, 5));
    standby.expire(NOW + WINDOW);
    assert_eq!(standby.len(), 1);
    standby.expire(NOW + 2 * WINDOW);
    assert!(standby.is_empty());
}
