//! Servers and connections that go silent, and servers that leave, with real processes.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{ClusterOptions, LoadFigures, Told, UpstreamControl, UpstreamOptions};

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, options, start_cluster, start_cluster_with, start_proxied, vm_options};

/// Time after which a server that has left gets nothing more; a few seconds.
const LEAVE_TIME: Duration = Duration::from_secs(6);

// The server beside a daemon freezes: it answers nothing, announces nothing, and its connections
// stay open. Callers are answered or refused within their deadline. The daemon takes it for lost
// and gives its keys away. Then the server goes on with all that waited in it, and runs none of it:
// it checks the fence as a run begins, and as it ends for the run in which it froze.
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

// A network device forgets its flows: the connections between members are open at both ends and
// nothing passes on them any more, while new connections from new ports work. Callers see answers
// within their deadline, and none of their requests runs twice.
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

// A server announces that it is leaving. Its daemon gives its keys to others, and after a few
// seconds it gets nothing new, while its callers are served elsewhere.
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
    let unknown = figures.told.get(&Told::Unknown);
    assert_eq!(unknown, None, "a planned end loses no answer");
}

// The server process beside a daemon is lost, the daemon is not. Connections to it are refused, it
// announces nothing more, and its keys pass to others.
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

/// Asserts that every try had an answer of the system: the caller's patience is twice the deadline.
fn assert_all_answered(figures: &LoadFigures) {
    let silent: Vec<&str> = figures
        .sent
        .iter()
        .filter(|sent| sent.tries.contains(&Told::Nothing))
        .map(|sent| sent.tag.as_str())
        .collect();
    assert!(silent.is_empty(), "no answer to {silent:?}");
}
