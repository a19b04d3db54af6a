//! Tests of the output and exit codes against a stub of the admin interface.

mod pages;
mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use acaciaring_testing::{Endless, EndlessServer};
use support::{Fault, Member, Run, StubServer, file, run};

const TEMPLATE: &str = "\
[template]
name = contracts

[route]
prefix = /${place}/contracts

[division]
kind = pooled

[class other]
rank = interactive
repeat = idempotent
deadline = 1s
";

const PARAMETERS: &str = "\
[workspace]
name = korenveld-contracts
tenant = korenveld
template = contracts

[parameters]
place = free-state
";

fn publish(server: &StubServer, test: &str, args: &[&str]) -> Run {
    let template = file(test, "template.ini", TEMPLATE);
    let mut all = vec!["--member", &server.address, "--format", "json", "publish", &template];
    all.extend(args);
    run(&all)
}

/// Returns a loopback address on which nothing listens.
fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener is bound").to_string()
}

#[test]
fn check_fills_templates_and_lists_every_fault() {
    let template = file("check", "template.ini", TEMPLATE);
    let parameters = file("check", "parameters.ini", PARAMETERS);
    let valid = run(&["check", &parameters, &template]);
    assert_eq!(valid.code, 0, "{valid:?}");
    assert!(valid.out.contains("korenveld-contracts"));

    let broken = TEMPLATE.replace("${place}", "${town}").replace("deadline = 1s", "deadline = 1h");
    let broken = file("check", "broken.ini", &broken);
    let invalid = run(&["check", &parameters, &broken]);
    assert_eq!(invalid.code, 3);
    assert!(
        invalid.err.contains("broken.ini:5: route.prefix: the workspace has no parameter 'town'")
    );
    assert!(invalid.err.contains("broken.ini:13: class other.deadline"), "{invalid:?}");
}

#[test]
fn check_finds_workspaces_that_answer_the_same_requests() {
    let template = file("clash", "template.ini", TEMPLATE);
    let one = file("clash", "one.ini", PARAMETERS);
    let other = file("clash", "other.ini", &PARAMETERS.replace("korenveld-contracts", "mills"));
    let clash = run(&["check", &template, &one, &other]);
    assert_eq!(clash.code, 3);
    assert!(clash.err.contains("answers the same requests as korenveld-contracts"), "{clash:?}");
}

#[test]
fn a_command_line_that_is_not_valid_is_told_apart() {
    assert_eq!(run(&["--help"]).code, 0);
    assert_eq!(run(&["--version"]).code, 0);
    assert_eq!(run(&["version"]).code, 0);
    for args in [
        &[][..],
        &["publsh"],
        &["check"],
        &["members"],
        &["--format", "xml", "version"],
        &["--timeout", "soon", "version"],
        &["--member", "localhost", "members"],
        &["retire", "permit", "a"],
    ] {
        assert_eq!(run(args).code, 2, "{args:?}");
    }
}

