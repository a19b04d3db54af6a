//! Tests of the state of the local upstream.

use acaciaring_core::orders::Answer;
use acaciaring_core::{Token, UnitId};
use acaciaring_schema::settings::UpstreamGrants;

use super::*;

fn settings() -> Upstream {
    let hold = Duration::from_secs(3);
    Upstream { grants: UpstreamGrants::Call, hold, ..Upstream::default() }
}

/// Guards against a view for each of many answered orders, which delays the orders that follow.
#[test]
fn answers_that_come_together_call_for_one_view() {
    let at = |millis: u64| Time::from_millis(10_000 + millis);
    let mut upstream = UpstreamState::new(Time::ZERO, &settings());
    let GrantMode::Call(orders) = &mut upstream.mode else { panic!("grants by calls") };
    let wanted = |slot: u32| Wanted {
        unit: UnitId::slot(slot),
        token: Token(u64::from(slot)),
        keys: vec![slot * 16..=slot * 16 + 15],
        handover: Name::from(""),
    };
    orders.set_wanted(&[wanted(1), wanted(2), wanted(3)]);
    let issued = orders.decide(at(0), at(9000), |_, _| true);
    let mut views = 0;
    for (millis, order) in (1..).zip(&issued) {
        let GrantMode::Call(orders) = &mut upstream.mode else { panic!("grants by calls") };
        let done = Answer::Done { handover: Name::from("") };
        assert!(orders.complete(at(millis), order.number, &done).expect("in flight").changed);
        upstream.order_answered(at(millis));
        views += u32::from(upstream.takes_answers(at(millis)));
    }
    assert_eq!((issued.len(), views), (3, 1), "one view after the last answer");
    assert!(!upstream.takes_answers(at(900)), "nothing has changed since");
}

/// Guards against a view that waits for an order without an answer.
#[test]
fn an_unanswered_order_delays_a_view_for_a_short_time() {
    let at = |millis: u64| Time::from_millis(10_000 + millis);
    let mut upstream = UpstreamState::new(Time::ZERO, &settings());
    let GrantMode::Call(orders) = &mut upstream.mode else { panic!("grants by calls") };
    let keys = vec![16..=31];
    let handover = Name::from("");
    orders.set_wanted(&[Wanted { unit: UnitId::slot(1), token: Token(7), keys, handover }]);
    assert_eq!(orders.decide(at(0), at(9000), |_, _| true).len(), 1);
    upstream.order_answered(at(1));
    assert!(!upstream.takes_answers(at(2)));
    assert!(upstream.next_change(at(2)).is_some_and(|next| next <= at(1) + MAX_VIEW_DELAY));
    assert!(upstream.takes_answers(at(1) + MAX_VIEW_DELAY));
}
