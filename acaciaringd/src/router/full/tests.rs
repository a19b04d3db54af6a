//! Tests of the refusals that are remembered for full members.

use std::time::Duration;

use acaciaring_core::refusal_cache::Slack;
use acaciaring_core::route::Rank;
use acaciaring_core::{MemberId, Reason, Refusal, Time};

use super::FullMembers;

const NOW: Time = Time::from_millis(1_000);

const ONE: MemberId = MemberId(1);

const TWO: MemberId = MemberId(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn slack(large: bool) -> Slack {
    Slack { rank: Rank::Interactive, aim: ms(1_000), left: ms(4_000), large }
}

fn refusal(reason: Reason, retry: u64) -> Refusal {
    Refusal::not_run(reason).after(ms(retry))
}

// Guards against short calls that are refused for a full link, and callers that are told of a full
// queue where the link is full.
#[test]
fn a_full_link_is_remembered_for_large_answers_with_its_reason() {
    let mut full = FullMembers::default();
    full.record(NOW, ONE, slack(true), refusal(Reason::LinkFull, 320));
    assert_eq!(full.refused(NOW, ONE, slack(true)), Some((Reason::LinkFull, ms(320))));
    assert_eq!(full.refused(NOW, ONE, slack(false)), None);
    full.record(NOW, TWO, slack(false), refusal(Reason::Busy, 640));
    assert_eq!(full.refused(NOW, TWO, slack(true)), Some((Reason::Busy, ms(640))));
    let mut members = vec![ONE, TWO];
    assert_eq!(full.retain(NOW, &mut members, slack(false)), Some((Reason::Busy, ms(640))));
    assert_eq!(members, [ONE]);
    let mut members = vec![ONE, TWO];
    assert_eq!(full.retain(NOW, &mut members, slack(true)), Some((Reason::LinkFull, ms(320))));
    assert!(members.is_empty());
}

// Guards against members that are left out for refusals which say nothing about the next request.
#[test]
fn other_refusals_are_not_remembered() {
    let mut full = FullMembers::default();
    for reason in [Reason::Expired, Reason::Shed, Reason::NoLease, Reason::Draining] {
        full.record(NOW, ONE, slack(true), refusal(reason, 320));
    }
    full.record(NOW, ONE, slack(true), Refusal::not_run(Reason::LinkFull));
    assert_eq!(full.refused(NOW, ONE, slack(true)), None);
}
