//! Tests of load balancing by members that plan moves of units independently.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::balance::BalanceSettings;
use acaciaring_core::rates::{RateSettings, RequestRates};
use acaciaring_core::route::Weights;
use acaciaring_core::{KeyHash, MemberId, Time, UnitId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::fleet::{Fleet, FleetSettings, Policy};

const MINUTE: Duration = Duration::from_mins(1);

/// A key of slot 17 in a service of 256 slots.
const HOT_KEY: KeyHash = KeyHash(17 + 256 * 9_999);

// Guards against a hot key that stays with its slot: it must be split out, balanced within minutes
// with few moves, and merged back once it cools down.
#[test]
fn a_hot_key_is_split_out_balanced_and_merged_back() {
    let balance = BalanceSettings { merge_after: MINUTE, ..BalanceSettings::default() };
    let mut fleet = Fleet::new(1, FleetSettings { balance, ..FleetSettings::default() });
    fleet.run(MINUTE);
    let before = fleet.moved.len();
    fleet.set_hot_keys(vec![(HOT_KEY, 0.10)]);
    fleet.run(Duration::from_secs(15));
    assert!(fleet.imbalance().0 > 1.35, "{:?}", fleet.imbalance());
    fleet.run(3 * MINUTE);
    assert!(fleet.service.hot.contains_key(&HOT_KEY));
    assert!(fleet.imbalance().0 < 1.3, "{:?}", fleet.imbalance());
    let moved = fleet.moved.len() - before;
    assert!((1..=30).contains(&moved), "{moved} units moved");
    fleet.set_hot_keys(Vec::new());
    fleet.run(7 * MINUTE);
    assert!(fleet.service.hot.is_empty(), "still {:?}", fleet.service.hot.keys());
}

// Guards against moves without gain while load differs only by chance.
#[test]
fn nothing_moves_while_load_is_even() {
    let mut fleet = Fleet::new(2, FleetSettings { skew: 0.1, ..FleetSettings::default() });
    fleet.run(10 * MINUTE);
    assert_eq!(fleet.moved, []);
    assert_eq!(fleet.splits, 0);
}

// Guards against oscillation: with delayed load reports, members of similar load could swap a unit
// back and forth.
#[test]
fn units_are_not_swapped_to_and_fro() {
    // Without tolerance and minimum gain, only the pause after a move prevents oscillation.
    let eager = BalanceSettings { tolerance: 0.0, min_gain: 0.0, ..BalanceSettings::default() };
    for (balance, max_moves) in [(BalanceSettings::default(), 3), (eager, 5)] {
        assert_no_swaps(balance, max_moves);
    }
}

/// Asserts that no unit moves twice within five minutes, or more than `max_moves` times in twenty.
fn assert_no_swaps(balance: BalanceSettings, max_moves: usize) {
    let settings =
        FleetSettings { members: 2, rate: 500.0, skew: 0.8, balance, ..FleetSettings::default() };
    let mut fleet = Fleet::new(3, settings);
    for round in 0..10 {
        let part = if round % 2 == 0 { 0.15 } else { 0.05 };
        fleet.set_hot_keys(vec![(HOT_KEY, part)]);
        fleet.run(2 * MINUTE);
    }
    let mut moves = BTreeMap::<UnitId, Vec<Time>>::new();
    for (at, unit, _) in &fleet.moved {
        moves.entry(*unit).or_default().push(*at);
    }
    for (unit, times) in &moves {
        let again = times.windows(2).any(|pair| pair[1].since(pair[0]) < 5 * MINUTE);
        assert!(!again, "{unit:?} moved at {times:?}");
        assert!(times.len() <= max_moves, "{unit:?} moved at {times:?}");
    }
}

// Guards against a new member that is overloaded because all others move units to it at once, and
// against moves between the others.
#[test]
fn a_newcomer_is_filled_without_overshoot() {
    let mut fleet = Fleet::new(4, FleetSettings::default());
    fleet.run(2 * MINUTE);
    let before = fleet.moved.len();
    let newcomer = fleet.join();
    let fair = 256 / 7;
    for _ in 0..60 {
        fleet.run(Duration::from_secs(10));
        assert!(fleet.owned(newcomer) <= fair, "owns {}", fleet.owned(newcomer));
        let (max, _) = fleet.imbalance();
        assert!(max < 1.4, "{max}");
    }
    assert!(fleet.owned(newcomer) >= fair * 7 / 10, "owns {}", fleet.owned(newcomer));
    assert!(fleet.rate(newcomer) > 0.5 * 3_000.0 / 7.0, "{}", fleet.rate(newcomer));
    let elsewhere = fleet.moved[before..].iter().filter(|(_, _, to)| *to != newcomer).count();
    assert!(elsewhere <= 6, "{elsewhere} units moved between the others");
}

// Guards against newcomers without units while the others are overloaded: donors that all serve
// them in the same order leave the last one waiting for all others.
#[test]
fn newcomers_that_join_together_are_filled_together() {
    let settings = FleetSettings {
        members: 24,
        slots: 1024,
        rate: 9_000.0,
        period: Duration::from_secs(2),
        balance: BalanceSettings {
            min_moves: 600,
            cooldown: Duration::from_secs(10),
            ..BalanceSettings::default()
        },
        ..FleetSettings::default()
    };
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed, settings.clone());
        fleet.run(MINUTE);
        let newcomers: Vec<MemberId> = (0..8).map(|_| fleet.join()).collect();
        fleet.run(Duration::from_secs(10));
        let owned: Vec<usize> = newcomers.iter().map(|id| fleet.owned(*id)).collect();
        println!("seed {seed}: {owned:?} of a fair number of {}", 1024 / 32);
        assert!(owned.iter().all(|owned| *owned >= 1024 / 32 / 4), "seed {seed}: {owned:?}");
    }
}

