//! Count of the answer bytes that callers have not read, with real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_core::Verdict;
use acaciaringd::entry::{Entry, EntryAnswer, EntryRequest, EntrySettings, Service};
use acaciaringd::peer::BoxFuture;
use acaciaringd::web::{
    Client, ClientSettings, ExchangeError, HeldBytes, HttpHandler, Response, Server, ServerLimits,
    text,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use tokio::runtime::{Builder, Runtime};

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Answer length above the capacity of any socket buffer.
const ANSWER_BYTES: usize = 16 << 20;
const HELD: u64 = ANSWER_BYTES as u64;

/// Time without progress after which a connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

const LARGE: &str = "GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
const SMALL: &str = "GET /small HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// Site with an answer of [`ANSWER_BYTES`] at one path.
#[derive(Default)]
struct Site {
    answered: AtomicUsize,
}

impl HttpHandler for Site {
    fn answer(&self, head: Parts, _body: Bytes) -> BoxFuture<'_, Response> {
        self.answered.fetch_add(1, Ordering::SeqCst);
        let body = if head.uri.path() == "/large" { vec![b'x'; ANSWER_BYTES] } else { Vec::new() };
        Box::pin(async { text(StatusCode::OK, body) })
    }
}

/// Listener with its count of held bytes.
struct Listener {
    server: Server,
    site: Arc<Site>,
    held: HeldBytes,
    _runtime: Runtime,
}

impl Listener {
    fn start() -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let (site, held) = (Arc::new(Site::default()), HeldBytes::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = ServerLimits { held: held.clone(), ..ServerLimits::default() };
        let server = Server::start_limited(runtime.handle(), address, site.clone(), limits);
        Self { server: server.expect("it listens"), site, held, _runtime: runtime }
    }

    fn send(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.server.local_addr()).expect("connect");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        stream.write_all(request.as_bytes()).expect("write");
        stream
    }

    fn wait_for_held(&self, bytes: u64) {
        wait_for_held(&self.held, bytes);
    }
}

fn wait_for_held(held: &HeldBytes, bytes: u64) {
    let start = Instant::now();
    while held.get() != bytes {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{} bytes are held, not {bytes}", held.get());
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads one answer and returns the length of its body.
fn read_answer(stream: &mut TcpStream) -> usize {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("a head");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.parse().ok()).expect("a length");
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("the whole body");
    assert!(body.iter().all(|byte| *byte == b'x'));
    length
}

/// Guards against answers that are not counted while callers read nothing, against callers that
/// hold up others, and against a count that stays once callers have left.
#[test]
fn answers_are_counted_until_their_callers_leave() {
    let listener = Listener::start();
    let mut callers: Vec<TcpStream> = (0..4).map(|_| listener.send(LARGE)).collect();
    listener.wait_for_held(4 * HELD);
    let mut other = listener.send(SMALL);
    assert_eq!(read_answer(&mut other), 0);
    let mut reader = callers.remove(0);
    assert_eq!(read_answer(&mut reader), ANSWER_BYTES);
    listener.wait_for_held(3 * HELD);
    // Leaves midway.
    callers[0].read_exact(&mut vec![0; 100_000]).expect("a part");
    drop(callers.remove(0));
    listener.wait_for_held(2 * HELD);
    drop(callers);
    listener.wait_for_held(0);
}

/// Guards against a connection that holds an answer for each of its pipelined requests.
#[test]
fn a_connection_that_is_not_read_holds_one_answer() {
    let listener = Listener::start();
    let mut caller = listener.send(&LARGE.repeat(4));
    listener.wait_for_held(HELD);
    // Sends as much as the connection takes, to its limit or for a while.
    caller.set_write_timeout(Some(Duration::from_millis(500))).expect("a socket option");
    let more = format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "x".repeat(4000));
    let mut sent = 0;
    while sent < ANSWER_BYTES && caller.write_all(more.as_bytes()).is_ok() {
        sent += more.len();
    }
    assert!(sent < ANSWER_BYTES, "{sent} bytes of requests were taken");
    assert_eq!(listener.held.get(), HELD);
    assert_eq!(listener.site.answered.load(Ordering::SeqCst), 1);
    for _ in 0..4 {
        assert_eq!(read_answer(&mut caller), ANSWER_BYTES);
        assert!(listener.held.get() <= HELD);
    }
    drop(caller);
    listener.wait_for_held(0);
}

