//! Stories of rights, releases and takeovers.

use acaciaring_core::lease::{Holder, LeaseSettings};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::Assignment;
use acaciaring_core::{KeyHash, MemberId, Name, Time, Token, UnitId};

const P: MemberId = MemberId(1);
const S: MemberId = MemberId(2);
const T: MemberId = MemberId(3);
const UNIT: UnitId = UnitId::slot(4);

/// One process with a lease, and what it knows of others.
struct Process {
    holder: Holder,
    rights: Rights,
    workspace: Name,
}

impl Process {
    fn new(me: MemberId) -> Self {
        let mut holder = Holder::new(me, Time::ZERO, LeaseSettings::default());
        holder.install(me.0, &[MemberId(9)], |_| true);
        let seq = holder.due(Time::ZERO)[0].seq;
        holder.handle_grant(Time::ZERO, MemberId(9), seq, true, me.0);
        Self { holder, rights: Rights::new(), workspace: "contracts".into() }
    }

    fn right_at(&mut self, now: Time, assignment: &Assignment, expired: &[MemberId]) -> Right {
        let expired = |id| expired.contains(&id);
        self.rights.decide(now, &self.holder, &self.workspace, UNIT, assignment, expired)
    }

    fn serves(&mut self, assignment: &Assignment, expired: &[MemberId]) -> bool {
        matches!(self.right_at(Time::ZERO, assignment, expired), Right::Serve { .. })
    }

    fn release(&mut self, assignment: &Assignment) -> bool {
        self.rights.release(&self.workspace, UNIT, assignment)
    }

    fn receive(&mut self, from: MemberId, version: u64) {
        self.rights.record_release(from, &self.workspace, UNIT, version);
    }
}

/// Returns an assignment whose owner was recorded at `token`.
fn assignment(
    owner: MemberId,
    standby: MemberId,
    prior: Option<MemberId>,
    token: u64,
    version: u64,
) -> Assignment {
    Assignment {
        owner: Some(owner),
        standby: Some(standby),
        prior,
        prior_standby: None,
        version,
        token,
    }
}

#[test]
fn owner_serves_under_its_token_until_its_lease_ends() {
    let mut owner = Process::new(P);
    let first = assignment(P, S, None, 10, 12);
    let until = Time::from_millis(1300);
    let right = Right::Serve { token: Token::owner(10), until, version: 12 };
    assert_eq!(owner.right_at(Time::from_millis(1299), &first, &[]), right);
    assert_eq!(owner.right_at(until, &first, &[]), Right::Wait);
}

// The log is down and the owner's VM is lost. The lessors' votes reach the
// standby, which serves at once, and goes on when the eviction makes it owner.
#[test]
fn standby_takes_over_without_the_log() {
    let mut standby = Process::new(S);
    let first = assignment(P, S, None, 10, 10);
    let elsewhere = Right::Elsewhere { owner: Some(P), standby: Some(S) };
    assert_eq!(standby.right_at(Time::ZERO, &first, &[]), elsewhere);
    let right = standby.right_at(Time::ZERO, &first, &[P]);
    let until = Time::from_millis(1300);
    assert_eq!(right, Right::Serve { token: Token::standby(10), until, version: 10 });
    assert!(standby.serves(&assignment(S, T, None, 20, 20), &[]));
}

// A planned stop while the log is down: the owner releases to the standby and
// must not serve again, also when a third member's eviction changes the version.
#[test]
fn released_owner_stays_out_over_changes_of_version() {
    let mut owner = Process::new(P);
    let mut standby = Process::new(S);
    let first = assignment(P, S, Some(T), 10, 10);
    assert!(owner.serves(&first, &[T]));
    assert!(owner.release(&first));
    assert!(!owner.serves(&first, &[T]));
    standby.receive(P, 10);
    assert!(standby.serves(&first, &[T]));
    let later = assignment(P, S, None, 10, 15);
    assert!(!owner.serves(&later, &[]));
    assert!(standby.serves(&later, &[]), "the standby goes on");
    let replaced = assignment(P, T, None, 10, 16);
    assert!(owner.serves(&replaced, &[]), "the standby is lost and the owner resumes");
}

// A server is told to stop, and its member renounces the units for which it stands by. Before the record
// is in the log, a third member's eviction raises the version, and the owner, which stops too, releases
// to it. Were it to serve, the owner would serve beside it once the record has named another standby.
#[test]
fn a_leaving_standby_takes_over_under_no_version() {
    let mut standby = Process::new(S);
    let first = assignment(P, S, Some(T), 10, 10);
    standby.rights.renounce(&Name::from("contracts"), UNIT, first.version);
    standby.rights.leave();
    let later = assignment(P, S, None, 10, 15);
    standby.receive(P, 15);
    assert!(!standby.serves(&later, &[]));
    standby.rights.cancel_leave();
    assert!(standby.serves(&later, &[]), "the record was rejected and it stays");
}

// A switchover is recorded while the old owner still works off requests. The
// new owner waits for the release, which counts under any version since.
#[test]
fn new_owner_waits_for_the_former_one() {
    let mut new = Process::new(S);
    let moved = assignment(S, P, Some(P), 20, 20);
    assert_eq!(new.right_at(Time::ZERO, &moved, &[]), Right::Wait);
    new.receive(P, 10);
    assert!(!new.serves(&moved, &[]), "a release under an earlier owner is void");
    new.receive(P, 20);
    assert!(new.serves(&assignment(S, T, Some(P), 20, 25), &[]));
}

