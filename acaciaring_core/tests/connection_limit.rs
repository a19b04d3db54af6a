//! Tests of the limit on connections.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::connection_limit::{Admission, Phase, admit, oldest_head};

const ANSWERING: Phase = Phase::Answering;
const RECEIVING: Phase = Phase::Receiving;

fn decide(limit: usize, open: &[(u64, Phase, u64)]) -> Admission<u64> {
    let at = |secs| Time::from_start(Duration::from_secs(secs));
    admit(limit, open.iter().map(|&(id, phase, since)| (id, phase, at(since))))
}

#[test]
fn a_connection_below_the_limit_is_opened() {
    assert_eq!(decide(3, &[(1, RECEIVING, 1), (2, RECEIVING, 0)]), Admission::Open);
}

/// Guards against connections without a request that keep out callers.
#[test]
fn the_connection_that_has_waited_the_longest_gives_way() {
    let open = [(1, ANSWERING, 0), (2, RECEIVING, 5), (3, RECEIVING, 4)];
    assert_eq!(decide(3, &open), Admission::Replace(3));
}

/// Guards against requests that are cut off for new connections.
#[test]
fn connections_with_requests_that_are_answered_stay() {
    assert_eq!(decide(2, &[(1, ANSWERING, 0), (2, ANSWERING, 5)]), Admission::Refuse);
}

/// Guards against heads that never end and take the memory of many connections.
#[test]
fn the_oldest_head_gives_way_to_others() {
    let at = |secs| Time::from_start(Duration::from_secs(secs));
    let open = [(1, RECEIVING, at(0)), (2, Phase::Head, at(5)), (3, Phase::Head, at(4))];
    assert_eq!(oldest_head(open.into_iter()), Some(3));
    assert_eq!(oldest_head(open[..1].iter().copied()), None);
}
