//! Clusters of real daemon processes for the integration tests.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod classes;
pub mod recovery;

use std::env;
use std::path::PathBuf;
use std::time::Duration;

use acaciaring_core::route::DocumentKind;
use acaciaring_testing::{
    Cluster, ClusterOptions, LogOptions, Network, UpstreamOptions, VmOptions,
};

/// Workspace that is partitioned by key.
pub const CONTRACTS: &str = "korenveld-contracts";

/// Workspace that is not partitioned by key.
pub const QUALITY: &str = "korenveld-quality-lab";

/// Data centres over which the VMs are spread.
const DATA_CENTRES: [&str; 4] = ["bethlehem", "kroonstad", "welkom", "bloem-a"];

/// Upper bound on the time until a new cluster serves.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of a cluster under test.
pub fn options() -> ClusterOptions {
    ClusterOptions {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_acaciaringd")),
        log: LogOptions::default(),
        upstream: UpstreamOptions::default(),
        level: env::var("ACACIARING_TEST_LEVEL").unwrap_or_else(|_| "warn".into()),
    }
}

/// Options of the VM `vm-{number}` with an upstream of this workspace.
pub fn vm_options(number: usize, workspace: &str) -> VmOptions {
    VmOptions {
        vm: format!("vm-{number}"),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        region: "free-state".into(),
        workspace: Some(workspace.into()),
        ..VmOptions::default()
    }
}

/// Starts a cluster with this many VMs for each workspace and waits until it serves.
pub fn start_cluster(contracts: usize, quality: usize) -> Cluster {
    start_cluster_with(options(), contracts, quality)
}

/// Starts [`CONTRACTS`] on `count` VMs with lines added to the settings of each daemon.
pub fn start_contracts_with_settings(count: usize, settings: &str) -> Cluster {
    let mut cluster = Cluster::start(options()).expect("the test log starts");
    for number in 0..count {
        let options = VmOptions { settings: settings.into(), ..vm_options(number, CONTRACTS) };
        cluster.add(options).expect("a VM starts");
    }
    publish_contracts(&cluster, count);
    cluster
}

/// Publishes [`CONTRACTS`] and waits until its slots have owners on all VMs.
pub fn publish_contracts(cluster: &Cluster, count: usize) {
    publish(cluster, false);
    let all: Vec<usize> = (0..count).collect();
    cluster.settle(CONTRACTS, &all, SETTLE_TIMEOUT).expect("the slots have owners");
}

/// Like [`start_cluster`], with other options than [`options`].
pub fn start_cluster_with(options: ClusterOptions, contracts: usize, quality: usize) -> Cluster {
    let contracts = (0..contracts).map(|number| vm_options(number, CONTRACTS));
    let first = contracts.len();
    let quality = (first..first + quality).map(|number| vm_options(number, QUALITY));
    start_vms(options, contracts.chain(quality).collect())
}

/// Starts these VMs, publishes their workspaces and waits until the slots have owners.
pub fn start_vms(options: ClusterOptions, vms: Vec<VmOptions>) -> Cluster {
    let mut cluster = Cluster::start(options).expect("the test log starts");
    let all: Vec<usize> = (0..vms.len()).collect();
    let pooled = vms.iter().any(|vm| vm.workspace.as_deref() == Some(QUALITY));
    for vm in vms {
        cluster.add(vm).expect("a VM starts");
    }
    publish(&cluster, pooled);
    cluster.settle(CONTRACTS, &all, SETTLE_TIMEOUT).expect("the slots have owners");
    cluster
}

/// Starts [`CONTRACTS`] on VMs behind network proxies and waits until the slots have owners.
pub fn start_proxied(options: ClusterOptions, vms: Vec<VmOptions>) -> (Cluster, Network) {
    let mut cluster = Cluster::start(options).expect("the test log starts");
    let mut network = Network::default();
    let count = vms.len();
    for vm in vms {
        network.add(&mut cluster, vm).expect("a VM starts");
    }
    publish(&cluster, false);
    let all: Vec<usize> = (0..count).collect();
    cluster.settle(CONTRACTS, &all, SETTLE_TIMEOUT).expect("the slots have owners");
    (cluster, network)
}

fn publish(cluster: &Cluster, pooled: bool) {
    let keyed = include_str!("keyed.ini");
    let contracts = include_str!("contracts.ini");
    cluster
        .publish(0, DocumentKind::Template, "keyed", keyed, 0)
        .expect("the template is published");
    cluster
        .publish(0, DocumentKind::Parameters, CONTRACTS, contracts, 0)
        .expect("the parameters are published");
    if pooled {
        let template = include_str!("pooled.ini");
        let quality = include_str!("quality.ini");
        cluster
            .publish(0, DocumentKind::Template, "pooled", template, 0)
            .expect("the template is published");
        cluster
            .publish(0, DocumentKind::Parameters, QUALITY, quality, 0)
            .expect("the parameters are published");
    }
}
