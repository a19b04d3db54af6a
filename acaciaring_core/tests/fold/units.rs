//! Tests of units: assignment, planned moves, loss of members, and hot keys.

use acaciaring_core::state::{HOT_MAX, Rejection};
use acaciaring_core::{KeyHash, MemberId, UnitId};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{
    Assign, Detach, Exit, Handoff, Leave, Merge, Split, Switchover, Unit,
};

use crate::support::{CONTRACTS, Log};

fn switchover(member: MemberId, unit: Unit) -> Body {
    let workspace = CONTRACTS.to_owned();
    Body::Switchover(Switchover { member: member.0, workspace, units: vec![unit] })
}

fn handoff(member: MemberId, unit: Unit, target: MemberId) -> Body {
    let workspace = CONTRACTS.to_owned();
    Body::Handoff(Handoff { member: member.0, workspace, units: vec![unit], target: target.0 })
}

fn split(member: MemberId, units: Vec<Unit>) -> Body {
    Body::Split(Split { member: member.0, workspace: CONTRACTS.to_owned(), units })
}

fn merge(member: MemberId, unit: Unit) -> Body {
    Body::Merge(Merge { member: member.0, workspace: CONTRACTS.to_owned(), units: vec![unit] })
}

fn owner_and_standby(log: &Log, slot: usize) -> (MemberId, MemberId) {
    let assignment = log.slot(slot);
    (assignment.owner.expect("owned"), assignment.standby.expect("a standby"))
}

/// Returns a member other than the two.
fn other(log: &Log, owner: MemberId, standby: MemberId) -> MemberId {
    let mut ids = log.state.members().map(|member| member.id);
    ids.find(|id| *id != owner && *id != standby).expect("enough members")
}

/// Checks that the standbys of each owner are evenly spread over members in other data centres.
fn check_spread(log: &Log) {
    for member in log.state.members_of(CONTRACTS) {
        let owned = log.service().slots.iter().filter(|a| a.owner == Some(member.id));
        let standbys: Vec<_> = owned.filter_map(|a| a.standby).collect();
        let others = log.state.members_of(CONTRACTS).filter(|other| other.id != member.id);
        let (far, near): (Vec<_>, Vec<_>) =
            others.partition(|other| other.data_centre != member.data_centre);
        let units = |id| standbys.iter().filter(|standby| **standby == id).count();
        assert!(near.iter().all(|other| units(other.id) == 0));
        let units: Vec<_> = far.iter().map(|other| units(other.id)).collect();
        assert!(units.iter().max() <= units.iter().min().map(|least| least + 1).as_ref());
    }
}

#[test]
fn slots_are_assigned_evenly_with_standbys_spread_and_far() {
    let mut log = Log::with_service(8, 64);
    for member in log.state.members() {
        assert_eq!(log.state.owned_count(member.id), 8);
        assert!((4..=12).contains(&log.state.standby_count(member.id)));
    }
    check_spread(&log);
    let ids: Vec<_> = log.state.members().map(|member| member.id).collect();
    log.applied(log.evict(ids[5]));
    check_spread(&log);
    log.applied(Body::Leave(Leave { member: ids[2].0, applied: log.state.next() }));
    check_spread(&log);
}

#[test]
fn a_lone_member_gets_a_standby_when_one_comes() {
    let mut log = Log::with_members(2);
    log.applied(crate::support::parameters(CONTRACTS, "contracts", 4, 0));
    let ids: Vec<_> = log.state.members().map(|member| member.id).collect();
    let assign = Body::Assign(Assign { workspace: CONTRACTS.to_owned(), slots: 0 });
    assert_eq!(log.rejected(assign.clone()), Rejection::NoCandidate);
    // The first member has no lessors, so it can hold no lease and own nothing.
    log.attach(ids[0]);
    assert_eq!(log.rejected(assign.clone()), Rejection::NoCandidate);
    log.attach(ids[1]);
    log.applied(assign);
    let third = log.join(2);
    log.attach(third);
    assert!(log.service().slots.iter().all(|a| a.standby == Some(ids[0])));
    log.applied(Body::Exit(Exit { member: ids[0].0 }));
    assert!(log.service().slots.iter().all(|a| a.standby == Some(third)));
    log.applied(Body::Leave(Leave { member: third.0, applied: log.state.next() }));
    assert!(log.service().slots.iter().all(|a| a.standby.is_none()));
    // The last member has no standby, so it stays the owner until it can switch over.
    log.applied(Body::Leave(Leave { member: ids[1].0, applied: log.state.next() }));
    assert!(log.service().slots.iter().all(|a| a.owner == Some(ids[1])));
    let fourth = log.join(3);
    log.attach(fourth);
    assert!(log.service().slots.iter().all(|a| a.standby == Some(fourth)));
    log.applied(switchover(ids[1], log.unit(0)));
    let moved = log.slot(0);
    assert_eq!((moved.owner, moved.standby, moved.prior), (Some(fourth), None, Some(ids[1])));
}

