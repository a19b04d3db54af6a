//! Tests of the attempt table, which lets each attempt run at most once.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use acaciaring_core::Time;
use acaciaring_core::attempt::{Arrival, AttemptSettings, Attempts, Fetched};
use acaciaring_schema::peer::Answer;

const RETENTION: Duration = Duration::from_secs(30);

fn answer(body: usize) -> Answer {
    Answer { status: 200, body: vec![1; body], ..Answer::default() }
}

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1000)
}

/// Guards against a second run: an attempt delayed beyond its probe was given to another member, so
/// it must be refused when it arrives.
#[test]
fn attempt_that_arrives_after_its_probe_is_refused() {
    let mut attempts = Attempts::default();
    assert!(!attempts.probe(at(0), 7));
    assert_eq!(attempts.arrive(at(29), 7), Arrival::Superseded);
    assert!(!attempts.probe(at(29), 7));
}

/// Guards against a run without caller when a cancellation arrives before its request.
#[test]
fn cancellation_that_overtakes_its_request_refuses_it() {
    let mut attempts = Attempts::default();
    assert!(!attempts.cancel(at(0), 7));
    assert_eq!(attempts.arrive(at(1), 7), Arrival::Superseded);
    assert_eq!(attempts.arrive(at(1), 8), Arrival::Run);
    assert!(attempts.cancel(at(1), 8));
}

/// Guards against a second run when the table is full: a probe that cannot be recorded must not be
/// answered as not arrived.
#[test]
fn probe_that_cannot_be_remembered_is_answered_as_arrived() {
    let settings =
        AttemptSettings { max_attempts: 2, max_refusals: 1, ..AttemptSettings::default() };
    let mut attempts = Attempts::new(settings);
    assert_eq!(attempts.arrive(at(0), 1), Arrival::Run);
    assert_eq!(attempts.arrive(at(0), 2), Arrival::Run);
    assert_eq!(attempts.arrive(at(0), 3), Arrival::Full);
    assert!(!attempts.probe(at(0), 3));
    assert!(attempts.probe(at(0), 4));
    assert_eq!(attempts.fetch(at(0), 4), Fetched::Absent);
}

#[test]
fn answers_give_way_to_newer_ones_but_their_attempts_stay_known() {
    let settings = AttemptSettings { max_bytes: 3000, ..AttemptSettings::default() };
    let mut attempts = Attempts::new(settings);
    for attempt in 1..=3 {
        attempts.arrive(at(0), attempt);
        attempts.finish(at(0), attempt, answer(1000));
    }
    assert_eq!(attempts.fetch(at(1), 1), Fetched::Absent);
    assert_eq!(attempts.fetch(at(1), 3), Fetched::Ready(&answer(1000)));
    assert!(attempts.probe(at(1), 1));
    assert_eq!(attempts.fetch(at(5), 3), Fetched::Absent);
    assert_eq!(attempts.bytes(), 0);
    assert_eq!(attempts.arrive(at(29), 1), Arrival::Repeated);
    assert!(!attempts.probe(at(30), 1));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(u64),
    Probe(u64),
    Cancel(u64),
    Finish(u64, usize),
    Fetch(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0_u64..6;
    prop_oneof![
        4 => id.clone().prop_map(Step::Arrive),
        2 => id.clone().prop_map(Step::Probe),
        1 => id.clone().prop_map(Step::Cancel),
        3 => (id.clone(), 0_usize..900).prop_map(|(id, size)| Step::Finish(id, size)),
        2 => id.prop_map(Step::Fetch),
        2 => (1_u64..20).prop_map(Step::Wait),
    ]
}

/// Reference model that retains everything for the full retention time.
#[derive(Debug, Default)]
struct Model {
    running: HashSet<u64>,
    refused: HashMap<u64, Time>,
    finished: HashMap<u64, (Time, usize)>,
}

impl Model {
    fn is_refused(&self, now: Time, id: u64) -> bool {
        self.refused.get(&id).is_some_and(|since| now.since(*since) < RETENTION)
    }

    fn has_arrived(&self, now: Time, id: u64) -> bool {
        let finished =
            self.finished.get(&id).is_some_and(|(since, _)| now.since(*since) < RETENTION);
        finished || self.running.contains(&id)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(470),
        cases: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn attempts_run_at_most_once(steps in prop::collection::vec(step(), 1..80)) {
        let settings = AttemptSettings {
            retention: RETENTION,
            max_attempts: 4,
            max_refusals: 1,
            max_bytes: 2000,
            ..AttemptSettings::default()
        };
        let mut attempts = Attempts::new(settings);
        let mut model = Model::default();
        let mut now = Time::ZERO;
        for step in steps {
            match step {
                Step::Wait(secs) => now = now + Duration::from_secs(secs),
                Step::Arrive(id) => match attempts.arrive(now, id) {
                    Arrival::Run => {
                        prop_assert!(!model.has_arrived(now, id) && !model.is_refused(now, id));
                        model.running.insert(id);
                    }
                    Arrival::Superseded => prop_assert!(model.is_refused(now, id)),
                    Arrival::Repeated => prop_assert!(model.has_arrived(now, id)),
                    Arrival::Full => prop_assert!(attempts.len() >= 4),
                },
                Step::Probe(id) | Step::Cancel(id) => {
                    if matches!(step, Step::Cancel(_)) {
                        let running = attempts.cancel(now, id);
                        prop_assert_eq!(running, model.running.contains(&id));
                    }
                    if attempts.probe(now, id) {
                        prop_assert!(model.has_arrived(now, id) || attempts.len() >= 5);
                    } else {
                        prop_assert!(!model.has_arrived(now, id));
                        if !model.is_refused(now, id) {
                            model.refused.insert(id, now);
                        }
                    }
                }
                Step::Finish(id, size) => {
                    attempts.finish(now, id, answer(size));
                    if model.running.remove(&id) {
                        model.finished.insert(id, (now, size));
                    }
                }
                Step::Fetch(id) => match attempts.fetch(now, id) {
                    Fetched::Running => prop_assert!(model.running.contains(&id)),
                    Fetched::Ready(got) => {
                        let size = model.finished.get(&id).map(|(_, size)| *size);
                        prop_assert_eq!(Some(got.body.len()), size);
                    }
                    Fetched::Absent => prop_assert!(!model.running.contains(&id)),
                },
            }
            prop_assert!(attempts.len() <= 5);
            prop_assert!(attempts.bytes() <= 2000);
        }
    }
}
