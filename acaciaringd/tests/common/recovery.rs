//! What a test looks at while a system fails and recovers.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use acaciaring_testing::{
    Ask, Cluster, LoadClass, LoadFigures, LoadOptions, Run, ask, check_records, check_tokens,
    run_load,
};

use super::CONTRACTS;

/// Bound on the time until the keys of a lost member are served again; generous, no verdict on speed.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Keys of a load, see `key` there.
pub const KEY_COUNT: u64 = 40;

/// Path of a key.
pub fn key_path(key: &str) -> String {
    format!("/contracts/{key}")
}

/// Keys of the load that a VM owns, seen from another one.
pub fn owned_keys(cluster: &Cluster, vm: usize, seen: usize) -> Vec<String> {
    let name = &cluster.vms[vm].options.vm;
    let keys = (1..=KEY_COUNT).map(|number| format!("key-{number}"));
    let keys: Vec<String> =
        keys.filter(|key| cluster.owner(seen, CONTRACTS, key).as_deref() == Some(name)).collect();
    assert!(!keys.is_empty(), "{name} owns no key of the load");
    keys
}

/// Entries of VMs.
pub fn entry_addresses(cluster: &Cluster, vms: &[usize]) -> Vec<SocketAddr> {
    vms.iter().map(|vm| cluster.vms[*vm].http).collect()
}

/// Load of reads and of requests that may run once, over all keys.
pub fn mixed_load(entries: Vec<SocketAddr>, seed: u64, duration: u64) -> LoadOptions {
    let read = LoadClass { path: key_path("{key}"), weight: 2, ..LoadClass::default() };
    let sign = LoadClass {
        name: "sign".into(),
        method: "POST".into(),
        once: true,
        weight: 1,
        body: 64,
        ..read.clone()
    };
    LoadOptions {
        entries,
        threads: 8,
        duration,
        rate: 160.0,
        seed,
        keys: KEY_COUNT,
        tries: 4,
        timeout: 6000,
        classes: vec![read, sign],
        ..LoadOptions::default()
    }
}

/// Runs a load beside the test.
pub fn spawn_load(options: LoadOptions) -> JoinHandle<LoadFigures> {
    thread::spawn(move || run_load(&options).expect("the load runs"))
}

/// Asks for each key until it is answered; returns when the last one was, counted from `since`.
pub fn wait_until_served(entry: SocketAddr, keys: &[String], since: Instant) -> Duration {
    let wait = |key: &String| {
        let path = key_path(key);
        let request = Ask { path: &path, ..Ask::default() };
        loop {
            let verdict = ask(entry, &request).map(|reply| reply.verdict).unwrap_or_default();
            if verdict == "answered" {
                return since.elapsed();
            }
            assert!(since.elapsed() < RECOVERY_TIMEOUT, "{key} is not served again: {verdict:?}");
            thread::sleep(Duration::from_millis(10));
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = keys.iter().map(|key| scope.spawn(move || wait(key))).collect();
        let times = threads.into_iter().map(|thread| thread.join().expect("a key is served"));
        times.max().unwrap_or_default()
    })
}

/// Asserts that the upstreams' records show no fault in what a load was told.
pub fn assert_consistent(runs: &[Run], figures: &LoadFigures) {
    let report = check_records(runs, &figures.sent);
    println!("told {:?}, matched {}, reasons {:?}", figures.told, report.matched, figures.reasons);
    assert!(report.clean(), "{report:#?}");
    let stale = check_tokens(runs);
    assert!(stale.is_empty(), "ran under an old token: {stale:#?}");
}
