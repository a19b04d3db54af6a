//! Tests of the refusal cache of an entry.

use std::time::Duration;

use acaciaring_core::refusal_cache::{RefusalCache, Slack};
use acaciaring_core::route::Rank;
use acaciaring_core::{MemberId, Time};

const ONE: MemberId = MemberId(1);

const TWO: MemberId = MemberId(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn slack(rank: Rank, aim: u64, left: u64) -> Slack {
    Slack { rank, aim: ms(aim), left: ms(left), large: false }
}

// Guards against requests refused at the entry that the member could accept: those with more time
// or another rank are forwarded.
#[test]
fn a_refusal_holds_for_requests_with_no_more_time() {
    let mut cache = RefusalCache::default();
    let now = Time::from_millis(1_000);
    cache.record(now, ONE, slack(Rank::Bulk, 500, 2_000), ms(320));
    assert_eq!(cache.retry_after(now, ONE, slack(Rank::Bulk, 500, 2_000)), Some(ms(320)));
    assert_eq!(cache.retry_after(now, ONE, slack(Rank::Bulk, 400, 1_000)), Some(ms(320)));
    assert_eq!(cache.retry_after(now, ONE, slack(Rank::Bulk, 501, 2_000)), None);
    assert_eq!(cache.retry_after(now, ONE, slack(Rank::Bulk, 500, 2_001)), None);
    assert_eq!(cache.retry_after(now, ONE, slack(Rank::Interactive, 500, 2_000)), None);
    assert_eq!(cache.retry_after(now, ONE, slack(Rank::Background, 500, 2_000)), None);
    assert_eq!(cache.retry_after(now, TWO, slack(Rank::Bulk, 500, 2_000)), None);
}

// Guards against callers refused longer than the queue is full: an entry lasts a sixteenth of its
// retry time.
#[test]
fn a_refusal_is_forgotten_soon() {
    let mut cache = RefusalCache::default();
    let now = Time::from_millis(1_000);
    let request = slack(Rank::Bulk, 500, 2_000);
    cache.record(now, ONE, request, ms(320));
    assert!(cache.retry_after(now + ms(19), ONE, request).is_some());
    assert_eq!(cache.retry_after(now + ms(20), ONE, request), None);
}

// Guards against requests refused while a member has room: only when all are full is the caller
// refused, with the earliest retry time.
#[test]
fn members_that_are_full_are_left_out() {
    let mut cache = RefusalCache::default();
    let now = Time::from_millis(1_000);
    let request = slack(Rank::Bulk, 500, 2_000);
    let mut members = vec![ONE, TWO];
    assert_eq!(cache.retain(now, &mut members, request), None);
    assert_eq!(members, [ONE, TWO]);
    cache.record(now, ONE, request, ms(320));
    assert_eq!(cache.retain(now, &mut members, request), Some(ms(320)));
    assert_eq!(members, [TWO]);
    cache.record(now, TWO, request, ms(160));
    let mut members = vec![ONE, TWO];
    assert_eq!(cache.retain(now, &mut members, request), Some(ms(160)));
    assert!(members.is_empty());
}

// Guards against short calls refused for a member whose link has no room for large answers. A queue
// that is full for short calls is full for all.
#[test]
fn a_refusal_of_a_large_answer_holds_for_large_answers_only() {
    let mut cache = RefusalCache::default();
    let now = Time::from_millis(1_000);
    let small = slack(Rank::Bulk, 500, 2_000);
    let large = Slack { large: true, ..small };
    cache.record(now, ONE, large, ms(320));
    assert_eq!(cache.retry_after(now, ONE, large), Some(ms(320)));
    assert_eq!(cache.retry_after(now, ONE, small), None);
    let mut members = vec![ONE, TWO];
    assert_eq!(cache.retain(now, &mut members, small), None);
    assert_eq!(members, [ONE, TWO]);
    cache.record(now, TWO, small, ms(160));
    assert_eq!(cache.retry_after(now, TWO, small), Some(ms(160)));
    assert_eq!(cache.retry_after(now, TWO, large), Some(ms(160)));
    assert_eq!(cache.retain(now, &mut members, large), Some(ms(160)));
    assert!(members.is_empty());
}
