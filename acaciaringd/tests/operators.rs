//! Published documents through lost answers, conflicts and restarts, with real processes.

mod common;

use std::thread;
use std::time::Duration;

use acaciaring_core::route::DocumentKind;
use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Cluster, LogControl, VmOptions};
use serde_json::Value;

use common::recovery::RECOVERY_TIMEOUT;
use common::{CONTRACTS, options, start_cluster, start_vms, vm_options};

const VM_COUNT: usize = 5;

/// More documents than the log retains records.
const ROUNDS: usize = 600;

const SPARE_WORKSPACE: &str = "spare-contracts";

// Guards against a document that is applied twice when an append is repeated because its answer was
// lost: the second record of the same id must not change the version.
#[test]
fn a_lost_answer_of_an_append_applies_a_document_once() {
    let cluster = start_cluster(VM_COUNT, 0);
    let log = cluster.log.handle();
    let before = log.counts();
    log.set(&LogControl { lose: Some(2), ..LogControl::default() });
    let offset = publish(&cluster, 0, &spare_parameters(1), 0).expect("applied");
    assert!(log.counts().lost > before.lost, "an answer was lost");
    log.set(&LogControl { lose: Some(0), ..LogControl::default() });
    // The daemon may have read the record back before its retry, so the test repeats the append.
    let (start, records) = log.records(offset);
    assert_eq!(start, offset);
    let repeated = log.append(records[0].clone());
    wait_until_applied(&cluster, repeated);
    for vm in 0..VM_COUNT {
        assert_eq!(version(&cluster, vm, SPARE_WORKSPACE), Some((offset, false)), "vm-{vm}");
    }
    let next = publish(&cluster, 1, &spare_parameters(2), offset)
        .expect("the version is the base of the next");
    let late = log.append(records[0].clone());
    wait_until_applied(&cluster, late);
    for vm in 0..VM_COUNT {
        assert_eq!(version(&cluster, vm, SPARE_WORKSPACE), Some((next, false)), "vm-{vm}");
    }
}

// Guards against lost updates: of two concurrent changes on the same base version one is applied,
// and the other is refused with the version that is in force.
#[test]
fn one_of_two_operators_is_told_of_the_conflict() {
    let cluster = start_cluster(VM_COUNT, 0);
    let mut base = publish(&cluster, 0, &spare_parameters(1), 0).expect("applied");
    for round in 0..5 {
        let answers = thread::scope(|scope| {
            let (cluster, texts) =
                (&cluster, [spare_parameters(10 + round), spare_parameters(20 + round)]);
            let spawn = |(vm, text): (usize, String)| {
                scope.spawn(move || publish(cluster, vm, &text, base))
            };
            let operators: Vec<_> = [1, 3].into_iter().zip(texts).map(spawn).collect();
            operators.into_iter().map(|one| one.join().expect("an answer")).collect::<Vec<_>>()
        });
        let applied: Vec<u64> = answers.iter().filter_map(|answer| answer.clone().ok()).collect();
        let [current] = applied[..] else { panic!("not one applied: {answers:?}") };
        let refused = answers.into_iter().find_map(Result::err).expect("one is refused");
        assert!(refused.contains(&format!("{{\"current\":{current}}}")), "{refused}");
        base = current;
    }
    wait_until_applied(&cluster, base);
    for vm in 0..VM_COUNT {
        assert_eq!(version(&cluster, vm, SPARE_WORKSPACE), Some((base, false)), "vm-{vm}");
    }
}

// Guards against retired documents that return when members restart, after a drain or a crash, and
// replay the log in which the documents precede their retirement.
#[test]
fn a_retired_document_does_not_return_when_members_restart() {
    let mut cluster = start_cluster(VM_COUNT, 0);
    let first = publish(&cluster, 0, &spare_parameters(1), 0).expect("applied");
    let second = publish(&cluster, 2, &spare_parameters(2), first).expect("applied");
    let template = include_str!("common/pooled.ini");
    let pooled = cluster
        .publish(0, DocumentKind::Template, "pooled", template, 0)
        .expect("the template is applied");
    let retired = cluster
        .retire(1, DocumentKind::Parameters, SPARE_WORKSPACE, second)
        .expect("the parameters are retired");
    let gone = cluster
        .retire(3, DocumentKind::Template, "pooled", pooled)
        .expect("the template is retired");
    wait_until_applied(&cluster, gone);
    cluster.vms[1].process.term();
    cluster.vms[1].process.wait(Duration::from_secs(30)).expect("the process ends");
    cluster.kill(3);
    cluster.replace(1).expect("the VM starts");
    cluster.replace(3).expect("the VM starts");
    wait_until_applied(&cluster, gone);
    for vm in 0..VM_COUNT {
        assert_eq!(version(&cluster, vm, SPARE_WORKSPACE), Some((retired, true)), "vm-{vm}");
        assert_eq!(version(&cluster, vm, "pooled"), Some((gone, true)), "vm-{vm}");
    }
    let stale =
        publish(&cluster, 1, &spare_parameters(3), second).expect_err("an old version is refused");
    assert!(stale.contains(&format!("{{\"current\":{retired}}}")), "{stale}");
}

