//! Tests of members, the choice of their lessors, and the proof that a lease has expired.

use std::collections::BTreeSet;

use acaciaring_core::MemberId;
use acaciaring_core::state::{DEAD_MAX, DEPARTURES_MAX, Phase, Rejection, State, majority};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{Attach, Depart, Detach, Evict, Exit, Join, Leave, Lessors, Vote};

use crate::support::{CONTRACTS, Log, attach, join};

fn lessors(member: MemberId, base: u64, ids: &[MemberId]) -> Body {
    let lessors = ids.iter().map(|id| id.0).collect();
    Body::Lessors(Lessors { member: member.0, base, lessors })
}

fn centres(log: &Log, ids: &[MemberId]) -> BTreeSet<String> {
    let centre = |id: &MemberId| log.state.member(*id).expect("known").data_centre.to_string();
    ids.iter().map(centre).collect()
}

fn exit(member: MemberId) -> Body {
    Body::Exit(Exit { member: member.0 })
}

#[test]
fn lessors_are_in_three_data_centres_and_evenly_spread() {
    let mut log = Log::with_members(4);
    let foreign = log.join(4);
    for index in 0..8 {
        log.join(index % 4);
    }
    let members: Vec<_> = log.state.members().cloned().collect();
    for member in &members[5..] {
        assert_eq!(member.lessors.len(), 3);
        assert_eq!(centres(&log, &member.lessors).len(), 3);
        assert!(!member.lessors.contains(&foreign));
    }
    // The only member of a region gets lessors in the other region.
    let set = &log.state.member(foreign).expect("known").lessors;
    assert_eq!(centres(&log, set).len(), 3);
    let holders: Vec<_> = members.iter().map(|member| log.state.holder_count(member.id)).collect();
    assert!(holders.iter().all(|count| *count <= 6), "uneven: {holders:?}");
}

#[test]
fn the_first_members_get_lessors_later() {
    let mut log = Log::with_members(0);
    let first = log.join(0);
    assert!(log.state.member(first).expect("known").lessors.is_empty());
    let others: Vec<_> = (0..4).map(|_| log.join(0)).collect();
    let member = log.state.member(first).expect("known").clone();
    let better = log.state.better_lessors(&member).expect("one data centre is better than none");
    // The oldest of the others is already a lessor of the rest, so it ranks last.
    assert_eq!(better, others[1..]);
    let base = log.applied(lessors(first, member.version, &better));
    let (far, farther) = (log.join(1), log.join(2));
    let member = log.state.member(first).expect("known").clone();
    assert_eq!(member.version, base);
    // With two more data centres, one lessor in the member's own data centre is kept.
    let better = log.state.better_lessors(&member).expect("there is a choice now");
    assert_eq!(better, [others[1], far, farther]);
    log.applied(lessors(first, base, &better));
    let member = log.state.member(first).expect("known").clone();
    assert_eq!(log.state.better_lessors(&member), None);
    log.applied(exit(far));
    let better = log.state.better_lessors(&member).expect("one lessor is dead");
    assert!(better.contains(&others[1]) && better.contains(&farther) && !better.contains(&far));
}

// Guards against a joining member that waits for crashed members not yet evicted: unresponsive
// lessors are excluded.
#[test]
fn lessors_of_which_nothing_is_heard_are_left_out() {
    let mut log = Log::with_members(5);
    let newcomer = log.join(4);
    let member = log.state.member(newcomer).expect("known").clone();
    let silent = member.lessors[..2].to_vec();
    let better = log.state.better_lessors_excluding(&member, &silent).expect("others are there");
    assert_eq!(better.len(), 3);
    assert!(better.contains(&member.lessors[2]), "the one that answers stays");
    assert!(silent.iter().all(|id| !better.contains(id)));
}

// Guards against a member that nobody can evict because it died before it had lessors. It never had
// a lease, so no votes are needed; votes are refused, and so are lessors proposed after its
// eviction.
#[test]
fn a_member_that_never_had_lessors_can_be_evicted() {
    let mut log = Log::with_members(0);
    let first = log.join(0);
    let other = log.join(1);
    let version = log.state.member(first).expect("known").version;
    let vote = Vote { lessor: other.0, member: first.0, version, newest: 0 };
    let evict = Evict { member: first.0, version, votes: vec![vote], ..Evict::default() };
    assert_eq!(log.rejected(Body::Evict(evict.clone())), Rejection::Votes);
    log.applied(Body::Evict(Evict { votes: Vec::new(), ..evict }));
    assert_eq!(log.state.member(first).expect("known").phase, Phase::Dead);
    let late = log.rejected(lessors(first, version, &[other]));
    assert_eq!(late, Rejection::Gone { member: first });
}

