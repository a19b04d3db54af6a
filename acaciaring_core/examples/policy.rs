//! Simulations of the balance and admission policies, and benchmarks of single decisions.
//!
//! `cargo run --release --example policy -- [--seed N] [--members N] [balance] [admission] [cost]`
//!
//! No process or network is involved: the figures compare policies, not deployments.

#[path = "../tests/support/fleet.rs"]
mod fleet;
#[path = "../tests/support/upstream.rs"]
mod upstream;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use acaciaring_core::admission::{Admission, AdmissionSettings, Completion, Ticket};
use acaciaring_core::balance::{BalanceSettings, Candidate, History, Load, View, plan};
use acaciaring_core::dedup::{DedupSettings, DedupTable};
use acaciaring_core::rates::{RateSettings, RequestRates};
use acaciaring_core::retry::RetrySettings;
use acaciaring_core::route::{Rank, Weights};
use acaciaring_core::selector::{Outcome, Selector, SelectorSettings};
use acaciaring_core::{KeyHash, MemberId, RequestId, Time, UnitId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::fleet::{Fleet, FleetSettings, Policy};
use self::upstream::{Discipline, Retries, Stream, Tally, simulate};

const MINUTE: Duration = Duration::from_mins(1);

/// Keys owned by each member.
const KEYS: usize = 1_000_000;

/// Hot keys at one time.
const HOT: u64 = 13;

/// Members and slots of each simulated deployment.
const SIZES: [(u32, u32); 4] = [(6, 1_024), (19, 4_096), (100, 16_384), (470, 65_536)];

const POLICIES: [(&str, Policy, Weights); 4] = [
    ("hashing", Policy::Hashing, Weights { churn: 0, downtime: 0 }),
    ("greedy", Policy::Greedy, Weights { churn: 0, downtime: 0 }),
    ("Korenveld", Policy::Weighted, Weights { churn: 1_000, downtime: 200 }),
    ("Laurentides", Policy::Weighted, Weights { churn: 200, downtime: 1_000 }),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Calm,
    HotSpell,
    Join,
    Loss,
    SlowServer,
}

const SCENARIOS: [Scenario; 5] =
    [Scenario::Calm, Scenario::HotSpell, Scenario::Join, Scenario::Loss, Scenario::SlowServer];

fn main() {
    let mut seed = 1;
    let mut only = None;
    let mut parts = Vec::new();
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        if arg == "--seed" {
            seed = args.next().and_then(|seed| seed.parse().ok()).expect("--seed takes a number");
        } else if arg == "--members" {
            only = args.next().and_then(|count| count.parse().ok());
        } else {
            parts.push(arg);
        }
    }
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|other| other == part);
    println!("seed {seed}");
    if wanted("balance") {
        balance(seed, only);
    }
    if wanted("admission") {
        admission(seed);
    }
    if wanted("cost") {
        cost(seed);
    }
}

fn balance(seed: u64, only: Option<u32>) {
    println!("\n## Balance\n");
    println!(
        "max/mean and spread: load of members, mean over the last minute; worst: highest max/mean"
    );
    println!("after the first two minutes. moved: planned moves; forced: by the loss itself.\n");
    println!(
        "watched: units and load of the newcomer or the slow server, relative to the fair share.\n"
    );
    let head = [
        "scenario",
        "members",
        "policy",
        "max/mean",
        "spread",
        "worst",
        "units moved",
        "keys moved",
        "unserved unit-ms",
        "forced",
        "splits",
        "watched",
    ];
    println!("| {} |", head.join(" | "));
    println!("|{}", " --- |".repeat(head.len()));
    for scenario in SCENARIOS {
        for (members, slots) in
            SIZES.into_iter().filter(|(count, _)| only.is_none_or(|only| only == *count))
        {
            for (name, policy, weights) in POLICIES {
                let rate = f64::from(members) * if members >= 100 { 100.0 } else { 500.0 };
                let settings = FleetSettings {
                    members,
                    slots,
                    rate,
                    policy,
                    weights,
                    period: Duration::from_secs(10),
                    overlap: if members > 19 { 4 } else { 2 },
                    ..FleetSettings::default()
                };
                row(seed, scenario, name, settings);
            }
        }
    }
}

