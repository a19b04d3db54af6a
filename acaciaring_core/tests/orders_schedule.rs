//! Compares, on random schedules, the holds of an upstream with its member's view of them.

use std::time::Duration;

use acaciaring_core::holds::{Incarnation, Wanted};
use acaciaring_core::orders::{Action, Answer, Issued, ORDER_TIMEOUT, Orders};
use acaciaring_core::{Name, Time, Token, UnitId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HOLD: Duration = Duration::from_secs(3);

/// Slots of the service, each with 16 keys.
const SLOTS: u32 = 6;

/// Factor by which a hold lasts longer on the upstream's slow clock.
const SLOW_CLOCK_FACTOR: f64 = 1.02;

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Answered,
    /// Executed, but the answer is lost.
    AnswerLost,
    /// Arrives, and is executed after this many milliseconds.
    Delayed(u64),
    Lost,
}

/// Step of a schedule.
#[derive(Debug, Clone)]
enum Event {
    Advance(u64),
    /// The member is to serve these slots, each newly wanted one under a new token.
    SetWanted(Vec<bool>),
    Orders(Vec<Delivery>),
    /// The upstream restarts under its name, with or without a report.
    Restart(bool),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Answered),
        1 => Just(Delivery::AnswerLost),
        2 => (100_u64..6_000).prop_map(Delivery::Delayed),
        1 => Just(Delivery::Lost),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u64..700).prop_map(Event::Advance),
        2 => prop::collection::vec(any::<bool>(), SLOTS as usize).prop_map(Event::SetWanted),
        6 => prop::collection::vec(delivery(), 1..12).prop_map(Event::Orders),
        1 => any::<bool>().prop_map(Event::Restart),
    ]
}

/// State of the upstream: for each slot the highest token seen and the end of its hold.
#[derive(Debug, Clone)]
struct Upstream {
    seen: Vec<Token>,
    until: Vec<Time>,
    /// For each slot the highest token seen by former incarnations.
    former: Vec<Token>,
    generation: u64,
}

impl Upstream {
    /// Executes an order that arrived at `arrived` and covers whole slots.
    fn execute(&mut self, now: Time, issued: &Issued, arrived: Time) -> Answer {
        let slots = (issued.order.first / 16) as usize..=(issued.order.last / 16) as usize;
        match &issued.order.action {
            Action::Release => {
                slots.for_each(|slot| self.until[slot] = now);
                Answer::Done { handover: Name::from("h") }
            }
            Action::Grant { hold, .. } => {
                let token = issued.order.token;
                if slots.clone().any(|slot| self.seen[slot] > token) {
                    return Answer::Superseded;
                }
                let until = arrived + hold.mul_f64(SLOW_CLOCK_FACTOR);
                if now < until {
                    for slot in slots {
                        assert!(
                            token > self.former[slot],
                            "slot {slot} granted under a token of a former incarnation"
                        );
                        self.seen[slot] = token;
                        self.until[slot] = self.until[slot].max(until);
                    }
                }
                Answer::Done { handover: Name::from("") }
            }
        }
    }
}

/// Runs a schedule and checks after each step that no held slot is considered free.
fn run_schedule(events: Vec<Event>) {
    let mut now = Time::from_millis(60_000);
    let mut orders = Orders::new(Time::ZERO, HOLD);
    let no_holds = vec![Time::ZERO; SLOTS as usize];
    let mut upstream = Upstream {
        seen: vec![Token(0); SLOTS as usize],
        until: no_holds.clone(),
        former: vec![Token(0); SLOTS as usize],
        generation: 1,
    };
    orders.report(now, &incarnation(1), 1);
    let mut connected = false;
    let mut tokens = vec![0; SLOTS as usize];
    let mut next = 2;
    let mut unanswered: Vec<(Time, Issued)> = Vec::new();
    let mut delayed: Vec<(Time, Issued, Time)> = Vec::new();
    for event in events {
        match event {
            Event::Advance(millis) => now = now + Duration::from_millis(millis),
            Event::SetWanted(slots) => {
                for (token, wanted) in tokens.iter_mut().zip(&slots) {
                    *token = if !wanted {
                        0
                    } else if *token == 0 {
                        next
                    } else {
                        *token
                    };
                }
                next += 2;
                let units = (0..).zip(&tokens).filter(|(_, token)| **token > 0);
                let wanted: Vec<Wanted> = units.map(|(slot, token)| wanted(slot, *token)).collect();
                orders.set_wanted(&wanted);
            }
            Event::Orders(deliveries) => {
                let issued = orders.decide(now, now + HOLD, |_, _| true);
                for (issued, delivery) in issued.into_iter().zip(deliveries.iter().cycle()) {
                    if !connected && !issued.may_connect {
                        orders.complete(now, issued.number, &Answer::Unconnected);
                        continue;
                    }
                    connected = true;
                    match delivery {
                        Delivery::Answered => {
                            let answer = upstream.execute(now, &issued, now);
                            orders.complete(now, issued.number, &answer);
                        }
                        Delivery::AnswerLost => {
                            upstream.execute(now, &issued, now);
                            unanswered.push((issued.deadline, issued));
                        }
                        Delivery::Delayed(millis) => {
                            let when = now + Duration::from_millis(*millis);
                            delayed.push((when, issued.clone(), now));
                            unanswered.push((issued.deadline, issued));
                        }
                        Delivery::Lost => unanswered.push((issued.deadline, issued)),
                    }
                }
            }
            Event::Restart(reports) => {
                for (former, seen) in upstream.former.iter_mut().zip(&upstream.seen) {
                    *former = (*former).max(*seen);
                }
                upstream.generation += 1;
                upstream.seen.fill(Token(0));
                upstream.until.clone_from(&no_holds);
                connected = false;
                delayed.clear();
                // Time of the restart.
                now = now + Duration::from_millis(150);
                if reports {
                    orders.report(now, &incarnation(upstream.generation), 1);
                }
            }
        }
        for (_, issued) in unanswered.extract_if(.., |(deadline, _)| *deadline <= now) {
            orders.complete(now, issued.number, &Answer::Unknown);
        }
        for (_, issued, arrived) in delayed.extract_if(.., |(when, ..)| *when <= now) {
            upstream.execute(now, &issued, arrived);
        }
        for slot in 0..SLOTS {
            let held = now < upstream.until[slot as usize];
            let believed = orders.may_hold(now, &wanted(slot, 0).keys);
            assert!(believed || !held, "slot {slot} is held but considered free");
        }
    }
}

fn incarnation(generation: u64) -> Incarnation {
    Incarnation { instance: "i-1".into(), generation }
}

fn wanted(slot: u32, token: u64) -> Wanted {
    let keys = std::iter::once(slot * 16..=slot * 16 + 15).collect();
    Wanted { unit: UnitId::slot(slot), token: Token(token), keys, handover: "".into() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a held slot that the member considers free, and against tokens reused after a
    /// restart, with lost, unanswered and delayed orders, restarts and moving units.
    #[test]
    fn nothing_is_held_that_is_believed_free(events in prop::collection::vec(event(), 1..120)) {
        assert!(ORDER_TIMEOUT < HOLD);
        run_schedule(events);
    }
}
