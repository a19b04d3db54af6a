//! Retries for keys that have no owner for a while, with real processes.

mod common;

use std::fs;
use std::path::PathBuf;

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Cluster, VmOptions};

use common::classes::{header_value, response_head};
use common::recovery::{self, RECOVERY_TIMEOUT};
use common::{CONTRACTS, options, vm_options};

/// Deadline of the requests, well below the time until the keys are taken over.
const DEADLINE_MS: u64 = 1500;

const REQUEST_COUNT: usize = 3;

// Guards against retry storms: while the lease of a killed owner runs out, the entry asks the
// remaining members, whose answer has not changed, only a few times per request.
#[test]
fn a_member_that_has_nothing_new_to_say_is_seldom_asked() {
    let log = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("ask-again.log");
    let mut options = options();
    options.level = "info".into();
    let mut cluster = Cluster::start(options).expect("the test log starts");
    for number in 0..3 {
        let stderr = (number == 0).then(|| log.clone());
        let settings = "[lease]\nterm = 8s\n".into();
        cluster
            .add(VmOptions { settings, stderr, ..vm_options(number, CONTRACTS) })
            .expect("a VM starts");
    }
    common::publish_contracts(&cluster, 3);
    let key = recovery::owned_keys(&cluster, 1, 0).remove(0);
    cluster.kill(1);
    for _ in 0..REQUEST_COUNT {
        let (head, _) = response_head(cluster.vms[0].http, &recovery::key_path(&key), DEADLINE_MS);
        assert_ne!(header_value(&head, "x-acaciaring-verdict"), Some("answered"), "{head}");
    }
    let lines = || {
        let text = fs::read_to_string(&log).expect("the log is text");
        let ended = |line: &&str| line.contains("request ended without an answer");
        text.lines().filter(ended).map(str::to_owned).collect::<Vec<_>>()
    };
    wait_until("the entry has logged its refusals", RECOVERY_TIMEOUT, || {
        lines().len() >= REQUEST_COUNT
    })
    .expect("each refusal has a log line");
    for line in lines() {
        let (tries, took) = (field_value(&line, "tries="), field_value(&line, "took_ms="));
        println!("{tries} tries in {took} ms");
        assert!(tries <= 4 + took / 100, "{line}");
    }
}

fn field_value(line: &str, name: &str) -> u64 {
    let (_, rest) = line.split_once(name).expect("the line has the field");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}
