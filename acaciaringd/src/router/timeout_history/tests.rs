use std::time::Duration;

use acaciaring_core::{Name, Time};

use super::TimeoutHistory;

const TIMEOUT: Duration = Duration::from_secs(2);

fn at(seconds: u64) -> Time {
    Time::from_start(Duration::from_secs(seconds))
}

fn estimate_wait(history: &TimeoutHistory, now: Time, class: &str, stated: Duration) -> Duration {
    history.estimate_wait(now, &Name::from("permits"), &Name::from(class), stated)
}

// Guards against a retrying client that is taken for a new one: it states a shorter timeout.
#[test]
fn a_retrying_client_is_recognised_by_its_timeout() {
    let history = TimeoutHistory::default();
    assert_eq!(estimate_wait(&history, at(1), "look", TIMEOUT), Duration::ZERO);
    let retried = Duration::from_millis(1500);
    assert_eq!(estimate_wait(&history, at(2), "look", retried), Duration::from_millis(500));
    assert_eq!(
        estimate_wait(&history, at(2), "sign", retried),
        Duration::ZERO,
        "classes are independent"
    );
}

// Guards against clients with a newly shortened timeout that count as retries for good.
#[test]
fn a_timeout_that_is_no_longer_stated_is_forgotten() {
    let history = TimeoutHistory::default();
    estimate_wait(&history, at(1), "look", TIMEOUT);
    let short = TIMEOUT / 2;
    assert_eq!(estimate_wait(&history, at(61), "look", short), short);
    assert_eq!(estimate_wait(&history, at(122), "look", short), Duration::ZERO);
}
