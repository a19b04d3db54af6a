//! Answers of upstreams that are lost, truncated, late or out of order, with real processes.

mod common;

use std::thread;
use std::time::Duration;

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{
    Ask, Cluster, LoadClass, LoadOptions, UpstreamControl, Verdict, ask, check_records, run_load,
};

use common::classes::{
    WAIT_TIMEOUT, class_load, control_upstream, limited_upstreams, owner_index, run_count,
    run_loads, start_pooled, sync_standbys,
};
use common::{recovery, start_cluster};

fn sign<'a>(path: &'a str, key: &'a str) -> Ask<'a> {
    Ask { method: "POST", path, key, body: "signature", ..Ask::default() }
}

/// Asserts that every entry answers `unknown` to a repeated request, and that it ran once.
fn assert_stays_unknown(cluster: &Cluster, request: &Ask<'_>) {
    for vm in &cluster.vms {
        let reply = ask(vm.http, request).expect("an answer");
        assert_eq!((reply.verdict.as_str(), reply.status), ("unknown", 502), "{reply:?}");
    }
    assert_eq!(run_count(cluster, request.path), 1, "{} ran again", request.path);
}

// Guards against a second run of an at-most-once request whose answer was lost, at whatever entry
// it is repeated, and against a verdict that comes only at the deadline.
#[test]
fn a_signature_whose_answer_is_lost_stays_unknown() {
    let cluster = start_cluster(3, 0);
    sync_standbys(&cluster, &["s1".into(), "s2".into()]);
    for (number, cut) in [(1, false), (2, true)] {
        let (path, key) = (format!("/contracts/s{number}"), format!("lost-{number}"));
        let server = owner_index(&cluster, &format!("s{number}"));
        let (lose, cut) = if cut { (None, Some(1)) } else { (Some(1), None) };
        let faults = UpstreamControl { lose, cut, ..UpstreamControl::default() };
        control_upstream(&cluster, server, &faults);
        let request = sign(&path, &key);
        let reply = ask(cluster.vms[0].http, &request).expect("an answer");
        assert_eq!(reply.verdict, "unknown", "{reply:?}");
        assert!(reply.took < Duration::from_millis(1500), "half of the deadline: {reply:?}");
        assert_stays_unknown(&cluster, &request);
    }
}

// Guards against idempotent requests that fail because their answer is lost or truncated: the entry
// retries them.
#[test]
fn a_look_whose_answer_is_lost_or_cut_is_answered() {
    let cluster = start_cluster(3, 0);
    for (number, cut) in [(1, false), (2, true)] {
        let path = format!("/contracts/l{number}");
        let server = owner_index(&cluster, &format!("l{number}"));
        let (lose, cut) = if cut { (None, Some(1)) } else { (Some(1), None) };
        let faults = UpstreamControl { lose, cut, ..UpstreamControl::default() };
        control_upstream(&cluster, server, &faults);
        let request = Ask { path: &path, ..Ask::default() };
        let reply = ask(cluster.vms[0].http, &request).expect("an answer");
        assert_eq!(reply.verdict, "answered", "{reply:?}");
        assert!(reply.body.contains(&path), "{reply:?}");
        assert_eq!(run_count(&cluster, &path), 2, "the first run and the one retry");
    }
}

// Guards against retry amplification: with every answer lost, the retry budgets bound the runs.
#[test]
fn lost_answers_do_not_multiply_the_work() {
    let cluster = start_cluster(3, 0);
    for vm in 0..3 {
        let faults = UpstreamControl { lose: Some(1_000_000), ..UpstreamControl::default() };
        control_upstream(&cluster, vm, &faults);
    }
    let class = LoadClass { path: recovery::key_path("{key}"), ..LoadClass::default() };
    let load = LoadOptions {
        entries: recovery::entry_addresses(&cluster, &[0, 1, 2]),
        threads: 16,
        duration: 4000,
        rate: 200.0,
        seed: 21,
        classes: vec![class],
        ..LoadOptions::default()
    };
    let figures = run_load(&load).expect("the load runs");
    let (sent, runs) = (figures.sent.len(), cluster.runs().len());
    println!("{sent} requests, {runs} runs, told {:?}", figures.told);
    // Each of the three entries has an initial budget of 20 retries and one more per ten requests.
    assert!(runs <= sent + sent / 5 + 3 * 25, "{sent} requests ran {runs} times");
    assert_eq!(figures.told.get(&Verdict::Unknown), Some(&(sent as u64)), "{:?}", figures.told);
}

