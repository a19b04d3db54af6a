//! Publishing, routing and serving by key from end to end, with real processes.

mod common;

use std::time::Duration;

use acaciaring_testing::{Ask, ask_until_answered};

use common::{CONTRACTS, start_cluster};

#[test]
fn every_entry_answers_for_every_key_and_one_server_runs_it() {
    let cluster = start_cluster(5, 0);
    for vm in &cluster.vms {
        for key in 0..20 {
            let path = format!("/contracts/k{key}");
            let request = Ask { path: &path, ..Ask::default() };
            let reply =
                ask_until_answered(vm.http, &request, Duration::from_secs(5)).expect("an answer");
            assert_eq!((reply.status, reply.verdict.as_str()), (200, "answered"), "{reply:?}");
            assert!(reply.body.contains(&path), "{reply:?}");
        }
    }
    let runs: Vec<_> = cluster
        .vms
        .iter()
        .filter_map(|vm| vm.upstream.as_ref())
        .map(|u| u.handle().records())
        .collect();
    for key in 0..20 {
        let path = format!("/contracts/k{key}");
        let servers =
            runs.iter().filter(|records| records.iter().any(|run| run.path == path)).count();
        assert_eq!(servers, 1, "{path} of {CONTRACTS}");
    }
}
