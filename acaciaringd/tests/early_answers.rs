//! Answers that begin while their request is still being written, and answers without a status.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use acaciaring_core::{Reason, Refusal, RequestId};
use acaciaringd::upstream::{Upstream, UpstreamAnswer, UpstreamCall, UpstreamSettings};
use acaciaringd::web::{Client, ClientSettings, Exchange, ExchangeError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rustix::net::sockopt;
use tokio::runtime::Builder;
use tokio::time::timeout;

use self::support::{WAIT_TIMEOUT, spawn_server};

/// Length of an upload, above the capacity of the buffers of a connection.
const UPLOAD_BYTES: usize = 32 << 20;

/// Pauses between the part of an answer and the reset of its connection.
const PAUSES: [u64; 4] = [0, 1, 20, 200];

/// Heads of answers whose bodies are longer than the part that is sent.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n",
];

/// Part of a body, which is also a whole chunk.
const PART: &[u8] = b"part\r\n";

/// Status lines that state no status, or none that ends a request.
const NO_STATUS: [&str; 5] = ["000 S", "099 S", "20 OK", "2000 OK", "-200 OK"];

fn exchange(address: SocketAddr, body: usize) -> Result<Exchange, ExchangeError> {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let body = Full::new(Bytes::from(vec![b'x'; body]));
    let request = Request::post("/upload").body(body).expect("a request");
    let client = Client::new(ClientSettings::default());
    let answered = async { timeout(WAIT_TIMEOUT, client.exchange(address, request)).await };
    runtime.block_on(answered).expect("an end")
}

/// Sends a request by the blocking client.
fn send(address: SocketAddr, body: usize) -> Result<UpstreamAnswer, Refusal> {
    Upstream::new(UpstreamSettings::default()).send(&UpstreamCall {
        address,
        method: "POST",
        path: "/upload",
        headers: &[],
        body: &vec![b'x'; body],
        id: RequestId([0xab; 16]),
        attempt: 7,
        left: WAIT_TIMEOUT,
        fence: None,
        trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    })
}

/// Answers the first bytes of a request with a part of a body, and resets the connection.
fn answer_and_reset(mut stream: TcpStream, head: &str, read: usize, pause: Duration) {
    let mut buffer = vec![0; read];
    stream.read_exact(&mut buffer).expect("a part of the request");
    stream.write_all(&[head.as_bytes(), PART].concat()).expect("written");
    thread::sleep(pause);
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket option");
}

/// Guards against a part of a body that is taken for the whole one because the request could not be
/// written to its end.
#[test]
fn an_answer_that_is_reset_during_the_upload_is_lost() {
    for head in HEADS {
        for pause in PAUSES {
            for read in [1, 1 << 20] {
                let pause = Duration::from_millis(pause);
                let address =
                    spawn_server(move |_, stream| answer_and_reset(stream, head, read, pause));
                let answer = exchange(address, UPLOAD_BYTES);
                let case = format!("{head:?} after {read} bytes, reset after {pause:?}");
                let error = answer.expect_err(&case);
                assert!(error.may_have_arrived(), "{case}: {error}");
                let lost = Err(Refusal::unknown(Reason::LostAnswer));
                assert_eq!(send(address, UPLOAD_BYTES), lost, "{case}");
            }
        }
    }
}

/// Guards against an answer without a length that is lost although its connection was closed.
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let address = spawn_server(|_, mut stream| {
        let mut buffer = vec![0; 1024];
        assert!(stream.read(&mut buffer).expect("a request") > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole").expect("written");
    });
    let answer = exchange(address, 1).expect("an answer");
    assert_eq!((answer.head.status, &answer.body[..]), (StatusCode::OK, &b"whole"[..]));
}

/// Guards against an answer whose status line states no status.
#[test]
fn an_answer_without_a_status_is_lost() {
    for status in NO_STATUS {
        let address = spawn_server(move |_, mut stream| {
            let mut buffer = vec![0; 1024];
            assert!(stream.read(&mut buffer).expect("a request") > 0);
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
            stream.write_all(answer.as_bytes()).expect("written");
        });
        let error = exchange(address, 1).expect_err(status);
        assert!(error.may_have_arrived(), "{status}: {error}");
        let lost = Err(Refusal::unknown(Reason::LostAnswer));
        assert_eq!(send(address, 1), lost, "{status}");
    }
}
