//! Tests of the backoff of a search.

use std::time::Duration;

use acaciaring_core::{MemberId, Offset, Time};

use super::MemberBackoff;

const MEMBER: MemberId = MemberId(3);

/// Returns the times at which a search that checks each millisecond asks the member.
fn ask_times(millis: u64, version: impl Fn(u64) -> Option<Offset>) -> Vec<u64> {
    let mut backoff = MemberBackoff::default();
    let mut times = Vec::new();
    for milli in 0..millis {
        let now = Time::from_millis(milli);
        if backoff.allows(now, MEMBER, version(milli)) {
            backoff.record(now, MEMBER, version(milli));
            times.push(milli);
        }
    }
    times
}

// Guards against a search that asks a member which does not serve the unit over and over.
#[test]
fn a_member_is_asked_three_times_under_one_assignment() {
    assert_eq!(ask_times(150, |_| None).len(), 3);
    assert!(ask_times(2500, |_| None).len() < 18);
}

// Guards against a backoff that delays the request after the assignment has changed.
#[test]
fn a_member_is_asked_at_once_when_the_assignment_changes() {
    let changed = 100;
    let times = ask_times(150, |milli| (milli >= changed).then_some(9));
    assert!(times.contains(&changed), "{times:?}");
}

#[test]
fn the_search_sleeps_until_a_member_may_be_asked() {
    let mut backoff = MemberBackoff::default();
    let now = Time::from_millis(1000);
    assert!(backoff.next_delay(now) > Duration::ZERO);
    backoff.record(now, MEMBER, None);
    assert!(!backoff.allows(now, MEMBER, None));
    let then = now + backoff.next_delay(now);
    assert!(backoff.allows(then, MEMBER, None));
    backoff.record(then, MEMBER, None);
    backoff.reset();
    assert!(backoff.allows(then, MEMBER, None));
}
