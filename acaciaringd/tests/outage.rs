//! Takeover during an outage of the log, with real processes.

mod common;

use std::time::Instant;

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Cluster, LogControl};

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, start_cluster};

// Guards against keys that stay unserved when their owner dies during a log outage: the standby
// takes over by the votes of the lessors, and all members agree on the owners after the outage.
#[test]
fn a_standby_takes_over_while_the_log_is_down() {
    let mut cluster = start_cluster(5, 0);
    let (victim, live) = (2, [0, 1, 3, 4]);
    let keys = recovery::owned_keys(&cluster, victim, 0);
    let load = recovery::spawn_load(recovery::mixed_load(
        recovery::entry_addresses(&cluster, &live),
        41,
        8000,
    ));
    wait_until("the victim serves", RECOVERY_TIMEOUT, || cluster.vms[victim].runs().len() > 20)
        .expect("the load reaches the victim");
    set_outage(&cluster, true);
    let start = Instant::now();
    cluster.kill(victim);
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, start);
    println!("kill without log: {} keys served again after {took:?}", keys.len());
    let servers = last_servers(&cluster, &keys);
    let name = cluster.vms[victim].options.vm.clone();
    for key in &keys {
        let owner = cluster.owner(0, CONTRACTS, key);
        assert_eq!(owner.as_deref(), Some(name.as_str()), "{key}: the log was down");
    }
    set_outage(&cluster, false);
    let back = Instant::now();
    wait_until("all agree on the owners", RECOVERY_TIMEOUT, || {
        live.iter().all(|vm| {
            let owners = keys.iter().map(|key| cluster.owner(*vm, CONTRACTS, key));
            owners.eq(servers.iter().map(|server| Some(server.clone())))
        })
    })
    .expect("the records follow");
    println!("all agree {:?} after the log is back", back.elapsed());
    let figures = load.join().expect("the load ends");
    recovery::assert_consistent(&cluster.runs(), &figures);
}

/// Names of the upstreams that ran the last request of each key.
fn last_servers(cluster: &Cluster, keys: &[String]) -> Vec<String> {
    let runs = cluster.runs();
    let last = |key: &String| {
        let path = recovery::key_path(key);
        let runs = runs.iter().filter(|run| run.path == path);
        runs.max_by_key(|run| run.start).expect("a run of the key").upstream.clone()
    };
    keys.iter().map(last).collect()
}

fn set_outage(cluster: &Cluster, outage: bool) {
    let control = LogControl { outage: Some(outage), ..LogControl::default() };
    cluster.log.handle().set(&control);
}
