//! Tests of deadlines while a process drains.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::drain::Drain;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Guards against requests that come late in a drain and are cut at its end without an answer.
#[test]
fn a_late_request_is_taken_only_if_it_ends_within_the_drain() {
    let drain = Drain { accepted: at(2600), end: at(5200) };
    let timeout = Duration::from_secs(2);
    let deadline = |received| drain.deadline(received, received + timeout);
    assert_eq!(deadline(at(0)), Some(at(2000)));
    assert_eq!(deadline(at(2700)), Some(at(4700)), "there is time for it");
    assert_eq!(deadline(at(4850)), None, "it would be cut");
    let long = Duration::from_mins(1);
    let last = drain.deadline(at(2600), at(2600) + long).expect("it came in time");
    assert!(last < drain.end && last + Duration::from_millis(200) > drain.end, "{last:?}");
    assert_eq!(drain.deadline(at(2601), at(2601) + long), None);
}
