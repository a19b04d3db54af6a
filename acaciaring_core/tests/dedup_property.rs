//! Property test of at-most-once execution under random attempts, moves, crashes and delays.

use std::collections::BTreeSet;
use std::time::Duration;

use acaciaring_core::dedup::{Begin, DedupSettings, DedupTable};
use acaciaring_core::{RequestId, Time, UnitId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const UNIT: UnitId = UnitId::slot(0);
const IDS: u8 = 6;

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    /// An attempt reaches the owner; `reply` is false when the standby's reply is lost.
    Attempt {
        id: u8,
        reply: bool,
    },
    /// A running request ends; `notified` is false when the standby is not told yet.
    End {
        id: u8,
        completion: Completion,
        notified: bool,
    },
    /// The owner moves the unit to its standby.
    Move,
    /// The owner is lost and its standby takes over, with an empty new standby.
    Crash,
    /// Owner and standby are lost.
    CrashBoth,
    /// The standby is replaced by a new one.
    Handoff,
    Sync,
    /// A copy of the last outcome arrives late.
    Repeat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completion {
    Answered,
    Unknown,
    NotRun,
}

fn step() -> impl Strategy<Value = Step> {
    let completion = prop_oneof![
        Just(Completion::Answered),
        Just(Completion::Unknown),
        Just(Completion::NotRun)
    ];
    prop_oneof![
        2 => (1u64..200).prop_map(Step::Wait),
        12 => (0..IDS, prop::bool::weighted(0.8))
            .prop_map(|(id, reply)| Step::Attempt { id, reply }),
        8 => (0..IDS, completion, any::<bool>())
            .prop_map(|(id, completion, notified)| Step::End { id, completion, notified }),
        2 => Just(Step::Move),
        2 => Just(Step::Crash),
        1 => Just(Step::CrashBoth),
        1 => Just(Step::Handoff),
        3 => Just(Step::Sync),
        1 => Just(Step::Repeat),
    ]
}

/// Owner and standby of one unit, and the requests that have run.
struct Simulation {
    settings: DedupSettings,
    now: Time,
    version: u64,
    owner: DedupTable<u8>,
    standby: DedupTable<u8>,
    /// Requests running on the upstream for the current owner.
    running: BTreeSet<u8>,
    /// End of each request that has run, or the time at which its owner was lost.
    ended: [Option<Time>; IDS as usize],
    last_outcome: Option<(u8, Option<(u8, usize)>)>,
}

fn id(n: u8) -> RequestId {
    RequestId([n; 16])
}

impl Simulation {
    fn new(bytes: usize) -> Self {
        let settings = DedupSettings { window: Duration::from_secs(1), max_bytes: bytes };
        let mut owner = DedupTable::new(settings.clone());
        owner.become_first_owner(UNIT);
        let standby = DedupTable::new(settings.clone());
        let now = Time::from_millis(10_000);
        let mut simulation = Self {
            settings,
            now,
            version: 1,
            owner,
            standby,
            running: BTreeSet::new(),
            ended: [None; IDS as usize],
            last_outcome: None,
        };
        simulation.new_standby();
        simulation
    }

    fn new_standby(&mut self) {
        self.standby = DedupTable::new(self.settings.clone());
        self.version += 1;
        self.standby.become_standby(UNIT, self.version);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(*millis),
            Step::Attempt { id, reply } => self.attempt(*id, *reply),
            Step::End { id, completion, notified } => self.end(*id, *completion, *notified),
            Step::Move => {
                while let Some(id) = self.running.first().copied() {
                    self.end(id, Completion::Answered, false);
                }
                let entries = self.owner.export(self.now, UNIT);
                let gap = self.owner.gap(self.now, UNIT);
                self.standby.become_owner(self.now, UNIT, entries, gap);
                self.version += 1;
                self.owner.become_standby(UNIT, self.version);
                std::mem::swap(&mut self.owner, &mut self.standby);
            }
            Step::Crash => {
                self.lose_running();
                self.standby.take_over(self.now, UNIT);
                std::mem::swap(&mut self.owner, &mut self.standby);
                self.new_standby();
            }
            Step::CrashBoth => {
                self.lose_running();
                self.owner = DedupTable::new(self.settings.clone());
                self.owner.take_over(self.now, UNIT);
                self.new_standby();
            }
            Step::Handoff => self.new_standby(),
            Step::Sync => {
                let entries = self.owner.export(self.now, UNIT);
                let gap = self.owner.gap(self.now, UNIT);
                self.standby.sync(self.now, UNIT, entries, gap);
            }
            Step::Repeat => {
                if let Some((n, answer)) = self.last_outcome {
                    self.standby.outcome(self.now, id(n), UNIT, answer);
                }
            }
        }
    }

    fn attempt(&mut self, n: u8, reply: bool) {
        match self.owner.begin(self.now, id(n), UNIT) {
            Begin::Run => {
                let accepted = self.standby.intent(self.now, id(n), UNIT, self.version);
                if !(accepted && reply) {
                    return self.owner.not_run(id(n), UNIT);
                }
                let window = self.settings.window;
                let again =
                    self.ended[usize::from(n)].is_some_and(|end| self.now.since(end) < window);
                assert!(!again && !self.running.contains(&n), "request {n} runs twice");
                self.running.insert(n);
            }
            Begin::Done(answer) => assert_eq!(answer, n, "the answer of another request"),
            Begin::Running => assert!(self.running.contains(&n)),
            Begin::Unknown(_) | Begin::Refused(_) => {}
        }
    }

    fn end(&mut self, n: u8, completion: Completion, notified: bool) {
        if !self.running.remove(&n) {
            return;
        }
        let answer = match completion {
            Completion::NotRun => return self.owner.not_run(id(n), UNIT),
            Completion::Answered => {
                self.owner.finish(self.now, id(n), UNIT, n, 100);
                Some((n, 100))
            }
            Completion::Unknown => {
                self.owner.unknown(self.now, id(n), UNIT);
                None
            }
        };
        self.ended[usize::from(n)] = Some(self.now);
        if notified {
            self.standby.outcome(self.now, id(n), UNIT, answer);
            self.last_outcome = Some((n, answer));
        }
    }

    fn lose_running(&mut self) {
        for n in std::mem::take(&mut self.running) {
            self.ended[usize::from(n)] = Some(self.now);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_runs_twice(
        steps in prop::collection::vec(step(), 1..120),
        bytes in prop_oneof![Just(600usize), Just(1_100), Just(1 << 20)],
    ) {
        let mut simulation = Simulation::new(bytes);
        for step in &steps {
            simulation.step(step);
            prop_assert!(simulation.owner.bytes() <= bytes);
        }
    }
}
