//! Client of the log service: appends without effect, appends with an unknown outcome, reads.

mod support;

use std::time::Duration;

use acaciaring_schema::log::{Appended, Batch};
use acaciaringd::platform::{AppendError, LogClient, LogTimeouts};
use prost::Message;

fn client(answer: Vec<u8>, close: bool) -> LogClient {
    let answer = Box::leak(answer.into_boxed_slice());
    LogClient::new(support::serve_answer(answer, close), LogTimeouts::default())
}

fn answer(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

#[test]
fn append_returns_the_offset() {
    let body = Appended { offset: 42 }.encode_to_vec();
    assert_eq!(client(answer(200, &body), false).append(b"record").expect("offset"), 42);
}

#[test]
fn refused_appends_had_no_effect() {
    for status in [413, 429, 503] {
        let error = client(answer(status, b""), false).append(b"record").expect_err("refused");
        assert!(matches!(error, AppendError::Refused { .. }), "{error}");
    }
    let nobody = LogClient::new(support::unused_address(), LogTimeouts::default());
    assert!(matches!(nobody.append(b"record"), Err(AppendError::Refused { .. })));
}

/// Guards against an append that is reported as refused although the log may have applied it: its
/// answer was lost or truncated.
#[test]
fn append_without_answer_may_have_had_effect() {
    let body = Appended { offset: 42 }.encode_to_vec();
    let mut cut = answer(200, &body);
    cut.truncate(cut.len() - 1);
    let failed = answer(500, b"");
    let empty = answer(200, b"");
    for (bytes, close) in [(Vec::new(), true), (cut, true), (failed, false), (empty, false)] {
        let error = client(bytes, close).append(b"record").expect_err("no offset");
        assert!(matches!(error, AppendError::Unknown { .. }), "{error}");
    }
}

#[test]
fn read_returns_a_whole_batch_or_fails() {
    let batch =
        Batch { oldest: 1, next: 9, start: 8, entries: vec![b"record".to_vec()], generation: 0 };
    let whole = answer(200, &batch.encode_to_vec());
    let read = client(whole.clone(), false).read(8, 10, Duration::ZERO);
    assert_eq!(read.expect("batch"), batch);
    let cut = whole[..whole.len() - 1].to_vec();
    assert!(client(cut, true).read(8, 10, Duration::ZERO).is_err());
    assert!(client(answer(503, b""), false).read(8, 10, Duration::ZERO).is_err());
}
