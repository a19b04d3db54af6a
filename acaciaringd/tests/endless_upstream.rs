//! Services that send bytes without end in place of an answer, at the blocking clients.

use std::time::{Duration, Instant};

use acaciaring_core::{Generation, Reason, Refusal, RequestId};
use acaciaring_testing::{Endless, EndlessServer};
use acaciaringd::platform::{AppendError, LogClient, LogTimeouts};
use acaciaringd::upstream::{Upstream, UpstreamCall, UpstreamSettings};

/// Deadline of a call.
const DEADLINE: Duration = Duration::from_secs(1);

/// Time by which a call may end late, on a machine that is short of processor time.
const SLACK: Duration = Duration::from_secs(3);

/// Most bytes that a call may read, with what the buffers of its sockets take.
const MAX_READ: u64 = 96 << 20;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Checks that the connections without end are closed, and how much was read of them.
fn check_end(server: &EndlessServer, count: usize, kind: Endless) {
    let written = server.wait_for_end(count);
    assert!(written < MAX_READ * count as u64, "{kind:?}: {written} bytes were read");
}

/// Checks that a call has ended in time.
fn check_time(start: Instant, kind: Endless) {
    assert!(start.elapsed() < DEADLINE + SLACK, "{kind:?}: after {:?}", start.elapsed());
}

/// Guards against a request that is told as not run, memory that grows, and a connection that stays
/// open or is used again.
#[test]
fn the_upstream_client_gives_up_bytes_without_end() {
    for kind in Endless::ALL {
        let server = EndlessServer::start(kind, 1, ANSWER);
        let upstream = Upstream::new(UpstreamSettings::default());
        let call = UpstreamCall {
            address: server.address(),
            method: "GET",
            path: "/orders",
            headers: &[],
            body: b"",
            id: RequestId([0xab; 16]),
            attempt: 7,
            left: DEADLINE,
            fence: None,
            trace: "",
        };
        let start = Instant::now();
        assert_eq!(upstream.send(&call), Err(Refusal::unknown(Reason::LostAnswer)), "{kind:?}");
        check_time(start, kind);
        check_end(&server, 1, kind);
        assert!(upstream.send(&call).is_ok(), "{kind:?}: a new connection is used");
    }
}

/// Guards against an append that counts as not made, and a read that never ends.
#[test]
fn the_client_of_the_log_gives_up_bytes_without_end() {
    let timeouts = LogTimeouts { append: DEADLINE, read: DEADLINE, ..LogTimeouts::default() };
    for kind in Endless::ALL {
        let server = EndlessServer::start(kind, 2, ANSWER);
        let log = LogClient::new(server.address(), timeouts);
        let start = Instant::now();
        let appended = log.append(b"record");
        assert!(matches!(appended, Err(AppendError::Unknown { .. })), "{kind:?}: {appended:?}");
        check_time(start, kind);
        let start = Instant::now();
        let read = log.read(Generation::default().first(), 10, Duration::ZERO);
        assert!(read.is_err(), "{kind:?}: {read:?}");
        check_time(start, kind);
        check_end(&server, 2, kind);
    }
}
