//! Upstream client: requests as sent, answers as returned, and the verdicts of failures.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use acaciaring_core::{KeyHash, Reason, Refusal, RequestId, Token, UnitId};
use acaciaringd::upstream::{Fence, Upstream, UpstreamAnswer, UpstreamCall, UpstreamSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TRACE: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

fn call(address: SocketAddr) -> UpstreamCall<'static> {
    UpstreamCall {
        address,
        method: "GET",
        path: "/orders?at=1",
        headers: &[],
        body: b"",
        id: RequestId([0xab; 16]),
        attempt: 7,
        left: support::WAIT_TIMEOUT,
        fence: None,
        trace: TRACE,
    }
}

fn send(address: SocketAddr) -> Result<UpstreamAnswer, Refusal> {
    Upstream::new(UpstreamSettings::default()).send(&call(address))
}

fn lost() -> Result<UpstreamAnswer, Refusal> {
    Err(Refusal::unknown(Reason::LostAnswer))
}

#[test]
fn sends_the_request_as_the_caller_did() {
    let (sender, requests) = mpsc::channel();
    let address = support::spawn_server(move |_, mut stream| {
        let request = support::read_message(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        sender.send(request).expect("test waits");
    });
    let headers = [
        ("Host".to_owned(), b"contracts.example".to_vec()),
        ("X-Note".to_owned(), b"caf\xe9".to_vec()),
        ("connection".to_owned(), b"x-secret".to_vec()),
        ("x-secret".to_owned(), b"1".to_vec()),
        ("x-acaciaring-fence".to_owned(), b"0;999;999".to_vec()),
    ];
    let fence = Some(Fence { unit: UnitId::slot(3), token: Token(9), until: 123 });
    let call =
        UpstreamCall { method: "POST", headers: &headers, body: b"beef", fence, ..call(address) };
    Upstream::new(UpstreamSettings::default()).send(&call).expect("answer");

    let request = requests.recv_timeout(support::WAIT_TIMEOUT).expect("request");
    let (head, body) = request.split_once("\r\n\r\n").expect("head");
    assert_eq!(body, "beef");
    let mut lines: Vec<_> = head.lines().map(str::to_owned).collect();
    assert_eq!(lines.remove(0), "POST /orders?at=1 HTTP/1.1");
    lines.sort();
    let parent = lines.iter().position(|line| line.starts_with("traceparent: "));
    let parent = lines.remove(parent.expect("traceparent"));
    assert_eq!(parent[..49], "traceparent: 00-0af7651916cd43dd8448eb211c80319c-"[..49]);
    assert_ne!(&parent["traceparent: ".len()..], TRACE, "a hop has a span of its own");
    let deadline = lines.iter().position(|line| line.starts_with("x-acaciaring-deadline: "));
    lines.remove(deadline.expect("deadline"));
    let id = "ab".repeat(16);
    assert_eq!(
        lines,
        [
            "content-length: 4".to_owned(),
            "host: contracts.example".to_owned(),
            "x-acaciaring-attempt: 7".to_owned(),
            "x-acaciaring-fence: 3;9;123".to_owned(),
            format!("x-acaciaring-request: {id}"),
            "x-note: caf\u{fffd}".to_owned(),
        ]
    );
}

#[test]
fn hands_on_the_answer_byte_for_byte() {
    let answer = b"HTTP/1.1 418 Teapot\r\nx-note: caf\xe9\r\nkeep-alive: 5\r\nset-cookie: a\r\n\
        set-cookie: b\r\nx-acaciaring-verdict: not-run\r\ncontent-length: 3\r\n\r\n\0\xff\n";
    let answer = send(support::serve_answer(answer, false)).expect("answer");
    let headers = [("x-note", &b"caf\xe9"[..]), ("set-cookie", b"a"), ("set-cookie", b"b")];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_vec()));
    assert_eq!(answer.headers, headers);
    assert_eq!((answer.status, answer.body.as_slice(), answer.length), (418, &b"\0\xff\n"[..], 3));
}

#[test]
fn answers_without_body_state_a_length_only_for_head() {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n";
    let address = support::serve_answer(head, false);
    let call = UpstreamCall { method: "HEAD", ..call(address) };
    let answer = Upstream::new(UpstreamSettings::default()).send(&call).expect("answer");
    assert_eq!(answer.headers, [("content-length".to_owned(), b"900".to_vec())]);
    for bare in [&b"HTTP/1.1 204 No Content\r\n\r\n"[..], b"HTTP/1.1 304 Not Modified\r\n\r\n"] {
        assert_eq!(send(support::serve_answer(bare, false)).expect("answer").body, b"");
    }
    let hints = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";
    assert_eq!(send(support::serve_answer(hints, false)).expect("answer").body, b"x");
}

/// Guards against a truncated answer that is returned as complete: a body must prove its length.
#[test]
fn answer_that_was_cut_off_is_lost() {
    let cut: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
        b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf or whole",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"",
    ];
    for answer in cut {
        let text = String::from_utf8_lossy(answer);
        assert_eq!(send(support::serve_answer(answer, true)), lost(), "{text}");
    }
}

#[test]
fn whole_answer_on_a_connection_that_closes_is_whole() {
    let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole";
    assert_eq!(send(support::serve_answer(answer, true)).expect("answer").body, b"whole");
}

