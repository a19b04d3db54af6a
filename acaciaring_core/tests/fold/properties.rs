//! Property tests of the fold over random records of concurrent proposers that lag behind the log.

use std::collections::BTreeMap;

use acaciaring_core::state::{Outcome, Phase, Replica, State};
use acaciaring_core::{KeyHash, MemberId};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{
    Assign, Detach, DocumentKind, Exit, Handoff, Leave, Lessors, Merge, Split, Switchover, Unit,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::RngSeed;

use crate::support::{CONTRACTS, Log, attach, join, parameters, retire, template};

const SLOTS: u32 = 12;

/// Step: kind of record, two random operands, and the number of records by which the proposer lags.
type Step = (u8, usize, usize, usize);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..ProptestConfig::default()
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0_u8..32, any::<usize>(), any::<usize>(), 0_usize..6), 1..160)
}

/// Builds the record of a step from the state known to its proposer.
fn body(log: &Log, known: &State, (kind, one, two, _): Step) -> Option<Body> {
    let present = known.members().filter(|member| member.phase != Phase::Dead);
    let ids: Vec<_> = present.map(|member| member.id).collect();
    let pick = |index: usize| ids.get(index % ids.len().max(1)).copied();
    let unit = || {
        let service = known.service(CONTRACTS)?;
        let units: Vec<_> = service.units().collect();
        let (id, assignment) = units[one % units.len()];
        let key = id.key.map(|key| key.0);
        Some((Unit { slot: id.slot, key, version: assignment.version }, *assignment))
    };
    let workspace = CONTRACTS.to_owned();
    let wire = |member: Option<MemberId>| MemberId::to_wire(member);
    Some(match kind {
        0..=4 => join(one % 5),
        5..=9 => attach(pick(one)?),
        10 => Body::Detach(Detach { member: pick(one)?.0 }),
        11..=13 => Body::Assign(Assign { workspace, slots: 0 }),
        14..=17 => {
            let (unit, assignment) = unit()?;
            let member = wire(assignment.owner);
            Body::Switchover(Switchover { member, workspace, units: vec![unit] })
        }
        18..=20 => {
            let (unit, assignment) = unit()?;
            let (member, target) = (wire(assignment.standby), pick(two)?.0);
            Body::Handoff(Handoff { member, workspace, units: vec![unit], target })
        }
        21 | 22 => {
            let key = KeyHash(u64::try_from(two).ok()?);
            let slot = key.slot(SLOTS);
            let assignment = known.service(CONTRACTS)?.slots[usize::try_from(slot).ok()?];
            let units = vec![Unit { slot, key: Some(key.0), version: assignment.version }];
            Body::Split(Split { member: wire(assignment.owner), workspace, units })
        }
        23 | 24 => {
            let hot: Vec<_> = known.service(CONTRACTS)?.hot.iter().collect();
            let (key, hot) = hot.get(one % hot.len().max(1))?;
            let version = hot.assignment.version;
            let units = vec![Unit { slot: hot.slot, key: Some(key.0), version }];
            Body::Merge(Merge { member: wire(hot.assignment.owner), workspace, units })
        }
        25 => Body::Leave(Leave { member: pick(one)?.0, applied: known.next() }),
        26 => Body::Exit(Exit { member: pick(one)?.0 }),
        27 | 28 => log.evict(pick(one)?),
        29 => {
            let member = known.member(pick(one)?)?;
            let lessors = known.choose_lessors(member).iter().map(|id| id.0).collect();
            Body::Lessors(Lessors { member: member.id.0, base: member.version, lessors })
        }
        _ => {
            let kind = acaciaring_core::route::DocumentKind::Parameters;
            let document = known.document(kind, CONTRACTS)?;
            let again = parameters(CONTRACTS, "contracts", SLOTS, document.version);
            let gone = retire(DocumentKind::Parameters, CONTRACTS, document.version);
            if two % 3 == 0 && !document.retired { gone } else { again }
        }
    })
}

/// Builds a log, checks the state after each record, and counts the applied records by kind.
fn build(steps: &[Step]) -> (Log, BTreeMap<u8, usize>) {
    let mut log = Log::default();
    log.applied(template(0));
    log.applied(parameters(CONTRACTS, "contracts", SLOTS, 0));
    let mut history = vec![log.state.clone()];
    let mut applied = BTreeMap::new();
    for step in steps {
        let known = &history[history.len().saturating_sub(1 + step.3)];
        let again = step.1 % 13 == 0;
        let outcome = match body(&log, known, *step) {
            _ if again => log.append_entry(log.entries[step.2 % log.entries.len()].clone()),
            Some(body) => log.append(body),
            None => log.append_entry(step.1.to_le_bytes().to_vec()),
        };
        assert!(!again || matches!(outcome, Outcome::Duplicate | Outcome::Undecodable));
        *applied.entry(step.0).or_default() += usize::from(outcome.applied());
        check(history.last().expect("not empty"), &log.state);
        history.push(log.state.clone());
    }
    (log, applied)
}

