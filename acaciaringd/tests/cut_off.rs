//! Exit code of a stop that cuts off a request, with real processes.

mod common;

use std::thread;
use std::time::Duration;

use acaciaring_core::route::DocumentKind;
use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{
    Ask, Cluster, ClusterOptions, UpstreamControl, UpstreamOptions, VmOptions, ask,
    ask_until_answered,
};

use common::{QUALITY, options, vm_options};

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Service time above the drain timeout.
const SLOW_SERVICE_MS: f64 = 25_000.0;

// Guards against a stop that never ends for a request longer than its drain timeout, or that does
// not report by its exit code that it cut the request off.
#[test]
fn a_stop_tells_that_it_cut_off_a_request() {
    // With fences, the test upstream would refuse requests of a pooled workspace.
    let upstream = UpstreamOptions { fenced: false, ..UpstreamOptions::default() };
    let options = ClusterOptions { upstream, ..options() };
    let mut cluster = Cluster::start(options).expect("the test log starts");
    let settings = "[limits]\ndrain = 1s\n".into();
    cluster.add(VmOptions { settings, ..vm_options(0, QUALITY) }).expect("a VM starts");
    // The member needs others that grant it a lease.
    for number in 1..3 {
        cluster
            .add(VmOptions { workspace: None, ..vm_options(number, QUALITY) })
            .expect("a VM starts");
    }
    let template = include_str!("common/pooled.ini").replace("deadline = 1s", "deadline = 25s");
    let parameters = include_str!("common/quality.ini");
    cluster.publish(0, DocumentKind::Template, "pooled", &template, 0).expect("published");
    cluster.publish(0, DocumentKind::Parameters, QUALITY, parameters, 0).expect("published");
    let entry = cluster.vms[0].http;
    let request = Ask { path: "/quality-lab/first", ..Ask::default() };
    let reply = ask_until_answered(entry, &request, WAIT_TIMEOUT).expect("an answer");
    assert_eq!(reply.verdict, "answered", "{reply:?}");

    let server = cluster.vms[0].upstream.as_ref().expect("an upstream").handle();
    // Otherwise the first request would be taken for the slow one below.
    wait_until("the first has ended", WAIT_TIMEOUT, || server.counts().busy == 0).expect("it ends");
    let costs = [("/slow".to_owned(), SLOW_SERVICE_MS)].into();
    server.set(&UpstreamControl { costs: Some(costs), ..UpstreamControl::default() });
    let caller = thread::spawn(move || {
        ask(entry, &Ask { path: "/quality-lab/slow", ..Ask::default() }).map(|reply| reply.verdict)
    });
    wait_until("the request runs", WAIT_TIMEOUT, || server.counts().busy > 0).expect("it runs");
    cluster.vms[0].process.term();
    let status = cluster.vms[0].process.wait(WAIT_TIMEOUT).expect("the process ends");
    assert_eq!(status.code(), Some(4), "{status:?}");
    let told = caller.join().expect("the caller has not panicked");
    assert!(!matches!(told.as_deref(), Ok("answered" | "not-run")), "{told:?}");
}
