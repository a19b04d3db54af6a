//! Tests of lease renewal, lessor changes and eviction votes.

use std::time::Duration;

use acaciaring_core::lease::{Holder, LeaseSettings, Lessor, Renewal, Tally, Vote};
use acaciaring_core::state::{Member, Phase};
use acaciaring_core::{MemberId, Time};

const H: MemberId = MemberId(10);
const A: MemberId = MemberId(1);
const B: MemberId = MemberId(2);
const C: MemberId = MemberId(3);
const D: MemberId = MemberId(4);
const E: MemberId = MemberId(5);

/// Settings of these tests; the renewal interval is 400 ms.
fn settings() -> LeaseSettings {
    LeaseSettings { interval: Duration::from_millis(400), ..LeaseSettings::default() }
}

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn holder(lessors: &[MemberId]) -> Holder {
    let mut holder = Holder::new(H, ms(0), settings());
    holder.install(10, lessors, |_| true);
    holder
}

fn lessor(me: MemberId) -> Lessor {
    Lessor::new(me, settings())
}

fn seq_to(renewals: &[Renewal], lessor: MemberId) -> u64 {
    renewals.iter().find(|renewal| renewal.lessor == lessor).expect("the lessor is asked").seq
}

/// Sends the renewals due at `now`, which the members `from` grant at once with `version`.
fn renew(holder: &mut Holder, now: Time, from: &[MemberId], version: u64) {
    let renewals = holder.due(now);
    for id in from {
        holder.handle_grant(now, *id, seq_to(&renewals, *id), true, version);
    }
}

fn member(version: u64, lessors: &[MemberId]) -> Member {
    Member {
        id: H,
        vm: "vm".into(),
        nonce: 1,
        data_centre: "welkom".into(),
        region: "free-state".into(),
        rack: "".into(),
        peer: "".into(),
        http: "".into(),
        fingerprint: Vec::new(),
        attachment: None,
        version,
        lessors: lessors.to_vec(),
        phase: Phase::Alive,
    }
}

#[test]
fn lease_needs_a_majority() {
    let mut holder = holder(&[A, B, C]);
    renew(&mut holder, ms(100), &[A], 10);
    assert!(!holder.holds(ms(101)));
    renew(&mut holder, ms(500), &[B], 10);
    assert_eq!(holder.until(), Some(ms(1400)), "the older of the two counts");
}

#[test]
fn member_without_lessors_holds_nothing_and_stays() {
    let holder = holder(&[]);
    assert_eq!(holder.until(), None);
    assert!(!holder.abandoned(ms(100_000)));
}

// Guards against a lease counted from the arrival of a delayed grant: the lessor counts its term
// from the renewal.
#[test]
fn late_grant_counts_from_its_sending() {
    let mut holder = holder(&[A]);
    let seq = seq_to(&holder.due(ms(0)), A);
    holder.handle_grant(ms(1200), A, seq, true, 10);
    assert!(holder.holds(ms(1299)));
    assert!(!holder.holds(ms(1300)));
}

// Guards against a holder that resumes after a pause beyond the term and still counts on its lease,
// even if grants to old renewals arrive at that moment.
#[test]
fn lease_is_over_after_a_pause() {
    let mut holder = holder(&[A, B, C]);
    renew(&mut holder, ms(0), &[A, B], 10);
    let renewals = holder.due(ms(400));
    assert!(!holder.holds(ms(60_000)));
    holder.handle_grant(ms(60_000), A, seq_to(&renewals, A), true, 10);
    holder.handle_grant(ms(60_000), B, seq_to(&renewals, B), true, 10);
    assert!(!holder.holds(ms(60_000)));
}

// Guards against a lease lost to a dead connection: an unanswered renewal is repeated on a new one,
// with backoff up to the interval.
#[test]
fn unanswered_renewal_is_sent_again_on_a_new_connection() {
    let mut holder = holder(&[A]);
    assert!(!holder.due(ms(0))[0].reconnect);
    assert_eq!(holder.next_due(ms(0)), ms(150));
    assert!(holder.due(ms(149)).is_empty());
    assert!(holder.due(ms(150))[0].reconnect);
    assert_eq!(holder.next_due(ms(150)), ms(450));
    holder.due(ms(450));
    assert_eq!(holder.next_due(ms(450)), ms(850), "not more often than the interval");
    renew(&mut holder, ms(850), &[A], 10);
    assert_eq!(holder.next_due(ms(850)), ms(1250));
}