#[test]
fn connection_refused_is_not_run() {
    assert_eq!(send(support::unused_address()), Err(Refusal::not_run(Reason::UpstreamDown)));
}

#[test]
fn refusals_of_the_upstream_are_not_run() {
    let fence =
        b"HTTP/1.1 409 Conflict\r\nx-acaciaring-refused: fence\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send(support::serve_answer(fence, false)), Err(Refusal::not_run(Reason::NoLease)));
    let shed = b"HTTP/1.1 503 Busy\r\nx-acaciaring-refused: shed\r\nretry-after: 7\r\n\
        content-length: 0\r\n\r\n";
    let busy = Refusal::not_run(Reason::Busy).after(Duration::from_secs(7));
    assert_eq!(send(support::serve_answer(shed, false)), Err(busy));
    let late = b"HTTP/1.1 504 Late\r\nx-acaciaring-refused: deadline\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send(support::serve_answer(late, false)), Err(Refusal::not_run(Reason::Expired)));
    let conflict = b"HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send(support::serve_answer(conflict, false)).expect("answer").status, 409);
    let failed = b"HTTP/1.1 503 Down\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send(support::serve_answer(failed, false)).expect("answer").status, 503);
}

#[test]
fn request_that_is_not_http_is_not_run() {
    let address = support::serve_answer(b"", true);
    let upstream = Upstream::new(UpstreamSettings::default());
    for (method, path) in [("GET", "/a b"), ("GET", "/a#b"), ("G T", "/")] {
        let refusal = upstream.send(&UpstreamCall { method, path, ..call(address) });
        assert_eq!(refusal, Err(Refusal::not_run(Reason::BadRequest)), "{method} {path}");
    }
    let late = UpstreamCall { left: Duration::ZERO, ..call(address) };
    assert_eq!(upstream.send(&late), Err(Refusal::not_run(Reason::Expired)));
}

/// Guards against a client that repeats a request by itself, on a redirect or on a pooled
/// connection that closes: each call sends exactly one request.
#[test]
fn client_repeats_nothing() {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    let address = support::spawn_server(move |_, mut stream| {
        let moved = b"HTTP/1.1 307 Moved\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n";
        if !support::read_message(&mut stream).is_empty() {
            counter.fetch_add(1, Ordering::SeqCst);
            stream.write_all(moved).expect("write");
        }
        if !support::read_message(&mut stream).is_empty() {
            counter.fetch_add(1, Ordering::SeqCst);
        }
    });
    let upstream = Upstream::new(UpstreamSettings::default());
    assert_eq!(upstream.send(&call(address)).expect("answer").status, 307);
    assert_eq!(upstream.send(&call(address)), lost());
    assert_eq!(count.load(Ordering::SeqCst), 2);
}

/// Guards against a late answer that is returned to another request on the same connection.
#[test]
fn late_answer_reaches_nobody_else() {
    let address = support::spawn_server(|_, mut stream| {
        loop {
            let request = support::read_message(&mut stream);
            let Some(path) = request.split(' ').nth(1) else { return };
            if path.ends_with("slow") {
                thread::sleep(Duration::from_millis(60));
            }
            let length = path.len();
            let _ = write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{path}");
        }
    });
    let upstream = Upstream::new(UpstreamSettings::default());
    let (late, own) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for worker in 0..4 {
            let (upstream, late, own) = (&upstream, &late, &own);
            scope.spawn(move || {
                for number in 0..60 {
                    let slow = number % 3 == 0;
                    let path = format!("/{worker}/{number}/{}", if slow { "slow" } else { "fast" });
                    let left = if slow { Duration::from_millis(20) } else { support::WAIT_TIMEOUT };
                    match upstream.send(&UpstreamCall { path: &path, left, ..call(address) }) {
                        Ok(answer) => {
                            assert_eq!(answer.body, path.as_bytes());
                            own.fetch_add(1, Ordering::SeqCst);
                        }
                        Err(refusal) => {
                            assert!(slow, "{refusal:?}");
                            late.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                }
            });
        }
    });
    assert_eq!((late.into_inner(), own.into_inner()), (80, 160));
}

#[test]
fn cancellation_names_the_try() {
    let (sender, requests) = mpsc::channel();
    let address = support::spawn_server(move |_, mut stream| {
        sender.send(support::read_message(&mut stream)).expect("test waits");
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    });
    Upstream::new(UpstreamSettings::default()).cancel(address, 41);
    let request = requests.recv_timeout(support::WAIT_TIMEOUT).expect("request");
    assert!(request.starts_with("POST /acaciaring/cancel/41 HTTP/1.1\r\n"), "{request}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn fence_reads_what_it_writes(slot: u32, key: Option<u64>, token: u64, until: u64) {
        let unit = UnitId { slot, key: key.map(KeyHash) };
        let fence = Fence { unit, token: Token(token), until };
        prop_assert_eq!(Fence::parse(&fence.to_string()), Some(fence));
    }

    #[test]
    fn fence_reads_only_what_it_writes(value in "[0-9+ -]{0,3}(;[0-9+a]{0,3}){0,4}") {
        if let Some(fence) = Fence::parse(&value) {
            let parts: Vec<u64> = value.split(';').map(|part| part.parse().unwrap()).collect();
            prop_assert_eq!(parts, [u64::from(fence.unit.slot), fence.token.0, fence.until]);
            prop_assert!(!value.contains('+'));
        }
    }
}
