//! Admission under any order of events.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::admission::{Admission, AdmissionSettings, Completion, Offer, Ticket};
use acaciaring_core::route::Rank;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RANKS: [Rank; 4] = [Rank::Critical, Rank::Interactive, Rank::Bulk, Rank::Background];

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Offer { rank: usize, left: u64 },
    Finish { pick: usize, took: u64, ending: Completion },
    Expire,
    Cancel(u64),
    Shed(u64),
    Drain,
    Ready(bool),
    Resize(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let ending = prop_oneof![
        Just(Completion::Answered),
        Just(Completion::Refused),
        Just(Completion::Unanswered)
    ];
    prop_oneof![
        4 => (1u64..300).prop_map(Step::Wait),
        20 => (0usize..4, 0u64..3_000).prop_map(|(rank, left)| Step::Offer { rank, left }),
        8 => (0usize..64, 0u64..2_000, ending)
            .prop_map(|(pick, took, ending)| Step::Finish { pick, took, ending }),
        4 => Just(Step::Expire),
        2 => (0u64..200).prop_map(Step::Cancel),
        1 => (0u64..2_000).prop_map(Step::Shed),
        1 => Just(Step::Drain),
        2 => any::<bool>().prop_map(Step::Ready),
        1 => (1u32..30).prop_map(Step::Resize),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Waiting,
    Running,
    Gone,
}

/// Moves each item from one fate to the next and fails when it was somewhere else.
struct Ledger(BTreeMap<u64, Fate>);

impl Ledger {
    fn pass(&mut self, items: impl IntoIterator<Item = u64>, from: Fate, to: Fate) {
        for item in items {
            assert_eq!(self.0.insert(item, to), Some(from), "item {item}");
        }
    }

    fn all(&self, fate: Fate) -> Vec<u64> {
        self.0.iter().filter(|(_, f)| **f == fate).map(|(item, _)| *item).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_item_is_started_or_refused_exactly_once(steps in prop::collection::vec(step(), 1..200)) {
        let settings = AdmissionSettings { slots: 4, queue: 6, ..AdmissionSettings::default() };
        let mut gate = Admission::new(settings.clone());
        let mut ledger = Ledger(BTreeMap::new());
        let mut slots = settings.slots;
        let mut now = Time::ZERO;
        let mut attempt = 0;
        for step in steps {
            let before = ledger.all(Fate::Running).len();
            let mut started = Vec::new();
            match step {
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
                Step::Offer { rank, left } => {
                    attempt += 1;
                    let deadline = now + Duration::from_millis(left);
                    let ticket = Ticket { rank: RANKS[rank], deadline, expiry: deadline, attempt };
                    ledger.0.insert(attempt, Fate::Waiting);
                    match gate.offer(now, ticket, attempt) {
                        Offer::Start(item) => started.push(item),
                        Offer::Queued { displaced } => {
                            ledger.pass(displaced.map(|(item, _)| item), Fate::Waiting, Fate::Gone);
                            prop_assert_eq!(ledger.0[&attempt], Fate::Waiting);
                        }
                        Offer::Refused(item, _) => ledger.pass([item], Fate::Waiting, Fate::Gone),
                    }
                }
                Step::Finish { pick, took, ending } => {
                    let running = ledger.all(Fate::Running);
                    if let Some(item) = running.get(pick % running.len().max(1)).copied() {
                        ledger.pass([item], Fate::Running, Fate::Gone);
                        started = gate.finish(now, item, Duration::from_millis(took), ending);
                    }
                }
                Step::Expire => {
                    let late = gate.expire(now).into_iter().map(|(item, _)| item);
                    ledger.pass(late, Fate::Waiting, Fate::Gone);
                }
                Step::Cancel(attempt) => {
                    ledger.pass(gate.cancel(now, attempt), Fate::Waiting, Fate::Gone);
                }
                Step::Shed(millis) => {
                    let shed = gate.shed(now, Duration::from_millis(millis));
                    ledger.pass(shed.into_iter().map(|(item, _)| item), Fate::Waiting, Fate::Gone);
                }
                Step::Drain => {
                    let left = gate.drain(now).into_iter().map(|(item, _)| item);
                    ledger.pass(left, Fate::Waiting, Fate::Gone);
                    prop_assert_eq!(gate.waiting(), 0);
                }
                Step::Ready(cold) => started = gate.ready(now, cold),
                Step::Resize(to) => {
                    slots = to;
                    started = gate.resize(now, to);
                }
            }
            let grew = !started.is_empty();
            ledger.pass(started, Fate::Waiting, Fate::Running);
            let running = ledger.all(Fate::Running);
            prop_assert!(!grew || running.len() <= slots as usize, "{} run", running.len());
            prop_assert!(grew || running.len() <= before);
            prop_assert_eq!(running.len(), gate.running());
            prop_assert_eq!(ledger.all(Fate::Waiting).len(), gate.waiting());
            prop_assert!(gate.waiting() <= settings.queue);
        }
        // Nothing waits for good: once all that runs has ended, all that waits has started or is refused.
        while let Some(item) = ledger.all(Fate::Running).first().copied() {
            ledger.pass([item], Fate::Running, Fate::Gone);
            let started = gate.finish(now, item, Duration::from_millis(10), Completion::Answered);
            ledger.pass(started, Fate::Waiting, Fate::Running);
            let late = gate.expire(now).into_iter().map(|(item, _)| item);
            ledger.pass(late, Fate::Waiting, Fate::Gone);
        }
        prop_assert_eq!(gate.waiting(), 0);
    }
}
