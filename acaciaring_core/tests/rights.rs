//! Tests of which member may serve a unit across switchovers, releases and takeovers.

use acaciaring_core::lease::{Holder, LeaseSettings};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::Assignment;
use acaciaring_core::{KeyHash, MemberId, Name, Time, Token, UnitId};

const P: MemberId = MemberId(1);
const S: MemberId = MemberId(2);
const T: MemberId = MemberId(3);
const UNIT: UnitId = UnitId::slot(4);

/// Process with a lease and its view of the releases of others.
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

// Guards against a takeover that needs the log: with the owner's lease expired, the standby serves
// at once, and continues when the eviction makes it owner.
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

// Guards against an owner that serves again after it released to its standby, also when another
// member's eviction raises the version.
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

// Guards against a leaving standby that takes over because an eviction raised the version: it would
// serve beside the owner once the log names another standby.
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

/// Guards against a token that falls: an owner that released its unit to a standby, which took it
/// over, serves again when another member becomes the standby.
#[test]
fn owner_that_serves_again_after_a_release_has_a_higher_token() {
    let (mut owner, mut standby) = (Process::new(P), Process::new(S));
    let first = assignment(P, S, None, 10, 12);
    assert!(owner.serves(&first, &[]));
    assert!(owner.release(&first));
    standby.receive(P, 12);
    let until = Time::from_millis(1300);
    let taken = Right::Serve { token: Token::standby(12), until, version: 12 };
    assert_eq!(standby.right_at(Time::ZERO, &first, &[]), taken);
    let handed_off = assignment(P, T, None, 10, 15);
    let again = Right::Serve { token: Token::owner(15), until, version: 15 };
    assert_eq!(owner.right_at(Time::ZERO, &handed_off, &[]), again);
    assert!(Token::owner(15) > Token::standby(12));
}

// Guards against a new owner that serves before the former one has released; a release counts under
// any later version.
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

// Guards against a unit without server when the new owner dies after a switchover: the former owner
// takes over as standby despite its release.
#[test]
fn former_owner_takes_back_as_standby() {
    let mut former = Process::new(P);
    let moved = assignment(S, P, Some(P), 20, 20);
    assert!(former.release(&moved));
    assert!(!former.serves(&moved, &[]));
    assert!(former.serves(&moved, &[S]));
}

// Guards against a takeover by a standby whose handoff record is in flight; it may take over again
// once the record is rejected.
#[test]
fn standby_gives_up_its_role_before_the_record() {
    let mut standby = Process::new(S);
    let first = assignment(P, S, None, 10, 10);
    standby.rights.renounce(&standby.workspace.clone(), UNIT, 10);
    assert!(!standby.serves(&first, &[P]));
    standby.rights.cancel_renounce(&standby.workspace.clone(), UNIT, 10);
    assert!(standby.serves(&first, &[P]));
}

// Guards against a slot released while a split is in flight: the owner would still own the hot key
// once the record is appended.
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

// Guards against an owner that serves at once when a unit returns: its release ends the state of
// having served.
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

// Guards against a former standby that continues to serve as prior owner after it moved the unit
// back.
#[test]
fn standby_that_moved_a_unit_back_stops() {
    let mut standby = Process::new(S);
    assert!(standby.serves(&assignment(S, P, None, 20, 20), &[]));
    assert!(!standby.serves(&assignment(P, S, Some(S), 30, 30), &[]));
}

// Guards against an outage of a key split from a slot when the former owner's release covers the
// slot only.
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

/// Guards against a restarted owner that serves beside the standby which took over from its former
/// process: the standby serves until it folds the new assignment.
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

/// Guards against a restarted owner whose token is below the standby's takeover token: upstreams
/// would refuse it and run stale requests.
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
