//! A stop that cannot wait for its requests, with a real process.

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

/// Bound on waits; a pass takes far less.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longer than a stop waits.
const SLOW_SERVICE_MS: f64 = 25_000.0;

// An operator stops a VM while a caller waits for a request that takes longer than any bound of the
// stop. The process ends all the same, and its exit code says that it cut a request off; a script
// that stops one VM after another can tell.
#[test]
fn a_stop_tells_that_it_cut_off_a_request() {
    // The stand-in would refuse what is not divided by key if it checked fences.
    let upstream = UpstreamOptions { fenced: false, ..UpstreamOptions::default() };
    let options = ClusterOptions { upstream, ..options() };
    let mut cluster = Cluster::start(options).expect("the log stand-in starts");
    let settings = "[limits]\ndrain = 1s\n".into();
    cluster.add(VmOptions { settings, ..vm_options(0, QUALITY) }).expect("a VM starts");
    // A member alone has nobody to grant it a lease.
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
