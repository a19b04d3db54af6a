//! Searches of the model of grants by call.

use std::time::Instant;

use acaciaring_model::Mutation;
use acaciaring_model::orders::{Bounds, OrdersModel};
use acaciaring_model::search::search;

/// Orders carried out late or without answer, and a range that moves on to a third upstream.
const MOVES: Bounds = Bounds { ticks: 4, lost: 2, starts: 0, moves: 2, lease: None };

/// Starts of the upstream or of its process, with an order that is late.
const STARTS: Bounds = Bounds { ticks: 3, lost: 1, starts: 1, moves: 1, lease: None };

/// The lease of the owner ends and another member takes over.
const LEASE: Bounds = Bounds { ticks: 5, lost: 2, starts: 0, moves: 0, lease: Some(4) };

fn holds(name: &str, bounds: Bounds) {
    let start = Instant::now();
    let report = search(&OrdersModel::new(bounds, None));
    println!("orders, {name}: {} states in {:?}", report.states, start.elapsed());
    if let Some(trace) = report.trace {
        panic!("the range has two holders:\n{trace}");
    }
}

fn finds(bounds: Bounds, mutation: Mutation) {
    let report = search(&OrdersModel::new(bounds, Some(mutation)));
    let trace = report.trace.expect("the search finds a counterexample");
    println!("{mutation:?}, after {} states:\n{trace}", report.states);
}

#[test]
fn a_range_that_moves_has_one_holder() {
    holds("moves", MOVES);
}

#[test]
fn a_range_has_one_holder_over_starts() {
    holds("starts", STARTS);
}

#[test]
fn a_range_has_one_holder_over_the_end_of_a_lease() {
    holds("lease", LEASE);
}

#[test]
fn removed_guards_are_found() {
    finds(MOVES, Mutation::SilenceIsRefusal);
    finds(MOVES, Mutation::HoldFromDecision);
    finds(STARTS, Mutation::OldTokenReconnects);
    finds(STARTS, Mutation::FormerOrdersForgotten);
    finds(LEASE, Mutation::GrantPastLease);
}
