//! At-most-once requests across the loss of their owner, with real processes.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Ask, Reply, UpstreamControl, ask};

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::start_cluster;

/// Service time of a signature, above its deadline, so that none is answered.
const SIGN_SERVICE_MS: f64 = 10_000.0;

// Guards against a second run of a request that was in flight when its owner died and is repeated
// with the same idempotency key: the standby answers `unknown`, and runs only new requests.
#[test]
fn signatures_in_flight_at_a_killed_member_run_once() {
    let mut cluster = start_cluster(5, 0);
    let victim = 2;
    let keys = recovery::owned_keys(&cluster, victim, 0);
    let (first, second) = (cluster.vms[0].http, cluster.vms[1].http);
    for key in &keys {
        // The standby is synchronised once a signature runs.
        sign_until(first, key, "before", &["answered"]);
    }
    let before = cluster.vms[victim].runs().len();
    let upstream = cluster.vms[victim].upstream.as_ref().expect("an upstream").handle();
    upstream.set(&UpstreamControl { service: Some(SIGN_SERVICE_MS), ..UpstreamControl::default() });
    let callers: Vec<_> = keys
        .iter()
        .cloned()
        .map(|key| thread::spawn(move || sign(first, &key, "in-flight")))
        .collect();
    wait_until("signatures run", RECOVERY_TIMEOUT, || {
        cluster.vms[victim].runs().len() == before + keys.len()
    })
    .expect("all signatures run at the victim");
    cluster.kill(victim);
    let told: Vec<Option<Reply>> =
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect();
    for (key, told) in keys.iter().zip(&told) {
        let again = sign_until(second, key, "in-flight", &["answered", "unknown"]);
        println!("{key}: told {:?}, then {:?}", told.as_ref().map(|r| &r.verdict), again.verdict);
        assert_eq!(again.verdict, "unknown", "{key}: {again:?}");
        let repeated = sign_until(second, key, "before", &["answered", "unknown"]);
        assert_eq!(repeated.verdict, "answered", "{key}: {repeated:?}");
        let fresh = sign_until(second, key, "after", &["answered", "unknown"]);
        assert_eq!(fresh.verdict, "answered", "{key}: {fresh:?}");
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in cluster.runs() {
        *runs.entry(run.request).or_default() += 1;
    }
    assert_eq!(runs.len(), keys.len() * 3, "each of the three signatures of a key ran");
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

fn sign(entry: SocketAddr, key: &str, name: &str) -> Option<Reply> {
    let (path, name) = (recovery::key_path(key), format!("{key}-{name}"));
    let request = Ask { method: "POST", path: &path, key: &name, body: "signed", ..Ask::default() };
    ask(entry, &request).ok()
}

/// Repeats a signature until it gets one of the verdicts.
fn sign_until(entry: SocketAddr, key: &str, name: &str, verdicts: &[&str]) -> Reply {
    let start = Instant::now();
    loop {
        if let Some(reply) = sign(entry, key, name)
            && verdicts.contains(&reply.verdict.as_str())
        {
            return reply;
        }
        assert!(start.elapsed() < RECOVERY_TIMEOUT, "{key} {name}: not told any of {verdicts:?}");
        thread::sleep(Duration::from_millis(20));
    }
}
