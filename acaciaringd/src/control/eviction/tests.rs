//! Tests of the wait before an eviction.

use super::*;

const MEMBER: MemberId = MemberId(1);

/// A member has no lessors at first, and is given some. Much later its process starts anew on
/// its address while its upstream lives on and holds its keys. The wait for the eviction of the
/// former process must begin then: counted from the first moment it was over at once, and two
/// upstreams held the keys.
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
