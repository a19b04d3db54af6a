//! Tests of the holds of an upstream that obtains its units in replies to its reports.

use std::time::Duration;

use acaciaring_core::holds::{
    Epoch, Freed, Granted, Held, Holds, Incarnation, ReportOutcome, Room, Wanted,
};
use acaciaring_core::{KeyHash, Time, Token, UnitId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOLD: Duration = Duration::from_secs(3);
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
const UNIT: UnitId = UnitId::slot(1);
const ROOM: Room = ranges(100);

/// Returns room for a number of ranges.
const fn ranges(count: usize) -> Room {
    Room { bytes: count, length: |_| 1 }
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn incarnation(instance: &str) -> Incarnation {
    Incarnation { instance: instance.into(), generation: 0 }
}

fn first_incarnation() -> Incarnation {
    incarnation("i-1")
}

/// Returns a token as it is sent to the upstream.
fn fenced(token: u64) -> Token {
    Epoch::default().fence(Token(token))
}

fn wanted(slot: u32, token: u64) -> Wanted {
    let keys = std::iter::once(slot * 16..=slot * 16 + 15).collect();
    Wanted { unit: UnitId::slot(slot), token: Token(token), keys, handover: "".into() }
}

fn held(slot: u32, token: u64) -> Held {
    Held { first: slot * 16, last: slot * 16 + 15, token: fenced(token) }
}

fn freed(slot: u32) -> Freed {
    Freed { first: slot * 16, last: slot * 16 + 15, handover: "h".into() }
}

/// Handles a report and grants the wanted units under a long lease.
fn report_and_grant(
    holds: &mut Holds,
    now: Time,
    sequence: u64,
    held: &[Held],
    freed: &[Freed],
    wanted: &[Wanted],
) -> Vec<Granted> {
    let report = holds.report(now, &first_incarnation(), sequence, held.to_vec(), freed.to_vec());
    assert_eq!(report, ReportOutcome::Current);
    holds.grant(now, now + HOLD * 2, wanted, ROOM).expect("granted").0
}

fn may_hold(holds: &Holds, now: Time, slot: u32) -> bool {
    holds.may_hold(now, UnitId::slot(slot), &wanted(slot, 0).keys)
}

/// Returns the holds of an upstream that has held slot 1 under token 7 for several reports.
fn established() -> Holds {
    let mut holds = Holds::new(at(0), HOLD);
    for number in 0..3 {
        let now = at(number * 900);
        let known = if number == 0 { Vec::new() } else { vec![held(1, 7)] };
        report_and_grant(&mut holds, now, number + 1, &known, &[], &[wanted(1, 7)]);
    }
    holds
}

#[test]
fn a_unit_is_served_once_the_upstream_acts_on_its_grant() {
    let mut holds = Holds::new(at(0), HOLD);
    let rows = report_and_grant(&mut holds, at(0), 1, &[], &[], &[wanted(1, 7)]);
    assert_eq!(rows.len(), 1);
    assert!(!holds.serves(at(0), UNIT, Token(7)), "the reply is in flight");
    let effect = holds.next_effect(at(0)).expect("one is coming");
    assert!(holds.serves(effect, UNIT, Token(7)));
    assert!(!holds.serves(effect, UNIT, Token(8)));
}

/// Guards against a hold that outlasts the member's lease on an upstream with a slow clock, while
/// another member takes over.
#[test]
fn a_grant_ends_with_the_lease_on_a_slow_clock_too() {
    let mut holds = established();
    holds.report(at(2700), &first_incarnation(), 9, Vec::new(), Vec::new());
    let lease = at(2700) + Duration::from_secs(1);
    let (_, hold) = holds.grant(at(2700), lease, &[wanted(1, 7)], ROOM).expect("granted");
    assert!(at(2700) + hold.mul_f64(1.02) <= lease, "{hold:?}");
    assert!(holds.grant(at(2700), at(2700), &[wanted(1, 7)], ROOM).is_none(), "no lease");
}

/// Guards against a unit that moves before the upstream has released it and finished its requests.
#[test]
fn a_unit_passes_on_only_when_the_upstream_has_released_it() {
    let mut holds = established();
    report_and_grant(&mut holds, at(2700), 4, &[held(1, 7)], &[], &[]);
    assert!(may_hold(&holds, at(2700), 1), "it has not received the reply");
    report_and_grant(&mut holds, at(2800), 5, &[held(1, 7)], &[], &[]);
    assert!(may_hold(&holds, at(2800), 1), "it still works on a request");
    report_and_grant(&mut holds, at(2900), 6, &[], &[freed(1)], &[]);
    assert!(!may_hold(&holds, at(2900), 1));
    assert_eq!(&*holds.handover(&wanted(1, 0).keys), "h");
}

/// Guards against two upstreams that hold a hot key: one that leaves its slot counts as held until a
/// reply that grants it with the slot can no longer be applied.
#[test]
fn a_key_split_from_a_granted_slot_may_be_held() {
    let mut holds = established();
    let hot = UnitId { slot: 2, key: Some(KeyHash(35)) };
    report_and_grant(&mut holds, at(2700), 4, &[held(1, 7)], &[], &[wanted(1, 7), wanted(2, 7)]);
    assert!(holds.may_hold(at(2701), hot, &[35..=35]), "the reply is on its way");
    let rest = Wanted { keys: vec![32..=34, 36..=47], ..wanted(2, 7) };
    let both = [wanted(1, 7), rest];
    report_and_grant(&mut holds, at(2800), 5, &[held(1, 7)], &[], &both);
    assert!(holds.may_hold(at(2801), hot, &[35..=35]), "this reply may be lost");
    assert!(holds.may_hold(at(3900), hot, &[35..=35]), "there was no report since");
    let parts = [(32, 34), (36, 47)].map(|(first, last)| Held { first, last, ..held(2, 7) });
    report_and_grant(&mut holds, at(3901), 6, &parts, &[], &both);
    assert!(!holds.may_hold(at(3902), hot, &[35..=35]));
    assert!(may_hold(&holds, at(3902), 2));
}

/// Guards against a hold of a silent upstream that ends before its time.
#[test]
fn silence_ends_a_hold_by_time_alone() {
    let holds = established();
    assert!(may_hold(&holds, at(1800) + HOLD, 1));
    assert!(!may_hold(&holds, at(1800) + HOLD.mul_f64(1.04), 1));
}

/// Guards against a restarted process that releases held units because its first report was a
/// delayed one from before the upstream held anything.
#[test]
fn the_first_report_alone_proves_nothing() {
    let mut holds = Holds::new(at(0), HOLD);
    assert!(may_hold(&holds, at(0), 1), "nothing is known yet");
    assert_eq!(
        holds.report(at(10), &first_incarnation(), 2, Vec::new(), Vec::new()),
        ReportOutcome::Current
    );
    assert!(may_hold(&holds, at(20), 1));
    assert_eq!(
        holds.report(at(700), &first_incarnation(), 90, vec![held(1, 7)], Vec::new()),
        ReportOutcome::Current
    );
    assert!(may_hold(&holds, at(710), 1), "the upstream still holds it");
    assert!(!may_hold(&holds, at(710), 2), "two reports agree");
}

/// Guards against a delayed report of a former instance that ends all holds of the live one.
#[test]
fn a_report_of_another_instance_is_believed_when_the_present_one_is_silent() {
    let mut holds = established();
    let other = incarnation("i-0");
    assert_eq!(holds.report(at(2000), &other, 50, Vec::new(), Vec::new()), ReportOutcome::Stale);
    assert!(may_hold(&holds, at(2000), 1));
    report_and_grant(&mut holds, at(2700), 4, &[held(1, 7)], &[], &[wanted(1, 7)]);
    assert_eq!(holds.report(at(2800), &other, 51, Vec::new(), Vec::new()), ReportOutcome::Stale);
    assert_eq!(
        holds.report(at(3700), &other, 52, Vec::new(), Vec::new()),
        ReportOutcome::NewIncarnation
    );
    assert!(!may_hold(&holds, at(3700), 1), "the former incarnation has ended");
    assert_eq!(
        holds.report(at(3800), &first_incarnation(), 99, vec![held(1, 7)], Vec::new()),
        ReportOutcome::Stale
    );
}

#[test]
fn a_report_that_is_older_than_the_last_one_changes_nothing() {
    let mut holds = established();
    assert_eq!(
        holds.report(at(1900), &first_incarnation(), 2, Vec::new(), vec![freed(1)]),
        ReportOutcome::Stale
    );
    assert!(may_hold(&holds, at(1900), 1));
}

fn restart(born: u64) -> Incarnation {
    Incarnation { generation: born, ..first_incarnation() }
}

/// Guards against an upstream that restarts under its name and counts as the holder of what it held
/// before, is granted it under the same token, or holds nothing more after a late report.
#[test]
fn an_upstream_that_restarts_holds_nothing_and_gets_higher_tokens() {
    let mut holds = Holds::new(at(0), HOLD);
    let (former, present) = (restart(1_700_000_000_000), restart(1_700_000_009_000));
    let want = [wanted(1, 7)];
    for number in 0..3 {
        let now = at(number * 900);
        let known = if number == 0 { Vec::new() } else { vec![held(1, 7)] };
        holds.report(now, &former, 500 + number, known, Vec::new());
        holds.grant(now, now + HOLD * 2, &want, ROOM).expect("granted");
    }
    assert!(holds.serves(at(1900), UNIT, Token(7)));
    let report = holds.report(at(2000), &present, 0, Vec::new(), Vec::new());
    assert_eq!(report, ReportOutcome::NewIncarnation, "its sequence starts again");
    assert!(!may_hold(&holds, at(2000), 1) && !holds.may_hold_any(at(2000)));
    assert!(!holds.serves(at(2000), UNIT, Token(7)));
    let (rows, _) = holds.grant(at(2000), at(2000) + HOLD * 2, &want, ROOM).expect("granted");
    assert!(rows[0].token > fenced(7), "{rows:?}");
    let row = Held { token: rows[0].token, ..held(1, 7) };
    for (sequence, known) in [(503, vec![held(1, 7)]), (504, Vec::new()), (505, Vec::new())] {
        let report = holds.report(at(2100 + sequence), &former, sequence, known, vec![freed(1)]);
        assert_eq!(report, ReportOutcome::Stale, "sent before the restart");
        assert!(may_hold(&holds, at(2100 + sequence), 1));
    }
    let report = holds.report(at(2900), &present, 1, vec![row], Vec::new());
    assert_eq!(report, ReportOutcome::Current);
    assert!(holds.serves(at(2900), UNIT, Token(7)));
}

/// Guards against late reports of an upstream that two others have followed, under its own name and
/// then under another one, while the present one is silent.
#[test]
fn a_report_from_before_a_known_restart_stays_late_under_another_name() {
    let mut holds = Holds::new(at(0), HOLD);
    holds.report(at(0), &restart(5), 1, Vec::new(), Vec::new());
    let other = incarnation("i-2");
    holds.report(at(900), &other, 1, Vec::new(), Vec::new());
    let report = holds.report(at(1800), &other, 2, Vec::new(), Vec::new());
    assert_eq!(report, ReportOutcome::NewIncarnation);
    for number in 0..4 {
        let report = holds.report(at(2700 + number * 900), &restart(4), number, Vec::new(), vec![]);
        assert_eq!(report, ReportOutcome::Stale, "report {number}");
    }
    holds.report(at(7000), &restart(6), 1, Vec::new(), Vec::new());
    let report = holds.report(at(7900), &restart(6), 2, Vec::new(), Vec::new());
    assert_eq!(report, ReportOutcome::NewIncarnation, "a later restart takes the place");
}

/// Guards against ranges that are dropped and granted in turn when an upstream owns more than fit
/// in a reply.
#[test]
fn a_full_reply_keeps_the_ranges_already_held() {
    let mut holds = Holds::new(at(0), HOLD);
    holds.report(at(0), &first_incarnation(), 1, Vec::new(), Vec::new());
    let some: Vec<Wanted> = (10..14).map(|number| wanted(number * 2, 7)).collect();
    holds.grant(at(0), at(0) + HOLD * 2, &some, ranges(4)).expect("granted");
    let more: Vec<Wanted> = (0..14).map(|number| wanted(number * 2, 7)).collect();
    let (rows, _) = holds.grant(at(900), at(900) + HOLD * 2, &more, ranges(6)).expect("granted");
    let slots: Vec<u32> = rows.iter().map(|row| row.first / 16).collect();
    assert_eq!(slots, [0, 2, 20, 22, 24, 26]);
    let (joined, _) = holds
        .grant(
            at(900),
            at(900) + HOLD * 2,
            &(0..200).map(|n| wanted(n, 7)).collect::<Vec<_>>(),
            ranges(6),
        )
        .expect("granted");
    assert_eq!(joined.len(), 1, "adjacent slots are one range");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against a unit reported as free while the upstream holds it, with lost, delayed and
    /// unanswered reports.
    #[test]
    fn what_is_held_is_never_said_to_be_free(
        steps in prop::collection::vec((0_u64..1500, any::<bool>(), any::<bool>(), any::<bool>()), 1..40),
    ) {
        let mut holds = Holds::new(at(0), HOLD);
        let mut now = at(0);
        let mut sequence = 0;
        // State of the upstream: the end of its hold, and releases to report.
        let (mut until, mut releases) = (Time::ZERO, Vec::new());
        for (pause, wants, arrives, replied) in steps {
            now = now + Duration::from_millis(pause);
            let holding = now < until;
            prop_assert!(!holding || may_hold(&holds, now, 1), "held at {now:?} until {until:?}");
            sequence += 1;
            if !arrives {
                continue;
            }
            let known = if holding { vec![held(1, 7)] } else { Vec::new() };
            let freed = std::mem::take(&mut releases);
            holds.report(now, &first_incarnation(), sequence, known, freed.clone());
            let wanted = if wants { vec![wanted(1, 7)] } else { Vec::new() };
            let Some((rows, hold)) = holds.grant(now, now + HOLD, &wanted, ROOM) else { continue };
            if !replied {
                releases = freed;
                continue;
            }
            if !rows.is_empty() {
                // The clock of the upstream runs 2 % slow.
                until = now + hold.mul_f64(1.02);
            } else if holding {
                until = now;
                releases.push(Freed { first: 16, last: 31, handover: "h".into() });
            }
        }
        let _ = REPORT_INTERVAL;
    }
}

/// Guards against delayed reports of a crashed upstream that arrive together between two of its
/// successor, at a process that never saw the former one.
#[test]
fn reports_that_arrive_together_are_not_of_a_newer_upstream() {
    let mut holds = established().with_beat(REPORT_INTERVAL);
    let late = incarnation("i-0");
    for burst in 3..8 {
        for (delay, sequence) in [(100, 1), (200, 2), (700, 3)] {
            let report = holds.report(
                at((burst - 1) * 900 + delay),
                &late,
                burst * 10 + sequence,
                Vec::new(),
                Vec::new(),
            );
            assert_eq!(report, ReportOutcome::Stale);
            assert!(may_hold(&holds, at((burst - 1) * 900 + delay), 1));
        }
        report_and_grant(
            &mut holds,
            at(burst * 900),
            burst + 1,
            &[held(1, 7)],
            &[],
            &[wanted(1, 7)],
        );
    }
}

/// Guards against a successor that is believed later than after its second report.
#[test]
fn an_upstream_that_follows_a_crashed_one_is_believed_after_two_reports() {
    let mut holds = established().with_beat(REPORT_INTERVAL);
    let next = incarnation("i-2");
    let first = holds.report(at(2000), &next, 1, Vec::new(), Vec::new());
    let second = holds.report(at(2900), &next, 2, Vec::new(), Vec::new());
    assert_eq!((first, second), (ReportOutcome::Stale, ReportOutcome::NewIncarnation));
}

/// Guards against a departure that is undone by a report from before it, or that ends a restarted
/// upstream.
#[test]
fn a_departure_is_final_for_one_incarnation() {
    let mut holds = Holds::new(at(0), HOLD);
    holds.incarnations_mut().depart(&restart(5));
    assert!(!holds.incarnations().is_leaving(), "nothing has reported");
    holds.report(at(0), &restart(4), 9, Vec::new(), Vec::new());
    assert!(holds.incarnations().is_leaving(), "the later start has ended it");
    holds.report(at(10), &restart(5), 1, Vec::new(), Vec::new());
    assert!(holds.incarnations().is_leaving());
    let report = holds.report(at(20), &restart(6), 1, Vec::new(), Vec::new());
    assert_eq!(report, ReportOutcome::NewIncarnation);
    let incarnations = holds.incarnations();
    assert!(!incarnations.is_leaving());
    let of = |sent| incarnations.of_instance(sent, &"i-1".into());
    assert_eq!((of(at(19)), of(at(20))), (None, Some(&restart(6))), "a notice of the former one");
}
