//! Tests of the orders by which a member grants units to its upstream and releases them.

use std::time::Duration;

use acaciaring_core::holds::{Incarnation, ReportOutcome, Wanted};
use acaciaring_core::orders::{Action, Answer, Issued, ORDER_TIMEOUT, Orders};
use acaciaring_core::{Name, Time, Token, UnitId};

const HOLD: Duration = Duration::from_secs(3);

const KEYS_PER_SLOT: u32 = 16;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn incarnation(generation: u64) -> Incarnation {
    Incarnation { instance: "i-1".into(), generation }
}

fn wanted(slot: u32, token: u64) -> Wanted {
    with_handover(slot, token, "")
}

fn with_handover(slot: u32, token: u64, handover: &str) -> Wanted {
    let keys =
        std::iter::once(slot * KEYS_PER_SLOT..=slot * KEYS_PER_SLOT + KEYS_PER_SLOT - 1).collect();
    Wanted { unit: UnitId::slot(slot), token: Token(token), keys, handover: handover.into() }
}

fn done() -> Answer {
    Answer::Done { handover: "".into() }
}

/// Decides on orders under a long lease with no request in flight.
fn decide(orders: &mut Orders, now: Time) -> Vec<Issued> {
    orders.decide(now, now + HOLD * 3, |_, _| true)
}

/// Completes each order one millisecond after `now`.
fn answer(orders: &mut Orders, now: Time, issued: &[Issued], answer: &Answer) {
    for issued in issued {
        orders.complete(now + Duration::from_millis(1), issued.number, answer).expect("under way");
    }
}

/// Returns the orders of an upstream that was granted slots 1 and 2 at 4 s, after every hold of a
/// former process has expired.
fn established() -> Orders {
    let mut orders = Orders::new(at(0), HOLD);
    orders.report(at(0), &incarnation(1), 1);
    orders.set_wanted(&[wanted(1, 7), wanted(2, 7)]);
    connect(&mut orders, at(4000));
    orders
}

/// Grants the units due over a new connection.
fn connect(orders: &mut Orders, now: Time) {
    let issued = decide(orders, now);
    answer(orders, now, &issued, &Answer::Unconnected);
    let issued = decide(orders, now);
    assert!(issued.iter().all(|issued| issued.may_connect));
    answer(orders, now, &issued, &done());
}

fn ranges(issued: &[Issued]) -> Vec<(u32, u32)> {
    issued.iter().map(|issued| (issued.order.first, issued.order.last)).collect()
}

fn serves(orders: &Orders, now: Time, slot: u32, token: u64) -> bool {
    orders.serves(now, &wanted(slot, 0).keys, Token(token))
}

fn may_hold(orders: &Orders, now: Time, slot: u32) -> bool {
    orders.may_hold(now, &wanted(slot, 0).keys)
}

#[test]
fn a_unit_is_served_once_its_grant_is_answered() {
    let mut orders = Orders::new(at(0), HOLD);
    orders.set_wanted(&[wanted(1, 7)]);
    let issued = decide(&mut orders, at(0));
    assert_eq!(ranges(&issued), [(16, 31)]);
    assert!(!serves(&orders, at(1), 1, 7), "the order is in flight");
    answer(&mut orders, at(1), &issued, &done());
    assert!(serves(&orders, at(3), 1, 7));
    assert!(!serves(&orders, at(3), 1, 9), "not under another token");
    assert!(decide(&mut orders, at(4)).is_empty(), "nothing is due");
}

/// Guards against one call per slot: adjacent slots under the same token share an order.
#[test]
fn neighbours_under_one_token_are_one_order() {
    let mut orders = Orders::new(at(0), HOLD);
    let units: Vec<Wanted> = (0..50).map(|slot| wanted(slot, 7)).collect();
    orders.set_wanted(&[units, vec![wanted(50, 9), wanted(60, 7)]].concat());
    let issued = decide(&mut orders, at(0));
    assert_eq!(ranges(&issued), [(0, 799), (800, 815), (960, 975)]);
}

/// Guards against a hold that outlasts the member's lease when the order arrives at its deadline
/// and the upstream's clock is slow.
#[test]
fn a_grant_ends_with_the_lease_wherever_it_was_held_up() {
    let mut orders = Orders::new(at(0), HOLD);
    orders.set_wanted(&[wanted(1, 7)]);
    let lease = at(2000);
    let issued = orders.decide(at(0), lease, |_, _| true);
    let Action::Grant { hold, .. } = issued[0].order.action else { panic!("a grant") };
    assert!(issued[0].deadline <= at(0) + ORDER_TIMEOUT);
    assert!(issued[0].deadline + hold.mul_f64(1.02) <= lease);
    orders.complete(at(5), issued[0].number, &Answer::Unsent);
    assert!(orders.decide(at(1990), lease, |_, _| true).is_empty(), "too little is left");
}

