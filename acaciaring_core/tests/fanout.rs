//! Tests of which members read the log and to whom each passes records on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use acaciaring_core::fanout::{Fanout, Freshness, PASS_TIMEOUT, READ_INTERVAL, ReadMode};
use acaciaring_core::pace::ReadPacer;
use acaciaring_core::state::{Replica, State};
use acaciaring_core::{MemberId, Time};
use acaciaring_schema::log::{Batch, Evict, Join, Record, record};
use proptest::prelude::*;
use prost::Message;

/// Returns a record with this body and an id that only it has.
fn record(number: u64, body: record::Body) -> Vec<u8> {
    let mut id = vec![0; 16];
    id[..8].copy_from_slice(&number.to_be_bytes());
    Record { id, body: Some(body), generation: 0 }.encode_to_vec()
}

/// Returns the record by which the process of a VM joins; `number` tells records apart.
fn join(number: u64, vm: u64, centres: u64) -> Vec<u8> {
    let join = Join {
        vm: format!("vm-{vm}"),
        nonce: number,
        data_centre: format!("centre-{}", vm % centres),
        region: "region".into(),
        ..Join::default()
    };
    record(number, record::Body::Join(join))
}

/// Returns the state after all members have joined.
fn fleet(members: u64, centres: u64) -> State {
    let mut replica = Replica::default();
    let entries = (0..members).map(|number| join(number, number, centres)).collect();
    let batch = Batch { oldest: 1, next: members + 1, start: 1, entries, generation: 0 };
    replica.apply_batch(&batch).expect("the records fold");
    replica.state().clone()
}

fn ids(state: &State) -> Vec<MemberId> {
    state.members().filter(|member| member.alive()).map(|member| member.id).collect()
}

/// Returns the number of hops from the log service to each member that records reach.
fn hops(state: &State) -> BTreeMap<MemberId, usize> {
    let parts: BTreeMap<MemberId, Fanout> =
        ids(state).into_iter().map(|id| (id, Fanout::new(id, state))).collect();
    let mut reached: BTreeMap<MemberId, usize> =
        parts.iter().filter(|(_, part)| part.reads).map(|(id, _)| (*id, 0)).collect();
    let mut last: BTreeSet<MemberId> = reached.keys().copied().collect();
    for hop in 1.. {
        let next = last.iter().flat_map(|id| &parts[id].children);
        let next: BTreeSet<MemberId> =
            next.copied().filter(|id| !reached.contains_key(id)).collect();
        if next.is_empty() {
            break;
        }
        reached.extend(next.iter().map(|id| (*id, hop)));
        last = next;
    }
    reached
}

fn readers(state: &State) -> usize {
    ids(state).into_iter().filter(|id| Fanout::new(*id, state).reads).count()
}

/// Guards against calls to the log service that grow with the members: a fleet of hundreds has as
/// many readers as one of thirty.
#[test]
fn the_number_of_readers_does_not_grow_with_the_members() {
    for (centres, expected) in [(1, 2), (2, 2), (4, 4), (6, 6)] {
        for members in [30, 100, 300, 897] {
            let state = fleet(members, centres);
            assert_eq!(readers(&state), expected, "{members} members, {centres} centres");
            let part = Fanout::new(ids(&state)[0], &state);
            assert_eq!(part.readers, expected);
        }
    }
}

/// Guards against relays in a small fleet, where they save little and delay each record.
#[test]
fn all_members_of_a_small_fleet_read() {
    let state = fleet(16, 4);
    assert_eq!(readers(&state), 16);
    let part = Fanout::new(ids(&state)[0], &state);
    assert_eq!(part.mode(true, false), ReadMode::Paced);
    assert_eq!(part.children, Vec::new());
}

/// Guards against records that reach a member by way of dozens of others.
#[test]
fn records_reach_all_members_of_a_wide_fleet_in_few_hops() {
    for (members, centres, most) in [(30, 4, 2), (195, 6, 3), (897, 6, 4), (897, 1, 5)] {
        let state = fleet(members, centres);
        let hops = hops(&state);
        assert_eq!(hops.len(), usize::try_from(members).expect("few"), "{centres} centres");
        let last = hops.values().max().copied();
        assert!(last <= Some(most), "{members} members, {centres} centres: {last:?} hops");
    }
}

/// Guards against a member in doubt or with an old copy that waits for others to pass records on.
#[test]
fn a_member_without_lease_or_with_an_old_copy_reads_itself() {
    let state = fleet(60, 3);
    let parts = ids(&state).into_iter().map(|id| Fanout::new(id, &state));
    for part in parts {
        let passed = if part.reads { ReadMode::Every(READ_INTERVAL) } else { ReadMode::Passed };
        assert_eq!(part.mode(true, false), passed);
        assert_eq!(part.mode(false, false), ReadMode::Paced);
        assert_eq!(part.mode(true, true), ReadMode::Paced);
    }
}