// Guards against a lease without majority during a lessor change: both sets must grant until enough
// old lessors have recorded the new version.
#[test]
fn change_of_lessors_needs_both_sets_until_superseded() {
    let mut holder = holder(&[A, B]);
    renew(&mut holder, ms(0), &[A, B], 10);
    holder.propose(&[C, D]);
    assert!(!holder.holds(ms(1)), "the new set has granted nothing");
    holder.withdraw();
    assert!(holder.holds(ms(1)));
    holder.propose(&[C, D]);
    renew(&mut holder, ms(400), &[A, B, C, D], 10);
    holder.install(20, &[C, D], |_| true);
    renew(&mut holder, ms(800), &[C, D], 20);
    assert_eq!(holder.until(), Some(ms(1700)), "the old set still counts");
    let renewals = holder.due(ms(1300));
    assert_eq!(renewals.len(), 4);
    for id in [A, B] {
        holder.handle_grant(ms(1300), id, seq_to(&renewals, id), true, 20);
    }
    assert_eq!(holder.until(), Some(ms(2100)), "the old set is dropped");
}

// Guards against a member that waits for dead lessors: one that owned nothing may drop the old set,
// and a late install must not restore it.
#[test]
fn member_without_units_forgets_its_dead_lessors() {
    let mut idle = holder(&[A, B]);
    idle.propose(&[C, D]);
    idle.reset(20, &[C, D]);
    renew(&mut idle, ms(0), &[C, D], 20);
    assert!(idle.holds(ms(1)));
    idle.reset(10, &[A, B]);
    assert!(idle.holds(ms(1)));
    let mut owner = holder(&[A, B]);
    owner.propose(&[C, D]);
    owner.install(20, &[C, D], |id| id != A && id != B);
    renew(&mut owner, ms(0), &[C, D], 20);
    assert!(!owner.holds(ms(1)), "an owner still needs the old set");
}

// Guards against a set superseded by an evicted lessor's grant: members that have not folded the
// change still count its death as a vote.
#[test]
fn dead_lessor_does_not_supersede() {
    let mut holder = holder(&[A, B, C]);
    holder.propose(&[B, D]);
    holder.install(20, &[B, D], |id| id != A);
    renew(&mut holder, ms(0), &[A, B, D], 20);
    let older = [A, B, C].len();
    assert_eq!(holder.due(ms(400)).len(), older + 1, "the old set is still asked");
}

/// Guards against a takeover beside a holder that still has its lease: a record of lessors that was
/// given up may be recorded after the rejection of a later one.
#[test]
fn rejected_set_leaves_earlier_proposed_ones_required() {
    let mut holder = holder(&[A, B, C]);
    renew(&mut holder, ms(0), &[A, B, C], 10);
    holder.propose(&[B, D]);
    holder.propose(&[C, E]);
    holder.withdraw();
    renew(&mut holder, ms(400), &[A, C], 10);
    renew(&mut holder, ms(800), &[A, C], 10);
    renew(&mut holder, ms(1200), &[A, C], 10);
    // The first proposal is recorded at 20 and read by its lessors, but not by the holder.
    let mut tally = Tally::new(settings());
    for id in [B, D] {
        let mut lessor = lessor(id);
        lessor.join_set(ms(0), H, 20);
        let vote = lessor.vote(ms(1400), H, true).expect("the holder does not renew");
        tally.vote(id, vote.member, vote.version);
    }
    assert!(tally.expired(ms(1400), &member(20, &[B, D])));
    assert!(!holder.holds(ms(1400)), "others take over");
}

#[test]
fn majority_of_refusals_ends_the_identity() {
    let mut holder = holder(&[A, B, C]);
    let renewals = holder.due(ms(0));
    holder.handle_grant(ms(1), A, seq_to(&renewals, A), false, 10);
    assert!(!holder.refused(ms(1)));
    holder.handle_grant(ms(1), B, seq_to(&renewals, B), false, 10);
    assert!(holder.refused(ms(1)));
}