/// Guards against an outage when two answers to a renewal are lost: there is time for a third.
#[test]
fn a_grant_is_renewed_while_two_answers_may_be_lost() {
    let mut orders = established();
    let renewal = at(4000) + HOLD / 2;
    assert!(decide(&mut orders, renewal - Duration::from_millis(20)).is_empty());
    let mut now = renewal;
    for _ in 0..2 {
        let issued = decide(&mut orders, now);
        assert_eq!(ranges(&issued), [(16, 47)]);
        now = now + ORDER_TIMEOUT;
        orders.complete(now, issued[0].number, &Answer::Unknown).expect("under way");
        assert!(serves(&orders, now, 1, 7));
    }
    let issued = decide(&mut orders, now);
    answer(&mut orders, now, &issued, &done());
    assert!(serves(&orders, at(4000) + HOLD, 1, 7), "past the end of the first grant");
}

/// Guards against a unit freed by a release while an earlier unanswered grant may still take
/// effect, with its hold counted from arrival.
#[test]
fn an_order_without_answer_counts_as_held_after_a_release() {
    let mut orders = established();
    let renewal = at(4000) + HOLD / 2;
    let issued = decide(&mut orders, renewal);
    let lost = renewal + ORDER_TIMEOUT;
    orders.complete(lost, issued[0].number, &Answer::Unknown);
    orders.set_wanted(&[]);
    let issued = decide(&mut orders, lost);
    assert_eq!(issued[0].order.action, Action::Release);
    answer(&mut orders, lost, &issued, &done());
    assert!(may_hold(&orders, lost + Duration::from_millis(5), 1));
    assert!(may_hold(&orders, lost + HOLD, 1));
    assert!(!may_hold(&orders, lost + HOLD.mul_f64(1.05), 1));
}

#[test]
fn a_release_that_is_answered_ends_a_hold_and_brings_the_handover() {
    let mut orders = established();
    orders.set_wanted(&[wanted(2, 7)]);
    let issued = decide(&mut orders, at(4100));
    assert_eq!(ranges(&issued), [(16, 31)]);
    assert!(may_hold(&orders, at(4101), 1), "until it is answered");
    answer(&mut orders, at(4100), &issued, &Answer::Done { handover: "h".into() });
    assert!(!may_hold(&orders, at(4102), 1));
    assert_eq!(&*orders.handover(&wanted(1, 0).keys), "h");
    assert!(may_hold(&orders, at(4102), 2));
    assert!(serves(&orders, at(4102), 2, 7), "its neighbour under the same grant goes on");
}

/// Guards against a long request that delays the release of other slots: only its own slot waits.
#[test]
fn a_long_request_holds_up_its_own_unit_only() {
    let mut orders = established();
    orders.set_wanted(&[]);
    let busy = |first: u32, _: u32| first != KEYS_PER_SLOT;
    let issued = orders.decide(at(4100), at(9000), busy);
    assert_eq!(ranges(&issued), [(32, 47)]);
    answer(&mut orders, at(4100), &issued, &done());
    assert!(orders.decide(at(4150), at(9000), busy).is_empty());
    assert_eq!(ranges(&orders.decide(at(4200), at(9000), |_, _| true)), [(16, 31)]);
}

#[test]
fn the_first_grant_to_a_new_holder_bears_the_handover() {
    let mut orders = Orders::new(at(0), HOLD);
    orders.set_wanted(&[with_handover(1, 7, "h"), wanted(2, 7)]);
    let issued = decide(&mut orders, at(0));
    let handovers: Vec<Name> = issued
        .iter()
        .map(|issued| match &issued.order.action {
            Action::Grant { handover, .. } => Name::clone(handover),
            Action::Release => panic!("a grant"),
        })
        .collect();
    assert_eq!(handovers, ["h".into(), Name::from("")]);
    answer(&mut orders, at(0), &issued, &done());
    let issued = decide(&mut orders, at(0) + HOLD / 2);
    assert_eq!(ranges(&issued), [(16, 47)], "then both are one range");
}

