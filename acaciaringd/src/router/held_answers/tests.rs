//! Tests of refusals while too many answer bytes are held.

use std::time::Duration;

use acaciaring_core::route::Rank;
use acaciaring_core::route::Repeat;
use acaciaring_core::{Reason, Time, Verdict};

use super::*;

const LIMIT: u64 = 1000;

fn class(large_answer: bool) -> Class {
    Class {
        name: "fetch".into(),
        method: None,
        path: "".into(),
        rank: Rank::Interactive,
        repeat: Repeat::Idempotent,
        deadline: Duration::from_secs(4),
        latency_target: None,
        max_tries: 0,
        single_use: false,
        large_answer,
    }
}

/// Guards against requests with large answers that are taken although their answers may not be
/// read, against refusals of others, and against refusals after the held answers were read.
#[test]
fn only_requests_with_large_answers_are_refused_above_the_limit() {
    let bytes = HeldBytes::default();
    let answers = HeldAnswers::new(bytes.clone(), LIMIT);
    let metrics = Metrics::none().readable();
    let check = |large| answers.check(Time::ZERO, &class(large), &metrics);
    let held_up = || {
        let text = metrics.text();
        let line = text.lines().find(|line| line.starts_with("acaciaring_requests_held_up_total"));
        line.map(str::to_owned)
    };
    assert_eq!(check(true), Ok(()));
    let guard = bytes.hold(1001);
    let refusal = check(true).expect_err("the limit is exceeded");
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Busy));
    assert_eq!(check(false), Ok(()));
    assert!(check(true).is_err());
    assert_eq!(held_up().as_deref(), Some("acaciaring_requests_held_up_total 2"));
    drop(guard);
    assert_eq!(bytes.get(), 0);
    assert_eq!(check(true), Ok(()));
    assert_eq!(held_up().as_deref(), Some("acaciaring_requests_held_up_total 2"));
}