/// Guards against a limit on the whole time of an answer, which would cut callers with a narrow
/// link off.
#[test]
fn a_slow_and_steady_caller_gets_its_whole_answer() {
    const CHUNKS: u32 = 256;
    const PACE: usize = ANSWER_BYTES / CHUNKS as usize;
    let listener = Listener::start();
    let mut caller = listener.send(&LARGE.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n"));
    let start = Instant::now();
    let (mut total, mut chunk) = (0, vec![0; PACE]);
    loop {
        match caller.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => {
                total += read;
                // Spreads the answer over more than the timeout of one write.
                let chunks = u32::try_from(total / PACE).expect("a count");
                let due = WRITE_TIMEOUT * 6 / 5 * chunks / CHUNKS;
                thread::sleep(due.saturating_sub(start.elapsed()));
            }
            Err(error) => panic!("after {total} bytes: {error}"),
        }
    }
    assert!(start.elapsed() > WRITE_TIMEOUT);
    assert!(total > ANSWER_BYTES, "{total} bytes");
    listener.wait_for_held(0);
}

/// Guards against a caller that stays and never reads: its answer must not be held for ever.
#[test]
fn a_caller_that_reads_nothing_is_disconnected() {
    let listener = Listener::start();
    let start = Instant::now();
    let mut caller = listener.send(LARGE);
    listener.wait_for_held(HELD);
    listener.wait_for_held(0);
    assert!(start.elapsed() >= WRITE_TIMEOUT);
    let mut part = Vec::new();
    let ended = caller.read_to_end(&mut part);
    assert!(part.len() < ANSWER_BYTES, "{ended:?}");
}

/// Upstream that sends a part of an answer of `length` bytes and then waits for its caller to leave.
fn start_stalled(length: usize, part: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                let answer = [head.as_bytes(), &vec![b'x'; part]].concat();
                // Fails if the caller refuses the answer.
                let _ = stream.read(&mut [0; 1024]).and_then(|_| stream.write_all(&answer));
                let _ = stream.read_to_end(&mut Vec::new());
            });
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/large").body(Full::default()).expect("a request")
}

/// Guards against bytes of incomplete answers that are not counted, or stay counted once the
/// request is given up.
#[test]
fn bytes_of_incomplete_answers_are_counted() {
    const PART: usize = 300_000;
    let runtime = Runtime::new().expect("a runtime");
    let address = start_stalled(ANSWER_BYTES, PART);
    let held = HeldBytes::default();
    let client = Arc::new(Client::new(ClientSettings::default()).counted(held.clone()));
    let exchanges: Vec<_> = (0..3)
        .map(|_| {
            let client = Arc::clone(&client);
            runtime.spawn(async move { client.exchange(address, request()).await.map(drop) })
        })
        .collect();
    wait_for_held(&held, 3 * PART as u64);
    exchanges[0].abort();
    wait_for_held(&held, 2 * PART as u64);
    drop(runtime);
    wait_for_held(&held, 0);
}

/// Guards against an answer that exceeds the limit of the client and is held all the same.
#[test]
fn an_answer_above_the_limit_of_the_client_is_released() {
    const LIMIT: usize = 100_000;
    let runtime = Runtime::new().expect("a runtime");
    let address = start_stalled(ANSWER_BYTES, ANSWER_BYTES);
    let held = HeldBytes::default();
    let settings = ClientSettings { body: LIMIT, ..ClientSettings::default() };
    let client = Client::new(settings).counted(held.clone());
    let exchange = runtime.block_on(client.exchange(address, request()));
    assert!(matches!(exchange, Err(ExchangeError::TooLarge { limit: LIMIT, .. })), "{exchange:?}");
    assert_eq!(held.get(), 0);
}

/// Service of the built-in entry with large answers.
struct LargeService(HeldBytes);

impl Service for LargeService {
    fn handle(&self, _request: EntryRequest) -> EntryAnswer {
        EntryAnswer {
            verdict: Verdict::Answered,
            reason: None,
            status: 200,
            headers: Vec::new(),
            body: vec![b'x'; ANSWER_BYTES],
            retry: None,
            owner: None,
        }
    }

    fn held(&self) -> HeldBytes {
        self.0.clone()
    }
}

/// Guards against answers of the built-in entry that are not counted, or stay counted once their
/// callers have left.
#[test]
fn answers_of_the_built_in_entry_are_counted() {
    let held = HeldBytes::default();
    let service = Arc::new(LargeService(held.clone()));
    let entry = Entry::start(EntrySettings::default(), service).expect("it listens");
    let mut caller = TcpStream::connect(entry.local_addr()).expect("connect");
    caller.write_all(LARGE.as_bytes()).expect("write");
    caller.read_exact(&mut vec![0; 100_000]).expect("a part");
    assert!(held.get() > HELD, "{} bytes are held", held.get());
    drop(caller);
    wait_for_held(&held, 0);
}
