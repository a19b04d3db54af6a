//! Services that send an answer once more when the next request has arrived, at the blocking clients.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use acaciaring_core::{Generation, Reason, Refusal, RequestId};
use acaciaring_schema::log::{Appended, Batch};
use acaciaringd::platform::{AppendError, LogClient, LogTimeouts};
use acaciaringd::upstream::{Upstream, UpstreamCall, UpstreamSettings};
use prost::Message;

/// Starts a server that repeats a header of requests that have it, and that sends each answer
/// once more before the next one on its connection.
fn serve_twice(name: &'static str, answers: Vec<(u16, Vec<u8>)>) -> SocketAddr {
    let answers = Arc::new(Mutex::new(answers.into_iter()));
    support::spawn_server(move |_, mut stream| {
        let mut copy = Vec::new();
        loop {
            let request = support::read_message(&mut stream);
            let prefix = format!("{name}: ");
            if request.is_empty() {
                return;
            }
            let id = request.lines().find_map(|line| line.strip_prefix(&prefix));
            let repeated = id.map(|id| format!("{name}: {id}\r\n")).unwrap_or_default();
            let Some((status, body)) = answers.lock().expect("lock").next() else { return };
            let length = body.len();
            let head = format!("HTTP/1.1 {status} S\r\n{repeated}content-length: {length}\r\n\r\n");
            let answer = [head.as_bytes(), &body].concat();
            if stream.write_all(&[copy, answer.clone()].concat()).is_err() {
                return;
            }
            copy = answer;
        }
    })
}

/// Guards against a request that is answered with the copy of an earlier answer.
#[test]
fn a_copy_of_an_answer_does_not_answer_the_next_request() {
    let answers = ["one", "two", "three"].map(|text| (200, text.as_bytes().to_vec()));
    let address = serve_twice("x-acaciaring-attempt", answers.into());
    let upstream = Upstream::new(UpstreamSettings::default());
    let send = |attempt| {
        let call = UpstreamCall {
            address,
            method: "GET",
            path: "/orders",
            headers: &[],
            body: b"",
            id: RequestId([0xab; 16]),
            attempt,
            left: support::WAIT_TIMEOUT,
            fence: None,
            trace: "",
        };
        upstream.send(&call).map(|answer| answer.body)
    };
    assert_eq!(send(7), Ok(b"one".to_vec()));
    assert_eq!(send(8), Err(Refusal::unknown(Reason::LostAnswer)));
    assert_eq!(send(9), Ok(b"three".to_vec()), "a new connection is used");
}

/// Guards against an append that counts as not made, by a copy of an earlier refusal, or takes the
/// offset of another one.
#[test]
fn a_copy_of_an_answer_does_not_answer_the_next_call_of_the_log() {
    let appended = |offset| (200, Appended { offset }.encode_to_vec());
    let batch = (200, Batch { oldest: 1, next: 4, start: 1, ..Batch::default() }.encode_to_vec());
    let refused = (503, b"down".to_vec());
    let answers = vec![appended(1), appended(2), refused, appended(3), batch.clone(), batch];
    let address = serve_twice("x-acaciaring-call", answers);
    let log = LogClient::new(address, LogTimeouts::default());
    let unknown = |made: Result<_, AppendError>| matches!(made, Err(AppendError::Unknown { .. }));
    assert_eq!(log.append(b"a").expect("appended"), 1);
    assert!(unknown(log.append(b"b")), "the copy of a confirmation");
    assert!(matches!(log.append(b"c"), Err(AppendError::Refused { .. })));
    assert!(unknown(log.append(b"d")), "the copy of a refusal");
    let read = || log.read(Generation::default().first(), 10, Duration::ZERO);
    assert!(read().is_ok());
    assert!(read().is_err(), "the copy of a batch");
}