// Guards against the eviction of a live member: a member evicted without lessors may be merely
// partitioned and still grant leases, so its death does not count as a vote.
#[test]
fn the_death_of_a_member_without_lessors_stands_in_for_no_vote() {
    let mut log = Log::with_members(0);
    let first = log.join(0);
    let holder = log.join(1);
    let member = log.state.member(holder).expect("known").clone();
    assert_eq!(member.lessors, [first]);
    log.applied(log.evict(first));
    let lapsed = vec![first.0];
    let evict = Evict { member: holder.0, version: member.version, lapsed, ..Evict::default() };
    assert_eq!(log.rejected(Body::Evict(evict)), Rejection::Votes);
}

// Guards against owners that nobody can evict after all lessors are lost: a later process on the
// same VM and address proves the end of the former one, and no other process does.
#[test]
fn a_member_is_succeeded_by_a_later_one_on_its_address() {
    let mut log = Log::with_members(4);
    let former = log.state.members().nth(1).expect("joined").clone();
    let evict = |successor: u64| {
        let version = former.version;
        Body::Evict(Evict { member: former.id.0, version, successor, ..Evict::default() })
    };
    let copy = |vm: &str, peer: &str| {
        Body::Join(Join { vm: vm.into(), peer: peer.into(), nonce: 77, ..Join::default() })
    };
    let elsewhere = log.applied(copy(&former.vm, "192.0.2.1:1"));
    let other = log.applied(copy("other", &former.peer));
    let earlier = log.state.members().next().expect("joined").id.0;
    for successor in [elsewhere, other, earlier, former.id.0, 9999] {
        assert_eq!(log.rejected(evict(successor)), Rejection::Votes, "{successor}");
    }
    let later = log.applied(copy(&former.vm, &former.peer));
    log.applied(evict(later));
    assert_eq!(log.state.member(former.id).expect("known").phase, Phase::Dead);
}

// Guards against a member whose lessors are all in another region and that loses its lease in a
// partition: once its region has grown, it changes to lessors there.
#[test]
fn lessors_move_into_the_region_when_it_has_grown() {
    let mut log = Log::with_members(12);
    let first = log.join(4);
    let near: Vec<_> = [5, 6].into_iter().map(|centre| log.join(centre)).collect();
    let member = log.state.member(first).expect("known").clone();
    let remote = member.lessors.clone();
    assert!(remote.iter().all(|id| !near.contains(id)));
    let better = log.state.better_lessors(&member).expect("two are in the region");
    assert_eq!(better, [remote[0], near[0], near[1]]);
    log.applied(lessors(first, member.version, &better));
    let member = log.state.member(first).expect("known").clone();
    assert_eq!(log.state.better_lessors(&member), None);
}

#[test]
fn lessors_are_checked() {
    let mut log = Log::with_members(6);
    let ids: Vec<_> = log.state.members().map(|member| member.id).collect();
    let version = log.state.member(ids[0]).expect("known").version;
    log.applied(Body::Leave(Leave { member: ids[5].0, applied: log.state.next() }));
    for set in [&ids[1..1], &ids[1..5], &ids[0..2], &[ids[1], ids[1]], &[ids[5]], &[MemberId(99)]] {
        assert_eq!(log.rejected(lessors(ids[0], version, set)), Rejection::Lessors);
    }
    let current = log.applied(lessors(ids[0], version, &ids[1..3]));
    let stale = log.rejected(lessors(ids[0], version, &ids[2..4]));
    assert_eq!(stale, Rejection::Conflict { current });
}

/// Guards against two owners of a key: votes of a replaced lessor set must not evict a member that
/// holds a lease from the new one.
#[test]
fn votes_count_only_for_the_set_in_force() {
    let mut log = Log::with_members(8);
    let ids: Vec<_> = log.state.members().map(|member| member.id).collect();
    let old = log.evict(ids[7]);
    let base = log.state.member(ids[7]).expect("known").version;
    let version = log.applied(lessors(ids[7], base, &ids[0..3]));
    assert_eq!(log.rejected(old), Rejection::Conflict { current: version });
    let vote =
        |lessor: MemberId, version| Vote { lessor: lessor.0, member: ids[7].0, version, newest: 0 };
    let evict = |votes: &[Vote], lapsed: &[MemberId]| {
        let lapsed = lapsed.iter().map(|id| id.0).collect();
        Body::Evict(Evict {
            member: ids[7].0,
            version,
            votes: votes.to_vec(),
            lapsed,
            successor: 0,
        })
    };
    let good = vote(ids[0], version);
    for votes in [
        vec![good],
        vec![good, good],
        vec![good, vote(ids[1], base)],
        vec![good, vote(ids[4], version)],
        vec![good, Vote { member: ids[6].0, ..vote(ids[1], version) }],
    ] {
        assert_eq!(log.rejected(evict(&votes, &[])), Rejection::Votes);
    }
    assert_eq!(log.rejected(evict(&[good], &[ids[1]])), Rejection::Votes);
    log.applied(exit(ids[1]));
    assert_eq!(log.rejected(evict(&[vote(ids[1], version)], &[ids[1]])), Rejection::Votes);
    log.applied(evict(&[good], &[ids[1]]));
    assert_eq!(log.rejected(evict(&[good], &[ids[1]])), Rejection::Gone { member: ids[7] });
}

