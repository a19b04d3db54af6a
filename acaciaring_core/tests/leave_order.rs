//! Stories of members that leave, with a forced order of proposals, reads, reports and releases.

#[path = "support/cluster.rs"]
mod cluster;

use acaciaring_core::MemberId;
use acaciaring_schema::log::Exit;
use acaciaring_schema::log::record::Body;

use self::cluster::Cluster;

/// Rounds of reports during which an upstream works on a request.
const BUSY_ROUNDS: usize = 5;

/// Rounds of reports in which a unit moves on and the last member holds all units.
const SETTLING_ROUNDS: usize = 20;

/// Returns the owner of the unit, its standby and the member that has neither role.
fn roles(cluster: &Cluster) -> [MemberId; 3] {
    let assignment = cluster.assignment();
    let owner = assignment.owner.expect("an owner");
    let standby = assignment.standby.expect("a standby");
    let other = cluster.ids().into_iter().find(|id| ![owner, standby].contains(id));
    [owner, standby, other.expect("a third member")]
}

/// Lets a member propose to leave once it serves what it owns, until its record is accepted.
fn leave_again(cluster: &mut Cluster, member: MemberId) -> bool {
    let Some(leave) = cluster.propose_leave(member) else { return false };
    let accepted = cluster.append(leave);
    if !accepted {
        cluster.cancel_leave(member);
    }
    accepted
}

/// Guards against a unit that is granted to a third upstream while the first one works on it: an
/// owner and its standby propose to leave before either reads the other's record.
#[test]
fn a_third_upstream_waits_for_the_first_when_two_members_leave() {
    let mut cluster = Cluster::start(3);
    let [first, second, third] = roles(&cluster);
    let leaves = [first, second].map(|id| cluster.propose_leave(id).expect("it serves all"));
    cluster.set_busy(first, true);
    let [accepted, second_accepted] = leaves.map(|leave| cluster.append(leave));
    assert!(accepted, "the first record");
    cluster.read(second);
    cluster.read(third);
    if !second_accepted {
        cluster.cancel_leave(second);
    }
    let mut left = second_accepted;
    for round in 0..SETTLING_ROUNDS {
        if round == BUSY_ROUNDS {
            cluster.read(first);
        }
        if round == 2 * BUSY_ROUNDS {
            assert!(cluster.holds(first), "it works on a request");
            assert!(!cluster.holds(second) && !cluster.holds(third));
            cluster.set_busy(first, false);
        }
        cluster.round();
        left = left || leave_again(&mut cluster, second);
        cluster.read(second);
        cluster.read(third);
    }
    assert!(left, "the second leaves once it serves what the first released");
    assert!(cluster.holds_all(third));
}

/// Lets a standby and an owner leave while the end of an earlier owner raises the version, and the
/// owner, whose record is not appended, releases to the standby.
fn leave_beside_the_end_of_the_former_owner(end: impl Fn(&Cluster, MemberId) -> Body) {
    let mut cluster = Cluster::start(4);
    let [former, ..] = roles(&cluster);
    let leave = cluster.propose_leave(former).expect("it serves all");
    assert!(cluster.append(leave));
    cluster.read_all();
    cluster.settle();
    let [owner, standby, _] = roles(&cluster);
    assert!(cluster.holds(owner), "by the release of the former owner");
    let mut others = cluster.ids().into_iter();
    let last = others.find(|id| ![former, owner, standby].contains(id));
    let last = last.expect("a fourth member");

    let leave = cluster.propose_leave(standby).expect("it serves all");
    cluster.propose_leave(owner).expect("it serves all, but its record is not appended");
    cluster.end(former);
    let ended = end(&cluster, former);
    assert!(cluster.append(ended));
    cluster.read_all();
    cluster.close(owner);
    cluster.settle();
    assert!(!cluster.holds(owner), "it has released to its standby");
    assert!(cluster.append(leave), "nothing that the standby owns has changed");
    cluster.read(owner);
    cluster.read(last);
    cluster.settle();
    assert!(cluster.holds(last), "the next standby takes over");
    cluster.read(standby);
    cluster.settle();
    assert!(cluster.holds(last));
}

/// Guards against a leaving standby that takes over because the eviction of the former owner raised
/// the version: its record then names another standby, which takes over beside it.
#[test]
fn a_leaving_standby_does_not_take_over_beside_an_eviction() {
    leave_beside_the_end_of_the_former_owner(Cluster::evict);
}

/// Guards against the same where the former owner ends its own identity.
#[test]
fn a_leaving_standby_does_not_take_over_beside_an_exit() {
    leave_beside_the_end_of_the_former_owner(|_, former| Body::Exit(Exit { member: former.0 }));
}