#[test]
fn publish_shows_the_base_and_the_new_version() {
    let server = StubServer::start(Member { last: 41, ..Member::default() });
    let first = publish(&server, "publish", &[]);
    assert_eq!(first.code, 0, "{first:?}");
    assert!(first.out.contains(r#""base":0"#) && first.out.contains(r#""version":42"#));
    let again = publish(&server, "publish", &[]);
    assert_eq!(again.code, 0);
    assert!(again.out.contains(r#""step":"unchanged""#), "{again:?}");
    assert_eq!(server.with_member(|member| member.attempts.len()), 1);
}

#[test]
fn of_two_operators_the_second_is_told_of_the_conflict() {
    // Concurrent changes to one base version: the second must exit with 4 and name the version
    // in force, and must not overwrite the first.
    let server = StubServer::start(Member::default());
    assert_eq!(publish(&server, "race", &[]).code, 0);
    assert_eq!(publish(&server, "race", &["--base", "1"]).code, 0);
    let second = publish(&server, "race", &["--base", "1"]);
    assert_eq!(second.code, 4, "{second:?}");
    assert!(second.err.contains("version 2 is in force"));
    assert!(second.out.contains(r#""step":"not-published""#));
}

#[test]
fn a_lost_answer_does_not_publish_twice() {
    // The record is appended but the answer is lost: the tool must find its change in force
    // instead of publishing it again.
    let server =
        StubServer::start(Member { faults: [Fault::AnswerLost].into(), ..Member::default() });
    let outcome = publish(&server, "lost", &["--timeout", "1min"]);
    assert_eq!(outcome.code, 0, "{outcome:?}");
    assert!(outcome.out.contains(r#""version":1"#));
    assert_eq!(server.with_member(|member| member.last), 1);
}

#[test]
fn a_conflict_with_the_own_record_is_none() {
    // As above, but the member has lost the record id and reports a conflict with the change
    // itself, which must not fail the command.
    let faults = [Fault::AnswerLostIdForgotten].into();
    let server = StubServer::start(Member { faults, ..Member::default() });
    let outcome = publish(&server, "own", &["--timeout", "1min"]);
    assert_eq!(outcome.code, 0, "{outcome:?}");
    assert!(outcome.out.contains(r#""version":1"#));
}

#[test]
fn each_try_of_a_change_has_the_same_record_id() {
    // With a new id per attempt, a retry would conflict with a record that was already appended.
    let faults = [Fault::LogDown, Fault::LogDown].into();
    let server = StubServer::start(Member { faults, ..Member::default() });
    assert_eq!(publish(&server, "tries", &[]).code, 0);
    let attempts = server.with_member(|member| member.attempts.clone());
    assert_eq!(attempts.len(), 3);
    assert!(attempts.iter().all(|id| *id == attempts[0]));
}

#[test]
fn a_change_that_the_member_confirms_late_is_found_in_force() {
    let server = StubServer::start(Member { faults: [Fault::Late].into(), ..Member::default() });
    let outcome = publish(&server, "late", &["--timeout", "1min"]);
    assert_eq!(outcome.code, 0, "{outcome:?}");
    assert_eq!(server.with_member(|member| member.attempts.len()), 1);
}

#[test]
fn a_conflict_after_a_lost_answer_is_still_told() {
    // A conflict answer is lost: the tool must find the other change in force and exit with 4.
    let server = StubServer::start(Member::default());
    assert_eq!(publish(&server, "both", &[]).code, 0);
    server.with_member(|member| member.faults.push_back(Fault::AnswerLost));
    let other = TEMPLATE.replace("deadline = 1s", "deadline = 2s");
    let other = file("both", "other.ini", &other);
    let args = ["--member", &server.address, "--timeout", "1min", "publish", "--base", "0", &other];
    let outcome = run(&args);
    assert_eq!(outcome.code, 4, "{outcome:?}");
}

#[test]
fn a_member_that_lags_is_named() {
    // A VM is unreachable: the change must not be reported as in force, but exit with 5 and name
    // the VM.
    let server =
        StubServer::start(Member { unresponsive: vec!["contracts-4"], ..Member::default() });
    let outcome = publish(&server, "lag", &["--timeout", "300ms"]);
    assert_eq!(outcome.code, 5, "{outcome:?}");
    assert!(outcome.err.contains("contracts-4"));
    assert!(outcome.out.contains(r#""step":"pending""#));
    let shown = run(&["--member", &server.address, "in-force"]);
    assert_eq!(shown.code, 5, "{shown:?}");
}

#[test]
fn an_outage_of_the_log_ends_with_the_time_of_the_command() {
    let faults = std::iter::repeat_n(Fault::LogDown, 1_000).collect();
    let server = StubServer::start(Member { faults, ..Member::default() });
    let outcome = publish(&server, "outage", &["--timeout", "300ms"]);
    assert_eq!(outcome.code, 5, "{outcome:?}");
    assert!(outcome.err.contains("the log is down"));
}

#[test]
fn the_next_member_is_asked_when_one_is_gone() {
    let gone = unused_address();
    assert_eq!(run(&["--member", &gone, "members"]).code, 6);
    let server = StubServer::start(Member::default());
    let both = ["--member", &gone, "--member", &server.address, "in-force"];
    assert_eq!(run(&both).code, 0);
}

#[test]
fn retire_needs_a_document_in_force() {
    let server = StubServer::start(Member::default());
    let retire = || run(&["--member", &server.address, "retire", "template", "contracts"]);
    assert_eq!(retire().code, 1);
    assert_eq!(publish(&server, "retire", &[]).code, 0);
    let retired = retire();
    assert_eq!(retired.code, 0, "{retired:?}");
    assert!(server.with_member(|member| member.documents[0].retired));
}

#[test]
fn a_refusal_of_the_member_is_shown() {
    let server = StubServer::start(Member::default());
    let outcome = run(&["--member", &server.address, "owner", "korenveld-contracts", "k 1"]);
    assert_eq!(outcome.code, 1);
    assert!(outcome.err.contains("workspace=korenveld-contracts&key=k%201"), "{outcome:?}");
}

/// Guards against a tool that hangs on a member that sends bytes without end.
#[test]
fn bytes_without_end_end_the_command() {
    let template = file("endless", "template.ini", TEMPLATE);
    for kind in Endless::ALL {
        let server = EndlessServer::start(kind, 10, b"");
        let address = server.address().to_string();
        let start = Instant::now();
        let run = run(&["--member", &address, "--timeout", "1s", "publish", &template]);
        assert_ne!(run.code, 0, "{kind:?}: {run:?}");
        assert!(start.elapsed() < Duration::from_secs(10), "{kind:?}: {:?}", start.elapsed());
    }
}