fn check(before: &State, state: &State) {
    let phase = |id: MemberId| state.member(id).map(|member| member.phase);
    for service in state.services() {
        for (unit, a) in service.units() {
            assert!(a.owner.is_none() || (a.owner != a.standby && a.owner != a.prior));
            assert!(a.owner.is_some() || a.standby.is_none());
            assert!(a.version >= a.token && a.version < state.next());
            assert!(a.standby.is_none_or(|id| phase(id) == Some(Phase::Alive)));
            let present = |id| matches!(phase(id), Some(Phase::Alive | Phase::Leaving));
            assert!(a.owner.is_none_or(present) && a.prior.is_none_or(present));
            let candidates = state.members_of(&service.workspace);
            let others = candidates.filter(|member| Some(member.id) != a.owner).count();
            assert!(a.owner.is_none() || a.standby.is_some() || others == 0);
            let old = before.service(&service.workspace).and_then(|old| old.assignment(unit));
            // A new owner has a higher token, so delayed requests of the old one are refused.
            assert!(old.is_none_or(|old| old.owner == a.owner || old.token < a.token));
            assert!(old.is_none_or(|old| old == a || old.version < a.version));
        }
    }
    for member in state.members().filter(|member| member.phase != Phase::Dead) {
        assert!(!member.lessors.contains(&member.id));
        let earlier = before.member(member.id).map_or(Phase::Alive, |member| member.phase);
        assert!(earlier <= member.phase);
    }
    // Derived counts are rebuilt from a snapshot, so this compares them as well.
    assert_eq!(State::from_snapshot(&state.to_snapshot()).as_ref(), Ok(state));
}

/// Guards against property tests that pass because the random records are never applied.
#[test]
fn random_logs_apply_records_of_every_kind() {
    let mut runner = proptest::test_runner::TestRunner::new(config());
    let strategy =
        prop::collection::vec((0_u8..32, any::<usize>(), any::<usize>(), 0_usize..6), 600);
    let steps = strategy.new_tree(&mut runner).expect("a value").current();
    let (log, applied) = build(&steps);
    assert!(applied.values().sum::<usize>() > 200, "applied by kind: {applied:?}");
    for kinds in [
        0..=4,
        5..=9,
        10..=10,
        11..=13,
        14..=17,
        18..=20,
        21..=22,
        23..=24,
        25..=25,
        26..=26,
        27..=28,
        29..=29,
        30..=31,
    ] {
        let count: usize = applied.range(kinds.clone()).map(|(_, count)| count).sum();
        assert!(count > 0, "of {kinds:?} took effect {count}");
    }
    assert!(log.state.skipped() > 100);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_batching_gives_the_same_state(steps in steps(), sizes in prop::collection::vec(1_usize..9, 1..20)) {
        let (log, _) = build(&steps);
        let mut replica = Replica::default();
        for size in sizes.iter().cycle() {
            if replica.position() == log.next() {
                break;
            }
            let start = replica.position().saturating_sub(2).max(1);
            replica.apply_batch(&log.batch(1, start, size + 2)).expect("batches in order");
        }
        prop_assert_eq!(replica.state(), &log.state);
    }

    #[test]
    fn a_restored_state_folds_identically(steps in steps(), cut in any::<prop::sample::Index>()) {
        let (log, _) = build(&steps);
        let mut state = State::default();
        let cut = cut.index(log.entries.len());
        for (index, (offset, entry)) in (1..).zip(&log.entries).enumerate() {
            if index == cut {
                state = State::from_snapshot(&state.to_snapshot()).expect("a valid snapshot");
            }
            state.fold(offset, entry);
        }
        prop_assert_eq!(state, log.state);
    }

    #[test]
    fn any_bytes_are_folded(entries in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..30)) {
        let mut log = Log::with_service(3, 4);
        let mut damaged: Vec<_> = log.entries.clone();
        let count = damaged.len();
        for (index, noise) in entries.iter().enumerate() {
            let entry = &mut damaged[index % count];
            let place = noise.len() % entry.len();
            entry[place] ^= noise.first().copied().unwrap_or(1);
            entry.truncate(entry.len().max(2) - 1);
            let bytes = [entry.clone(), noise.clone()][index % 2].clone();
            let before = log.state.clone();
            log.append_entry(bytes);
            check(&before, &log.state);
        }
        prop_assert_eq!(log.state.next(), log.next());
    }
}
