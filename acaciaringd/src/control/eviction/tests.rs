//! Tests of the delay before an eviction.

use super::*;

const MEMBER: MemberId = MemberId(1);

/// Guards against two upstreams that hold the same keys: a member evicted for a successor without
/// delay, because the delay was counted from an earlier reason.
#[test]
fn eviction_delay_starts_with_its_own_reason() {
    let mut reasons = EvictionReasons::default();
    let at = Time::from_millis;
    assert_eq!(reasons.since(at(0), MEMBER, Some(EvictionReason::NoLessors)), at(0));
    assert_eq!(reasons.since(at(100), MEMBER, Some(EvictionReason::NoLessors)), at(0));
    reasons.since(at(200), MEMBER, None);
    assert_eq!(reasons.since(at(9000), MEMBER, Some(EvictionReason::Successor)), at(9000));
    assert_eq!(reasons.since(at(9500), MEMBER, Some(EvictionReason::Successor)), at(9000));
    assert_eq!(reasons.since(at(9600), MEMBER, Some(EvictionReason::Proof)), at(9600));
}
