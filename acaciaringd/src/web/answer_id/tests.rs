//! Tests of the ids that a connection has carried.

use std::time::Duration;

use super::*;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn id(text: &str, deadline: u64) -> AnswerId {
    AnswerId::new(text.as_bytes(), at(deadline))
}

/// Guards against a second try on the same connection.
#[test]
fn a_carried_id_is_known_whatever_the_deadline_of_the_next_try() {
    let mut carried = CarriedIds::default();
    carried.add(at(0), id("a", 500));
    assert!(carried.contains(id("a", 900)));
    assert!(!carried.contains(id("b", 500)));
}

/// Guards against memory that grows with the age of a connection.
#[test]
fn ids_are_dropped_after_their_deadlines() {
    let mut carried = CarriedIds::default();
    for number in 0..10_000 {
        carried.add(at(number), id(&number.to_string(), number + 100));
    }
    assert!(carried.0.len() <= 100, "{} ids", carried.0.len());
    assert!(carried.contains(id("9999", 0)) && carried.contains(id("9950", 0)));
}
