//! Searches of the model of configuration changes.

use acaciaring_model::Mutation;
use acaciaring_model::config::ConfigModel;
use acaciaring_model::search::search;

fn assert_counterexample(mutation: Mutation) {
    let report = search(&ConfigModel::new(Some(mutation)));
    let trace = report.trace.expect("the search must find a counterexample");
    println!("{mutation:?}, after {} states:\n{trace}", report.states);
}

#[test]
fn accepted_configuration_is_in_force_and_stays() {
    let start = std::time::Instant::now();
    let report = search(&ConfigModel::new(None));
    println!("configuration: {} states in {:?}", report.states, start.elapsed());
    if let Some(trace) = report.trace {
        panic!("the configuration model violates a property:\n{trace}");
    }
}

#[test]
fn removed_guards_are_found() {
    assert_counterexample(Mutation::NewRecordId);
    assert_counterexample(Mutation::AcceptedEarly);
    assert_counterexample(Mutation::SnapshotWithoutOffset);
}
