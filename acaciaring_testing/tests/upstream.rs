//! Tests of the upstream stand-in over HTTP.

#[allow(dead_code)]
mod common;

use std::thread;

use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{Echo, UpstreamControl, UpstreamOptions, UpstreamServer, body_hash};

use common::{Answer, BOUND, get, post};

fn unfenced() -> UpstreamOptions {
    UpstreamOptions { fenced: false, ..UpstreamOptions::default() }
}

/// Sends a request with a fencing token that expires in `left` ms.
fn fenced(upstream: &UpstreamServer, slot: &str, token: u64, left: u64) -> Answer {
    let until = upstream.handle().clock() + left;
    let fence = format!("{slot};{token};{until}");
    get(upstream.address(), "/key", &[("x-acaciaring-fence", &fence)]).unwrap()
}

#[test]
fn answer_echoes_the_request() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    let answer = post(upstream.address(), "/a/b?c=d", b"body").unwrap();
    let echo: Echo = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((echo.path.as_str(), echo.length), ("/a/b?c=d", 4));
    assert_eq!(echo.hash, body_hash(b"body"));
    let records = upstream.handle().records();
    assert_eq!((records.len(), records[0].path.as_str()), (1, "/a/b?c=d"));
    assert!(records[0].end >= records[0].start);
}

// A former owner resumes from a pause and forwards a request after its lease has expired or a newer
// owner has sent one: the request does not run.
#[test]
fn fence_refuses_an_old_token_and_an_expired_lease() {
    let upstream = UpstreamServer::start(UpstreamOptions::default()).unwrap();
    assert_eq!(fenced(&upstream, "3", 10, 60_000).status, 200);
    assert_eq!(fenced(&upstream, "3", 12, 60_000).status, 200);
    let old = fenced(&upstream, "3", 11, 60_000);
    assert_eq!((old.status, old.refused.as_deref()), (409, Some("fence")));
    assert_eq!(fenced(&upstream, "4", 11, 60_000).status, 200);
    assert_eq!(fenced(&upstream, "3", 13, 0).status, 409);
    assert_eq!(get(upstream.address(), "/key", &[]).unwrap().status, 409);
    let tokens: Vec<u64> = upstream.handle().records().iter().map(|run| run.token).collect();
    assert_eq!(tokens, [10, 12, 11]);
}

// A request runs longer than the lease of the member that forwarded it. The second check refuses
// and reverts it.
#[test]
fn second_check_reverts_a_run_that_outlived_its_lease() {
    let options = UpstreamOptions { recheck: true, ..UpstreamOptions::default() };
    let upstream = UpstreamServer::start(options).unwrap();
    let control = UpstreamControl { service: Some(300.0), ..UpstreamControl::default() };
    upstream.handle().set(&control);
    assert_eq!(fenced(&upstream, "3", 10, 100).status, 409);
    let records = upstream.handle().records();
    assert!(records.is_empty() || records[0].reverted);
    upstream.handle().set(&UpstreamControl { service: Some(1.0), ..UpstreamControl::default() });
    assert_eq!(fenced(&upstream, "3", 10, 60_000).status, 200);
    assert!(!upstream.handle().records().last().unwrap().reverted);
}

// The response is dropped after the request has run: the client sees a closed connection.
#[test]
fn dropped_answer_has_run() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    upstream.handle().set(&UpstreamControl { lose: Some(1), ..UpstreamControl::default() });
    assert!(post(upstream.address(), "/x", b"").is_err());
    assert_eq!(upstream.handle().records().len(), 1);
    assert_eq!(post(upstream.address(), "/x", b"").unwrap().status, 200);
}

// Models a crash during the response: the head is complete, the body shorter than stated.
#[test]
fn cut_body_is_shorter_than_stated() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    upstream.handle().set(&UpstreamControl { cut: Some(1), ..UpstreamControl::default() });
    let agent = common::agent(BOUND);
    let mut answer = agent.get(format!("http://{}/x", upstream.address())).call().unwrap();
    assert_eq!(answer.status(), 200);
    assert!(answer.body_mut().read_to_vec().is_err());
}

