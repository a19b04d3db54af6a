//! Large answers to callers, with real processes.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_core::route::DocumentKind;
use acaciaring_testing::{
    Ask, Cluster, ClusterOptions, UpstreamOptions, VmOptions, ask, ask_until_answered,
};
use common::{QUALITY, options, vm_options};

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Link of 1 Mbit/s.
const SETTINGS: &str = "[lease]\nterm = 8s\n[peer]\nlink = 1\n";

/// Bytes of a path, which the answer contains, and their transmission time on the link.
const PATH_BYTES: usize = 20_000;
const TRANSMISSION: Duration = Duration::from_millis(160);

/// Large requests at the same time; at two at a time, the last one waits for two others.
const REQUESTS: usize = 5;

/// Starts two VMs with a pooled service whose class `samples` has large answers.
fn start() -> Cluster {
    let upstream = UpstreamOptions { fenced: false, ..UpstreamOptions::default() };
    let options = ClusterOptions { upstream, ..options() };
    let mut cluster = Cluster::start(options).expect("the test log starts");
    for number in 0..2 {
        let vm = VmOptions { settings: SETTINGS.into(), ..vm_options(number, QUALITY) };
        cluster.add(vm).expect("a VM starts");
    }
    let template = include_str!("common/mixed.ini")
        .replace("${kind}", "pooled")
        .replace("${sign}", "idempotent")
        .replace("path = /samples\n", "path = /samples\nanswers = large\n");
    let parameters = format!(
        "[workspace]\nname = {QUALITY}\ntenant = korenveld\ntemplate = mixed\n\n\
         [parameters]\nservice = quality-lab\n"
    );
    let documents = [
        (DocumentKind::Template, "mixed", &template),
        (DocumentKind::Parameters, QUALITY, &parameters),
    ];
    for (kind, name, text) in documents {
        cluster.publish(0, kind, name, text, 0).expect("the document is published");
    }
    cluster
}

/// Guards against answers to callers of a process that use the link all at once, beside those to
/// members.
#[test]
fn large_answers_to_callers_cross_the_link_in_turn() {
    let cluster = start();
    let entry = cluster.vms[0].http;
    let small = Ask { path: "/quality-lab/query", ..Ask::default() };
    let reply = ask_until_answered(entry, &small, WAIT_TIMEOUT).expect("an answer");
    assert_eq!(reply.verdict, "answered", "{reply:?}");

    let path = format!("/quality-lab/samples?{}", "a".repeat(PATH_BYTES));
    let start = Instant::now();
    let large = || {
        let reply = ask(entry, &Ask { path: &path, ..Ask::default() }).expect("an answer");
        assert_eq!((reply.status, &*reply.verdict), (200, "answered"));
        assert!(reply.body.contains(&path), "the whole answer");
        start.elapsed()
    };
    let mut times: Vec<_> = thread::scope(|scope| {
        let tasks: Vec<_> = (0..REQUESTS).map(|_| scope.spawn(large)).collect();
        tasks.into_iter().map(|task| task.join().expect("it ends")).collect()
    });
    times.sort();
    println!("{times:?}");
    assert!(times[REQUESTS - 1] >= 2 * TRANSMISSION, "{times:?}");
}
