//! Property test of admission control under random sequences of events.

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
    Finish { pick: usize, took: u64, completion: Completion },
    Expire,
    Cancel(u64),
    Shed(u64),
    Drain,
    Ready(bool),
    Resize(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let completion = prop_oneof![
        Just(Completion::Answered),
        Just(Completion::Refused),
        Just(Completion::Unanswered)
    ];
    prop_oneof![
        4 => (1u64..300).prop_map(Step::Wait),
        20 => (0usize..4, 0u64..3_000).prop_map(|(rank, left)| Step::Offer { rank, left }),
        8 => (0usize..64, 0u64..2_000, completion)
            .prop_map(|(pick, took, completion)| Step::Finish { pick, took, completion }),
        4 => Just(Step::Expire),
        2 => (0u64..200).prop_map(Step::Cancel),
        1 => (0u64..2_000).prop_map(Step::Shed),
        1 => Just(Step::Drain),
        2 => any::<bool>().prop_map(Step::Ready),
        1 => (1u32..30).prop_map(Step::Resize),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    Waiting,
    Running,
    Ended,
}

/// Status of each item; a transition from an unexpected status fails the test.
struct Ledger(BTreeMap<u64, Status>);

impl Ledger {
    fn transition(&mut self, items: impl IntoIterator<Item = u64>, from: Status, to: Status) {
        for item in items {
            assert_eq!(self.0.insert(item, to), Some(from), "item {item}");
        }
    }

    fn all(&self, status: Status) -> Vec<u64> {
        self.0.iter().filter(|(_, f)| **f == status).map(|(item, _)| *item).collect()
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
        let mut admission = Admission::new(settings.clone());
        let mut ledger = Ledger(BTreeMap::new());
        let mut slots = settings.slots;
        let mut now = Time::ZERO;
        let mut attempt = 0;
        for step in steps {
            let before = ledger.all(Status::Running).len();
            let mut started = Vec::new();
            match step {
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
                Step::Offer { rank, left } => {
                    attempt += 1;
                    let deadline = now + Duration::from_millis(left);
                    let rank = RANKS[rank];
                    let ticket = Ticket { rank, deadline, expiry: deadline, attempt, answer: 0 };
                    ledger.0.insert(attempt, Status::Waiting);
                    match admission.offer(now, ticket, attempt) {
                        Offer::Start(item) => started.push(item),
                        Offer::Queued { displaced } => {
                            ledger.transition(
                                displaced.map(|(item, _)| item),
                                Status::Waiting,
                                Status::Ended,
                            );
                            prop_assert_eq!(ledger.0[&attempt], Status::Waiting);
                        }
                        Offer::Refused(item, _) => ledger.transition(
                            [item],
                            Status::Waiting,
                            Status::Ended,
                        ),
                    }
                }
                Step::Finish { pick, took, completion } => {
                    let running = ledger.all(Status::Running);
                    if let Some(item) = running.get(pick % running.len().max(1)).copied() {
                        ledger.transition([item], Status::Running, Status::Ended);
                        started =
                            admission.finish(now, item, Duration::from_millis(took), completion);
                    }
                }
                Step::Expire => {
                    let late = admission.expire(now).into_iter().map(|(item, _)| item);
                    ledger.transition(late, Status::Waiting, Status::Ended);
                }
                Step::Cancel(attempt) => {
                    ledger.transition(
                        admission.cancel(now, attempt),
                        Status::Waiting,
                        Status::Ended,
                    );
                }
                Step::Shed(millis) => {
                    let shed = admission.shed(now, Duration::from_millis(millis));
                    ledger.transition(
                        shed.into_iter().map(|(item, _)| item),
                        Status::Waiting,
                        Status::Ended,
                    );
                }
                Step::Drain => {
                    let left = admission.drain(now).into_iter().map(|(item, _)| item);
                    ledger.transition(left, Status::Waiting, Status::Ended);
                    prop_assert_eq!(admission.waiting(), 0);
                }
                Step::Ready(cold) => started = admission.ready(now, cold),
                Step::Resize(to) => {
                    slots = to;
                    started = admission.resize(now, to);
                }
            }
            let grew = !started.is_empty();
            ledger.transition(started, Status::Waiting, Status::Running);
            let running = ledger.all(Status::Running);
            prop_assert!(!grew || running.len() <= slots as usize, "{} run", running.len());
            prop_assert!(grew || running.len() <= before);
            prop_assert_eq!(running.len(), admission.running());
            prop_assert_eq!(ledger.all(Status::Waiting).len(), admission.waiting());
            prop_assert!(admission.waiting() <= settings.queue);
        }
        // No item waits forever: once all running items have finished, the queue is empty.
        while let Some(item) = ledger.all(Status::Running).first().copied() {
            ledger.transition([item], Status::Running, Status::Ended);
            let started =
                admission.finish(now, item, Duration::from_millis(10), Completion::Answered);
            ledger.transition(started, Status::Waiting, Status::Running);
            let late = admission.expire(now).into_iter().map(|(item, _)| item);
            ledger.transition(late, Status::Waiting, Status::Ended);
        }
        prop_assert_eq!(admission.waiting(), 0);
    }
}
