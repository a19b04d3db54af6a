//! Settings files: values, defaults and faults.

use std::path::Path;
use std::time::Duration;

use acaciaring_core::route::Fault;
use acaciaringd::config::{LoggingFormat, Settings, SettingsError, load, parse};

const EXAMPLE: &str = include_str!("../../extra/acaciaringd.ini");

fn faults(text: &str) -> Vec<String> {
    match parse("a.ini", text) {
        Err(SettingsError::Invalid { faults }) => faults.0.iter().map(Fault::to_string).collect(),
        other => panic!("the file should have faults: {other:?}"),
    }
}

#[test]
fn the_example_loads() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../extra/acaciaringd.ini");
    let settings = load(&path).expect("the example is valid");
    assert_eq!(&*settings.member.vm, "contracts-1");
    assert_eq!(settings.member.rack.as_deref(), Some("r1"));
    assert_eq!(settings.listen.admin.port(), 7002);
    assert_eq!(settings.logging.format, LoggingFormat::Json);
    assert_eq!(settings.lease, Settings::default().lease);
}

#[test]
fn every_fault_is_listed_at_once() {
    let text = EXAMPLE
        .replace("region = free-state\n", "")
        .replace("peer = 127.0.0.1:7001", "peer = localhost:7001")
        .replace("drain = 20s", "drain = 11min\nslot = 20")
        .replace("level = info", "level = loud\nlevel = info")
        + "\n[leese]\nterm = 1s\n";
    let expected = [
        "a.ini:12: listen.peer: expected IP:PORT, for example 127.0.0.1:7000",
        "a.ini:24: limits.drain: expected 1s to 10min",
        "a.ini:25: limits.slot: unknown key",
        "a.ini:29: logging.level: expected one of error, warn, info, debug, trace",
        "a.ini:30: logging.level: is set twice",
        "a.ini:36: leese.term: unknown section",
        "a.ini:6: member.region: is missing",
    ];
    assert_eq!(faults(&text), expected);
}

#[test]
fn a_term_that_cannot_outlive_a_lost_renewal_is_refused() {
    // With a shorter term, a single lost renewal ends the lease before the next attempt is granted,
    // and callers get `no-lease` without a failure.
    let lease = |values: &str| format!("{EXAMPLE}\n[lease]\n{values}");
    let found = faults(&lease("term = 750ms\n"));
    assert_eq!(found, ["a.ini:35: lease.term: must be above interval + resend + margin"]);
    let settings = parse("a.ini", &lease("term = 751ms\n")).expect("the term suffices");
    assert_eq!(settings.lease.term, Duration::from_millis(751));
    assert!(faults(&lease("abandon = 2s\n"))[0].contains("lease.abandon"));
    assert!(faults(&lease("resend = 501ms\n"))[0].contains("lease.resend"));
}

#[test]
fn addresses_that_others_are_told_must_be_specific() {
    let found = faults(&EXAMPLE.replace("http = 127.0.0.1:7000", "http = 0.0.0.0:7000"));
    assert!(found[0].contains("listen.http"), "{found:?}");
    let found = faults(&EXAMPLE.replace("admin = 127.0.0.1:7002", "admin = 127.0.0.1:7000"));
    assert!(found[0].contains("listen.admin"), "{found:?}");
    let anywhere = EXAMPLE.replace("peer = 127.0.0.1:7001", "peer = 0.0.0.0:7001");
    let found = faults(&anywhere);
    assert!(found[0].contains("listen.peer"), "{found:?}");
    let told = |address: &str| {
        anywhere.replace("admin = 127", &format!("advertised = {address}\nadmin = 127"))
    };
    assert!(parse("a.ini", &told("10.1.0.7:7001")).is_ok());
    let found = faults(&told("0.0.0.0:7001"));
    assert!(found[0].contains("listen.advertised"), "{found:?}");
}

#[test]
fn an_absent_file_is_named() {
    let error = load(Path::new("/nonexistent/a.ini")).expect_err("the file is absent");
    assert!(error.to_string().contains("/nonexistent/a.ini"));
}
