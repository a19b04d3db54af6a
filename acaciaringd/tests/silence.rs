//! Upstreams that hang, leave or crash, and silent peer connections, with real processes.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{ClusterOptions, LoadFigures, UpstreamControl, UpstreamOptions, Verdict};

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, options, start_cluster, start_cluster_with, start_proxied, vm_options};

/// Time after which an upstream that announced its leave gets no new requests.
const LEAVE_TIME: Duration = Duration::from_secs(6);

// Guards against an upstream that hangs, loses its keys, and runs its queued requests after it
// resumes: the fence is checked when a run begins and when it ends.
#[test]
fn a_frozen_server_that_returns_runs_nothing_late() {
    let upstream = UpstreamOptions { recheck: true, ..UpstreamOptions::default() };
    let cluster = start_cluster_with(ClusterOptions { upstream, ..options() }, 5, 0);
    let victim = 2;
    let keys = recovery::owned_keys(&cluster, victim, 0);
    let all = recovery::entry_addresses(&cluster, &[0, 1, 2, 3, 4]);
    let load = recovery::spawn_load(recovery::mixed_load(all, 61, 9000));
    let upstream = cluster.vms[victim].upstream.as_ref().expect("an upstream").handle();
    wait_until("the victim serves", RECOVERY_TIMEOUT, || upstream.records().len() > 20)
        .expect("the load reaches the victim");
    let start = Instant::now();
    upstream.set(&UpstreamControl { frozen: Some(true), ..UpstreamControl::default() });
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, start);
    println!("frozen server: {} keys served again after {took:?}", keys.len());
    upstream.set(&UpstreamControl { frozen: Some(false), ..UpstreamControl::default() });
    let figures = load.join().expect("the load ends");
    println!("refused after the thaw: {:?}", upstream.counts());
    recovery::assert_consistent(&cluster.runs(), &figures);
    assert_all_answered(&figures);
}

// Guards against lost answers and second runs when the network drops all established flows between
// members while new ones work.
#[test]
fn silent_connections_cost_no_answer_and_run_nothing_twice() {
    let vms = (0..5).map(|number| vm_options(number, CONTRACTS)).collect();
    let (cluster, network) = start_proxied(options(), vms);
    let all: Vec<usize> = (0..5).collect();
    let load = recovery::spawn_load(recovery::mixed_load(
        recovery::entry_addresses(&cluster, &all),
        62,
        8000,
    ));
    wait_until("all serve", RECOVERY_TIMEOUT, || {
        all.iter().all(|vm| cluster.vms[*vm].runs().len() > 20)
    })
    .expect("the load reaches all");
    for vm in &all {
        assert!(network.proxy(*vm).silence() > 0, "flows to vm-{vm} go silent");
        thread::sleep(Duration::from_millis(700));
    }
    let keys: Vec<String> =
        (1..=recovery::KEY_COUNT).map(|number| format!("key-{number}")).collect();
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, Instant::now());
    println!("silent connections: all keys answered after {took:?}");
    let figures = load.join().expect("the load ends");
    recovery::assert_consistent(&cluster.runs(), &figures);
    assert_all_answered(&figures);
}

// Guards against new requests to an upstream that announced its leave, and against lost answers
// meanwhile.
#[test]
fn a_leaving_server_gets_no_new_work() {
    let cluster = start_cluster(5, 0);
    let victim = 1;
    let keys = recovery::owned_keys(&cluster, victim, 0);
    let all = recovery::entry_addresses(&cluster, &[0, 1, 2, 3, 4]);
    let load = recovery::spawn_load(recovery::mixed_load(all, 63, 9000));
    let upstream = cluster.vms[victim].upstream.as_ref().expect("an upstream").handle();
    wait_until("the victim serves", RECOVERY_TIMEOUT, || upstream.records().len() > 20)
        .expect("the load reaches the victim");
    let start = Instant::now();
    upstream.set(&UpstreamControl { draining: Some(true), ..UpstreamControl::default() });
    let name = cluster.vms[victim].options.vm.clone();
    wait_until("the keys are elsewhere", RECOVERY_TIMEOUT, || {
        let owner = |key: &String| cluster.owner(0, CONTRACTS, key);
        keys.iter().all(|key| owner(key).is_some_and(|owner| owner != name))
    })
    .expect("the keys pass to others");
    println!("leaving server: keys elsewhere after {:?}", start.elapsed());
    thread::sleep(LEAVE_TIME.saturating_sub(start.elapsed()));
    let count = upstream.records().len();
    let figures = load.join().expect("the load ends");
    assert_eq!(upstream.records().len(), count, "new work after {LEAVE_TIME:?}");
    recovery::assert_consistent(&cluster.runs(), &figures);
    assert_all_answered(&figures);
    let unknown = figures.told.get(&Verdict::Unknown);
    assert_eq!(unknown, None, "a planned end loses no answer");
}

// Guards against keys that stay with a member whose upstream process is gone while the daemon
// lives.
#[test]
fn keys_of_a_lost_server_pass_to_others() {
    let cluster = start_cluster(5, 0);
    let victim = 0;
    let keys = recovery::owned_keys(&cluster, victim, 1);
    let all = recovery::entry_addresses(&cluster, &[0, 1, 2, 3, 4]);
    let load = recovery::spawn_load(recovery::mixed_load(all, 64, 7000));
    wait_until("the victim serves", RECOVERY_TIMEOUT, || cluster.vms[victim].runs().len() > 20)
        .expect("the load reaches the victim");
    let start = Instant::now();
    cluster.vms[victim].upstream.as_ref().expect("an upstream").stop();
    let took = recovery::wait_until_served(cluster.vms[victim].http, &keys, start);
    println!("lost server: {} keys served again after {took:?}", keys.len());
    let figures = load.join().expect("the load ends");
    recovery::assert_consistent(&cluster.runs(), &figures);
    assert_all_answered(&figures);
}

/// Asserts that every attempt got a response within the client timeout, twice the deadline.
fn assert_all_answered(figures: &LoadFigures) {
    let silent: Vec<&str> = figures
        .sent
        .iter()
        .filter(|sent| sent.tries.contains(&Verdict::Nothing))
        .map(|sent| sent.tag.as_str())
        .collect();
    assert!(silent.is_empty(), "no answer to {silent:?}");
}