/// Guards against repeated orders under a superseded token; the other keys of the range are still
/// granted.
#[test]
fn a_key_with_a_higher_token_is_not_ordered_again() {
    let mut orders = Orders::new(at(0), HOLD);
    orders.set_wanted(&[wanted(1, 7), wanted(2, 7)]);
    let issued = decide(&mut orders, at(0));
    assert_eq!(ranges(&issued), [(16, 47)]);
    answer(&mut orders, at(0), &issued, &Answer::Superseded);
    let issued = decide(&mut orders, at(2));
    assert_eq!(ranges(&issued), [(16, 31), (32, 47)], "each slot separately");
    orders.complete(at(3), issued[0].number, &Answer::Superseded);
    orders.complete(at(3), issued[1].number, &done());
    assert!(serves(&orders, at(4), 2, 7));
    assert!(orders.superseded(&wanted(1, 0).keys) && !orders.superseded(&wanted(2, 0).keys));
    for millis in (10..9_000).step_by(50) {
        let issued = decide(&mut orders, at(millis));
        assert!(issued.iter().all(|issued| issued.order.first != 16), "at {millis} ms");
        answer(&mut orders, at(millis), &issued, &done());
    }
    orders.set_wanted(&[wanted(1, 9), wanted(2, 7)]);
    assert_eq!(ranges(&decide(&mut orders, at(9_000))), [(16, 31)], "under the next token");
}

/// Guards against a retry loop of a rejected order.
#[test]
fn a_rejected_order_is_retried_after_a_delay() {
    let mut orders = Orders::new(at(0), HOLD);
    orders.set_wanted(&[wanted(1, 7)]);
    let issued = decide(&mut orders, at(0));
    answer(&mut orders, at(0), &issued, &Answer::Rejected);
    assert!(decide(&mut orders, at(500)).is_empty());
    assert_eq!(decide(&mut orders, at(1100)).len(), 1);
}

/// Guards against a restarted server that keeps old tokens: it holds nothing and gets higher ones.
/// A late report of the former incarnation changes nothing.
#[test]
fn another_start_under_the_same_name_gets_its_keys_under_higher_tokens() {
    let mut orders = established();
    let under_way = decide(&mut orders, at(4000) + HOLD / 2).remove(0);
    assert_eq!(orders.report(at(6000), &incarnation(2), 1), ReportOutcome::NewIncarnation);
    assert!(!serves(&orders, at(6000), 1, 7));
    assert_eq!(orders.report(at(6010), &incarnation(1), 99), ReportOutcome::Stale);
    assert_eq!(orders.incarnation(), Some(&incarnation(2)));
    // An answer of the former incarnation to an order in flight says nothing about this one.
    orders.complete(at(6100), under_way.number, &done());
    assert!(!serves(&orders, at(6101), 1, 7));
    let issued = decide(&mut orders, at(6200));
    assert_eq!(ranges(&issued), [(16, 47)]);
    assert!(issued[0].order.token > under_way.order.token);
}

/// Guards against a restart between two reports: the connections end with it, so an order over a
/// new one needs a higher token than all before.
#[test]
fn an_order_over_a_new_connection_has_a_higher_token() {
    let mut orders = established();
    let now = at(4000) + HOLD / 2;
    let issued = decide(&mut orders, now);
    assert!(!issued[0].may_connect, "an existing connection leads to the same incarnation");
    answer(&mut orders, now, &issued, &Answer::Unconnected);
    let again = decide(&mut orders, now);
    assert!(again[0].may_connect);
    assert!(again[0].order.token > issued[0].order.token);
    let next = Token(9);
    assert!(again[0].order.token.0 < next.0 << 20, "below the next assignment's");
}

/// Guards against a unit that stays refused after a delayed release: it is granted again at once.
#[test]
fn a_unit_that_the_upstream_denies_is_granted_again() {
    let mut orders = established();
    orders.mark_refused(&wanted(1, 0).keys);
    assert!(!serves(&orders, at(4200), 1, 7));
    assert!(serves(&orders, at(4200), 2, 7));
    let issued = decide(&mut orders, at(4200));
    assert_eq!(ranges(&issued), [(16, 47)], "its neighbour's renewal goes with it");
    answer(&mut orders, at(4200), &issued, &done());
    assert!(serves(&orders, at(4202), 1, 7));
}

/// Guards against a restarted process that treats units as free while grants of the former process
/// may still hold.
#[test]
fn a_process_that_starts_anew_counts_all_as_held() {
    let orders = Orders::new(at(0), HOLD);
    assert!(may_hold(&orders, at(0), 1) && orders.may_hold_any(at(3000)));
    assert!(!may_hold(&orders, at(0) + ORDER_TIMEOUT + HOLD.mul_f64(1.04), 1));
}

