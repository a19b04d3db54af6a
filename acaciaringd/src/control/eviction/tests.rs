//! Tests of the wait before an eviction.

use super::*;

const MEMBER: MemberId = MemberId(1);

/// A member has no lessors at first, and is given some. Much later its process starts anew on
/// its address while its upstream lives on and holds its keys. The wait for the eviction of the
/// former process must begin then: counted from the first moment it was over at once, and two
/// upstreams held the keys.
#[test]
fn a_wait_begins_with_its_own_ground() {
    let mut grounds = Grounds::default();
    let at = Time::from_millis;
    assert_eq!(grounds.since(at(0), MEMBER, Some(Ground::Bare)), at(0));
    assert_eq!(grounds.since(at(100), MEMBER, Some(Ground::Bare)), at(0));
    grounds.since(at(200), MEMBER, None);
    assert_eq!(grounds.since(at(9000), MEMBER, Some(Ground::Successor)), at(9000));
    assert_eq!(grounds.since(at(9500), MEMBER, Some(Ground::Successor)), at(9000));
    assert_eq!(grounds.since(at(9600), MEMBER, Some(Ground::Proof)), at(9600));
}