// Guards against retired documents that return when members restart from a snapshot because the log
// no longer has the records of publication and retirement.
#[test]
fn a_retired_document_does_not_return_from_a_snapshot() {
    let mut options = options();
    options.log.retention = 250;
    let settings = "[snapshot]\nrecords = 100\n".to_owned();
    let small = |number| VmOptions { settings: settings.clone(), ..vm_options(number, CONTRACTS) };
    let mut cluster = start_vms(options, (0..VM_COUNT).map(small).collect());
    let first = publish(&cluster, 0, &spare_parameters(1), 0).expect("applied");
    let retired =
        cluster.retire(1, DocumentKind::Parameters, SPARE_WORKSPACE, first).expect("it is retired");
    let text = include_str!("common/pooled.ini");
    let mut latest = 0;
    for round in 0..ROUNDS {
        if cluster.log.handle().counts().oldest > retired {
            println!("truncated from the log after {round} documents");
            break;
        }
        let vm = round % VM_COUNT;
        latest = cluster
            .publish(vm, DocumentKind::Template, "pooled", text, latest)
            .expect("the template is applied");
    }
    assert!(cluster.log.handle().counts().oldest > retired, "the log still has the document");
    cluster.kill(1);
    cluster.vms[3].process.term();
    cluster.vms[3].process.wait(Duration::from_secs(30)).expect("the process ends");
    cluster.replace(1).expect("the VM starts");
    cluster.replace(3).expect("the VM starts");
    wait_until_applied(&cluster, latest);
    for vm in 0..VM_COUNT {
        assert_eq!(version(&cluster, vm, SPARE_WORKSPACE), Some((retired, true)), "vm-{vm}");
        assert_eq!(version(&cluster, vm, "pooled"), Some((latest, false)), "vm-{vm}");
    }
    let stale =
        publish(&cluster, 3, &spare_parameters(3), 0).expect_err("0 is not the current version");
    assert!(stale.contains(&format!("{{\"current\":{retired}}}")), "{stale}");
}

/// Parameters of a workspace without upstreams, with a weight that identifies the version.
fn spare_parameters(churn: u32) -> String {
    let text = include_str!("common/contracts.ini");
    text.replace("korenveld-contracts", SPARE_WORKSPACE)
        .replace("service = contracts", "service = spare")
        .replace("churn = 8", &format!("churn = {churn}"))
}

fn publish(cluster: &Cluster, vm: usize, text: &str, base: u64) -> Result<u64, String> {
    let published = cluster.publish(vm, DocumentKind::Parameters, SPARE_WORKSPACE, text, base);
    published.map_err(|error| error.to_string())
}

/// Waits until the first VM reports that every VM has applied the record at `offset`.
fn wait_until_applied(cluster: &Cluster, offset: u64) {
    wait_until("the document is in force", RECOVERY_TIMEOUT, || {
        let answer = cluster.admin(0, &format!("/v1/in-force?offset={offset}")).unwrap_or_default();
        let count = |name: &str| answer[name].as_array().map(Vec::len);
        count("applied") == Some(VM_COUNT) && count("pending") == Some(0)
    })
    .expect("the document is in force everywhere");
}

/// Version of a document at a VM, and whether it is retired.
fn version(cluster: &Cluster, vm: usize, name: &str) -> Option<(u64, bool)> {
    let answer: Value = cluster.admin(vm, "/v1/documents").ok()?;
    let documents = answer["documents"].as_array()?;
    let found = documents.iter().find(|document| document["name"] == name)?;
    Some((found["version"].as_u64()?, found["retired"].as_bool()?))
}