fn row(seed: u64, scenario: Scenario, name: &str, settings: FleetSettings) {
    let (members, slots) = (settings.members, settings.slots);
    let mut fleet = Fleet::new(seed, settings);
    fleet.run(2 * MINUTE);
    let (before, unserved) = (fleet.moved.len(), fleet.unserved);
    let mut worst: f64 = 0.0;
    let mut last = Vec::new();
    let mut watched = None;
    for step in 0..36 {
        watched = watched.or(apply_scenario(scenario, &mut fleet, step));
        fleet.run(Duration::from_secs(10));
        let now = fleet.imbalance();
        worst = worst.max(now.0);
        if step >= 30 {
            last.push(now);
        }
    }
    let mean = |of: fn(&(f64, f64)) -> f64| last.iter().map(of).sum::<f64>() / 6.0;
    let moved = &fleet.moved[before..];
    let keys = moved.iter().filter(|(_, unit, _)| unit.key.is_some()).count();
    let per_slot = KEYS * members as usize / slots as usize;
    println!(
        "| {scenario:?} | {members} | {name} | {:.2} | {:.3} | {worst:.2} | {} | {} | {} | {} | {} | {} |",
        mean(|i| i.0),
        mean(|i| i.1),
        moved.len(),
        (moved.len() - keys) * per_slot + keys,
        (fleet.unserved.saturating_sub(unserved)).as_millis(),
        fleet.forced,
        fleet.splits,
        watched.map_or_else(String::new, |id| watched_cell(&fleet, id)),
    );
}

fn watched_cell(fleet: &Fleet, id: MemberId) -> String {
    let ids = fleet.members();
    let float = |count: usize| f64::from(u32::try_from(count).unwrap());
    let units = float(fleet.owned(id)) * float(ids.len()) / float(fleet.service.slots.len());
    let load =
        fleet.rate(id) * float(ids.len()) / ids.iter().map(|id| fleet.rate(*id)).sum::<f64>();
    format!("{units:.2} {load:.2}")
}

/// Applies the events of a scenario at a step and returns the member to watch, if any.
fn apply_scenario(scenario: Scenario, fleet: &mut Fleet, step: u64) -> Option<MemberId> {
    let members = fleet.members();
    let count = f64::from(u32::try_from(members.len()).unwrap());
    let middle = members[members.len() / 2];
    match (scenario, step) {
        // `HOT` new keys every three minutes, each with a quarter of a member's fair share of load.
        (Scenario::HotSpell, 0 | 18) => {
            let key = |n: u64| KeyHash::of(&(step * HOT + n).to_le_bytes());
            fleet.set_hot_keys((0..HOT).map(|n| (key(n), 0.25 / count)).collect());
        }
        (Scenario::Join, 0) => return Some(fleet.join()),
        (Scenario::Loss, 0) => fleet.lose_member(middle),
        (Scenario::SlowServer, 0) => {
            fleet.slow_down(middle, 10.0);
            return Some(middle);
        }
        _ => {}
    }
    None
}

