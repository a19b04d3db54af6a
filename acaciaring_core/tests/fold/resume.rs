//! Tests of processes that replace a former one beside the same upstream, and of services created
//! by an assignment.

use acaciaring_core::state::{Phase, Rejection, State};
use acaciaring_core::{KeyHash, MemberId, UnitId};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Assign, Attach, Join, Leave, Switchover};

use super::support::Log;

const WORKSPACE: &str = "books";

fn join_and_attach(log: &mut Log, vm: &str, instance: &str) -> MemberId {
    let member = MemberId(log.applied(Body::Join(Join {
        vm: vm.into(),
        peer: format!("{vm}:7000"),
        data_centre: vm.into(),
        region: "free-state".into(),
        ..Join::default()
    })));
    log.improve_lessors(member);
    log.applied(Body::Attach(Attach {
        member: member.0,
        workspace: WORKSPACE.into(),
        upstream: format!("{vm}:9000"),
        fenced: true,
        instance: instance.into(),
        born: 0,
    }));
    member
}

/// Returns a log with members on VMs `a`, `b`, ... and an assigned service of `slots` slots.
fn service(count: usize, slots: u32) -> (Log, Vec<MemberId>) {
    let mut log = Log::default();
    let vms = ["a", "b", "c", "d", "e", "f"];
    let members: Vec<MemberId> =
        vms[..count].iter().map(|vm| join_and_attach(&mut log, vm, &format!("i-{vm}"))).collect();
    for member in &members {
        log.improve_lessors(*member);
    }
    log.applied(Body::Assign(Assign { workspace: WORKSPACE.into(), slots }));
    (log, members)
}

fn owned(state: &State, member: MemberId) -> Vec<u32> {
    let units = state.service(WORKSPACE).expect("assigned").units();
    units.filter(|(_, a)| a.owner == Some(member)).map(|(unit, _)| unit.slot).collect()
}

#[test]
fn an_assignment_makes_a_service_whose_slots_are_ranges() {
    let (log, members) = service(3, 4096);
    let service = log.state.service(WORKSPACE).expect("assigned");
    assert_eq!(service.key_ranges(UnitId::slot(1)), [16..=31]);
    assert_eq!(service.unit_of(KeyHash(31)), UnitId::slot(1));
    assert_eq!(service.unit_of(KeyHash(65_535)), UnitId::slot(4095));
    let counts: Vec<usize> = members.iter().map(|id| owned(&log.state, *id).len()).collect();
    assert!(counts.iter().all(|count| count.abs_diff(4096 / 3) <= 32), "{counts:?}");
}

#[test]
fn an_assignment_without_candidate_makes_nothing() {
    let mut log = Log::default();
    log.rejected(Body::Assign(Assign { workspace: WORKSPACE.into(), slots: 64 }));
    assert!(log.state.service(WORKSPACE).is_none());
}

/// Guards against fragmented ranges after the loss of a member: the grants of an upstream must fit
/// in one message.
#[test]
fn what_a_lost_member_owned_passes_on_in_blocks() {
    let (mut log, members) = service(6, 4096);
    let evict = log.evict(members[0]);
    log.applied(evict);
    for member in &members[1..] {
        let slots = owned(&log.state, *member);
        let ranges = 1 + slots.windows(2).filter(|pair| pair[0] + 1 != pair[1]).count();
        assert!(ranges <= 64, "{ranges} ranges");
    }
}

/// Guards against an outage after a process restart: the upstream talks to one process only, so the
/// new one replaces the former at once. The former standby may have taken over, so the owner waits
/// for its release and has a higher token.
#[test]
fn a_later_process_takes_the_place_of_the_former_one() {
    let (mut log, members) = service(3, 64);
    let before: Vec<_> = owned(&log.state, members[0]);
    let slot = usize::try_from(before[0]).expect("a small slot");
    let old = log.state.service(WORKSPACE).expect("assigned").slots[slot];
    let later = join_and_attach(&mut log, "a", "i-a");
    assert_eq!(owned(&log.state, later), before);
    let new = log.state.service(WORKSPACE).expect("assigned").slots[slot];
    assert_eq!((new.standby, new.prior_standby, new.prior), (old.standby, old.standby, None));
    assert!(new.token > old.token);
    assert_eq!(log.state.member(members[0]).map(|member| member.phase), Some(Phase::Dead));
    let snapshot = log.state.to_snapshot();
    assert_eq!(State::from_snapshot(&snapshot).expect("valid"), log.state);
}

