//! Tests of the retry budgets.

use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryDecision, RetrySettings};
use acaciaring_core::route::Repeat;
use acaciaring_core::{Name, Reason, Refusal, Time};

use super::{ClusterBudget, RetryBudgets};

/// Cluster budget that limits nothing.
const AMPLE: ClusterBudget = ClusterBudget { burst: 1e6, window: Duration::from_secs(10) };

/// First try of a request, refused by one member while another may accept it.
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

// Guards against a failing class that uses up the retries of another class of the service.
#[test]
fn a_class_does_not_use_the_retries_of_others() {
    let budgets = RetryBudgets::new(RetrySettings::default(), AMPLE);
    let now = Time::ZERO + Duration::from_secs(1);
    let (lab, samples, grade) = (Name::from("lab"), Name::from("samples"), Name::from("grade"));
    let next = |class| budgets.next(now, 1, &lab, class, &BUSY);
    let allowed = (0..100).take_while(|_| next(&samples) != RetryDecision::GiveUp).count();
    assert!(allowed < 100, "the retries of a class are unlimited");
    assert_eq!(next(&samples), RetryDecision::GiveUp);
    assert!(matches!(next(&grade), RetryDecision::Retry { .. }));
}

// Guards against members that each spend the cluster budget of a service in full.
#[test]
fn members_share_the_retries_of_a_service() {
    let cluster = ClusterBudget { burst: 50.0, window: Duration::from_secs(10) };
    let (members, lab, grade) = (10, Name::from("lab"), Name::from("grade"));
    let failure = Failure { refusal: Refusal::unknown(Reason::LostAnswer), ..BUSY };
    let mut allowed = 0;
    for _ in 0..members {
        let budgets =
            RetryBudgets::new(RetrySettings { ratio: 0.0, ..RetrySettings::default() }, cluster);
        for tenth in 0..100 {
            let now = Time::ZERO + Duration::from_millis(100 * tenth);
            let decision = budgets.next(now, members, &lab, &grade, &failure);
            allowed += usize::from(decision != RetryDecision::GiveUp);
        }
    }
    assert!((20..=50).contains(&allowed), "{allowed} retries in one window");
}

// Guards against a request with more tries than its class allows while the budget is full.
#[test]
fn a_class_bounds_the_tries_of_a_request() {
    let budgets = RetryBudgets::new(RetrySettings::default(), AMPLE);
    let (lab, grade) = (Name::from("lab"), Name::from("grade"));
    let failure = |tries| Failure { attempts: tries, max_attempts: 2, ..BUSY };
    let next = |tries| budgets.next(Time::ZERO, 1, &lab, &grade, &failure(tries));
    assert!(matches!(next(1), RetryDecision::Retry { .. }));
    assert_eq!(next(2), RetryDecision::GiveUp);
}