/// Guards against an eviction of a former process that hits the new one on the same VM.
#[test]
fn a_restarted_process_is_another_member() {
    let mut log = Log::with_members(5);
    let old = log.join(0);
    let evict = log.evict(old);
    let new = log.join(0);
    log.applied(evict);
    assert_eq!(log.state.member(old).expect("remembered").phase, Phase::Dead);
    assert!(log.state.member(new).expect("known").alive());
    assert_eq!(log.state.member(old).map(|m| &m.vm), log.state.member(new).map(|m| &m.vm));
}

#[test]
fn phases_only_move_forward() {
    let mut log = Log::with_service(5, 10);
    let ids: Vec<_> = log.state.members().map(|member| member.id).collect();
    let count = log.state.owned_count(ids[0]);
    let detach = Body::Detach(Detach { member: ids[0].0 });
    assert_eq!(log.rejected(detach), Rejection::Owns { count });
    let workspace = "other".to_owned();
    let other = Attach { member: ids[0].0, workspace, ..Attach::default() };
    assert_eq!(log.rejected(Body::Attach(other)), Rejection::Attachment);
    log.applied(Body::Leave(Leave { member: ids[0].0, applied: log.state.next() }));
    let gone = Rejection::Gone { member: ids[0] };
    assert_eq!(
        log.rejected(Body::Leave(Leave { member: ids[0].0, applied: log.state.next() })),
        gone
    );
    assert_eq!(log.rejected(attach(ids[0])), gone);
    assert!(log.state.members_of("contracts").all(|member| member.id != ids[0]));
    log.applied(exit(ids[0]));
    assert_eq!(log.rejected(exit(ids[0])), gone);
    assert_eq!(log.rejected(exit(MemberId(99))), Rejection::UnknownMember { member: 99 });
    assert_eq!(log.state.snapshot_rank(ids[0]), None);
    assert_eq!(log.state.snapshot_rank(ids[1]), Some(0));
}

/// Guards against unbounded growth of the state over restarts. A dead lessor of a live member is
/// kept, as its death may be needed to prove the end of that member's lease.
#[test]
fn dead_members_are_forgotten_in_the_end() {
    let mut log = Log::with_members(8);
    let holder = log.state.members().last().expect("joined").clone();
    let without_lessors =
        |id: &MemberId| log.state.member(*id).is_some_and(|member| member.lessors.is_empty());
    assert!(!holder.lessors.iter().any(without_lessors));
    for lessor in &holder.lessors {
        log.applied(exit(*lessor));
    }
    for _ in 0..DEAD_MAX + 5 {
        let offset = log.applied(join(0));
        log.applied(exit(MemberId(offset)));
    }
    let dead = log.state.members().filter(|member| member.phase == Phase::Dead);
    assert_eq!(dead.count(), DEAD_MAX);
    assert!(holder.lessors.iter().all(|lessor| log.state.member(*lessor).is_some()));
    let evict = Evict {
        member: holder.id.0,
        version: holder.version,
        lapsed: holder.lessors[..majority(holder.lessors.len())].iter().map(|id| id.0).collect(),
        ..Evict::default()
    };
    log.applied(Body::Evict(evict));
}

/// Guards against a restarted process that attaches an upstream which its predecessor has
/// acknowledged as leaving.
#[test]
fn an_upstream_that_has_left_is_not_attached_again() {
    let mut log = Log::with_service(3, 4);
    let member = log.join(0);
    let vm = log.state.member(member).expect("known").vm.to_string();
    let depart = |born: u64| Depart { vm: vm.clone(), instance: "i-1".into(), born };
    let attach = |born: u64| {
        let (workspace, instance) = (CONTRACTS.to_owned(), "i-1".to_owned());
        Body::Attach(Attach { member: member.0, workspace, instance, born, ..Attach::default() })
    };
    log.applied(Body::Depart(depart(5)));
    let departed = Rejection::Departed { instance: "i-1".into() };
    assert_eq!(log.rejected(Body::Depart(depart(5))), departed, "it is recorded once");
    let restored = State::from_snapshot(&log.state.to_snapshot()).expect("a valid snapshot");
    assert_eq!(restored, log.state);
    for born in [4, 5] {
        assert_eq!(log.rejected(attach(born)), departed, "start {born} had ended by then");
    }
    log.applied(attach(6));
}

#[test]
fn the_oldest_departures_are_forgotten() {
    let mut log = Log::with_members(1);
    let depart =
        |number: usize| Depart { vm: "vm".into(), instance: format!("i-{number}"), born: 0 };
    for number in 0..=DEPARTURES_MAX {
        log.applied(Body::Depart(depart(number)));
    }
    let kept: Vec<_> = log.state.departures("vm").map(|gone| gone.instance.to_string()).collect();
    assert_eq!((kept.len(), kept[0].as_str()), (DEPARTURES_MAX, "i-1"));
}