/// Guards against an identity that ends while its upstream still holds units by its lease: lessors
/// that stop refuse renewals before the grants that they gave have expired.
#[test]
fn refusals_end_the_identity_only_after_its_lease() {
    let mut holder = holder(&[A, B, C]);
    renew(&mut holder, ms(0), &[A, B, C], 10);
    let renewals = holder.due(ms(400));
    for id in [A, B] {
        holder.handle_grant(ms(401), id, seq_to(&renewals, id), false, 10);
    }
    assert!(holder.holds(ms(1299)));
    assert!(!holder.refused(ms(1299)), "units are still held");
    assert!(holder.refused(ms(1300)));
}

#[test]
fn member_without_lease_is_abandoned_in_time() {
    let mut holder = holder(&[A]);
    renew(&mut holder, ms(0), &[A], 10);
    assert_eq!(holder.lost_since(ms(1299)), None);
    assert_eq!(holder.lost_since(ms(5000)), Some(ms(1300)));
    assert!(!holder.abandoned(ms(31_299)));
    assert!(holder.abandoned(ms(31_300)));
}

#[test]
fn vote_waits_for_the_grant_and_ends_all_grants() {
    let mut lessor = lessor(A);
    assert!(lessor.renew(ms(100), H, 10, false).granted);
    assert_eq!(lessor.vote(ms(1499), H, true), None);
    assert!(lessor.expired(ms(1499)).is_empty());
    assert_eq!(lessor.expired(ms(1500)), [H]);
    assert_eq!(lessor.vote(ms(1500), H, false), None, "a lessor without lease abstains");
    assert_eq!(lessor.vote(ms(1500), H, true), Some(Vote { member: H, version: 10 }));
    assert!(!lessor.renew(ms(1501), H, 11, false).granted);
}

// Guards against a vote while the holder still counts on its lease, with the holder's clock slow
// and the lessor's fast by the whole margin.
#[test]
fn drift_within_the_margin_is_safe() {
    let settings = settings();
    let mut holder = holder(&[A]);
    let mut lessor = lessor(A);
    let seq = seq_to(&holder.due(ms(0)), A);
    let grant = lessor.renew(ms(0), H, 10, false);
    holder.handle_grant(ms(0), A, seq, grant.granted, grant.version);
    let usable = u64::try_from(settings.usable().as_millis()).expect("a short time");
    let term = u64::try_from(settings.term.as_millis()).expect("a short time");
    // Where the lessor's clock shows `term * x`, the holder's shows `usable * x`.
    for x in 0..=1000 {
        let voted = lessor.vote(ms(term * x / 1000), H, true).is_some();
        let holds = holder.holds(ms((usable * x).div_ceil(1000)));
        assert!(!(voted && holds), "vote while the lease holds at {x} thousandths");
        assert_eq!(voted, x == 1000);
    }
}

#[test]
fn holder_that_never_asked_gets_a_full_term() {
    let mut lessor = lessor(A);
    lessor.join_set(ms(1000), H, 10);
    assert_eq!(lessor.vote(ms(2399), H, true), None);
    assert!(lessor.vote(ms(2400), H, true).is_some());
}

// Guards against a vote that is never counted after a lessor change: it is repeated with the new
// version.
#[test]
fn vote_is_repeated_with_a_later_version() {
    let mut lessor = lessor(A);
    lessor.join_set(ms(0), H, 10);
    lessor.vote(ms(1400), H, true);
    assert!(lessor.expired(ms(1400)).is_empty());
    lessor.join_set(ms(1500), H, 20);
    assert_eq!(lessor.expired(ms(1500)), [H]);
    assert_eq!(lessor.vote(ms(1500), H, true), Some(Vote { member: H, version: 20 }));
}

// Guards against grants from a lessor that resumes after its eviction, when its death already
// counts as its vote.
#[test]
fn abandoned_lessor_grants_nothing() {
    let mut lessor = lessor(A);
    assert!(!lessor.renew(ms(60_000), H, 10, true).granted);
    assert!(!lessor.renew(ms(60_001), H, 10, false).granted);
}

