//! Tests of the delay before an eviction.

use acaciaring_schema::log::{Join, Record};
use prost::Message;

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

/// Guards against the eviction of a live member: the `Join` of a process that was killed may be
/// appended after that of the next process at its address.
#[test]
fn only_the_later_process_itself_evicts_as_successor() {
    let mut state = State::default();
    for (offset, vm) in (1..).zip(["vm-1", "vm-2", "vm-1"]) {
        let join = Join { vm: vm.into(), peer: format!("{vm}:7000"), ..Join::default() };
        let id = u128::from(offset).to_le_bytes().to_vec();
        let record = Record { id, body: Some(record::Body::Join(join)), generation: 0 };
        assert!(state.fold(offset, &record.encode_to_vec()).applied());
    }
    let successor = |me, member| {
        let member = state.member(MemberId(member)).expect("joined");
        successor(&state, MemberId(me), member)
    };
    assert_eq!(successor(3, 1), Some(MemberId(3)), "it runs at the address of the former one");
    assert_eq!(successor(2, 1), None, "the third member may have no process");
    assert_eq!(successor(1, 3), None, "a later member");
    assert_eq!(successor(3, 2), None, "another address");
}