fn admission(seed: u64) {
    println!("\n## Admission\n");
    println!(
        "One upstream: 20 slots, 20 ms mean service, 1000 requests/s. 60 s a row; goodput counts answers in them."
    );
    println!(
        "Deadlines: critical 250 ms, interactive 1 s, bulk 10 s, background 20 s; shares 10, 50, 30, 10 %.\n"
    );
    println!(
        "| load | gate | retries | goodput /s | tries per request | tries at the gate per request | critical good % p50/p99 ms | interactive | bulk | background |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let retries = [
        ("none", Retries::Never),
        ("budget", Retries::Budget(RetrySettings::default())),
        ("always", Retries::Always),
    ];
    for load in [0.8, 1.0, 2.0] {
        for (name, retries) in &retries {
            let discipline = Discipline::Admission(AdmissionSettings::default());
            admission_row(seed, load, "admission", &discipline, name, retries);
            let discipline = Discipline::CachedRefusals(AdmissionSettings::default());
            admission_row(seed, load, "admission, entry remembers", &discipline, name, retries);
        }
        admission_row(
            seed,
            load,
            "unbounded FIFO",
            &Discipline::Fifo { slots: 20 },
            "none",
            &Retries::Never,
        );
    }
}

fn admission_row(
    seed: u64,
    load: f64,
    label: &str,
    discipline: &Discipline,
    name: &str,
    retries: &Retries,
) {
    let stream = |rank, part: f64, deadline| Stream {
        rank,
        rate: 1_000.0 * part * load,
        deadline: Duration::from_millis(deadline),
        service: Duration::from_millis(20),
    };
    let streams = [
        stream(Rank::Critical, 0.1, 250),
        stream(Rank::Interactive, 0.5, 1_000),
        stream(Rank::Bulk, 0.3, 10_000),
        stream(Rank::Background, 0.1, 20_000),
    ];
    let mut tallies = simulate(seed, &streams, discipline, retries, MINUTE);
    let sum = |of: fn(&Tally) -> u32| tallies.iter().map(|tally| f64::from(of(tally))).sum::<f64>();
    let goodput = sum(|tally| tally.in_span) / MINUTE.as_secs_f64();
    let attempts = sum(|tally| tally.attempts) / sum(|tally| tally.requests);
    let forwarded = sum(|tally| tally.forwarded) / sum(|tally| tally.requests);
    let cells: Vec<_> = tallies.iter_mut().map(cell).collect();
    println!(
        "| {load}x | {label} | {name} | {goodput:.0} | {attempts:.2} | {forwarded:.2} | {} |",
        cells.join(" | ")
    );
}

fn cell(tally: &mut Tally) -> String {
    let good = 100.0 * f64::from(tally.on_time) / f64::from(tally.requests.max(1));
    let (median, high) = (tally.quantile(0.5).as_millis(), tally.quantile(0.99).as_millis());
    format!("{good:.1} {median}/{high}")
}

fn cost(seed: u64) {
    println!("\n## Cost of a decision\n");
    println!("| decision | ns |\n| --- | --- |");
    let mut rng = StdRng::seed_from_u64(seed);
    cost_admission();
    cost_selection(&mut rng);
    cost_rates(&mut rng);
    cost_dedup();
    cost_plan(seed, &mut rng);
}

fn print(name: &str, start: Instant, count: u32) {
    println!("| {name} | {} |", start.elapsed().as_nanos() / u128::from(count));
}

fn cost_admission() {
    const COUNT: u32 = 1_000_000;
    let mut admission = Admission::new(AdmissionSettings::default());
    let mut started = std::collections::VecDeque::new();
    let start = Instant::now();
    for attempt in 0..u64::from(COUNT) {
        let now = Time::from_millis(attempt / 50);
        let ticket = Ticket {
            rank: Rank::Interactive,
            deadline: now + MINUTE,
            expiry: now + MINUTE,
            attempt,
            answer: 0,
        };
        if let acaciaring_core::admission::Offer::Start(item) =
            admission.offer(now, ticket, attempt)
        {
            started.push_back(item);
        }
        if admission.waiting() > 30 {
            let done = started.pop_front().unwrap();
            started.extend(admission.finish(
                now,
                done,
                Duration::from_millis(1),
                Completion::Answered,
            ));
            black_box(admission.expire(now));
        }
    }
    print("admission: offer, finish and expire with 30 waiting", start, COUNT);
}