// Guards against a holder that loses its majority when a lessor leaves while another crashes: a
// leaving lessor stays until its last grant to a remaining live member has expired.
#[test]
fn a_leaving_lessor_stays_while_its_grants_run() {
    let mut lessor = lessor(B);
    assert!(!lessor.has_active_grant(ms(0), |_| true), "it has granted nothing");
    lessor.renew(ms(0), A, 5, false);
    lessor.renew(ms(200), C, 6, false);
    let term = settings().term;
    assert!(lessor.has_active_grant(ms(0) + term, |_| true));
    assert!(!lessor.has_active_grant(ms(0) + term, |id| id == A), "the grant to A has run out");
    assert!(!lessor.has_active_grant(ms(0), |id| id != A && id != C), "neither holder stays");
    lessor.mark_dead(C);
    assert!(lessor.has_active_grant(ms(200), |_| true), "the grant to A runs");
    assert!(!lessor.has_active_grant(ms(0) + term, |_| true), "C is dead");
}

// Guards against an evicted holder that lags behind the log and is taken for a new holder.
#[test]
fn dead_holder_is_refused() {
    let mut lessor = lessor(A);
    lessor.join_set(ms(0), H, 10);
    lessor.vote(ms(1400), H, true);
    lessor.mark_dead(H);
    assert!(!lessor.renew(ms(1500), H, 10, false).granted);
    assert_eq!(lessor.votes().count(), 0);
}

// Guards against an eviction by votes of a replaced lessor set: votes count only for their version.
#[test]
fn votes_count_for_their_own_version_only() {
    let mut tally = Tally::new(settings());
    tally.vote(A, H, 10);
    tally.vote(B, H, 10);
    assert!(tally.proof(ms(0), &member(10, &[A, B, C])).is_some());
    assert!(tally.proof(ms(0), &member(20, &[A, B, C])).is_none());
    tally.vote(C, H, 20);
    tally.vote(A, H, 20);
    let proof = tally.proof(ms(0), &member(20, &[A, B, C])).expect("a majority has voted");
    assert_eq!(proof.votes, [A, C]);
}

#[test]
fn dead_lessor_counts_after_the_wait() {
    let settings = settings();
    let mut tally = Tally::new(settings);
    tally.vote(A, H, 10);
    tally.record_death(ms(500), B);
    let read = ms(500);
    let subject = member(10, &[A, B, C]);
    assert!(settings.dead_vote_delay() > settings.abandon + settings.term + settings.margin);
    let early = read + settings.dead_vote_delay() - Duration::from_millis(1);
    assert!(!tally.expired(early, &subject));
    let proof = tally.proof(read + settings.dead_vote_delay(), &subject).expect("the wait is over");
    assert_eq!((proof.votes, proof.lapsed), (vec![A], vec![B]));
}

// Guards against a lease gap when a new lessor has no connection yet: a new set is proposed only
// after its members have granted.
#[test]
fn an_exchange_of_lessors_that_were_asked_before_keeps_the_lease() {
    let mut unprepared = holder(&[A, B]);
    renew(&mut unprepared, ms(100), &[A, B], 10);
    unprepared.propose(&[C, D]);
    assert!(!unprepared.holds(ms(200)), "an unprepared exchange interrupts the lease");

    let mut holder = holder(&[A, B]);
    renew(&mut holder, ms(100), &[A, B], 10);
    holder.prepare(&[C, D]);
    assert!(!holder.ready(ms(150), &[C, D]));
    assert!(holder.holds(ms(150)), "prepared lessors are not required yet");
    renew(&mut holder, ms(500), &[A, B, C, D], 10);
    assert!(holder.ready(ms(510), &[C, D]));
    holder.propose(&[C, D]);
    assert!(holder.holds(ms(520)));
    // An expired grant does not make a set ready.
    assert!(!holder.ready(ms(1600), &[C, D]));
}

// Guards against a member that waits for a lease it can never regain: once its lease has ended and
// a majority of a lessor set is dead, the quorum is lost for good.
#[test]
fn a_member_whose_lessors_are_dead_is_orphaned() {
    let mut holder = holder(&[A, B, C]);
    renew(&mut holder, ms(100), &[A, B, C], 10);
    let after = ms(100) + settings().term;
    assert!(!holder.quorum_lost(ms(200), |id| id == C), "the lease runs");
    assert!(!holder.quorum_lost(after, |id| id != A), "a majority lives");
    assert!(holder.quorum_lost(after, |id| id == C));
    // A later set does not help: the old one cannot be superseded.
    holder.install(20, &[B, C, D], |id| id == C);
    assert!(holder.quorum_lost(after, |id| id == C || id == D));
    assert!(!Holder::new(H, ms(0), settings()).quorum_lost(after, |_| false));
}

