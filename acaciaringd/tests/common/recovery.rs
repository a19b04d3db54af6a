//! Load, waits and checks for tests in which a cluster fails and recovers.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use acaciaring_testing::{
    Ask, Cluster, LoadClass, LoadFigures, LoadOptions, Run, ask, check_records, check_tokens,
    run_load,
};

use super::CONTRACTS;

/// Upper bound on the time until the keys of a lost member are served again; not a target.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Count of keys of a load: `key-1` to `key-{KEY_COUNT}`.
pub const KEY_COUNT: u64 = 40;

/// Request path of a key.
pub fn key_path(key: &str) -> String {
    format!("/contracts/{key}")
}

/// Keys of the load that `vm` owns, as the VM `seen` reports it.
pub fn owned_keys(cluster: &Cluster, vm: usize, seen: usize) -> Vec<String> {
    let name = &cluster.vms[vm].options.vm;
    let keys = (1..=KEY_COUNT).map(|number| format!("key-{number}"));
    let keys: Vec<String> =
        keys.filter(|key| cluster.owner(seen, CONTRACTS, key).as_deref() == Some(name)).collect();
    assert!(!keys.is_empty(), "{name} owns no key of the load");
    keys
}

/// Addresses of the entries of these VMs.
pub fn entry_addresses(cluster: &Cluster, vms: &[usize]) -> Vec<SocketAddr> {
    vms.iter().map(|vm| cluster.vms[*vm].http).collect()
}

/// Load of reads and of requests that may run at most once, over all keys; duration in ms.
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

/// Runs a load on a thread of its own.
pub fn spawn_load(options: LoadOptions) -> JoinHandle<LoadFigures> {
    thread::spawn(move || run_load(&options).expect("the load runs"))
}

/// Requests each key until it is answered; returns the time from `since` to the last first answer.
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

/// Asserts that the verdicts a load received match the upstreams' records, and that no request ran
/// under an outdated token.
pub fn assert_consistent(runs: &[Run], figures: &LoadFigures) {
    let report = check_records(runs, &figures.sent);
    println!("told {:?}, matched {}, reasons {:?}", figures.told, report.matched, figures.reasons);
    assert!(report.clean(), "{report:#?}");
    let stale = check_tokens(runs);
    assert!(stale.is_empty(), "ran under an old token: {stale:#?}");
}
