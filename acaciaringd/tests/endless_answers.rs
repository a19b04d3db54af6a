//! Servers that send bytes without end in place of an answer, at the asynchronous client.

use std::future::poll_fn;
use std::task::Poll;
use std::time::{Duration, Instant};

use acaciaring_testing::{Endless, EndlessServer};
use acaciaringd::clock;
use acaciaringd::web::{Client, ClientSettings, Exchange, ExchangeError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::runtime::{Builder, Runtime};
use tokio::time::timeout;

/// Deadline of a call.
const DEADLINE: Duration = Duration::from_secs(1);

/// Time by which a call may end late, on a machine that is short of processor time.
const SLACK: Duration = Duration::from_secs(3);

/// Connections without end at the same time.
const CONNECTIONS: usize = 8;

/// Most bytes that a call may read, with what the buffers of its sockets take.
const MAX_READ: u64 = 96 << 20;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime")
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/report").body(Full::new(Bytes::from_static(b"sample"))).expect("a request")
}

/// Checks that the connections without end are closed, and how much was read of them.
fn check_end(server: &EndlessServer, count: usize, kind: Endless) {
    let written = server.wait_for_end(count);
    assert!(written < MAX_READ * count as u64, "{kind:?}: {written} bytes were read");
}

/// Checks that a call has ended in time.
fn check_time(start: Instant, kind: Endless) {
    assert!(start.elapsed() < DEADLINE + SLACK, "{kind:?}: after {:?}", start.elapsed());
}

async fn exchange(
    client: &Client,
    server: &EndlessServer,
) -> Option<Result<Exchange, ExchangeError>> {
    timeout(DEADLINE, client.exchange(server.address(), request())).await.ok()
}

/// Guards against memory that grows, a connection that stays open or is used again, and a request
/// that counts as not sent.
#[test]
fn the_client_gives_up_bytes_without_end() {
    let runtime = runtime();
    for kind in Endless::ALL {
        let server = EndlessServer::start(kind, 1, ANSWER);
        let client = Client::new(ClientSettings::default());
        let start = Instant::now();
        if let Some(ended) = runtime.block_on(exchange(&client, &server)) {
            let error = ended.expect_err("no answer");
            assert!(error.may_have_arrived(), "{kind:?}: {error}");
        }
        check_time(start, kind);
        check_end(&server, 1, kind);
        let answered = runtime.block_on(exchange(&client, &server));
        assert!(matches!(answered, Some(Ok(_))), "{kind:?}: {answered:?}");
        assert_eq!(server.accepted(), 2, "{kind:?}: a new connection is used");
    }
}

/// Guards against a few calls that take the memory or the processor time of all others.
#[test]
fn other_calls_go_on_beside_bytes_without_end() {
    for kind in Endless::ALL {
        let runtime = runtime();
        let (server, other) = (
            EndlessServer::start(kind, CONNECTIONS, ANSWER),
            EndlessServer::start(kind, 0, ANSWER),
        );
        let client =
            Client::new(ClientSettings { incomplete: 8 << 20, ..ClientSettings::default() });
        runtime.block_on(async {
            let others = async {
                let start = Instant::now();
                while start.elapsed() < DEADLINE {
                    let answered = exchange(&client, &other).await;
                    assert!(matches!(answered, Some(Ok(_))), "{kind:?}: {answered:?}");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            let endless = exchange_all(&client, &server, kind);
            tokio::join!(others, endless);
        });
        check_end(&server, CONNECTIONS, kind);
    }
}

/// Makes calls at the same time, none of which is answered.
async fn exchange_all(client: &Client, server: &EndlessServer, kind: Endless) {
    let calls = (0..CONNECTIONS).map(|_| exchange(client, server));
    let mut calls: Vec<_> = calls.map(Box::pin).collect();
    let all = poll_fn(|cx| {
        calls.retain_mut(|call| match call.as_mut().poll(cx) {
            Poll::Ready(ended) => {
                assert!(!matches!(ended, Some(Ok(_))), "{kind:?}: {ended:?}");
                false
            }
            Poll::Pending => true,
        });
        if calls.is_empty() { Poll::Ready(()) } else { Poll::Pending }
    });
    all.await;
}

/// Guards against an order that counts as not sent, and against one that ends after its deadline.
#[test]
fn a_call_with_a_deadline_gives_up_bytes_without_end() {
    let runtime = runtime();
    for kind in Endless::ALL {
        let server = EndlessServer::start(kind, 1, ANSWER);
        let client = Client::new(ClientSettings { body: 4096, ..ClientSettings::default() });
        let start = Instant::now();
        let call = async {
            let deadline = clock::now() + DEADLINE;
            client.exchange_until(server.address(), request(), None, deadline, true).await
        };
        let error = runtime.block_on(call).expect_err("no answer");
        assert!(error.may_have_arrived(), "{kind:?}: {error}");
        check_time(start, kind);
        check_end(&server, 1, kind);
    }
}
