//! Keys with far more load than others, with real processes.

mod common;

use std::collections::BTreeMap;
use std::thread::{self, JoinHandle};

use acaciaring_testing::{
    Ask, Cluster, LoadClass, LoadFigures, Run, UpstreamControl, ask, run_load,
};

use common::classes::{class_load, control_upstream, limited_upstreams, start_keyed};
use common::recovery;

/// Path of the hot key, which gets half of all requests.
const HOT_PATH: &str = "/contracts/sign/month-end";

fn hot_runs(cluster: &Cluster) -> Vec<Run> {
    let mut runs = cluster.runs();
    runs.retain(|run| run.path.starts_with(HOT_PATH));
    runs.sort_by_key(|run| run.start);
    runs
}

/// Runs of the busiest upstream relative to the mean, from `start` to `end`.
fn imbalance(runs: &[Run], start: u64, end: u64) -> f64 {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for run in runs.iter().filter(|run| (start..end).contains(&run.start)) {
        *counts.entry(&run.upstream).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    f64::from(most) * 4.0 / f64::from(counts.values().sum::<u32>().max(1))
}

/// Pairs of runs that overlapped in time at different upstreams.
fn overlaps(runs: &[Run]) -> Vec<(&Run, &Run)> {
    let pairs = runs.iter().enumerate().flat_map(|(place, first)| {
        runs[place + 1..]
            .iter()
            .take_while(|run| run.start < first.end)
            .map(move |run| (first, run))
    });
    pairs.filter(|(first, second)| first.upstream != second.upstream).collect()
}

/// Sends slow signatures, one after the other, until the load has ended.
fn sign_slowly(cluster: &Cluster, load: &JoinHandle<LoadFigures>) {
    for vm in 0..cluster.vms.len() {
        let costs = Some([("?long".into(), 1500.0)].into());
        control_upstream(cluster, vm, &UpstreamControl { costs, ..UpstreamControl::default() });
    }
    let path = format!("{HOT_PATH}?long");
    while !load.is_finished() {
        // The verdict does not matter: the run only has to overlap the move.
        let request = Ask { method: "POST", path: &path, body: "slow", ..Ask::default() };
        let _ = ask(cluster.vms[0].http, &request);
    }
}

// Guards against a hot key that stays in its slot with the other keys of its owner, and against
// second runs, outdated tokens or two owners at once while key and units move.
#[test]
fn a_hot_key_is_split_out_and_moved() {
    let cluster =
        start_keyed(limited_upstreams(20, 2), 4, "[balance]\ninterval = 200ms\nmoves = 600\n");
    let mut load = class_load(&cluster, "read", "/contracts/query/{key}", 300.0, 101);
    let sign = LoadClass {
        name: "sign".into(),
        method: "POST".into(),
        path: HOT_PATH.into(),
        once: true,
        body: 64,
        ..LoadClass::default()
    };
    load.classes.push(sign);
    load.duration = 11_000;
    load.tries = 4;
    let load = thread::spawn(move || run_load(&load).expect("the load runs"));
    let split = |run: &Run| run.slot.contains('.');
    sign_slowly(&cluster, &load);
    let found = hot_runs(&cluster).iter().any(split);
    let figures = load.join().expect("the load ends");
    assert!(found, "the key is not split out");
    let runs = hot_runs(&cluster);
    let mut servers: Vec<&str> = runs.iter().map(|run| run.upstream.as_str()).collect();
    servers.dedup();
    let (start, end) = (runs[0].start, runs[runs.len() - 1].start);
    let all = cluster.runs();
    let before = imbalance(&all, start, start + 2_000_000);
    let after = imbalance(&all, end - 2_000_000, end);
    println!("served by {servers:?}, imbalance {before:.2} then {after:.2}, {:?}", figures.classes);
    assert!(after < before, "the fullest server had {before} times the mean, then {after}");
    assert_eq!(overlaps(&runs), [], "two servers at once");
    assert!(servers.len() > 1, "the key did not move");
    recovery::assert_consistent(&all, &figures);
}