fn cost_selection(rng: &mut StdRng) {
    const COUNT: u32 = 1_000_000;
    let mut selector = Selector::new(SelectorSettings::default());
    let members: Vec<_> = (1..=470).map(MemberId).collect();
    let start = Instant::now();
    for n in 0..COUNT {
        let now = Time::from_millis(u64::from(n) / 10);
        let id = selector.choose(now, rng, &members, &[]).unwrap();
        selector.sent(now, id);
        selector.report(now, id, 5, 20);
        selector.done(now, id, Outcome::Answered(Duration::from_millis(5)));
    }
    print("choice: choose, sent, report and done among 470", start, COUNT);
}

fn cost_rates(rng: &mut StdRng) {
    const COUNT: u32 = 5_000_000;
    let mut rates = RequestRates::new(Time::ZERO, RateSettings::default());
    let keys: Vec<_> =
        (0..1 << 16).map(|_| KeyHash(rng.random::<u64>() >> rng.random_range(16..50))).collect();
    let start = Instant::now();
    for n in 0..COUNT {
        let key = keys[n as usize % keys.len()];
        rates.record(Time::from_millis(u64::from(n) / 12), UnitId::slot(key.slot(140)), key);
    }
    print("heat: record", start, COUNT);
    let start = Instant::now();
    black_box(rates.hot_keys(Time::from_millis(u64::from(COUNT) / 12), 1.0));
    print("heat: hot", start, 1);
}

fn cost_dedup() {
    const COUNT: u32 = 200_000;
    let mut owner = DedupTable::new(DedupSettings::default());
    (0..140).for_each(|slot| owner.become_first_owner(UnitId::slot(slot)));
    let start = Instant::now();
    for n in 0..COUNT {
        let now = Time::from_millis(u64::from(n));
        let id = RequestId(
            u128::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835).to_le_bytes(),
        );
        let unit = UnitId::slot(n % 140);
        black_box(owner.begin(now, id, unit));
        owner.finish(now, id, unit, n, 500);
    }
    print("dedup: begin and finish", start, COUNT);
}

fn cost_plan(seed: u64, rng: &mut StdRng) {
    const COUNT: u32 = 20;
    let fleet =
        Fleet::new(seed, FleetSettings { members: 470, slots: 65_536, ..FleetSettings::default() });
    let ids = fleet.members();
    let load = |rate| Some(Load { rate, busy: 10, capacity: 20, speed: 1.0, at: Time::ZERO });
    let members: BTreeMap<_, _> = (ids.iter().enumerate())
        .map(|(n, id)| {
            let rate = 12_000.0 + rng.random_range(-1_000.0..1_000.0);
            (*id, Candidate { data_centre: (n % 3).to_string().into(), load: load(rate) })
        })
        .collect();
    for (name, factor) in [("even", 1), ("hot", 2)] {
        let mut rates = RequestRates::new(Time::ZERO, RateSettings::default());
        let own = fleet.service.units().filter(|(_, a)| a.owner == Some(ids[0]));
        let own: Vec<_> = own.map(|(unit, _)| unit).collect();
        let now = Time::from_millis(60_000);
        for (n, unit) in (0..720_000 * factor).zip(own.iter().copied().cycle()) {
            rates.record(Time::from_millis(n / (12 * factor)), unit, KeyHash(rng.random()));
        }
        let view = View {
            local: ids[0],
            service: &fleet.service,
            members: &members,
            rates: &rates,
            weights: Weights { churn: 1_000, downtime: 200 },
            service_time: Duration::from_millis(1),
        };
        let start = Instant::now();
        let mut moves = 0;
        for _ in 0..COUNT {
            moves = plan(now, &view, &BalanceSettings::default(), &mut History::default())
                .switchovers
                .len();
        }
        print(
            &format!("balance: plan at 470 members, 65536 slots, {name} ({moves} moves)"),
            start,
            COUNT,
        );
    }
}
