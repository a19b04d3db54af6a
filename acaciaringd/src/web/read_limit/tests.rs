//! Tests of the limit on bytes that are not the body of an answer.

use super::*;

/// Guards against informational responses without end.
#[test]
fn bytes_without_a_body_are_limited() {
    let limit = ReadLimit::default();
    let read = 1 << 16;
    let reads = (0..1000).take_while(|_| limit.add(read).is_ok()).count() as u64;
    assert_eq!(reads * read as u64, MAX_OVERHEAD_BYTES);
    limit.begin();
    assert!(limit.add(read).is_ok() && limit.received() == read as u64);
}

/// Guards against a large answer that is cut off, and against chunks of one byte without end.
#[test]
fn a_body_may_be_as_large_as_its_own_limit_but_not_its_framing() {
    let limit = ReadLimit::default();
    for _ in 0..1000 {
        assert!(limit.add(1 << 16).is_ok());
        limit.add_body(1 << 16);
    }
    limit.begin();
    let chunk = b"1\r\nx\r\n".len();
    let chunks = (0..u64::MAX).find(|_| {
        limit.add_body(1);
        limit.add(chunk).is_err()
    });
    assert!(chunks.is_some_and(|chunks| chunks < MAX_OVERHEAD_BYTES), "{chunks:?}");
}