#[test]
fn only_the_owner_switches_over_at_the_version_in_force() {
    let mut log = Log::with_service(5, 8);
    let (owner, standby) = owner_and_standby(&log, 0);
    let unit = log.unit(0);
    assert_eq!(log.rejected(switchover(standby, unit)), Rejection::NotOwner { slot: 0 });
    let offset = log.applied(switchover(owner, unit));
    let now = log.slot(0);
    assert_eq!((now.owner, now.standby, now.prior), (Some(standby), Some(owner), Some(owner)));
    assert_eq!((now.version, now.token), (offset, offset));
    let stale = log.rejected(switchover(standby, unit));
    assert_eq!(stale, Rejection::Stale { slot: 0, current: offset });
    let twice = Switchover {
        member: standby.0,
        workspace: CONTRACTS.to_owned(),
        units: vec![log.unit(0), log.unit(0)],
    };
    assert_eq!(log.rejected(Body::Switchover(twice)), Rejection::UnknownUnit { slot: 0 });
}

#[test]
fn only_the_standby_hands_its_role_off() {
    let mut log = Log::with_service(5, 8);
    let (owner, standby) = owner_and_standby(&log, 0);
    let target = other(&log, owner, standby);
    let unit = log.unit(0);
    assert_eq!(log.rejected(handoff(owner, unit, target)), Rejection::NotStandby { slot: 0 });
    for wrong in [owner, standby, MemberId(99)] {
        let rejection = log.rejected(handoff(standby, unit, wrong));
        assert_eq!(rejection, Rejection::Target { slot: 0, target: wrong.0 });
    }
    let before = log.slot(0);
    let offset = log.applied(handoff(standby, unit, target));
    let now = log.slot(0);
    assert_eq!((now.owner, now.standby), (Some(owner), Some(target)));
    assert_eq!((now.version, now.token), (offset, before.token));
}

/// Guards against an owner that waits for its own release when it gets a slot back after the new
/// owner is lost.
#[test]
fn a_former_owner_that_becomes_owner_again_waits_for_nobody() {
    let mut log = Log::with_service(5, 8);
    let (owner, standby) = owner_and_standby(&log, 0);
    log.applied(switchover(owner, log.unit(0)));
    let offset = log.applied(log.evict(standby));
    let now = log.slot(0);
    assert_eq!((now.owner, now.prior, now.token), (Some(owner), None, offset));
    assert!(now.standby.is_some_and(|other| other != owner && other != standby));
}

/// Guards against two members serving a slot when its new owner is lost before the former one has
/// released it: the next owner waits for the release or the former owner's death.
#[test]
fn a_former_owner_is_waited_for_when_the_new_one_dies() {
    let mut log = Log::with_service(6, 8);
    let (owner, standby) = owner_and_standby(&log, 0);
    log.applied(switchover(owner, log.unit(0)));
    let target = other(&log, owner, standby);
    log.applied(handoff(owner, log.unit(0), target));
    log.applied(log.evict(standby));
    let now = log.slot(0);
    assert_eq!((now.owner, now.prior), (Some(target), Some(owner)));
    let offset = log.applied(log.evict(owner));
    let later = log.slot(0);
    assert_eq!((later.owner, later.prior, later.version), (Some(target), None, offset));
    assert_eq!(later.token, now.token);
}

/// Guards against a slot without owner when owner and standby are lost together: it gets an owner
/// while members remain, and its token rises each time.
#[test]
fn owner_and_standby_die_together() {
    let mut log = Log::with_service(4, 8);
    let mut tokens = vec![log.slot(0).token];
    for left in [3, 2, 1] {
        let (owner, standby) = owner_and_standby(&log, 0);
        log.applied(Body::Exit(Exit { member: owner.0 }));
        let now = log.slot(0);
        assert_eq!(now.owner, Some(standby));
        assert_eq!(now.standby.is_some(), left > 1);
        tokens.push(now.token);
    }
    let last = log.slot(0).owner.expect("one member is left");
    tokens.push(log.applied(Body::Exit(Exit { member: last.0 })));
    assert_eq!(log.slot(0).owner, None);
    assert!(tokens.is_sorted_by(|one, next| one < next));
}

#[test]
fn a_leaving_member_stays_the_former_owner_and_gets_no_role() {
    let mut log = Log::with_service(5, 20);
    let (owner, standby) = owner_and_standby(&log, 0);
    log.applied(Body::Leave(Leave { member: owner.0, applied: log.state.next() }));
    let now = log.slot(0);
    assert_eq!((now.owner, now.prior), (Some(standby), Some(owner)));
    assert_eq!((log.state.owned_count(owner), log.state.standby_count(owner)), (0, 0));
    log.applied(Body::Exit(Exit { member: owner.0 }));
    assert!(log.service().slots.iter().all(|a| a.prior.is_none()));
}