// Guards against a new lessor set that shortens the lease already promised to the upstream, which
// could let another upstream get the unit while this one still holds it.
#[test]
fn lessors_whose_grants_are_older_are_not_proposed_yet() {
    let mut holder = holder(&[A, B]);
    holder.prepare(&[C, D]);
    renew(&mut holder, ms(100), &[A, B, C, D], 10);
    assert!(holder.ready(ms(110), &[C, D]), "their grants last as long as the current ones");
    let renewals = holder.due(ms(500));
    for lessor in [A, B] {
        holder.handle_grant(ms(510), lessor, seq_to(&renewals, lessor), true, 10);
    }
    let until = holder.until().expect("a lease");
    assert!(!holder.ready(ms(520), &[C, D]), "their grants end before {until:?}");
    for lessor in [C, D] {
        holder.handle_grant(ms(530), lessor, seq_to(&renewals, lessor), true, 10);
    }
    assert!(holder.ready(ms(540), &[C, D]));
    holder.propose(&[C, D]);
    assert!(holder.until() >= Some(until), "what was promised stands");
}

// Guards against a joining member that keeps lessors which never answer: they are reported as
// unresponsive.
#[test]
fn lessors_that_never_answer_are_silent() {
    let mut holder = holder(&[A, B, C]);
    for round in 0..5 {
        renew(&mut holder, ms(100 + round * 1000), &[C], 10);
    }
    assert_eq!(holder.unresponsive(), [A, B]);
}

/// Delay of a slow lessor's answers in milliseconds, twice the pause before a renewal is repeated.
const ANSWER_DELAY_MS: u64 = 400;

/// Settings with a term of 3 s and a longer renewal interval.
fn long_term_settings() -> LeaseSettings {
    LeaseSettings {
        interval: Duration::from_millis(700),
        resend: Duration::from_millis(200),
        term: Duration::from_secs(3),
        ..LeaseSettings::default()
    }
}

fn long_term_holder() -> Holder {
    let mut holder = Holder::new(H, ms(0), long_term_settings());
    holder.install(10, &[A], |_| true);
    holder
}

// Guards against a reconnection to a lessor that is slow but alive: each handshake would slow it
// further until leases are lost.
#[test]
fn a_lessor_that_is_slow_to_answer_keeps_its_connection() {
    let mut holder = long_term_holder();
    let mut answers: Vec<(u64, u64)> = Vec::new();
    let (mut sent, mut reconnects) = (0, Vec::new());
    for now in 0..10_000 {
        for renewal in holder.due(ms(now)) {
            sent += 1;
            answers.push((now + ANSWER_DELAY_MS, renewal.seq));
            if renewal.reconnect {
                reconnects.push(now);
            }
        }
        answers.retain(|(at, seq)| {
            if *at == now {
                holder.handle_grant(ms(now), A, *seq, true, 10);
            }
            *at > now
        });
        assert!(now < ANSWER_DELAY_MS || holder.holds(ms(now)), "no lease after {now} ms");
    }
    assert!(
        reconnects.iter().all(|at| *at < 2 * ANSWER_DELAY_MS),
        "new connections at {reconnects:?}"
    );
    assert!(sent < 3 + 10_000 / 700, "{sent} renewals");
}

// Guards against a lease lost to a dead connection of a slow lessor: it is replaced before the
// lease ends.
#[test]
fn a_slow_lessor_that_falls_silent_is_asked_on_a_new_connection_in_time() {
    let mut holder = long_term_holder();
    let asked = holder.due(ms(0));
    holder.handle_grant(ms(ANSWER_DELAY_MS), A, seq_to(&asked, A), true, 10);
    let until = holder.until().expect("a lease");
    let mut times = (ANSWER_DELAY_MS..).map(ms).take_while(|now| *now < until);
    let reconnect = times.find(|now| holder.due(*now).iter().any(|renewal| renewal.reconnect));
    assert!(reconnect.is_some(), "none before {until:?}");
}
