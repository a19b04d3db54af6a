//! Tests of the limit on the memory of request bodies.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::body_budget::{BodyBudget, BodyId};
use proptest::prelude::*;

/// Limit of each test in bytes; bodies of up to 100 are small.
const LIMIT: u64 = 6400;

/// Bytes that large bodies may take together.
const LARGE: u64 = 5600;

const PATIENCE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Time {
    Time::from_start(Duration::from_millis(millis))
}

/// Adds a body of `bytes` that is arriving.
fn arriving(budget: &mut BodyBudget, now: Time, bytes: u64) -> BodyId {
    let id = budget.begin(now, PATIENCE);
    assert_eq!(budget.grow(now, id, bytes), Some(Vec::new()));
    id
}

#[test]
fn bodies_take_memory_until_they_end() {
    let mut budget = BodyBudget::new(LIMIT);
    let id = arriving(&mut budget, at(0), LARGE);
    assert_eq!(budget.used(), LARGE);
    assert!(budget.complete(id));
    assert_eq!(budget.used(), LARGE);
    budget.end(id);
    assert_eq!(budget.used(), 0);
    budget.end(id);
    assert_eq!(budget.used(), 0);
}

/// Guards against stalled bodies that keep out others.
#[test]
fn stalled_bodies_give_way_in_the_order_of_their_last_progress() {
    let mut budget = BodyBudget::new(LIMIT);
    let first = arriving(&mut budget, at(0), LARGE / 2);
    let second = arriving(&mut budget, at(1), LARGE / 2);
    budget.progressed(at(10), first);
    let other = budget.begin(at(3005), PATIENCE);
    assert_eq!(budget.grow(at(3005), other, LARGE / 2), Some(vec![second]));
    let another = budget.begin(at(3010), PATIENCE);
    assert_eq!(budget.grow(at(3010), another, LARGE / 2), Some(vec![first]));
    assert_eq!(budget.used(), LARGE);
    assert_eq!(budget.grow(at(3010), first, 1), None, "it was removed");
    assert!(!budget.complete(first), "it was removed");
}

/// Guards against a few large bodies that are arriving and keep out smaller ones.
#[test]
fn the_largest_body_gives_way_to_a_smaller_one() {
    let mut budget = BodyBudget::new(LIMIT);
    let large = arriving(&mut budget, at(0), 3000);
    arriving(&mut budget, at(0), 2600);
    let small = budget.begin(at(1), PATIENCE);
    assert_eq!(budget.grow(at(1), small, 2900), Some(vec![large]));
    let equal = budget.begin(at(1), PATIENCE);
    assert_eq!(budget.grow(at(1), equal, 2900), None, "none is larger");
    assert_eq!(budget.used(), 5500, "nothing is removed in vain");
}

/// Guards against complete bodies that are cut off, and against large ones that take all.
#[test]
fn complete_bodies_stay_and_leave_room_for_small_ones() {
    let mut budget = BodyBudget::new(LIMIT);
    let large = arriving(&mut budget, at(0), LARGE);
    assert!(budget.complete(large));
    let refused = budget.begin(at(9000), PATIENCE);
    assert_eq!(budget.grow(at(9000), refused, 101), None);
    for _ in 0..8 {
        arriving(&mut budget, at(9000), 100);
    }
    let refused = budget.begin(at(9000), PATIENCE);
    assert_eq!(budget.grow(at(9000), refused, 100), None);
    assert_eq!(budget.used(), LIMIT);
}

proptest! {
    /// Guards against memory that is counted twice or never released.
    #[test]
    fn the_limit_holds_and_all_is_released(steps in prop::collection::vec((0u8..4, 0u64..8, 1u64..3000), 0..200)) {
        let mut budget = BodyBudget::new(LIMIT);
        let mut ids = Vec::new();
        for (number, (step, index, bytes)) in (0..).zip(steps) {
            let now = at(number * 100);
            let id = ids.get(usize::try_from(index).unwrap_or(0)).copied();
            match (step, id) {
                (0, _) | (_, None) => ids.push(budget.begin(now, PATIENCE)),
                (1, Some(id)) => drop(budget.grow(now, id, bytes)),
                (2, Some(id)) => drop(budget.complete(id)),
                (_, Some(id)) => budget.end(id),
            }
            prop_assert!(budget.used() <= LIMIT);
        }
        for id in ids {
            budget.end(id);
        }
        prop_assert_eq!(budget.used(), 0);
    }
}
