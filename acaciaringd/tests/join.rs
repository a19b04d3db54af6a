//! Members that join an empty log or a running cluster, with real processes.

mod common;

use std::time::Duration;

use acaciaring_testing::{Ask, Cluster, ask, harness::wait_until};

use common::{CONTRACTS, options, start_contracts_with_settings, vm_options};

/// Upper bound on the time until a new member owns its share of the units.
const REBALANCE_TIMEOUT: Duration = Duration::from_secs(30);

// Guards against a first member that waits for a record before it joins: nothing is published until
// an operator has seen the members.
#[test]
fn members_join_on_an_empty_log() {
    let mut cluster = Cluster::start(options()).expect("the test log starts");
    for number in 0..2 {
        cluster.add(vm_options(number, CONTRACTS)).expect("a VM starts");
    }
    wait_until("both have joined", REBALANCE_TIMEOUT, || {
        let members = cluster.admin(0, "/v1/members").unwrap_or_default();
        members["members"].as_array().map(Vec::len) == Some(2)
    })
    .expect("members join without a record in the log");
}

// Guards against a new member that gets no units, and against requests that fail while units move
// to it.
#[test]
fn a_newcomer_takes_a_share_without_losing_a_request() {
    let settings = "[balance]\ninterval = 200ms\nmoves = 600\n";
    let mut cluster = start_contracts_with_settings(5, settings);
    let mut options = vm_options(5, CONTRACTS);
    options.settings = settings.into();
    let newcomer = cluster.add(options).expect("a VM starts");
    let entry = cluster.vms[0].http;
    let mut number = 0;
    wait_until("the new member owns units", REBALANCE_TIMEOUT, || {
        number += 1;
        let path = format!("/contracts/k{number}");
        let reply = ask(entry, &Ask { path: &path, ..Ask::default() }).expect("an answer");
        assert_eq!(reply.verdict, "answered", "{reply:?}");
        let members = cluster.admin(newcomer, "/v1/members").unwrap_or_default();
        let rows = members["members"].as_array().cloned().unwrap_or_default();
        rows.iter().any(|row| row["vm"] == "vm-5" && row["owned"].as_u64().unwrap_or(0) >= 5)
    })
    .expect("the new member takes a share");
}
