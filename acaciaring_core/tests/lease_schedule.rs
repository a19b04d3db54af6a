//! Checks on random schedules that no majority of votes exists while the lease holds.

use std::time::Duration;

use acaciaring_core::lease::{Holder, LeaseSettings, Lessor, Tally};
use acaciaring_core::state::{Member, Phase};
use acaciaring_core::{MemberId, Offset, Time};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const HOLDER: MemberId = MemberId(100);
const FIRST: Offset = 100;
const SECOND: Offset = 200;
const LESSORS: usize = 5;
/// Clock rates within `margin / term`, in thousandths of real time.
const CLOCK_RATES: std::ops::RangeInclusive<u64> = 965..=1035;

/// Event at one process after a span of real time.
#[derive(Debug, Clone)]
enum Event {
    /// The holder sends the renewals due; `true` marks the lessors that receive theirs.
    Renew([bool; LESSORS]),
    /// A lessor handles the oldest or the newest renewal received.
    Grant { lessor: usize, newest: bool },
    /// The holder receives a lessor's answer.
    Answer { pick: usize },
    /// A lessor votes if its grant has expired.
    Vote { lessor: usize },
    /// A lessor folds the log up to the second set.
    Fold { lessor: usize },
    /// The holder proposes the second set, the log appends it, or the holder reads it back.
    Change,
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let lessor = 0..LESSORS;
    let reached = prop::array::uniform5(prop::bool::weighted(0.8));
    let kind = prop_oneof![
        6 => reached.prop_map(Event::Renew),
        16 => (lessor.clone(), any::<bool>())
            .prop_map(|(lessor, newest)| Event::Grant { lessor, newest }),
        16 => any::<usize>().prop_map(|pick| Event::Answer { pick }),
        1 => lessor.clone().prop_map(|lessor| Event::Vote { lessor }),
        1 => lessor.prop_map(|lessor| Event::Fold { lessor }),
        1 => Just(Event::Change),
    ];
    (prop_oneof![60 => 0_u64..30, 1 => 0_u64..1500], kind)
}

/// Clocks, messages in flight and the log around the holder and its lessors.
struct Simulation {
    elapsed: u64,
    rates: Vec<u64>,
    holder: Holder,
    lessors: Vec<Lessor>,
    /// Renewals in flight: lessor, sequence number, version.
    renewals: Vec<(usize, u64, Offset)>,
    /// Answers in flight: lessor, sequence number, granted, version.
    answers: Vec<(usize, u64, bool, Offset)>,
    tally: Tally,
    stage: u32,
    majorities: u32,
}

fn id(lessor: usize) -> MemberId {
    MemberId(lessor as u64 + 1)
}

fn sets() -> [(Offset, Vec<MemberId>); 2] {
    [(FIRST, vec![id(0), id(1), id(2)]), (SECOND, vec![id(2), id(3), id(4)])]
}

fn subject(version: Offset, lessors: Vec<MemberId>) -> Member {
    Member {
        id: HOLDER,
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
        lessors,
        phase: Phase::Alive,
    }
}

impl Simulation {
    fn new(rates: Vec<u64>) -> Self {
        let settings = LeaseSettings::default();
        let mut holder = Holder::new(HOLDER, Time::ZERO, settings);
        holder.install(FIRST, &sets()[0].1, |_| true);
        let mut lessors: Vec<Lessor> =
            (0..LESSORS).map(|index| Lessor::new(id(index), settings)).collect();
        for lessor in lessors.iter_mut().take(3) {
            lessor.join_set(Time::ZERO, HOLDER, FIRST);
        }
        Self {
            elapsed: 0,
            rates,
            holder,
            lessors,
            renewals: Vec::new(),
            answers: Vec::new(),
            tally: Tally::new(settings),
            stage: 0,
            majorities: 0,
        }
    }

    /// Returns the clock of a lessor, or of the holder for `LESSORS`.
    fn clock(&self, process: usize) -> Time {
        Time::from_start(Duration::from_micros(self.elapsed * self.rates[process]))
    }