#[test]
fn more_than_slots_and_queue_is_shed() {
    let options = UpstreamOptions { slots: 1, queue: 1, ..unfenced() };
    let upstream = UpstreamServer::start(options).unwrap();
    let control = UpstreamControl { service: Some(500.0), ..UpstreamControl::default() };
    upstream.handle().set(&control);
    let address = upstream.address();
    let callers: Vec<_> =
        (0..8).map(|_| thread::spawn(move || get(address, "/x", &[]).unwrap())).collect();
    let answers: Vec<Answer> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let ran = answers.iter().filter(|answer| answer.status == 200).count();
    let shed = answers.iter().filter(|a| a.status == 503 && a.refused.as_deref() == Some("shed"));
    assert_eq!(shed.count() + ran, 8);
    assert!((1..8).contains(&ran));
    assert_eq!(upstream.handle().records().len(), ran);
}

#[test]
fn passed_deadline_does_not_run() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    let answer = get(upstream.address(), "/x", &[("x-acaciaring-deadline", "0")]).unwrap();
    assert_eq!(answer.refused.as_deref(), Some("deadline"));
    assert!(upstream.handle().records().is_empty());
}

#[test]
fn cancelled_run_ends_early() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    let control = UpstreamControl { service: Some(60_000.0), ..UpstreamControl::default() };
    upstream.handle().set(&control);
    let address = upstream.address();
    let caller = thread::spawn(move || get(address, "/x", &[("x-acaciaring-attempt", "7")]));
    wait_until("run", BOUND, || upstream.handle().records().len() == 1).unwrap();
    let answer = post(address, "/acaciaring/cancel/7", b"").unwrap();
    assert_eq!(answer.body, br#"{"known":true}"#);
    assert!(caller.join().unwrap().is_err(), "a cancelled run must get no response");
    assert!(upstream.handle().records()[0].cancelled);
}

// Requests received while the upstream is frozen run when the freeze ends.
#[test]
fn frozen_upstream_resumes_after_the_freeze() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    upstream.handle().set(&UpstreamControl { frozen: Some(true), ..UpstreamControl::default() });
    let address = upstream.address();
    let caller = thread::spawn(move || get(address, "/x", &[]).unwrap().status);
    thread::sleep(std::time::Duration::from_millis(100));
    assert!(upstream.handle().records().is_empty());
    post(address, "/control", br#"{"frozen": false}"#).unwrap();
    assert_eq!(caller.join().unwrap(), 200);
}

#[test]
fn health_may_lie() {
    let upstream = UpstreamServer::start(unfenced()).unwrap();
    let lie = br#"{"lie": {"healthy": false, "load": 0.75}}"#;
    post(upstream.address(), "/control", lie).unwrap();
    let health = get(upstream.address(), "/acaciaring/health", &[]).unwrap();
    assert_eq!(health.body, br#"{"healthy":false,"load":0.75}"#);
}

#[test]
fn announcement_carries_address_and_phase() {
    let member = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let announce = member.server_addr().to_ip();
    let upstream = UpstreamServer::start(UpstreamOptions { announce, ..unfenced() }).unwrap();
    upstream.handle().set(&UpstreamControl { draining: Some(true), ..UpstreamControl::default() });
    let mut text = String::new();
    while !text.contains("draining") {
        let mut request = member.recv_timeout(BOUND).unwrap().expect("announcement");
        assert_eq!(request.url(), "/v1/announce");
        text.clear();
        request.as_reader().read_to_string(&mut text).unwrap();
        let answer = tiny_http::Response::from_string(r#"{"member": 12, "leased": true}"#);
        request.respond(answer).unwrap();
    }
    let announced: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(announced["address"], upstream.address().to_string());
    assert_eq!(announced["slots"], 20);
    wait_until("answer", BOUND, || upstream.handle().announced().is_some()).unwrap();
    assert_eq!(upstream.handle().announced().unwrap().member, 12);
}