#[test]
fn a_hot_key_moves_alone_and_returns() {
    let mut log = Log::with_service(5, 8);
    let key = KeyHash::of(b"contract-17");
    let slot = key.slot(8);
    let index = usize::try_from(slot).expect("a small slot");
    let (owner, standby) = owner_and_standby(&log, index);
    let hot = Unit { key: Some(key.0), ..log.unit(slot) };
    let wrong = Unit { key: Some(key.0 + 1), ..hot };
    let unknown = Rejection::UnknownUnit { slot };
    assert_eq!(log.rejected(split(owner, vec![wrong])), unknown);
    assert_eq!(log.rejected(split(owner, vec![hot, hot])), unknown);
    let before = log.slot(index);
    let offset = log.applied(split(owner, vec![hot]));
    // The version rises so that a standby that has not read the split cannot take the slot over.
    assert_eq!((log.slot(index).version, log.slot(index).token), (offset, before.token));
    let unit = UnitId { slot, key: Some(key) };
    assert_eq!(log.service().unit_of(key), unit);
    let hot = Unit { version: offset, ..hot };
    let offset = log.applied(switchover(owner, hot));
    assert_eq!(log.service().assignment(unit).expect("split").owner, Some(standby));
    assert_eq!(log.slot(index).owner, Some(owner));
    let hot = Unit { version: offset, ..hot };
    assert_eq!(log.rejected(merge(standby, hot)), Rejection::Differs { slot });
    let offset = log.applied(switchover(standby, hot));
    log.applied(merge(owner, Unit { version: offset, ..hot }));
    assert_eq!(log.service().unit_of(key), UnitId::slot(slot));
    assert_eq!((log.slot(index).owner, log.slot(index).prior), (Some(owner), Some(standby)));
}

/// Guards against a merge that loses a former owner: a slot and its hot key may have different
/// ones, and a later owner may have to wait for both.
#[test]
fn a_hot_key_with_another_standby_or_former_owner_does_not_merge() {
    let mut log = Log::with_service(6, 1);
    let (owner, standby) = owner_and_standby(&log, 0);
    let target = other(&log, owner, standby);
    let mut hot = Unit { key: Some(1), ..log.unit(0) };
    hot.version = log.applied(split(owner, vec![hot]));
    hot.version = log.applied(handoff(standby, hot, target));
    let differs = Rejection::Differs { slot: 0 };
    assert_eq!(log.rejected(merge(owner, hot)), differs);
    hot.version = log.applied(switchover(owner, hot));
    hot.version = log.applied(switchover(target, hot));
    log.applied(switchover(owner, log.unit(0)));
    log.applied(switchover(standby, log.unit(0)));
    log.applied(handoff(standby, log.unit(0), target));
    assert_eq!(log.rejected(merge(owner, hot)), differs);
    log.applied(log.evict(standby));
    log.applied(merge(owner, hot));
}

/// Guards against a key held under a lower token than before: a hot key that has moved away and back
/// has a higher one than its slot.
#[test]
fn a_merged_key_keeps_the_higher_token() {
    let mut log = Log::with_service(3, 1);
    let (owner, standby) = owner_and_standby(&log, 0);
    let mut hot = Unit { key: Some(1), ..log.unit(0) };
    hot.version = log.applied(split(owner, vec![hot]));
    hot.version = log.applied(switchover(owner, hot));
    hot.version = log.applied(switchover(standby, hot));
    let token = hot.version;
    log.applied(merge(owner, hot));
    assert_eq!((log.slot(0).owner, log.slot(0).prior), (Some(owner), Some(standby)));
    assert_eq!(log.slot(0).token, token);
}

/// Guards against an assigned member that waits for its own release because it was the former
/// owner.
#[test]
fn an_assigned_member_does_not_wait_for_itself() {
    let mut log = Log::with_service(2, 1);
    let (owner, standby) = owner_and_standby(&log, 0);
    log.applied(switchover(owner, log.unit(0)));
    log.applied(Body::Detach(Detach { member: owner.0 }));
    assert_eq!(log.slot(0).standby, None);
    log.applied(Body::Exit(Exit { member: standby.0 }));
    assert_eq!((log.slot(0).owner, log.slot(0).prior), (None, Some(owner)));
    log.attach(owner);
    log.applied(Body::Assign(Assign { workspace: CONTRACTS.to_owned(), slots: 0 }));
    assert_eq!((log.slot(0).owner, log.slot(0).prior), (Some(owner), None));
}

#[test]
fn hot_keys_are_bounded() {
    let mut log = Log::with_service(5, 1);
    let (owner, _) = owner_and_standby(&log, 0);
    let unit = |key| Unit { key: Some(key), ..log.unit(0) };
    let most = u64::try_from(HOT_MAX).expect("a small count");
    let too_many = (0..=most).map(unit).collect();
    let enough = (0..most).map(unit).collect();
    assert_eq!(log.rejected(split(owner, too_many)), Rejection::HotKeys { limit: HOT_MAX });
    log.applied(split(owner, enough));
    let one_more = vec![Unit { key: Some(most), ..log.unit(0) }];
    assert_eq!(log.rejected(split(owner, one_more)), Rejection::HotKeys { limit: HOT_MAX });
}
