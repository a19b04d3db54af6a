//! Metrics, traces, log levels and publish answers of real processes.

mod common;

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{env, fs};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Ask, Cluster, LogControl, VmOptions, ask, ask_until_answered};
use serde_json::{Value, json};

use common::{CONTRACTS, options, start_contracts_with_settings, vm_options};

/// VMs of a cluster.
const VM_COUNT: usize = 3;

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Serialises the tests, as each cluster has hundreds of threads.
fn serial_guard() -> MutexGuard<'static, ()> {
    static SERIAL: Mutex<()> = Mutex::new(());
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Trace id that the caller sends.
const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

/// Metrics that a cluster under load sends, as `name|type`.
const EXPECTED_METRICS: [&str; 9] = [
    "requests.answered|c",
    "requests.time|ms",
    "peer.time|ms",
    "upstream.time|ms",
    "lease.held|g",
    "units.owned|g",
    "log.appends|c",
    "log.append_time|ms",
    "log.applied|g",
];

#[test]
fn a_running_system_sends_metrics() {
    let _serial = serial_guard();
    let server = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    server.set_read_timeout(Some(Duration::from_millis(100))).expect("a bound is valid");
    let address = server.local_addr().expect("the socket is bound");
    let cluster = start_contracts_with_settings(
        VM_COUNT,
        &format!("[metrics]\naddress = {address}\nprefix = test\n"),
    );
    let end = Instant::now() + WAIT_TIMEOUT;
    let mut seen = BTreeSet::new();
    let mut held = false;
    let mut key = 0;
    let wanted = |seen: &BTreeSet<String>| EXPECTED_METRICS.iter().all(|name| seen.contains(*name));
    while Instant::now() < end && !(wanted(&seen) && held) {
        key += 1;
        let path = format!("/contracts/k{key}");
        let request = Ask { path: &path, ..Ask::default() };
        ask(cluster.vms[key % VM_COUNT].http, &request).expect("an answer");
        let mut packet = [0; 2048];
        while let Ok(size) = server.recv(&mut packet) {
            let text = String::from_utf8_lossy(&packet[..size]).into_owned();
            held |= text.lines().any(|line| line == "test.lease.held:1|g");
            seen.extend(text.lines().filter_map(name));
        }
    }
    let missing: Vec<_> = EXPECTED_METRICS.iter().filter(|name| !seen.contains(**name)).collect();
    assert!(missing.is_empty() && held, "missing {missing:?}, held {held}, seen {seen:?}");
}

/// Returns `name|type` of a line in the statsd format.
fn name(line: &str) -> Option<String> {
    let (name, value) = line.strip_prefix("test.")?.split_once(':')?;
    let (_, kind) = value.split_once('|')?;
    Some(format!("{name}|{kind}"))
}

// Guards against hops that lose the trace of a request: entry, owner and upstream call each log a
// span of their own under the trace id of the caller.
#[test]
fn the_hops_of_a_request_have_one_trace() {
    let _serial = serial_guard();
    let (cluster, logs) = start_with_logs(VM_COUNT, "format = json\nlevel = info\n");
    let path = "/contracts/traced";
    let find = Ask { path, ..Ask::default() };
    let found = ask_until_answered(cluster.vms[0].http, &find, WAIT_TIMEOUT).expect("an answer");
    assert_eq!(found.verdict, "answered", "{found:?}");
    let owner = cluster.vms.iter().position(|vm| ran(vm, path)).expect("one has run it");
    let entry = (owner + 1) % cluster.vms.len();
    let url = format!("http://{}{path}", cluster.vms[entry].http);
    let header = format!("00-{TRACE}-00f067aa0ba902b7-01");
    ureq::get(url).header("traceparent", header).call().expect("an answer");
    let spans = || spans(&logs, TRACE);
    wait_until("the spans end", WAIT_TIMEOUT, || spans().len() >= 3).expect("three spans");
    let spans = spans();
    let places: Vec<_> = spans.iter().map(|(vm, name, _)| (*vm, name.as_str())).collect();
    assert_eq!(places.len(), 3, "{spans:?}");
    for place in [(entry, "entry"), (owner, "hop"), (owner, "upstream")] {
        assert!(places.contains(&place), "{place:?} of {spans:?}");
    }
    let ids: BTreeSet<_> = spans.iter().map(|(_, _, id)| id).collect();
    assert_eq!(ids.len(), 3, "{spans:?}");
}

fn ran(vm: &acaciaring_testing::Vm, path: &str) -> bool {
    let upstream = vm.upstream.as_ref().expect("each has an upstream");
    upstream.handle().records().iter().any(|run| run.path == path)
}

/// Spans of a trace in the logs: number of the VM, name and span id.
fn spans(logs: &[PathBuf], trace: &str) -> Vec<(usize, String, String)> {
    let mut found = Vec::new();
    for (vm, log) in logs.iter().enumerate() {
        let text = fs::read_to_string(log).expect("the log is text");
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        for line in lines.filter(|line| line["message"] == "close") {
            let span = &line["span"];
            let field = |name: &str| span[name].as_str().unwrap_or_default().to_owned();
            if span["trace"] == trace {
                found.push((vm, field("name"), field("span")));
            }
        }
    }
    found
}

