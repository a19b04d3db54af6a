//! Limit on held answer bytes.

use std::time::Duration;

use acaciaring_core::held_limit::HeldLimit;
use acaciaring_core::{Reason, Verdict};

const LIMIT: u64 = 1 << 20;

/// Guards against refusals while the process still may hold more.
#[test]
fn requests_are_taken_up_to_the_limit() {
    let limit = HeldLimit::new(LIMIT);
    assert_eq!(limit.bytes(), LIMIT);
    for held in [0, 1, LIMIT - 1, LIMIT] {
        assert_eq!(limit.check(held), Ok(()), "{held} bytes are held");
    }
}

/// Guards against an unbounded number of held bytes, and against a refusal after which the caller
/// does not know that the request did not run, or comes back at once.
#[test]
fn requests_are_refused_above_the_limit() {
    for held in [LIMIT + 1, LIMIT * 2, u64::MAX] {
        let refusal = HeldLimit::new(LIMIT).check(held).expect_err("the limit is exceeded");
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert_eq!(refusal.reason, Reason::Busy);
        assert_eq!(refusal.retry, Some(Duration::from_secs(1)));
    }
}
