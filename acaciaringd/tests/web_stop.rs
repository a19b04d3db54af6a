//! Drain of the HTTP listener for callers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use acaciaringd::peer::BoxFuture;
use acaciaringd::web::{HttpHandler, Response, Server, text};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::request::Parts;
use tokio::runtime::{Builder, Runtime};

/// Upper bound of a drain; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Answer length above the capacity of any socket buffer.
const ANSWER_BYTES: usize = 16 << 20;

/// Site with an answer of [`ANSWER_BYTES`] for each request.
struct Large;

impl HttpHandler for Large {
    fn answer(&self, _head: Parts, _body: Bytes) -> BoxFuture<'_, Response> {
        Box::pin(async { text(StatusCode::OK, vec![b'x'; ANSWER_BYTES]) })
    }
}

fn start() -> (Runtime, Server) {
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let address = ([127, 0, 0, 1], 0).into();
    let server = Server::start(runtime.handle(), address, Arc::new(Large)).expect("it listens");
    (runtime, server)
}

/// Guards against a drain that ends, and with it the process, before an answer to a slow client is
/// written completely.
#[test]
fn a_stop_waits_until_answers_are_written() {
    let (_runtime, server) = start();
    let mut caller = TcpStream::connect(server.local_addr()).expect("connect");
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("write");
    caller.peek(&mut [0]).expect("the answer has begun");
    thread::scope(|scope| {
        let drain = scope.spawn(|| server.drain(WAIT_TIMEOUT));
        thread::sleep(Duration::from_millis(300));
        assert!(!drain.is_finished(), "the process would end with {ANSWER_BYTES} bytes under way");
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).expect("the whole answer, then the end");
        assert!(answer.len() > ANSWER_BYTES);
        assert_eq!(drain.join().expect("it ends"), 0);
    });
}

/// Guards against a drain that waits for connections without a request.
#[test]
fn a_stop_waits_for_no_idle_connection() {
    let (_runtime, server) = start();
    let unused = TcpStream::connect(server.local_addr()).expect("connect");
    let mut idle = TcpStream::connect(server.local_addr()).expect("connect");
    idle.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("write");
    let mut left = ANSWER_BYTES;
    let mut buffer = vec![0; 1 << 16];
    while left > 0 {
        left = left.saturating_sub(idle.read(&mut buffer).expect("the answer"));
    }
    let start = Instant::now();
    assert_eq!(server.drain(WAIT_TIMEOUT), 0);
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "{:?}", start.elapsed());
    drop((unused, idle));
}
