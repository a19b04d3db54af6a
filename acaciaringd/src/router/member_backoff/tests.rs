//! Tests of how often a search asks the same member.

use std::time::Duration;

use acaciaring_core::{MemberId, Offset, Time};

use super::Asked;

const MEMBER: MemberId = MemberId(3);

/// Times at which a search that looks each millisecond asks the member.
fn asks(millis: u64, version: impl Fn(u64) -> Option<Offset>) -> Vec<u64> {
    let mut asked = Asked::default();
    let mut times = Vec::new();
    for milli in 0..millis {
        let now = Time::from_millis(milli);
        if asked.may(now, MEMBER, version(milli)) {
            asked.note(now, MEMBER, version(milli));
            times.push(milli);
        }
    }
    times
}

// A unit has no server for longer than the search of a request, and the member that should serve it says
// that it is not the owner. It was asked 15 times in 150 ms.
#[test]
fn a_member_without_news_is_asked_three_times_in_a_search() {
    assert_eq!(asks(150, |_| None).len(), 3);
    assert!(asks(2500, |_| None).len() < 18);
}

// Halfway through the log names another owner: whoever it is is asked at once, also a member asked before.
#[test]
fn a_member_is_asked_at_once_when_the_assignment_changes() {
    let changed = 100;
    let times = asks(150, |milli| (milli >= changed).then_some(9));
    assert!(times.contains(&changed), "{times:?}");
}

#[test]
fn the_search_sleeps_until_a_member_may_be_asked() {
    let mut asked = Asked::default();
    let now = Time::from_millis(1000);
    assert!(asked.pause(now) > Duration::ZERO);
    asked.note(now, MEMBER, None);
    assert!(!asked.may(now, MEMBER, None));
    let then = now + asked.pause(now);
    assert!(asked.may(then, MEMBER, None));
    asked.note(then, MEMBER, None);
    asked.clear();
    assert!(asked.may(then, MEMBER, None));
}