/// Guards against a release of the whole slot when a hot key split from it moves.
#[test]
fn a_key_that_is_split_out_is_released_by_itself() {
    let mut orders = established();
    let rest = Wanted { keys: vec![16..=19, 21..=31], ..wanted(1, 7) };
    orders.set_wanted(&[rest.clone(), wanted(2, 7)]);
    assert!(orders.serves(at(4100), &rest.keys, Token(7)));
    let issued = decide(&mut orders, at(4100));
    assert_eq!(ranges(&issued), [(20, 20)]);
    assert_eq!(issued[0].order.action, Action::Release);
    answer(&mut orders, at(4100), &issued, &done());
    orders.set_wanted(&[wanted(1, 7), wanted(2, 7)]);
    assert!(!serves(&orders, at(4200), 1, 7), "until the key is granted again");
    let issued = decide(&mut orders, at(4200));
    answer(&mut orders, at(4200), &issued, &done());
    assert!(serves(&orders, at(4202), 1, 7));
}

/// Guards against unanswered grants that use up the concurrency limit and delay releases.
#[test]
fn grants_without_answer_do_not_hold_up_releases() {
    let mut orders = Orders::new(at(0), HOLD);
    let separate: Vec<Wanted> = (0..40).map(|n| wanted(n * 2, 7)).collect();
    orders.set_wanted(&separate);
    let mut granted = 0;
    while granted < 40 {
        let issued = decide(&mut orders, at(10));
        granted += issued.len();
        answer(&mut orders, at(10), &issued, &done());
    }
    let unanswered = decide(&mut orders, at(10) + HOLD / 2);
    assert!(unanswered.len() < separate.len(), "concurrent grants are limited");
    orders.set_wanted(&separate[..20]);
    let issued = decide(&mut orders, at(20) + HOLD / 2);
    assert!(issued.iter().any(|issued| issued.order.action == Action::Release));
}

/// Guards against a unit freed by the first report of a restarted server to which it was granted
/// before that report.
#[test]
fn what_was_granted_before_the_first_report_counts_as_held() {
    let mut orders = established();
    let now = at(4000) + HOLD / 2;
    connect(&mut orders, now);
    let reported = now + Duration::from_millis(50);
    assert_eq!(orders.report(reported, &incarnation(2), 1), ReportOutcome::NewIncarnation);
    orders.set_wanted(&[]);
    assert!(may_hold(&orders, reported, 1));
    let issued = decide(&mut orders, reported);
    assert_eq!(issued[0].order.action, Action::Release);
}

/// Guards against a range that passes on while the last grant of a killed process, which was still
/// on its way when the next process started, holds it.
#[test]
fn a_restarted_process_waits_for_the_last_grant_of_the_one_before() {
    let start = at(0);
    let orders = Orders::new(start, HOLD);
    let last_arrival = start + ORDER_TIMEOUT;
    assert!(may_hold(&orders, last_arrival + HOLD.mul_f64(1.02), 1));
}

/// Guards against grants that never arrive in time while the process is short of processor, and
/// against one that is sent late and outlasts the lease.
#[test]
fn an_order_that_is_sent_late_has_the_time_that_the_lease_leaves() {
    let mut orders = Orders::new(at(0), HOLD);
    orders.set_wanted(&[wanted(1, 7)]);
    let issued = orders.decide(at(0), at(2000), |_, _| true).remove(0);
    let Action::Grant { hold, .. } = issued.order.action else { panic!("a grant") };
    assert_eq!(issued.deadline_at(at(1), at(2000)), issued.deadline, "the lease leaves no more");
    let sent = at(700);
    let renewed = at(2600);
    let deadline = issued.deadline_at(sent, renewed);
    assert!(deadline > sent && deadline + hold.mul_f64(1.02) <= renewed);
    assert_eq!(issued.deadline_at(sent, at(9000)), sent + ORDER_TIMEOUT);
    assert_eq!(issued.deadline_at(sent, Time::ZERO), issued.deadline, "no lease is left");
}

/// Guards against keys whose grants expire because unanswered orders for other keys hold theirs up.
#[test]
fn unanswered_orders_do_not_hold_up_the_others() {
    let mut orders = Orders::new(at(0), HOLD);
    let apart: Vec<Wanted> = (0..40).map(|slot| wanted(2 * slot, 7)).collect();
    orders.set_wanted(&apart);
    let together = decide(&mut orders, at(0)).len();
    assert_eq!(together, 8, "a server that answers is asked for a few at a time");
    assert!(decide(&mut orders, at(10)).is_empty());
    let overdue = decide(&mut orders, at(50)).len();
    assert_eq!(overdue, 8, "none of the first has been answered");
    let more: usize = (10..19).map(|tens| decide(&mut orders, at(tens * 10)).len()).sum();
    assert_eq!(together + overdue + more, 24, "each takes a connection");
}
