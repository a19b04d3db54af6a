//! Network partitions of members and regions, with real processes behind proxies.
//!
//! The proxies drop datagrams between members, by direction, and the connection of a member to the
//! log. Callers still reach every entry, and each upstream its own member.

mod common;

use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Ask, Cluster, Network, VmOptions, ask, ask_until_answered};
use serde_json::Value;

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, options, start_proxied, vm_options};

/// Members of the cluster.
const VM_COUNT: usize = 5;

/// Member that is partitioned.
const VICTIM: usize = 4;

const OTHERS: [usize; 4] = [0, 1, 2, 3];

// Guards against two owners at once when a member loses all other members and the log while callers
// still reach it: its lease must expire before its standbys take over.
#[test]
fn a_member_that_is_cut_off_stops_before_its_keys_are_taken_over() {
    check_cut_off(31, |network, cut| {
        network.partition(&[VICTIM], &OTHERS, cut);
        network.cut_log(VICTIM, cut);
    });
}

// Guards against keys that stay with a member whose outbound packets are lost: its renewals do not
// arrive, so its lessors vote.
#[test]
fn a_member_that_is_not_heard_is_taken_over() {
    check_cut_off(32, |network, cut| {
        for other in OTHERS {
            network.cut(VICTIM, other, cut);
        }
    });
}

// Guards against keys that stay with a member whose inbound packets are lost: its renewals arrive,
// but the grants do not, so its lease ends.
#[test]
fn a_member_that_hears_nothing_is_taken_over() {
    check_cut_off(33, |network, cut| {
        for other in OTHERS {
            network.cut(other, VICTIM, cut);
        }
    });
}

fn check_cut_off(seed: u64, cut: impl Fn(&Network, bool)) {
    let vms = (0..VM_COUNT).map(|number| vm_options(number, CONTRACTS)).collect();
    let (cluster, network) = start_proxied(options(), vms);
    let keys = recovery::owned_keys(&cluster, VICTIM, 0);
    let load = recovery::spawn_load(recovery::mixed_load(
        recovery::entry_addresses(&cluster, &OTHERS),
        seed,
        7000,
    ));
    wait_until("the victim serves", RECOVERY_TIMEOUT, || cluster.vms[VICTIM].runs().len() > 20)
        .expect("the load reaches the victim");
    let start = Instant::now();
    cut(&network, true);
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, start);
    println!("cut {seed}: {} keys served again after {took:?}", keys.len());
    let path = recovery::key_path(&keys[0]);
    let request = Ask { path: &path, ..Ask::default() };
    let reply = ask(cluster.vms[VICTIM].http, &request).expect("an answer");
    println!("at the cut entry: {} {}", reply.verdict, reply.reason);
    cut(&network, false);
    let reply = ask_until_answered(cluster.vms[VICTIM].http, &request, RECOVERY_TIMEOUT)
        .expect("an answer");
    assert_eq!(reply.verdict, "answered", "{reply:?}");
    let figures = load.join().expect("the load ends");
    recovery::assert_consistent(&cluster.runs(), &figures);
}

// Guards against a region that stops serving its own keys when it loses the other region and the
// log: its lessors are local. The keys of the other region must not be answered.
#[test]
fn a_region_that_is_cut_off_serves_on() {
    let free = (0..3).map(|number| vm_options(number, CONTRACTS));
    let centres = ["upington", "kimberley", "de-aar"];
    let north = (3..6).map(|number| VmOptions {
        data_centre: centres[number - 3].into(),
        region: "northern-cape".into(),
        ..vm_options(number, CONTRACTS)
    });
    let (cluster, network) = start_proxied(options(), free.chain(north).collect());
    let (one, other) = ([0, 1, 2], [3, 4, 5]);
    wait_until("each member has its lessors in its region", RECOVERY_TIMEOUT, || {
        lessors_in_region(&cluster)
    })
    .expect("the members choose their lessors anew");
    let keys = [keys_owned_by(&cluster, &one), keys_owned_by(&cluster, &other)];
    assert!(keys.iter().all(|keys| !keys.is_empty()), "both regions own keys");
    network.partition(&one, &other, true);
    for vm in other {
        network.cut_log(vm, true);
    }
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        for (vms, keys) in [one, other].iter().zip(&keys) {
            for (vm, key) in vms.iter().zip(keys) {
                let path = recovery::key_path(key);
                let request = Ask { path: &path, ..Ask::default() };
                let reply = ask(cluster.vms[*vm].http, &request).expect("an answer");
                assert_eq!(reply.verdict, "answered", "{key} at vm-{vm}: {reply:?}");
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let path = recovery::key_path(&keys[0][0]);
    let reply = ask(cluster.vms[other[0]].http, &Ask { path: &path, ..Ask::default() });
    // The verdict is `unknown` if the request was sent on a connection that the partition cut.
    assert_ne!(reply.expect("an answer").verdict, "answered", "a key of the other region");
    network.heal();
    for vm in 0..cluster.vms.len() {
        let all: Vec<String> = keys.iter().flatten().cloned().collect();
        recovery::wait_until_served(cluster.vms[vm].http, &all, Instant::now());
    }
    let stale = acaciaring_testing::check_tokens(&cluster.runs());
    assert!(stale.is_empty(), "{stale:#?}");
}

/// Whether all VMs report that a majority of each member's lessors is in its own region.
fn lessors_in_region(cluster: &Cluster) -> bool {
    (0..cluster.vms.len()).all(|vm| {
        let answer = cluster.admin(vm, "/v1/members").unwrap_or_default();
        let rows = answer["members"].as_array().cloned().unwrap_or_default();
        let region = |id: &Value| {
            rows.iter().find(|row| row["member"] == *id).map(|row| row["region"].clone())
        };
        let has_local_majority = |row: &Value| {
            let lessors = row["lessors"].as_array().cloned().unwrap_or_default();
            let local = lessors.iter().filter(|id| region(id) == Some(row["region"].clone()));
            local.count() > lessors.len() / 2
        };
        rows.len() == cluster.vms.len() && rows.iter().all(has_local_majority)
    })
}

/// Keys of the load that these VMs own.
fn keys_owned_by(cluster: &Cluster, vms: &[usize]) -> Vec<String> {
    let names: Vec<&str> = vms.iter().map(|vm| cluster.vms[*vm].options.vm.as_str()).collect();
    let keys = (1..=recovery::KEY_COUNT).map(|number| format!("key-{number}"));
    keys.filter(|key| {
        cluster.owner(0, CONTRACTS, key).is_some_and(|owner| names.contains(&owner.as_str()))
    })
    .collect()
}
