//! Callers that disconnect before their answer, with real processes.

mod common;

use std::time::Duration;

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Cluster, UpstreamControl};

use common::classes::{
    WAIT_TIMEOUT, control_upstream, header_value, limited_upstreams, owner_index, response_head,
    run_count, send_request, start_keyed,
};

const KEY: &str = "k1";

fn start_with_slow_path(slow: f64) -> (Cluster, usize) {
    let cluster = start_keyed(limited_upstreams(1, 5), 3, "");
    let server = owner_index(&cluster, KEY);
    let costs = [("/slow".into(), slow)].into();
    control_upstream(
        &cluster,
        server,
        &UpstreamControl { costs: Some(costs), ..Default::default() },
    );
    (cluster, server)
}

fn busy_count(cluster: &Cluster, vm: usize) -> u64 {
    let status = cluster.admin(vm, "/v1/status").unwrap_or_default();
    status["busy"].as_u64().unwrap_or(u64::MAX)
}

// Guards against queued requests of disconnected callers that run or occupy the queue beyond their
// deadline.
#[test]
fn requests_of_callers_that_left_do_not_run() {
    let (cluster, server) = start_with_slow_path(1500.0);
    let entry = cluster.vms[(server + 1) % 3].http;
    let first = send_request(entry, "/contracts/slow/k1", 4000);
    wait_until("the slot is taken", WAIT_TIMEOUT, || {
        run_count(&cluster, "/contracts/slow/k1") == 1
    })
    .expect("the request runs");
    for number in 0..8 {
        drop(send_request(entry, &format!("/contracts/query/k1?gone={number}"), 300));
    }
    let (head, _) = response_head(entry, "/contracts/query/k1?stays", 4000);
    assert_eq!(header_value(&head, "x-acaciaring-verdict"), Some("answered"), "{head}");
    let gone: usize = (0..8)
        .map(|number| run_count(&cluster, &format!("/contracts/query/k1?gone={number}")))
        .sum();
    assert_eq!(gone, 0, "requests ran that nobody waits for");
    drop(first);
    wait_until("nothing is held", WAIT_TIMEOUT, || busy_count(&cluster, server) == 0)
        .expect("all places are free");
}

// Guards against a run that keeps its slot at the upstream after its deadline: the owner cancels
// it.
#[test]
fn a_run_that_was_given_up_is_cancelled_at_the_upstream() {
    let (cluster, server) = start_with_slow_path(30_000.0);
    for entry in [server, (server + 1) % 3] {
        let entry = cluster.vms[entry].http;
        let before = run_count(&cluster, "/contracts/slow/k1");
        let caller = send_request(entry, "/contracts/slow/k1", 400);
        wait_until("the request runs", WAIT_TIMEOUT, || {
            run_count(&cluster, "/contracts/slow/k1") > before
        })
        .expect("the request runs");
        drop(caller);
        let answered = || {
            let (head, _) = response_head(entry, "/contracts/query/k1", 4000);
            header_value(&head, "x-acaciaring-verdict") == Some("answered")
        };
        wait_until("the next caller is answered", Duration::from_secs(15), answered)
            .expect("the slot is free");
        let runs = cluster.runs();
        let run = runs.iter().rfind(|run| run.path == "/contracts/slow/k1").expect("it ran");
        assert!(run.cancelled, "{run:?}");
    }
}
