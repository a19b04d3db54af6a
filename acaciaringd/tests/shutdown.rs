//! Planned stops of members under load, with real processes.

mod common;

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{
    Ask, ClusterOptions, LoadFigures, LogControl, Run, UpstreamControl, UpstreamOptions, Verdict,
    ask,
};

use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{options, start_cluster_with};

/// Path suffix of requests that run long.
const SLOW_SUFFIX: &str = "/long";

/// Upper bound on the exit of a process after SIGTERM, above its own drain timeout.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

// Guards against a planned stop under load that loses an answer, yields `unknown`, or lets the new
// owner run requests beside the former one.
#[test]
fn a_planned_stop_cuts_nothing_off() {
    check_planned_stop(51, false);
}

// Guards against the same faults while the log is down: the stop cannot be recorded, so the member
// releases its units to the standbys directly.
#[test]
fn a_planned_stop_cuts_nothing_off_while_the_log_is_down() {
    check_planned_stop(52, true);
}

fn check_planned_stop(seed: u64, outage: bool) {
    // Keeps requests in flight at any time of the stop.
    let service = Duration::from_millis(30);
    let upstream = UpstreamOptions { service, ..UpstreamOptions::default() };
    let mut cluster = start_cluster_with(ClusterOptions { upstream, ..options() }, 5, 0);
    let victim = 1;
    let keys = recovery::owned_keys(&cluster, victim, 0);
    let others = recovery::entry_addresses(&cluster, &[0, 2, 3, 4]);
    let load = recovery::spawn_load(recovery::mixed_load(others, seed, 8000));
    let own = recovery::entry_addresses(&cluster, &[victim]);
    let at_victim = acaciaring_testing::LoadOptions {
        tries: 1,
        threads: 4,
        ..recovery::mixed_load(own, seed + 100, 8000)
    };
    let at_victim = recovery::spawn_load(at_victim);
    wait_until("the victim serves", RECOVERY_TIMEOUT, || cluster.vms[victim].runs().len() > 20)
        .expect("the load reaches the victim");
    let control = LogControl { outage: Some(outage), ..LogControl::default() };
    cluster.log.handle().set(&control);
    let server = cluster.vms[victim].upstream.as_ref().expect("an upstream").handle();
    let costs = [(SLOW_SUFFIX.to_owned(), 1000.0)].into();
    server.set(&UpstreamControl { costs: Some(costs), ..UpstreamControl::default() });
    let entry = cluster.vms[0].http;
    let start;
    let callers;
    if outage {
        // The release of the units begins two seconds after the stop, while the slow requests run.
        start = Instant::now();
        cluster.vms[victim].process.term();
        thread::sleep(Duration::from_millis(1400));
        callers = send_slow(entry, &keys);
    } else {
        callers = send_slow(entry, &keys);
        wait_until("the long requests run", RECOVERY_TIMEOUT, || {
            slow_count(&server.records()) == keys.len()
        })
        .expect("all of them run");
        start = Instant::now();
        cluster.vms[victim].process.term();
    }
    let status = cluster.vms[victim].process.wait(EXIT_TIMEOUT).expect("the process ends");
    let ended = start.elapsed();
    let took = recovery::wait_until_served(cluster.vms[0].http, &keys, start);
    println!(
        "stop, log down {outage}: ended after {ended:?}, keys at the new owners after {took:?}"
    );
    let (figures, own) = (load.join().expect("it ends"), at_victim.join().expect("it ends"));
    let runs = cluster.runs();
    recovery::assert_consistent(&runs, &figures);
    recovery::assert_consistent(&runs, &own);
    assert_eq!(status.code(), Some(0), "exit code");
    let verdicts: Vec<String> =
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect();
    println!("long requests: {} ran, told {verdicts:?}", slow_count(&server.records()));
    assert!(!verdicts.iter().any(|verdict| verdict == "unknown"), "{verdicts:?}");
    assert_eq!(overlaps(&runs), Vec::<(Run, Run)>::new(), "ran beside the former owner");
    assert_eq!(cut_off(&runs, &figures), Vec::<String>::new(), "at other entries");
    assert_eq!(cut_off(&runs, &own), Vec::<String>::new(), "at the entry that stopped");
}

/// Sends a slow request for each key of the member that stops.
fn send_slow(entry: SocketAddr, keys: &[String]) -> Vec<JoinHandle<String>> {
    let call = |key: &String| {
        let path = format!("{}{SLOW_SUFFIX}", recovery::key_path(key));
        thread::spawn(move || {
            let reply = ask(entry, &Ask { path: &path, ..Ask::default() });
            reply.map(|reply| reply.verdict).unwrap_or_default()
        })
    };
    keys.iter().map(call).collect()
}

/// Count of slow requests that have started.
fn slow_count(runs: &[Run]) -> usize {
    runs.iter().filter(|run| run.path.ends_with(SLOW_SUFFIX)).count()
}

/// Runs that began at another upstream while a slow run on the same slot was in progress.
fn overlaps(runs: &[Run]) -> Vec<(Run, Run)> {
    let long = runs.iter().filter(|run| run.path.ends_with(SLOW_SUFFIX));
    let pairs = long.flat_map(|long| runs.iter().map(move |run| (long, run)));
    let beside = |(long, run): &(&Run, &Run)| {
        run.slot == long.slot
            && run.upstream != long.upstream
            && (long.start..long.end).contains(&run.start)
    };
    pairs.filter(beside).map(|(long, run)| (long.clone(), run.clone())).collect()
}

/// Attempts that ran without an answer to the caller, or whose verdict was `unknown`.
fn cut_off(runs: &[Run], figures: &LoadFigures) -> Vec<String> {
    let mut found = Vec::new();
    for sent in &figures.sent {
        for (number, told) in sent.tries.iter().enumerate() {
            let tag = format!("{}.{number}", sent.tag);
            let reason = sent.reason.clone().unwrap_or_default();
            match told {
                Verdict::Unknown => found.push(format!("{tag} unknown {reason}")),
                Verdict::Nothing if runs.iter().any(|run| run.tag == tag) => {
                    found.push(format!("{tag} ran and had no answer"));
                }
                Verdict::Nothing | Verdict::Answered | Verdict::NotRun | Verdict::Wrong => {}
            }
        }
    }
    found
}
