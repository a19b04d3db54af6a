//! Losses of a data centre and of a whole place, with real processes.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Ask, ask, ask_until_answered};
use serde_json::Value;

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, start_cluster};

/// Time without a lease after which a member gives up by the default settings.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(30);

/// Bound on the time until a place that started again serves.
const RESTART_TIMEOUT: Duration = Duration::from_mins(1);

// A data centre goes with two of eight VMs. No member had two lessors there, so the others keep
// their leases, vote on both, and every key of the two is served again by members elsewhere.
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

// Two VMs are lost at the same moment, and both were lessors of a third one, which can neither renew its
// lease nor exchange them. Its keys are served again soon after the log says that the two are lost: the
// third one begins anew, long before it would give up hope.
#[test]
fn a_member_that_lost_two_lessors_at_once_serves_again_soon() {
    let mut cluster = start_cluster(8, 0);
    let lessors = |vm: usize| -> Vec<usize> {
        let status = cluster.admin(0, "/v1/members").unwrap_or_default();
        let rows = status["members"].as_array().cloned().unwrap_or_default();
        let place =
            |id: &Value| rows.iter().find(|row| row["member"] == *id)?["vm"].as_str().map(vm_of);
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
    // Its lease is over before its keys count as served again.
    thread::sleep(Duration::from_secs(2));
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, Instant::now());
    println!("two lessors lost: {} keys served again after {took:?}", keys.len());
    assert!(took < ABANDON_TIMEOUT / 2, "{took:?}");
}

fn vm_of(name: &str) -> usize {
    name.trim_start_matches("vm-").parse().expect("a number")
}

// A place loses power: all VMs are gone at once, and later they start again under their names and
// addresses. Nobody is left who granted a lease to a former member or could vote on it; the new
// processes on their addresses succeed them. A signature that ran before the loss is not run again:
// its memory went with the VMs, so the answer is unknown.
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
    println!("place: served again {:?} after the start", start.elapsed());
    let again = ask(cluster.vms[0].http, &sign).expect("an answer");
    assert_ne!(again.verdict, "answered", "{again:?}");
    let runs = cluster.runs();
    let signed = runs.iter().filter(|run| run.path == "/contracts/k1" && run.method == "POST");
    assert_eq!(signed.count(), 1, "the signature ran once");
}
