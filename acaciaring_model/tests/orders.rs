//! Searches of the model of grants by orders.

use std::time::Instant;

use acaciaring_model::Mutation;
use acaciaring_model::orders::{Bounds, OrdersModel};
use acaciaring_model::search::search;

/// Orders are carried out late or not answered, and the range moves on to a third upstream.
const MOVES: Bounds =
    Bounds { ticks: 4, faults: 2, restarts: 0, downtime: 0, moves: 2, lease: None };

/// An upstream or its process restarts, and one order is carried out late or not answered.
const RESTARTS: Bounds =
    Bounds { ticks: 3, faults: 1, restarts: 1, downtime: 0, moves: 1, lease: None };

/// The lease of the owner expires and another member takes over.
const LEASE_EXPIRY: Bounds =
    Bounds { ticks: 5, faults: 2, restarts: 0, downtime: 0, moves: 0, lease: Some(4) };

/// The process and the upstream of the owner restart, and another member takes over from them.
const RESTARTS_AND_LEASE: Bounds =
    Bounds { ticks: 4, faults: 1, restarts: 2, downtime: 1, moves: 0, lease: Some(3) };

fn assert_no_violation(name: &str, bounds: Bounds) {
    let start = Instant::now();
    let report = search(&OrdersModel::new(bounds, None));
    println!("orders, {name}: {} states in {:?}", report.states, start.elapsed());
    if let Some(trace) = report.trace {
        panic!("the orders model violates a property:\n{trace}");
    }
}

fn assert_counterexample(bounds: Bounds, mutation: Mutation) {
    let report = search(&OrdersModel::new(bounds, Some(mutation)));
    let trace = report.trace.expect("the search must find a counterexample");
    println!("{mutation:?}, after {} states:\n{trace}", report.states);
}

#[test]
fn a_range_that_moves_has_one_holder() {
    assert_no_violation("moves", MOVES);
}

#[test]
fn a_range_has_one_holder_across_restarts() {
    assert_no_violation("starts", RESTARTS);
}

#[test]
fn a_range_has_one_holder_across_a_lease_expiry() {
    assert_no_violation("lease", LEASE_EXPIRY);
}

/// Guards against two holders when a process and its upstream restart together while orders of the
/// former process are on their way.
#[test]
fn a_range_has_one_holder_across_restarts_and_a_lease_expiry() {
    assert_no_violation("starts and lease", RESTARTS_AND_LEASE);
}

#[test]
fn removed_guards_are_found() {
    assert_counterexample(MOVES, Mutation::TimeoutIsUnsent);
    assert_counterexample(MOVES, Mutation::HoldFromDecision);
    assert_counterexample(RESTARTS, Mutation::OldTokenReconnects);
    assert_counterexample(RESTARTS, Mutation::EarlierOrdersIgnored);
    assert_counterexample(LEASE_EXPIRY, Mutation::GrantPastLease);
    assert_counterexample(LEASE_EXPIRY, Mutation::WriteAfterDeadline);
}
