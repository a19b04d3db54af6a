//! Upstreams that shed load or start with cold caches, with real processes.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{
    Cluster, ClusterOptions, LoadFigures, Run, UpstreamControl, UpstreamOptions, Verdict,
    check_records,
};

use common::classes::{
    WAIT_TIMEOUT, class_load, control_upstream, header_value, limited_upstreams, owner_index,
    response_head, run_loads, start_keyed, start_pooled,
};
use common::{QUALITY, vm_options};

fn set_shedding(cluster: &Cluster, vm: usize, shed: bool) {
    control_upstream(
        cluster,
        vm,
        &UpstreamControl { shed: Some(shed), ..UpstreamControl::default() },
    );
}

fn answered_count(figures: &LoadFigures) -> usize {
    figures.sent.iter().filter(|sent| sent.tries.last() == Some(&Verdict::Answered)).count()
}

fn shed_count(cluster: &Cluster, vm: usize) -> u64 {
    cluster.vms[vm].upstream.as_ref().map_or(0, |upstream| upstream.handle().counts().shed)
}

// Guards against requests to an owner that sheds load before its `retry-after` is over, though it
// keeps announcing itself; callers get the retry time, and are served once it accepts again.
#[test]
fn an_owner_that_sheds_is_left_alone() {
    let cluster = start_keyed(limited_upstreams(20, 1), 3, "[balance]\nmoves = 0\n");
    let server = owner_index(&cluster, "k1");
    let entry = cluster.vms[(server + 1) % 3].http;
    let path = "/contracts/query/k1";
    set_shedding(&cluster, server, true);
    let start = Instant::now();
    let mut asked = 0;
    while start.elapsed() < Duration::from_secs(4) {
        let (head, _) = response_head(entry, path, 2000);
        assert_eq!(header_value(&head, "x-acaciaring-verdict"), Some("not-run"), "{head}");
        let retry = header_value(&head, "x-acaciaring-retry-ms")
            .and_then(|retry| retry.parse::<u64>().ok());
        assert!(retry.is_some_and(|retry| retry > 0), "{head}");
        asked += 1;
        thread::sleep(Duration::from_millis(10));
    }
    let arrived = shed_count(&cluster, server);
    println!("{asked} requests, {arrived} reached the upstream");
    let most = start.elapsed().as_secs() + 1;
    assert!((1..=most).contains(&arrived), "{arrived} of {asked} requests, one a second is right");
    set_shedding(&cluster, server, false);
    wait_until("the owner is asked again", WAIT_TIMEOUT, || {
        header_value(&response_head(entry, path, 2000).0, "x-acaciaring-verdict")
            == Some("answered")
    })
    .expect("it is answered");
}

// Guards against requests to a pool member that sheds load before its `retry-after` is over: the
// others answer.
#[test]
fn a_member_of_a_pool_that_sheds_is_left_alone() {
    let cluster = start_pooled(limited_upstreams(20, 2), 3, "");
    set_shedding(&cluster, 1, true);
    let load = class_load(&cluster, "query", "/quality-lab/query", 150.0, 61);
    let start = Instant::now();
    let figures = run_loads(&[load]).remove(0);
    let arrived = shed_count(&cluster, 1);
    println!("{:?} {:?}, {arrived} reached the upstream", figures.told, figures.reasons);
    assert!(answered_count(&figures) * 100 >= figures.sent.len() * 98, "{:?}", figures.reasons);
    let most = 2 * (start.elapsed().as_secs() + 1);
    assert!((1..=most).contains(&arrived), "{arrived} requests reached it");
    let report = check_records(&cluster.runs(), &figures.sent);
    assert!(report.clean(), "{report:#?}");
}

/// Count of runs that began within `span` after `start`, in microseconds.
fn runs_within(runs: &[Run], start: u64, span: u64) -> usize {
    runs.iter().filter(|run| (start..start + span).contains(&run.start)).count()
}

// Guards against a burst of requests to a new, idle pool member whose caches are cold: it gets a
// small share at first and more later.
#[test]
fn a_cold_upstream_gets_little_at_first() {
    let upstream =
        UpstreamOptions { cold: Duration::from_secs(4), ..limited_upstreams(8, 40).upstream };
    let cold = upstream.cold;
    let mut cluster = start_pooled(ClusterOptions { upstream, ..limited_upstreams(8, 40) }, 3, "");
    // While the first three are cold, the load exceeds the capacity of the cluster.
    thread::sleep(cold + Duration::from_secs(1));
    let mut load = class_load(&cluster, "query", "/quality-lab/query", 400.0, 71);
    load.duration = 8000;
    load.threads = 48;
    let load = thread::spawn(move || run_loads(&[load]).remove(0));
    let newcomer = cluster.add(vm_options(3, QUALITY)).expect("a VM starts");
    let figures = load.join().expect("the load ends");
    let runs = cluster.vms[newcomer].runs();
    let first = runs.first().expect("the newcomer gets requests").start;
    let end = figures.sent.iter().map(|sent| sent.end).max().unwrap_or(0);
    let (early, late) =
        (runs_within(&runs, first, 1_000_000), runs_within(&runs, end - 1_000_000, 1_000_000));
    let others: usize =
        cluster.vms[..3].iter().map(|vm| runs_within(&vm.runs(), first, 1_000_000)).sum();
    println!("first second {early} of {}, last {late}; {:?}", early + others, figures.told);
    assert!(early * 12 < others, "{early} at the newcomer, {others} at three others");
    assert!(late > early, "{late} in its last second, {early} in its first");
    let refused = figures.sent.len() - answered_count(&figures);
    assert!(refused * 100 <= figures.sent.len(), "{:?}", figures.reasons);
}
