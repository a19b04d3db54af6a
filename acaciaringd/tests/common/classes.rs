//! Clusters with limited upstreams and request classes of all four ranks, and raw HTTP callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_core::route::DocumentKind;
use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{
    Ask, Cluster, ClusterOptions, LoadClass, LoadFigures, LoadOptions, UpstreamControl,
    UpstreamOptions, VmOptions, ask, ask_until_answered, run_load,
};

use super::{CONTRACTS, QUALITY, SETTLE_TIMEOUT, options, vm_options};

/// Upper bound on waits of a test; not a target.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Long lease terms, so that no lease expires while a test saturates the machine.
const LEASE_SETTINGS: &str = "[lease]\nterm = 8s\n";

/// Options of a cluster whose upstreams run `slots` requests at once, each for `service` ms.
pub fn limited_upstreams(slots: usize, service: u64) -> ClusterOptions {
    let service = Duration::from_millis(service);
    let upstream = UpstreamOptions { slots, service, ..UpstreamOptions::default() };
    ClusterOptions { upstream, ..options() }
}

/// Starts a pooled workspace with classes of all ranks and waits until each upstream has served.
pub fn start_pooled(options: ClusterOptions, count: usize, settings: &str) -> Cluster {
    let upstream = UpstreamOptions { fenced: false, ..options.upstream.clone() };
    let options = ClusterOptions { upstream, ..options };
    let cluster =
        start_with_classes(options, count, QUALITY, "quality-lab", "kind = pooled", settings);
    wait_until("each upstream serves", SETTLE_TIMEOUT, || {
        for vm in &cluster.vms {
            let _ = ask(vm.http, &Ask { path: "/quality-lab/probe", ..Ask::default() });
        }
        cluster.vms.iter().all(|vm| !vm.runs().is_empty())
    })
    .expect("the service is there");
    cluster
}

/// Starts a workspace partitioned by key with classes of all ranks; waits until slots have owners.
pub fn start_keyed(options: ClusterOptions, count: usize, settings: &str) -> Cluster {
    let kind = "kind = keyed\nslots = 64\nkey = segment:1";
    let cluster = start_with_classes(options, count, CONTRACTS, "contracts", kind, settings);
    let all: Vec<usize> = (0..count).collect();
    cluster.settle(CONTRACTS, &all, SETTLE_TIMEOUT).expect("the slots have owners");
    cluster
}

fn start_with_classes(
    options: ClusterOptions,
    count: usize,
    workspace: &str,
    service: &str,
    kind: &str,
    settings: &str,
) -> Cluster {
    let mut cluster = Cluster::start(options).expect("the test log starts");
    let settings = format!("{LEASE_SETTINGS}{settings}");
    for number in 0..count {
        let options = VmOptions { settings: settings.clone(), ..vm_options(number, workspace) };
        cluster.add(options).expect("a VM starts");
    }
    let sign = if kind.contains("keyed") { "once" } else { "idempotent" };
    let template = include_str!("mixed.ini").replace("kind = ${kind}", kind);
    let template = template.replace("${sign}", sign);
    cluster
        .publish(0, DocumentKind::Template, "mixed", &template, 0)
        .expect("the template is published");
    let parameters = format!(
        "[workspace]\nname = {workspace}\ntenant = korenveld\ntemplate = mixed\n\n[parameters]\nservice = {service}\n"
    );
    cluster
        .publish(0, DocumentKind::Parameters, workspace, &parameters, 0)
        .expect("the parameters are published");
    cluster
}

/// Waits until the owner of each key runs at-most-once requests, which needs synchronised standbys.
pub fn sync_standbys(cluster: &Cluster, keys: &[String]) {
    for (number, key) in keys.iter().enumerate() {
        let path = format!("/contracts/{key}?warm");
        let entry = cluster.vms[number % cluster.vms.len()].http;
        let request = Ask { method: "POST", path: &path, ..Ask::default() };
        let reply = ask_until_answered(entry, &request, WAIT_TIMEOUT).expect("an answer");
        assert_eq!(reply.verdict, "answered", "{reply:?}");
    }
}

/// Load of one class at all entries; `rate` in requests per second.
pub fn class_load(cluster: &Cluster, name: &str, path: &str, rate: f64, seed: u64) -> LoadOptions {
    let class = LoadClass { name: name.into(), path: path.into(), ..LoadClass::default() };
    LoadOptions {
        entries: cluster.vms.iter().map(|vm| vm.http).collect(),
        threads: 24,
        duration: 3000,
        rate,
        seed,
        keys: 1000,
        timeout: 8000,
        classes: vec![class],
        ..LoadOptions::default()
    }
}

/// Runs loads concurrently.
pub fn run_loads(loads: &[LoadOptions]) -> Vec<LoadFigures> {
    thread::scope(|scope| {
        let run = |load| move || run_load(load).expect("the load runs");
        let threads: Vec<_> = loads.iter().map(|load| scope.spawn(run(load))).collect();
        threads.into_iter().map(|thread| thread.join().expect("the load ends")).collect()
    })
}

/// Changes the behaviour of the upstream of a VM.
pub fn control_upstream(cluster: &Cluster, vm: usize, control: &UpstreamControl) {
    cluster.vms[vm].upstream.as_ref().expect("the VM has an upstream").handle().set(control);
}

/// Index of the VM that owns a key.
pub fn owner_index(cluster: &Cluster, key: &str) -> usize {
    let name = cluster.owner(0, CONTRACTS, key).expect("the key has an owner");
    let found = cluster.vms.iter().position(|vm| vm.options.vm == name);
    found.expect("the owner is a VM of the system")
}

/// Count of runs of a path over all upstreams.
pub fn run_count(cluster: &Cluster, path: &str) -> usize {
    cluster.runs().iter().filter(|run| run.path == path).count()
}

/// Sends a request with a deadline in milliseconds and returns the open connection.
pub fn send_request(entry: SocketAddr, path: &str, deadline: u64) -> TcpStream {
    let mut stream = TcpStream::connect(entry).expect("the entry accepts");
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: entry\r\nx-acaciaring-deadline: {deadline}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).expect("the entry reads");
    stream
}

/// Sends a request; returns the head of the response in lower case, and the time it took.
pub fn response_head(entry: SocketAddr, path: &str, deadline: u64) -> (String, Duration) {
    let start = Instant::now();
    let mut stream = send_request(entry, path, deadline);
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a whole answer");
    let head = text.split("\r\n\r\n").next().unwrap_or_default().to_lowercase();
    (head, start.elapsed())
}

/// Value of a header in a response head.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let line = |line: &'a str| line.strip_prefix(name)?.strip_prefix(':').map(str::trim);
    head.lines().find_map(line)
}
