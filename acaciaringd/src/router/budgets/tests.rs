//! Tests of the budgets of retries.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision, RetrySettings};
use acaciaring_core::route::Repeat;
use acaciaring_core::{Name, Reason, Refusal, Time};

use super::{Budgets, CommonBudget};

/// Common budget that binds nobody.
const AMPLE: CommonBudget = CommonBudget { burst: 1e6, window: Duration::from_secs(10) };

/// First try of a request, refused by a member while another may take it.
const BUSY: Failure = Failure {
    refusal: Refusal::not_run(Reason::Busy),
    repeat: Repeat::Idempotent,
    time_left: Duration::from_secs(1),
    attempts: 1,
    redirects: 0,
    reached_upstream: true,
    has_alternative: true,
    max_attempts: 0,
};

// Samples fail by the hundred and use up their retries. A request to grade, of another class of the
// same service, is tried again all the same.
#[test]
fn a_class_leaves_the_retries_of_others() {
    let budgets = Budgets::new(RetrySettings::default(), AMPLE);
    let now = Time::ZERO + Duration::from_secs(1);
    let (lab, samples, grade) = (Name::from("lab"), Name::from("samples"), Name::from("grade"));
    let next = |class| budgets.next(now, 1, &lab, class, &BUSY);
    let allowed = (0..100).take_while(|_| next(&samples) != RetryDecision::GiveUp).count();
    assert!(allowed < 100, "the retries of a class have no bound");
    assert_eq!(next(&samples), RetryDecision::GiveUp);
    assert!(matches!(next(&grade), RetryDecision::Retry { .. }));
}

// An upstream that answers nothing is common to ten members, and each has its budget full. In ten
// seconds they may repeat 50 requests in all; each spends a part of that, not a budget of its own.
#[test]
fn members_share_the_retries_of_a_service() {
    let common = CommonBudget { burst: 50.0, window: Duration::from_secs(10) };
    let (members, lab, grade) = (10, Name::from("lab"), Name::from("grade"));
    let failure = Failure { refusal: Refusal::unknown(Reason::LostAnswer), ..BUSY };
    let mut allowed = 0;
    for _ in 0..members {
        let budgets =
            Budgets::new(RetrySettings { ratio: 0.0, ..RetrySettings::default() }, common);
        for tenth in 0..100 {
            let now = Time::ZERO + Duration::from_millis(100 * tenth);
            let decision = budgets.next(now, members, &lab, &grade, &failure);
            allowed += usize::from(decision != RetryDecision::GiveUp);
        }
    }
    assert!((20..=50).contains(&allowed), "{allowed} retries in one window");
}

// A class allows two tries. The second may be made, a third may not, however full the budget is.
#[test]
fn a_class_bounds_the_tries_of_a_request() {
    let budgets = Budgets::new(RetrySettings::default(), AMPLE);
    let (lab, grade) = (Name::from("lab"), Name::from("grade"));
    let failure = |tries| Failure { attempts: tries, max_attempts: 2, ..BUSY };
    let next = |tries| budgets.next(Time::ZERO, 1, &lab, &grade, &failure(tries));
    assert!(matches!(next(1), RetryDecision::Retry { .. }));
    assert_eq!(next(2), RetryDecision::GiveUp);
}