/// Guards against a process restart that moves all members of its data centre to other parents.
#[test]
fn a_restarted_process_keeps_its_place() {
    let members = 60;
    let mut replica = Replica::default();
    let mut entries: Vec<Vec<u8>> = (0..members).map(|number| join(number, number, 3)).collect();
    entries.push(join(members, 7, 3));
    let evict = Evict { member: 8, successor: members + 1, version: 8, ..Evict::default() };
    entries.push(record(members + 1, record::Body::Evict(evict)));
    let next = entries.len() as u64 + 1;
    replica
        .apply_batch(&Batch { oldest: 1, next, start: 1, entries, generation: 0 })
        .expect("the records fold");
    let (before, after) = (fleet(members, 3), replica.state().clone());
    assert!(!ids(&after).contains(&MemberId(8)), "the former process is evicted");
    let renamed = |id: MemberId| if id == MemberId(8) { MemberId(members + 1) } else { id };
    for id in ids(&before) {
        let expected: Vec<MemberId> =
            Fanout::new(id, &before).children.into_iter().map(renamed).collect();
        assert_eq!(Fanout::new(renamed(id), &after).children, expected, "{id}");
    }
}

/// Guards against a member that is passed nothing more and does not notice.
#[test]
fn a_copy_that_nobody_confirms_becomes_stale() {
    let mut freshness = Freshness::default();
    let max_age = Duration::from_secs(4);
    assert!(freshness.is_stale(Time::from_millis(10), max_age));
    freshness.observe(Time::from_millis(1000));
    freshness.observe(Time::from_millis(500));
    let now = Time::from_millis(3000);
    assert_eq!(freshness.age(now), Some(Duration::from_secs(2)));
    assert!(!freshness.is_stale(now, max_age));
    assert!(freshness.is_stale(Time::from_millis(1000) + max_age, max_age));
}

/// Guards against members that all read because renewals are rarer, or reads wait longer, than on
/// the deployment for which an age was set.
#[test]
fn the_age_of_a_copy_follows_renewals_and_reads() {
    let age = |centres, renewal| {
        let state = fleet(60, centres);
        Fanout::new(ids(&state)[0], &state).max_age(Duration::from_millis(renewal)).as_millis()
    };
    assert_eq!([500, 700, 5000].map(|renewal| age(4, renewal)), [3500, 4300, 21_500]);
    assert_eq!(age(8, 700), 5800);
}

/// Guards against a read by each member for each of its own records, and against a record that is
/// not passed on and never read.
#[test]
fn a_required_record_is_read_once_it_was_not_passed_on_in_time() {
    let mut pacer = ReadPacer::new();
    pacer.set_mode(ReadMode::Passed);
    pacer.folded_until(7, 7);
    pacer.answered(Time::from_millis(900));
    let now = Time::from_millis(1000);
    assert!(!pacer.remaining(now).is_zero());
    pacer.require(9);
    pacer.track_missing(now);
    assert_eq!(pacer.remaining(now), PASS_TIMEOUT);
    pacer.track_missing(now + PASS_TIMEOUT / 2);
    assert_eq!(pacer.remaining(now + PASS_TIMEOUT), Duration::ZERO);
    pacer.folded_until(9, 9);
    pacer.track_missing(now + PASS_TIMEOUT);
    assert!(!pacer.remaining(now + PASS_TIMEOUT).is_zero());
}

/// Guards against a record that was expected in vain, for which a member would read on and on.
#[test]
fn a_read_ends_the_wait_for_a_record_that_does_not_exist() {
    let mut pacer = ReadPacer::new();
    pacer.set_mode(ReadMode::Passed);
    pacer.folded_until(7, 7);
    let now = Time::from_millis(1000);
    pacer.expect_record();
    pacer.track_missing(now);
    let later = now + PASS_TIMEOUT;
    assert_eq!(pacer.remaining(later), Duration::ZERO);
    pacer.begin();
    pacer.answered(later);
    assert!(!pacer.remaining(later + PASS_TIMEOUT * 2).is_zero());
}

/// Guards against a record that is never read: one that is required while a read is under way may
/// be missing in its answer, and in that of another member any may be.
#[test]
fn a_read_does_not_end_the_wait_for_a_record_that_it_may_lack() {
    let mut pacer = ReadPacer::new();
    pacer.set_mode(ReadMode::Passed);
    pacer.folded_until(7, 7);
    let now = Time::from_millis(1000);
    pacer.begin();
    pacer.require(9);
    pacer.track_missing(now);
    pacer.answered(now);
    assert_eq!(pacer.remaining(now + PASS_TIMEOUT), Duration::ZERO);
    pacer.begin();
    pacer.answered_by_member(now);
    assert_eq!(pacer.remaining(now + PASS_TIMEOUT), Duration::ZERO);
    pacer.answered(now);
    assert!(!pacer.remaining(now + PASS_TIMEOUT).is_zero());
}

/// Guards against a pause between the pages of a long log.
#[test]
fn the_next_page_of_a_log_is_read_at_once() {
    let mut pacer = ReadPacer::new();
    pacer.set_mode(ReadMode::Passed);
    pacer.answered(Time::from_millis(900));
    pacer.folded_until(513, 800);
    assert_eq!(pacer.remaining(Time::from_millis(900)), Duration::ZERO);
}

proptest! {
    /// Guards against a member that no way of records reaches, whatever the fleet looks like.
    #[test]
    fn records_reach_every_member(members in 17_u64..400, centres in 1_u64..8) {
        let state = fleet(members, centres);
        prop_assert_eq!(hops(&state).len() as u64, members);
    }
}
