//! Searches of the model of takeovers.

use acaciaring_model::Mutation;
use acaciaring_model::search::{count_stuck_states, search};
use acaciaring_model::takeover::{Kind, TakeoverModel};

const MOVES: [Kind; 2] = [Kind::Switchover, Kind::Handoff];

fn assert_no_violation(name: &str, model: &TakeoverModel) {
    let start = std::time::Instant::now();
    let report = search(model);
    println!("{name}: {} states in {:?}", report.states, start.elapsed());
    if let Some(trace) = report.trace {
        panic!("{name} violates a property:\n{trace}");
    }
}

fn assert_counterexample(mutation: Mutation, mut model: TakeoverModel) {
    model.mutation = Some(mutation);
    let report = search(&model);
    let trace = report.trace.expect("the search must find a counterexample");
    println!("{mutation:?}, after {} states:\n{trace}", report.states);
}

#[test]
fn moves_and_losses_keep_one_owner() {
    assert_no_violation("takeover, two moves and a loss", &TakeoverModel::new(&MOVES, 2, 1));
    assert_no_violation("takeover, a move and two losses", &TakeoverModel::new(&MOVES, 1, 2));
}

#[test]
fn leaves_keep_one_owner() {
    assert_no_violation(
        "takeover, leave",
        &TakeoverModel::new(&[Kind::Leave, Kind::Switchover], 2, 1),
    );
}

#[test]
fn split_keeps_one_owner() {
    assert_no_violation(
        "takeover, split",
        &TakeoverModel::new(&[Kind::Split, Kind::Switchover], 2, 1),
    );
}

// From every reachable state, even with one member left, the slot can be served again.
#[test]
fn slot_is_never_lost() {
    let model = TakeoverModel::new(&MOVES, 1, 2);
    let (count, states) = count_stuck_states(&model, |state| model.served(state));
    println!("takeover, progress: {count} of {states} states stuck");
    assert_eq!(count, 0);
    assert!(states > 1000);
}

#[test]
fn removed_guards_of_moves_are_found() {
    assert_counterexample(Mutation::PriorIgnored, TakeoverModel::new(&MOVES, 2, 1));
    assert_counterexample(Mutation::RoleKept, TakeoverModel::new(&MOVES, 2, 1));
    assert_counterexample(Mutation::MoveBeforeServing, TakeoverModel::new(&[Kind::Leave], 2, 0));
    assert_counterexample(Mutation::LeaveBeforeFold, TakeoverModel::new(&[Kind::Leave], 2, 0));
    assert_counterexample(Mutation::RoleRegained, TakeoverModel::new(&[Kind::Leave], 2, 1));
    assert_counterexample(Mutation::MoveToNonStandby, TakeoverModel::new(&[Kind::Move], 1, 1));
    let split = [Kind::Split, Kind::Switchover];
    assert_counterexample(Mutation::ReleaseBeforeSettled, TakeoverModel::new(&split, 2, 1));
}