// Guards against a log level that does not change on SIGHUP, or a reload that loses the lease.
#[test]
fn the_level_changes_without_a_restart() {
    let _serial = serial_guard();
    let (mut cluster, logs) = start_with_logs(VM_COUNT, "level = warn\n");
    let has_debug_lines =
        |logs: &[PathBuf]| fs::read_to_string(&logs[0]).expect("the log is text").contains("DEBUG");
    let request = |cluster: &Cluster| {
        // The entry logs the end of each request at `debug`.
        let read = Ask { path: "/contracts/k1", ..Ask::default() };
        ask(cluster.vms[0].http, &read).expect("an answer");
    };
    request(&cluster);
    assert!(!has_debug_lines(&logs));
    let member = &mut cluster.vms[0];
    let text = fs::read_to_string(&member.file).expect("the settings are there");
    fs::write(&member.file, text.replace("level = warn", "level = debug")).expect("written");
    member.process.hang_up();
    wait_until("lines of the new level", WAIT_TIMEOUT, || {
        request(&cluster);
        has_debug_lines(&logs)
    })
    .expect("the level has changed");
    assert_eq!(cluster.admin(0, "/v1/status").expect("a status")["leased"], true);
}

/// Starts VMs that log to files and waits until they serve.
fn start_with_logs(count: usize, logging: &str) -> (Cluster, Vec<PathBuf>) {
    let level = logging.lines().find_map(|line| line.strip_prefix("level = ")).expect("a level");
    let rest: String = logging.lines().filter(|line| !line.starts_with("level")).collect();
    let mut options = options();
    level.clone_into(&mut options.level);
    let mut cluster = Cluster::start(options).expect("the test log starts");
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = |number| directory.join(format!("observe-{level}-{number}.log"));
    let logs: Vec<_> = (0..count).map(path).collect();
    for (number, log) in logs.iter().enumerate() {
        let settings = format!("{rest}\n");
        let stderr = Some(log.clone());
        let options = VmOptions { settings, stderr, ..vm_options(number, CONTRACTS) };
        cluster.add(options).expect("a VM starts");
    }
    common::publish_contracts(&cluster, count);
    (cluster, logs)
}

// Guards against a conflict of a publication with itself when it is repeated with the same record
// id because its answer was lost.
#[test]
fn a_repeated_publish_gets_the_same_answer() {
    let _serial = serial_guard();
    let cluster = start_contracts_with_settings(VM_COUNT, "");
    let change = publication("00000000000000000000000000000001", 0);
    let first = post(&cluster, &change);
    assert_eq!((first.0, first.1["outcome"].as_str()), (200, Some("applied")), "{first:?}");
    assert_eq!(post(&cluster, &change), first);
    let stale = publication("00000000000000000000000000000002", 0);
    let conflict = post(&cluster, &stale);
    assert_eq!((conflict.0, &conflict.1["current"]), (409, &first.1["offset"]));
    assert_eq!(post(&cluster, &stale), conflict);
}

// Guards against a publication that comes into force after it was answered with 503.
#[test]
fn what_was_not_appended_never_comes() {
    let _serial = serial_guard();
    let cluster = start_contracts_with_settings(VM_COUNT, "");
    let log = cluster.log.handle();
    log.set(&LogControl { outage: Some(true), ..LogControl::default() });
    let refused = post(&cluster, &publication("00000000000000000000000000000003", 0));
    assert_eq!(refused.0, 503, "{refused:?}");
    log.set(&LogControl { outage: Some(false), ..LogControl::default() });
    // Follows the first publication through the same queue.
    let marker = publication("00000000000000000000000000000004", 0);
    let mut applied = (0, Value::Null);
    wait_until("the log is back", WAIT_TIMEOUT, || {
        applied = post(&cluster, &marker);
        applied.0 != 503
    })
    .expect("a final answer");
    assert_eq!(applied.0, 200, "the base is still 0: {applied:?}");
}

fn publication(id: &str, base: u64) -> Value {
    let field =
        |section, key, value| json!({ "section": section, "key": key, "value": value, "line": 1 });
    let fields = [
        field("template", "name", "spare"),
        field("route", "prefix", "/spare"),
        field("division", "kind", "pooled"),
        field("class any", "rank", "interactive"),
        field("class any", "repeat", "idempotent"),
        field("class any", "deadline", "1s"),
    ];
    json!({ "id": id, "kind": "template", "name": "spare", "base": base, "retired": false, "fields": fields })
}

fn post(cluster: &Cluster, change: &Value) -> (u16, Value) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let url = format!("http://{}/v1/publish", cluster.vms[0].admin);
    let answer = config.new_agent().post(url).send(change.to_string());
    let mut answer = answer.expect("an answer");
    let text = answer.body_mut().read_to_string().expect("the answer is text");
    (answer.status().as_u16(), serde_json::from_str(&text).expect("the answer is JSON"))
}