    fn step(&mut self, event: &Event) {
        let now = self.clock(LESSORS);
        match event {
            Event::Renew(reached) => {
                for renewal in self.holder.due(now) {
                    let lessor = usize::try_from(renewal.lessor.0).expect("a small id") - 1;
                    if reached[lessor] {
                        self.renewals.push((lessor, renewal.seq, renewal.version));
                    }
                }
            }
            Event::Grant { lessor, newest } => self.grant(*lessor, *newest),
            Event::Answer { pick } => {
                let Some(index) = pick.checked_rem(self.answers.len()) else { return };
                let (lessor, seq, granted, version) = self.answers.swap_remove(index);
                self.holder.handle_grant(now, id(lessor), seq, granted, version);
            }
            Event::Vote { lessor } => {
                let at = self.clock(*lessor);
                if let Some(vote) = self.lessors[*lessor].vote(at, HOLDER, true) {
                    self.tally.vote(id(*lessor), vote.member, vote.version);
                }
            }
            Event::Fold { lessor } if self.stage >= 2 => {
                let at = self.clock(*lessor);
                match lessor {
                    0 | 1 => self.lessors[*lessor].leave_set(HOLDER, SECOND),
                    _ => self.lessors[*lessor].join_set(at, HOLDER, SECOND),
                }
            }
            Event::Fold { .. } => {}
            Event::Change => {
                match self.stage {
                    0 => self.holder.propose(&sets()[1].1),
                    2 => self.holder.install(SECOND, &sets()[1].1, |_| true),
                    _ => {}
                }
                self.stage += 1;
            }
        }
    }

    fn grant(&mut self, lessor: usize, newest: bool) {
        let mut reached = self.renewals.iter().enumerate().filter(|(_, r)| r.0 == lessor);
        let found = if newest { reached.next_back() } else { reached.next() };
        let Some((index, _)) = found else { return };
        let (_, seq, version) = self.renewals.remove(index);
        let at = self.clock(lessor);
        let grant = self.lessors[lessor].renew(at, HOLDER, version, false);
        self.answers.push((lessor, seq, grant.granted, grant.version));
    }

    /// Returns false if some recorded set has a majority of votes while the lease holds.
    fn lease_is_exclusive(&mut self) -> bool {
        let recorded = if self.stage >= 2 { 2 } else { 1 };
        let now = self.clock(LESSORS);
        let proved = sets()
            .into_iter()
            .take(recorded)
            .any(|(version, lessors)| self.tally.proof(now, &subject(version, lessors)).is_some());
        self.majorities += u32::from(proved);
        !(proved && self.holder.holds(now))
    }
}

// Guards against an eviction while the lease holds, with lost, delayed and reordered messages,
// clock drift, pauses and a lessor change.
#[test]
fn majority_of_votes_never_meets_a_lease() {
    let config = ProptestConfig { cases: 1000, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let rates = prop::collection::vec(CLOCK_RATES, LESSORS + 1);
    let events = prop::collection::vec(event(), 200..600);
    let majorities = std::cell::Cell::new(0);
    let leases = std::cell::Cell::new(0);
    let result = runner.run(&(rates, events), |(rates, events)| {
        let mut simulation = Simulation::new(rates);
        for (span, event) in &events {
            simulation.elapsed += span;
            simulation.step(event);
            prop_assert!(simulation.lease_is_exclusive());
            leases
                .set(leases.get() + u32::from(simulation.holder.holds(simulation.clock(LESSORS))));
        }
        majorities.set(majorities.get() + u32::from(simulation.majorities > 0));
        Ok(())
    });
    assert!(result.is_ok(), "a schedule breaks the lease: {}", result.unwrap_err());
    println!("runs with a majority of votes: {}", majorities.get());
    println!("steps under a lease: {}", leases.get());
    assert!(majorities.get() > 100, "the schedules reach votes");
    assert!(leases.get() > 1000, "the schedules reach leases");
}
