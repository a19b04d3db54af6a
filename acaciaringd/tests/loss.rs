//! Takeover of the keys of a killed member, with real processes.

mod common;

use std::time::Instant;

use acaciaring_testing::harness::wait_until;

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, start_cluster};

// Guards against keys that stay unserved after their owner was killed, against two owners at once,
// and against a second run of a request that was in flight.
#[test]
fn keys_of_a_killed_member_are_served_again() {
    let mut cluster = start_cluster(5, 0);
    let victim = 3;
    let keys = recovery::owned_keys(&cluster, victim, 0);
    let live = recovery::entry_addresses(&cluster, &[0, 1, 2, 4]);
    let load = recovery::spawn_load(recovery::mixed_load(live, 11, 7000));
    wait_until("the victim serves", RECOVERY_TIMEOUT, || cluster.vms[victim].runs().len() > 20)
        .expect("the load reaches the victim");
    let start = Instant::now();
    cluster.kill(victim);
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, start);
    println!("kill: {} keys served again after {took:?}", keys.len());
    let figures = load.join().expect("the load ends");
    let name = cluster.vms[victim].options.vm.clone();
    for key in &keys {
        let owner = cluster.owner(0, CONTRACTS, key);
        assert_ne!(owner.as_deref(), Some(name.as_str()), "{key}");
    }
    recovery::assert_consistent(&cluster.runs(), &figures);
}