// Guards against a late or truncated answer that is taken for the answer of another request on the
// same connection, and against a second run of at-most-once requests.
#[test]
fn nobody_gets_the_answer_of_another() {
    let cluster = start_cluster(3, 0);
    let keys: Vec<String> =
        (1..=recovery::KEY_COUNT).map(|number| format!("key-{number}")).collect();
    sync_standbys(&cluster, &keys);
    let mut options =
        recovery::mixed_load(recovery::entry_addresses(&cluster, &[0, 1, 2]), 31, 5000);
    options.threads = 24;
    options.rate = 240.0;
    for class in &mut options.classes {
        class.deadline = 250;
    }
    let load = recovery::spawn_load(options);
    while !load.is_finished() {
        for vm in 0..3 {
            let faults = UpstreamControl {
                late: Some(2),
                lateness: Some(300),
                cut: Some(1),
                lose: Some(1),
                ..UpstreamControl::default()
            };
            control_upstream(&cluster, vm, &faults);
        }
        thread::sleep(Duration::from_millis(300));
    }
    let figures = load.join().expect("the load ends");
    let told = |told| figures.told.get(&told).copied().unwrap_or(0);
    assert_eq!((told(Verdict::Wrong), told(Verdict::Nothing)), (0, 0), "{:?}", figures.told);
    assert!(told(Verdict::Unknown) > 0, "no answer was late");
    assert!(told(Verdict::Answered) > 200, "{:?}", figures.told);
    recovery::assert_consistent(&cluster.runs(), &figures);
}

// Guards against a second run when the entry is killed during an at-most-once request and the
// caller repeats it at another entry.
#[test]
fn an_entry_that_dies_leaves_one_run() {
    let mut cluster = start_cluster(4, 0);
    let (path, key) = ("/contracts/e1", "entry-1");
    sync_standbys(&cluster, &["e1".into()]);
    let server = owner_index(&cluster, "e1");
    let costs = [("/contracts/e1".into(), 700.0)].into();
    control_upstream(
        &cluster,
        server,
        &UpstreamControl { costs: Some(costs), ..Default::default() },
    );
    let entry = (server + 1) % 4;
    let first = cluster.vms[entry].http;
    let caller = thread::spawn(move || ask(first, &sign(path, key)));
    wait_until("the contract is being signed", WAIT_TIMEOUT, || run_count(&cluster, path) == 1)
        .expect("the request runs");
    cluster.vms[entry].process.kill();
    assert!(caller.join().expect("the caller ends").is_err(), "the entry is gone");
    let other = cluster.vms[(server + 2) % 4].http;
    let reply = ask(other, &sign(path, key)).expect("an answer");
    assert!(["answered", "unknown"].contains(&reply.verdict.as_str()), "{reply:?}");
    assert!(reply.verdict != "answered" || reply.body.contains(path), "{reply:?}");
    let again = ask(cluster.vms[server].http, &sign(path, key)).expect("an answer");
    assert_eq!(again.verdict, reply.verdict, "{again:?}");
    assert_eq!(run_count(&cluster, path), 1, "signed a second time");
}

// Guards against the verdict `not-run` for a request that ran at one pool member, lost its answer,
// and was then refused by another member.
#[test]
fn a_pool_does_not_deny_what_may_have_run() {
    let cluster = start_pooled(limited_upstreams(20, 1), 3, "");
    let lose = Some(1_000_000);
    control_upstream(&cluster, 0, &UpstreamControl { lose, ..UpstreamControl::default() });
    control_upstream(
        &cluster,
        1,
        &UpstreamControl { shed: Some(true), ..UpstreamControl::default() },
    );
    control_upstream(
        &cluster,
        2,
        &UpstreamControl { shed: Some(true), ..UpstreamControl::default() },
    );
    let mut load = class_load(&cluster, "query", "/quality-lab/query", 100.0, 25);
    load.duration = 2500;
    let figures = run_loads(&[load]).remove(0);
    println!("told {:?}, reasons {:?}", figures.told, figures.reasons);
    let report = check_records(&cluster.runs(), &figures.sent);
    assert!(report.clean(), "{report:#?}");
    assert_eq!(figures.told.get(&Verdict::Answered), None);
}