// The new owner dies right after a switchover, and the log is down. The former
// owner is the standby now; that it released to the new owner is no hindrance.
#[test]
fn former_owner_takes_back_as_standby() {
    let mut former = Process::new(P);
    let moved = assignment(S, P, Some(P), 20, 20);
    assert!(former.release(&moved));
    assert!(!former.serves(&moved, &[]));
    assert!(former.serves(&moved, &[S]));
}

// The standby hands its role to a third member and the owner dies at once. The
// third member takes over; the old standby, which has not read its own record
// back, must not. It may again once the record is rejected for sure.
#[test]
fn standby_gives_up_its_role_before_the_record() {
    let mut standby = Process::new(S);
    let first = assignment(P, S, None, 10, 10);
    standby.rights.renounce(&standby.workspace.clone(), UNIT, 10);
    assert!(!standby.serves(&first, &[P]));
    standby.rights.cancel_renounce(&standby.workspace.clone(), UNIT, 10);
    assert!(standby.serves(&first, &[P]));
}

// The owner splits a hot key out, the answer is lost, and it is stopped. Were it
// to release the slot now, it would own the hot key still once the record lands.
#[test]
fn no_release_while_a_split_is_not_settled() {
    let mut owner = Process::new(P);
    let first = assignment(P, S, None, 10, 10);
    assert!(owner.serves(&first, &[]));
    owner.rights.begin_change(&owner.workspace.clone(), UNIT.slot);
    assert!(!owner.release(&first));
    assert!(owner.serves(&first, &[]));
    owner.rights.end_change(&owner.workspace.clone(), UNIT.slot);
    assert!(owner.release(&first));
}

// Two switchovers in a row bring a unit back. What it served before must not
// let the owner start beside the other one.
#[test]
fn memory_of_serving_ends_with_the_release() {
    let mut owner = Process::new(P);
    assert!(owner.serves(&assignment(P, S, None, 10, 10), &[]));
    assert!(owner.release(&assignment(S, P, Some(P), 20, 20)));
    assert!(!owner.rights.serving(&owner.workspace, UNIT));
    let back = assignment(P, S, Some(S), 30, 30);
    assert!(!owner.serves(&back, &[]));
    owner.receive(S, 30);
    assert!(owner.serves(&back, &[]));
}

// A standby that took over under votes is owner by record; then it moves the
// unit back. As prior it must stop taking requests, though it served before.
#[test]
fn standby_that_moved_a_unit_back_stops() {
    let mut standby = Process::new(S);
    assert!(standby.serves(&assignment(S, P, None, 20, 20), &[]));
    assert!(!standby.serves(&assignment(P, S, Some(S), 30, 30), &[]));
}

// The owner splits a hot key out of a slot whose former owner has released the
// slot but knows nothing of the key yet. The key must be served on at once.
#[test]
fn split_key_is_served_on() {
    let mut owner = Process::new(P);
    let moved = assignment(P, S, Some(T), 20, 20);
    owner.receive(T, 20);
    assert!(owner.serves(&moved, &[]));
    let key = UnitId { key: Some(KeyHash(7)), ..UNIT };
    let split = assignment(P, S, Some(T), 20, 25);
    let workspace = owner.workspace.clone();
    let right = |owner: &mut Process| {
        owner.rights.decide(Time::ZERO, &owner.holder, &workspace, key, &split, |_| false)
    };
    assert_eq!(right(&mut owner), Right::Wait);
    owner.rights.inherit(&workspace, key);
    assert!(matches!(right(&mut owner), Right::Serve { .. }));
}

/// The owner's process is killed; its standby has taken over when the next process is put in the
/// owner's place. Without a wait for the standby both would serve: the standby goes on until it
/// reads of it.
#[test]
fn owner_in_a_former_place_waits_for_the_standby_that_may_have_taken_over() {
    let before = assignment(P, S, None, 3, 3);
    let mut standby = Process::new(S);
    assert!(standby.serves(&before, &[P]));
    let after = Assignment { prior_standby: Some(S), ..assignment(T, S, None, 8, 8) };
    let mut owner = Process::new(T);
    assert!(!owner.serves(&after, &[]), "the standby may serve");
    assert!(standby.serves(&before, &[P]), "until it reads the record");
    assert!(!standby.serves(&after, &[]), "then it stops");
    owner.receive(S, 3);
    assert!(!owner.serves(&after, &[]), "a release from before says nothing");
    owner.receive(S, 8);
    assert!(owner.serves(&after, &[]));
}

#[test]
fn owner_in_a_former_place_serves_when_the_standby_is_lost_for_good() {
    let after = Assignment { prior_standby: Some(S), ..assignment(T, S, None, 8, 8) };
    assert!(Process::new(T).serves(&after, &[S]));
}

/// The standby's takeover was under a token above the owner's former one. The owner's next
/// process must have a higher one still, or upstreams would refuse it and run old work.
#[test]
fn tokens_rise_over_a_takeover_and_the_return_of_the_owner() {
    let Right::Serve { token: takeover, .. } =
        Process::new(S).right_at(Time::ZERO, &assignment(P, S, None, 3, 5), &[P])
    else {
        panic!("the standby serves");
    };
    let after = Assignment { prior_standby: Some(S), ..assignment(T, S, None, 8, 8) };
    let Right::Serve { token, .. } = Process::new(T).right_at(Time::ZERO, &after, &[S]) else {
        panic!("the owner serves");
    };
    assert!(token > takeover, "{token:?} {takeover:?}");
}
