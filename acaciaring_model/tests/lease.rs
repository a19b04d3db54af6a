//! Searches of the model of leases.

use acaciaring_model::Mutation;
use acaciaring_model::lease::{ChangeMode, LeaseModel};
use acaciaring_model::search::search;

fn majority() -> LeaseModel {
    LeaseModel { first: vec![0, 1, 2], messages: 3, horizon: 3, ..LeaseModel::default() }
}

fn change() -> LeaseModel {
    LeaseModel { second: vec![1], ..LeaseModel::default() }
}

fn death() -> LeaseModel {
    LeaseModel { death: true, horizon: 3, ..change() }
}

fn restart() -> LeaseModel {
    LeaseModel { restart: true, horizon: 5, ..LeaseModel::default() }
}

fn write() -> LeaseModel {
    LeaseModel { write: true, horizon: 6, rounds: 3, ..LeaseModel::default() }
}

/// A request is paused between check and write while the lessors change.
fn prepared_change() -> LeaseModel {
    LeaseModel { change_mode: ChangeMode::Prepared, write: true, ..change() }
}

fn assert_no_violation(name: &str, model: &LeaseModel) {
    let start = std::time::Instant::now();
    let report = search(model);
    println!("{name}: {} states in {:?}", report.states, start.elapsed());
    if let Some(trace) = report.trace {
        panic!("{name} violates a property:\n{trace}");
    }
}

fn assert_counterexample(mutation: Mutation, model: LeaseModel) {
    let report = search(&LeaseModel { mutation: Some(mutation), ..model });
    let trace = report.trace.expect("the search must find a counterexample");
    println!("{mutation:?}, after {} states:\n{trace}", report.states);
}

#[test]
fn majority_of_votes_ends_the_lease() {
    assert_no_violation("lease, three lessors", &majority());
}

#[test]
fn change_of_lessors_is_safe() {
    assert_no_violation("lease, change of lessors", &change());
}

#[test]
fn death_of_a_lessor_is_safe() {
    assert_no_violation("lease, death of a lessor during a change", &death());
}

#[test]
fn restarts_are_safe() {
    assert_no_violation("lease, restarts", &restart());
}

#[test]
fn paused_write_is_safe() {
    assert_no_violation("lease, pause before the write", &write());
}

#[test]
fn paused_write_during_a_prepared_change_is_safe() {
    assert_no_violation("lease, pause before the write during a change", &prepared_change());
}

#[test]
fn removed_guards_of_grants_are_found() {
    assert_counterexample(Mutation::GrantAfterVote, majority());
    assert_counterexample(Mutation::VoteEarly, majority());
    assert_counterexample(Mutation::CountFromReceipt, majority());
    assert_counterexample(Mutation::FenceWithoutEnd, write());
}

#[test]
fn removed_guards_of_identities_are_found() {
    assert_counterexample(Mutation::RestartKeepsIdentity, restart());
    assert_counterexample(Mutation::OldIdentityVotes, restart());
}

#[test]
fn removed_guards_of_a_change_are_found() {
    assert_counterexample(Mutation::ProposalSkipped, change());
    assert_counterexample(Mutation::ProposeUnready, prepared_change());
    assert_counterexample(Mutation::OldSetDropped, change());
    assert_counterexample(Mutation::VersionIgnored, change());
    assert_counterexample(Mutation::DeathCountsAtOnce, death());
    assert_counterexample(Mutation::DeadSupersedes, death());
}