#[test]
fn another_vm_address_or_upstream_replaces_no_member() {
    for (vm, upstream, instance) in
        [("z", "a:9000", "i-a"), ("a", "a:9001", "i-a"), ("a", "a:9000", "")]
    {
        let (mut log, members) = service(3, 64);
        let before = owned(&log.state, members[0]);
        let join = Join { vm: vm.into(), peer: "a:7000".into(), ..Join::default() };
        let member = log.applied(Body::Join(join));
        let (workspace, upstream, instance) = (WORKSPACE.into(), upstream.into(), instance.into());
        log.applied(Body::Attach(Attach {
            member,
            workspace,
            upstream,
            fenced: true,
            instance,
            born: 0,
        }));
        assert_eq!(owned(&log.state, members[0]), before, "{vm}");
    }
}

/// Guards against releases that are never sent because the process that owed them was killed: its
/// successor sends them, as the upstream may still hold the units.
#[test]
fn a_later_process_owes_the_releases_of_the_former_one() {
    let (mut log, members) = service(3, 64);
    log.applied(Body::Leave(Leave { member: members[0].0, applied: log.state.next() }));
    let later = join_and_attach(&mut log, "a", "i-a");
    let service = log.state.service(WORKSPACE).expect("assigned");
    let unreleased = service.units().filter(|(_, a)| a.prior == Some(later)).count();
    assert!(unreleased > 0);
    assert!(service.units().all(|(_, a)| a.prior != Some(members[0])));
}

/// Guards against two holders when an owner and its standby leave at once: the standby's leave is
/// rejected until it has read that it became the owner, or a third member would wait only for its
/// release.
#[test]
fn a_member_that_has_not_read_what_it_owns_does_not_leave() {
    let (mut log, members) = service(3, 64);
    let slots = &log.state.service(WORKSPACE).expect("assigned").slots;
    let slot = slots.iter().position(|a| a.owner == Some(members[0])).expect("it owns some");
    let second = slots[slot].standby.expect("a standby");
    let read = log.state.next();
    log.applied(Body::Leave(Leave { member: members[0].0, applied: read }));
    let between = log.state.service(WORKSPACE).expect("assigned").slots[slot];
    assert_eq!((between.owner, between.prior), (Some(second), Some(members[0])));
    let leave = log.rejected(Body::Leave(Leave { member: second.0, applied: read }));
    assert!(matches!(leave, Rejection::Conflict { .. }), "{leave:?}");
    assert_eq!(log.state.service(WORKSPACE).expect("assigned").slots[slot], between);
    let read = log.state.next();
    log.applied(Body::Leave(Leave { member: second.0, applied: read }));
    let after = log.state.service(WORKSPACE).expect("assigned").slots[slot];
    assert_eq!(after.prior, Some(second));
}

/// Guards against a new owner that waits for the prior standby: the former owner had that release
/// before it served.
#[test]
fn a_switchover_clears_the_prior_standby() {
    let (mut log, members) = service(3, 64);
    let slot = owned(&log.state, members[0])[0];
    let later = join_and_attach(&mut log, "a", "i-a");
    let index = usize::try_from(slot).expect("a small slot");
    let version = log.state.service(WORKSPACE).expect("assigned").slots[index].version;
    let units = vec![acaciaring_schema::log::Unit { slot, key: None, version }];
    log.applied(Body::Switchover(Switchover {
        member: later.0,
        workspace: WORKSPACE.into(),
        units,
    }));
    let after = log.state.service(WORKSPACE).expect("assigned").slots[index];
    assert_eq!((after.prior_standby, after.prior), (None, Some(later)));
}
