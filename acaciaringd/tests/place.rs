//! Losses of a data centre, of several lessors and of all VMs, with real processes.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Ask, ask, ask_until_answered};
use serde_json::Value;

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, start_cluster};

/// Default time without a lease after which a member gives up its identity and joins anew.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper bound on the time until a cluster serves again after the loss of all VMs.
const RESTART_TIMEOUT: Duration = Duration::from_mins(1);

// Guards against keys that stay unserved after the loss of a data centre: no member has two lessors
// in one, so the others keep their leases, vote on the lost members and take over.
#[test]
fn a_lost_data_centre_is_taken_over() {
    let mut cluster = start_cluster(8, 0);
    let lost = [0, 4];
    let centre = |vm: usize| cluster.vms[vm].options.data_centre.clone();
    assert_eq!(centre(lost[0]), centre(lost[1]));
    let keys: Vec<String> =
        lost.iter().flat_map(|vm| recovery::owned_keys(&cluster, *vm, 1)).collect();
    let start = Instant::now();
    for vm in lost {
        cluster.kill(vm);
    }
    let took = recovery::wait_until_served(cluster.vms[1].http, &keys, start);
    println!("data centre: {} keys served again after {took:?}", keys.len());
    let lost = ["vm-0", "vm-4"].map(Some);
    wait_until("the log names other owners", RECOVERY_TIMEOUT, || {
        let owner = |key: &String| cluster.owner(1, CONTRACTS, key);
        keys.iter().all(|key| !lost.contains(&owner(key).as_deref()))
    })
    .expect("the evictions are recorded");
}

// Guards against a member that can neither renew its lease nor replace its lessors because two are
// lost at once: it must join anew when their loss is recorded, not after the abandon time.
#[test]
fn a_member_that_lost_two_lessors_at_once_serves_again_soon() {
    let mut cluster = start_cluster(8, 0);
    let lessors = |vm: usize| -> Vec<usize> {
        let status = cluster.admin(0, "/v1/members").unwrap_or_default();
        let rows = status["members"].as_array().cloned().unwrap_or_default();
        let place =
            |id: &Value| rows.iter().find(|row| row["member"] == *id)?["vm"].as_str().map(vm_index);
        let row = rows.iter().find(|row| row["vm"] == format!("vm-{vm}"));
        let ids = row.and_then(|row| row["lessors"].as_array().cloned()).unwrap_or_default();
        ids.iter().filter_map(place).collect()
    };
    let left = 7;
    let lost: Vec<usize> = lessors(left).into_iter().filter(|vm| *vm != 0).take(2).collect();
    assert_eq!(lost.len(), 2, "{lost:?}");
    let keys = recovery::owned_keys(&cluster, left, 1);
    for vm in &lost {
        cluster.kill(*vm);
    }
    // Lets the lease expire first, so that answers under the old lease do not count.
    thread::sleep(Duration::from_secs(2));
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, Instant::now());
    println!("two lessors lost: {} keys served again after {took:?}", keys.len());
    assert!(took < ABANDON_TIMEOUT / 2, "{took:?}");
}

fn vm_index(name: &str) -> usize {
    name.trim_start_matches("vm-").parse().expect("a number")
}

// Guards against a cluster that cannot recover when all VMs restart and no lessor is left to vote,
// and against a second run of an at-most-once request from before the loss.
#[test]
fn a_place_that_lost_all_its_vms_serves_again() {
    let mut cluster = start_cluster(5, 0);
    let sign = Ask { method: "POST", path: "/contracts/k1", key: "sign-1", ..Ask::default() };
    let reply =
        ask_until_answered(cluster.vms[0].http, &sign, RECOVERY_TIMEOUT).expect("an answer");
    assert_eq!(reply.verdict, "answered", "{reply:?}");
    let all: Vec<usize> = (0..cluster.vms.len()).collect();
    for vm in &all {
        cluster.kill(*vm);
    }
    for vm in &all {
        let peer = cluster.vms[*vm].peer;
        cluster.vms[*vm].options.peer = Some(peer);
        cluster.replace(*vm).expect("the VM starts again");
    }
    let read = Ask { path: "/contracts/k1", ..Ask::default() };
    let start = Instant::now();
    let reply = ask_until_answered(cluster.vms[0].http, &read, RESTART_TIMEOUT).expect("an answer");
    assert_eq!(reply.verdict, "answered", "{reply:?}");
    println!("all VMs lost: served again {:?} after the start", start.elapsed());
    let again = ask(cluster.vms[0].http, &sign).expect("an answer");
    assert_ne!(again.verdict, "answered", "{again:?}");
    let runs = cluster.runs();
    let signed = runs.iter().filter(|run| run.path == "/contracts/k1" && run.method == "POST");
    assert_eq!(signed.count(), 1, "the signature ran once");
}
