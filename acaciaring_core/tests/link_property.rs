//! Property tests of admission with large answers under random sequences of events.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::admission::{Admission, AdmissionSettings, Completion, Offer, Ticket};
use acaciaring_core::route::Rank;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RANKS: [Rank; 4] = [Rank::Critical, Rank::Interactive, Rank::Bulk, Rank::Background];

const LINK_RATE: u64 = 1_250_000;

const SLOTS: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Offer { rank: usize, aim: u64, more: u64, answer: u64 },
    Finish { pick: usize, took: u64 },
    Sweep,
    Backlog(u64),
    Cancel(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let answer = prop_oneof![Just(0), 1_u64..600_000];
    prop_oneof![
        4 => (1u64..300).prop_map(Step::Wait),
        20 => (0usize..4, 0u64..2_000, 0u64..4_000, answer)
            .prop_map(|(rank, aim, more, answer)| Step::Offer { rank, aim, more, answer }),
        8 => (0usize..64, 0u64..500).prop_map(|(pick, took)| Step::Finish { pick, took }),
        8 => Just(Step::Sweep),
        6 => (0u64..2_000_000).prop_map(Step::Backlog),
        2 => (0u64..200).prop_map(Step::Cancel),
    ]
}

/// Admission with the requests that wait and run according to its results.
struct Replay {
    admission: Admission<u64>,
    waiting: BTreeMap<u64, u64>,
    running: Vec<u64>,
    /// Every result, for comparison.
    results: Vec<String>,
}

impl Replay {
    fn new(link_rate: u64) -> Self {
        let settings =
            AdmissionSettings { slots: SLOTS, queue: 6, link_rate, ..AdmissionSettings::default() };
        let admission = Admission::new(settings);
        Self { admission, waiting: BTreeMap::new(), running: Vec::new(), results: Vec::new() }
    }

    fn start(&mut self, started: Vec<u64>) {
        self.results.push(format!("{started:?} start"));
        for attempt in started {
            assert!(self.waiting.remove(&attempt).is_some(), "{attempt} starts twice");
            self.running.push(attempt);
        }
        assert!(self.running.len() <= SLOTS as usize);
    }

    fn end(&mut self, ended: Vec<u64>) {
        for attempt in ended {
            assert!(self.waiting.remove(&attempt).is_some(), "{attempt} ends twice");
        }
    }

    fn sweep(&mut self, now: Time) {
        let started = self.admission.start_due(now);
        self.start(started);
        let refused = self.admission.expire(now);
        self.results.push(format!("{refused:?} expire"));
        self.end(refused.into_iter().map(|(attempt, _)| attempt).collect());
    }

    fn finish(&mut self, now: Time, pick: usize, took: u64) {
        if self.running.is_empty() {
            return;
        }
        let attempt = self.running.remove(pick % self.running.len());
        let took = Duration::from_millis(took);
        let started = self.admission.finish(now, attempt, took, Completion::Answered);
        self.start(started);
    }

    fn step(&mut self, now: Time, attempt: u64, step: &Step) {
        match *step {
            Step::Wait(_) => {}
            Step::Offer { rank, aim, more, answer } => {
                let deadline = now + Duration::from_millis(aim);
                let expiry = deadline + Duration::from_millis(more);
                let ticket = Ticket { rank: RANKS[rank], deadline, expiry, attempt, answer };
                self.waiting.insert(attempt, answer);
                let offer = self.admission.offer(now, ticket, attempt);
                self.results.push(format!("{offer:?}"));
                match offer {
                    Offer::Start(attempt) => self.start(vec![attempt]),
                    Offer::Queued { displaced } => {
                        self.end(displaced.into_iter().map(|(attempt, _)| attempt).collect());
                    }
                    Offer::Refused(attempt, _) => self.end(vec![attempt]),
                }
            }
            Step::Finish { pick, took } => self.finish(now, pick, took),
            Step::Sweep => self.sweep(now),
            Step::Backlog(bytes) => self.admission.set_backlog(bytes),
            Step::Cancel(attempt) => {
                let cancelled = self.admission.cancel(now, attempt);
                self.end(cancelled.into_iter().collect());
            }
        }
        assert_eq!(self.waiting.len(), self.admission.waiting());
        assert_eq!(self.running.len(), self.admission.running());
        let large = self.waiting.values().any(|answer| *answer > 0);
        let limited = self.admission.waits_for_link();
        assert!(!limited || large, "it waits for the link without a large request");
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// Plays steps at admissions with these limits of the link.
fn play<const N: usize>(rates: [u64; N], steps: &[Step]) -> (Time, [Replay; N]) {
    let mut replays = rates.map(Replay::new);
    let mut now = Time::ZERO;
    for (attempt, step) in (0..).zip(steps) {
        if let Step::Wait(millis) = step {
            now = now + Duration::from_millis(*millis);
        }
        for replay in &mut replays {
            replay.step(now, attempt, step);
        }
    }
    (now, replays)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a request that is lost, starts twice, or waits for a link that is idle.
    #[test]
    fn each_request_starts_or_is_refused_once(steps in prop::collection::vec(step(), 1..200)) {
        let (mut now, [mut replay]) = play([LINK_RATE], &steps);
        replay.admission.set_backlog(0);
        while !replay.running.is_empty() {
            replay.finish(now, 0, 10);
            replay.sweep(now);
        }
        replay.sweep(now);
        while !replay.running.is_empty() {
            now = now + Duration::from_millis(10);
            replay.finish(now, 0, 10);
            replay.sweep(now);
        }
        prop_assert_eq!(replay.admission.waiting(), 0);
    }

    /// Guards against a change for deployments without large answers.
    #[test]
    fn without_large_answers_the_link_changes_nothing(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let small = |step| match step {
            Step::Offer { rank, aim, more, .. } => Step::Offer { rank, aim, more, answer: 0 },
            other => other,
        };
        let steps: Vec<Step> = steps.into_iter().map(small).collect();
        let (_, [without, with]) = play([0, LINK_RATE], &steps);
        prop_assert_eq!(without.results, with.results);
    }
}