// Guards against a slow server that keeps its units because its health and request rate look
// normal: its busy requests must count.
#[test]
fn a_slow_server_gives_units_away() {
    let mut fleet = Fleet::new(5, FleetSettings::default());
    fleet.run(MINUTE);
    let slow = fleet.members()[2];
    let before = fleet.owned(slow);
    fleet.slow_down(slow, 5.0);
    fleet.run(4 * MINUTE);
    assert!(fleet.owned(slow) < before * 8 / 10, "{} of {before}", fleet.owned(slow));
    assert!(fleet.moved.iter().all(|(_, _, to)| *to != slow));
}

// Guards against a churn weight without effect: a higher weight must not move more units, and both
// weights move far fewer than the greedy policy.
#[test]
fn a_heavier_weight_on_churn_moves_fewer_units() {
    let moved = |policy, churn| {
        let weights = Weights { churn, downtime: 100 };
        let settings = FleetSettings { policy, weights, skew: 0.5, ..FleetSettings::default() };
        let mut fleet = Fleet::new(6, settings);
        fleet.set_hot_keys(vec![(HOT_KEY, 0.08)]);
        fleet.run(5 * MINUTE);
        fleet.moved.len()
    };
    let light = moved(Policy::Weighted, 100);
    let heavy = moved(Policy::Weighted, 1_000);
    let greedy = moved(Policy::Greedy, 0);
    assert!(heavy <= light, "{heavy} against {light}");
    assert!(light * 2 < greedy, "{light} against {greedy}");
}

// Guards against hot keys that are detected late or confused with cold ones, without a counter for
// each key.
#[test]
fn the_hottest_keys_are_found_within_a_minute() {
    let mut rates = RequestRates::new(Time::ZERO, RateSettings::default());
    let mut rng = StdRng::seed_from_u64(7);
    let mut now = Time::ZERO;
    for round in 0..2_u64 {
        for _ in 0..60_000 {
            now = now + MINUTE / 60_000;
            let key = if rng.random_bool(0.13) {
                KeyHash(u64::MAX - round * 13 - rng.random_range(0..13))
            } else {
                KeyHash(rng.random_range(0..1_000_000))
            };
            rates.record(now, UnitId::slot(key.slot(64)), key);
        }
        let hot = rates.hot_keys(now, 5.0);
        let mut keys: Vec<_> = hot.iter().take(13).map(|hot| u64::MAX - hot.key.0).collect();
        keys.sort_unstable();
        assert_eq!(keys, (round * 13..round * 13 + 13).collect::<Vec<_>>());
        // Each gets 10 requests per second.
        assert!(hot[..13].iter().all(|hot| (5.0..15.0).contains(&hot.rate)), "{hot:?}");
    }
    // Keys requested once share counters with many others and must not appear hot.
    assert!(rates.hot_keys(now, 0.4).len() <= 26, "{:?}", rates.hot_keys(now, 0.4));
    let total = rates.total(now);
    assert!((total - 1_000.0).abs() < 20.0, "{total}");
    assert!(rates.total(now + MINUTE) < 20.0);
}

// Guards against load that stays uneven after a member is lost and its units pass to their
// standbys.
#[test]
fn the_loss_of_a_member_is_levelled_out() {
    let mut fleet =
        Fleet::new(8, FleetSettings { members: 19, slots: 1_024, ..FleetSettings::default() });
    fleet.run(MINUTE);
    let before = fleet.moved.len();
    let lost: MemberId = fleet.members()[3];
    fleet.lose_member(lost);
    fleet.run(4 * MINUTE);
    assert!(fleet.imbalance().0 < 1.3, "{:?}", fleet.imbalance());
    assert!(fleet.moved.len() - before <= fleet.forced, "{} moves", fleet.moved.len() - before);
}
