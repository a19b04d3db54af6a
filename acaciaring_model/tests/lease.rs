//! Searches of the lease model.

use acaciaring_model::Mutation;
use acaciaring_model::lease::{Exchange, LeaseModel};
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

/// A request waits between check and write while the lessors change.
fn promise() -> LeaseModel {
    LeaseModel { exchange: Exchange::Asked, write: true, ..change() }
}

fn holds(name: &str, model: &LeaseModel) {
    let start = std::time::Instant::now();
    let report = search(model);
    println!("{name}: {} states in {:?}", report.states, start.elapsed());
    if let Some(trace) = report.trace {
        panic!("{name} is broken:\n{trace}");
    }
}

fn finds(mutation: Mutation, model: LeaseModel) {
    let report = search(&LeaseModel { mutation: Some(mutation), ..model });
    let trace = report.trace.expect("the search finds a counterexample");
    println!("{mutation:?}, after {} states:\n{trace}", report.states);
}

#[test]
fn majority_of_votes_ends_the_lease() {
    holds("lease, three lessors", &majority());
}

#[test]
fn change_of_lessors_is_safe() {
    holds("lease, change of lessors", &change());
}

#[test]
fn death_of_a_lessor_is_safe() {
    holds("lease, death of a lessor during a change", &death());
}

#[test]
fn restarts_are_safe() {
    holds("lease, restarts", &restart());
}

#[test]
fn paused_write_is_safe() {
    holds("lease, pause before the write", &write());
}

#[test]
fn what_was_promised_outlasts_no_exchange() {
    holds("lease, pause before the write during a change", &promise());
}

#[test]
fn removed_guards_of_grants_are_found() {
    finds(Mutation::GrantAfterVote, majority());
    finds(Mutation::VoteEarly, majority());
    finds(Mutation::CountFromReceipt, majority());
    finds(Mutation::FenceWithoutEnd, write());
}

#[test]
fn removed_guards_of_identities_are_found() {
    finds(Mutation::RestartKeepsIdentity, restart());
    finds(Mutation::OldIdentityVotes, restart());
}

#[test]
fn removed_guards_of_a_change_are_found() {
    finds(Mutation::ProposalNotNeeded, change());
    finds(Mutation::ProposeUnready, promise());
    finds(Mutation::OldSetDropped, change());
    finds(Mutation::VersionIgnored, change());
    finds(Mutation::DeathCountsAtOnce, death());
    finds(Mutation::DeadSupersedes, death());
}
