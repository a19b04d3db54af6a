//! Entry: requests as the handler receives them, answers, malformed and slow clients, and drain.

mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use acaciaring_core::{Reason, Refusal, Verdict};
use acaciaringd::entry::{Entry, EntryAnswer, EntryRequest, EntrySettings, Service};

const TRACE: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Body length above the capacity of any socket buffer.
const LARGE_BODY_BYTES: usize = 32 << 20;

/// Handler that records the requests and selects the answer by path.
#[derive(Default)]
struct Handler {
    requests: Mutex<Vec<EntryRequest>>,
    held: Mutex<Option<mpsc::Receiver<()>>>,
    entered: AtomicUsize,
}

impl Handler {
    fn paths(&self) -> Vec<String> {
        let requests = self.requests.lock().expect("lock");
        requests.iter().map(|request| request.path.clone()).collect()
    }
}

impl Service for Handler {
    fn handle(&self, request: EntryRequest) -> EntryAnswer {
        self.entered.fetch_add(1, Ordering::SeqCst);
        let (path, body) = (request.path.clone(), request.body.to_vec());
        self.requests.lock().expect("lock").push(request);
        let answer = EntryAnswer {
            verdict: Verdict::Answered,
            reason: None,
            status: 200,
            headers: vec![("X-Note".into(), b"caf\xe9".into())],
            body,
            retry: None,
            owner: Some("m12".into()),
        };
        match path.as_str() {
            "/panic" => panic!("provoked by the test"),
            "/held" => drop(self.held.lock().expect("lock").take().expect("once").recv()),
            "/large" => return EntryAnswer { body: vec![b'a'; LARGE_BODY_BYTES], ..answer },
            "/empty" => return EntryAnswer { status: 204, ..answer },
            "/head" => {
                let headers = vec![("content-length".into(), b"900".into())];
                return EntryAnswer { headers, body: Vec::new(), ..answer };
            }
            _ => {}
        }
        answer
    }
}

fn start(settings: EntrySettings) -> (Entry, Arc<Handler>) {
    let handler = Arc::new(Handler::default());
    let service: Arc<dyn Service> = Arc::clone(&handler) as _;
    (Entry::start(settings, service).expect("entry"), handler)
}

/// Settings with short timeouts for slow clients.
fn short_timeouts() -> EntrySettings {
    let soon = Duration::from_millis(300);
    EntrySettings { workers: 1, uploads: 2, read: soon, idle: soon, ..EntrySettings::default() }
}

fn get(address: SocketAddr, path: &str) -> String {
    support::exchange(address, &format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n"))
}

fn is_refused(answer: &str, status: u16) -> bool {
    answer.starts_with(&format!("HTTP/1.1 {status} "))
        && answer.to_lowercase().contains("x-acaciaring-verdict: not-run")
        && answer.ends_with('}')
}

#[test]
fn whole_request_reaches_the_handler() {
    let (entry, handler) = start(EntrySettings::default());
    let request = format!(
        "PATCH /a%20b?c=%2F HTTP/1.1\r\nHost: korenveld.example\r\nIdempotency-Key: k1\r\n\
         X-Acaciaring-Deadline: 250\r\nX-Acaciaring-Fence: 1;2;3\r\nX-Own: 1\r\n\
         Connection: keep-alive, x-hop\r\nX-Hop: 1\r\nTraceparent: {TRACE}\r\n\
         Content-Length: 4\r\n\r\nbeef"
    );
    let answer = support::exchange(entry.local_addr(), &request);
    assert_eq!(
        answer,
        "HTTP/1.1 200 OK\r\nX-Note: caf\u{fffd}\r\nx-acaciaring-verdict: answered\r\n\
         x-acaciaring-owner: m12\r\ncontent-length: 4\r\n\r\nbeef"
    );
    let request = handler.requests.lock().expect("lock").pop().expect("request");
    assert_eq!((request.method.as_str(), request.path.as_str()), ("PATCH", "/a%20b?c=%2F"));
    assert_eq!(request.host.as_deref(), Some("korenveld.example"));
    assert_eq!(request.key.as_deref(), Some("k1"));
    assert_eq!(request.deadline, Some(Duration::from_millis(250)));
    assert!(request.trace.to_string().starts_with(&TRACE[..36]));
    assert!(!request.trace.to_string().contains(&TRACE[36..52]));
    let names: Vec<_> = request.headers.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["Host", "Idempotency-Key", "X-Own"]);
}

#[test]
fn large_bodies_are_whole_both_ways() {
    let (entry, _) = start(EntrySettings::default());
    let body = "0123456789".repeat(300_000);
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    let answer = support::exchange(entry.local_addr(), &(head + &body));
    assert!(answer.ends_with(&("\r\n\r\n".to_owned() + &body)));
    let chunked = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    assert!(support::exchange(entry.local_addr(), chunked).ends_with("\r\n\r\nabcde"));
}

#[test]
fn answers_without_body_keep_the_connection_in_step() {
    let (entry, _) = start(EntrySettings::default());
    let mut stream = support::connect(entry.local_addr());
    stream
        .write_all(
            b"HEAD /head HTTP/1.1\r\n\r\nGET /empty HTTP/1.1\r\n\r\nGET /end HTTP/1.1\r\n\r\n",
        )
        .expect("write");
    stream.shutdown(std::net::Shutdown::Write).expect("shutdown");
    let answers = String::from_utf8_lossy(&support::read_to_end(&mut stream)).into_owned();
    let parts: Vec<_> = answers.split("\r\n\r\n").collect();
    assert!(parts[0].contains("content-length: 900"), "{answers}");
    assert!(parts[1].starts_with("HTTP/1.1 204 No Content\r\n"), "{answers}");
    assert!(!parts[1].contains("content-length"), "{answers}");
    assert!(parts[2].starts_with("HTTP/1.1 200 OK\r\n"), "{answers}");
}

#[test]
fn refusals_have_the_documented_statuses() {
    let not_run = [
        (Reason::NoRoute, 404),
        (Reason::BadRequest, 400),
        (Reason::Busy, 503),
        (Reason::Draining, 503),
        (Reason::Expired, 504),
    ];
    for (reason, status) in not_run {
        assert_eq!(EntryAnswer::refusal(Refusal::not_run(reason)).status, status);
        assert_eq!(EntryAnswer::refusal(Refusal::unknown(reason)).status, 502);
    }
    let refusal = Refusal::not_run(Reason::Busy).after(Duration::from_millis(1200));
    let answer = EntryAnswer::refusal(refusal);
    let body = String::from_utf8(answer.body).expect("text");
    assert_eq!(body, r#"{"reason":"busy","retry_ms":1200,"verdict":"not-run"}"#);
}

/// Guards against malformed, ambiguous or aborted requests that run or disturb the requests of
/// other clients.
#[test]
fn malformed_requests_harm_nobody() {
    let (entry, handler) = start(EntrySettings { header: 2000, body: 5000, ..short_timeouts() });
    let address = entry.local_addr();
    let long = "x".repeat(3000);
    let refused = [
        ("GET nowhere HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("GET /bad#fragment HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("CONNECT /bad HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("GET /bad HTTP/1.1\r\nx-acaciaring-deadline: soon\r\n\r\n".to_owned(), 400),
        ("GET /bad HTTP/1.1\r\ncontent-length: +4\r\n\r\nbeef".to_owned(), 400),
        ("GET /bad HTTP/1.1\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nbeef".to_owned(), 400),
        (
            "GET /bad HTTP/1.1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n".into(),
            400,
        ),
        ("GET /bad HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n".to_owned(), 400),
        ("POST /bad HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nz\r\n".to_owned(), 400),
        (format!("GET /bad HTTP/1.1\r\nx-long: {long}\r\n\r\n"), 431),
        (format!("POST /bad HTTP/1.1\r\ncontent-length: 6000\r\n\r\n{long}{long}"), 413),
    ];
    let by_library = ["\r\n\r\n", "GET /bad\r\n\r\n", "GET /bad HTTP/1.1\r\nno colon\r\n\r\n"];
    let hang_ups =
        ["G", "GET /bad HTTP/1.1\r\nx", "POST /bad HTTP/1.1\r\ncontent-length: 2000\r\n\r\nx"];
    thread::scope(|scope| {
        let others = scope.spawn(|| {
            for number in 0..200 {
                let path = format!("/good/{number}");
                assert!(get(address, &path).starts_with("HTTP/1.1 200 OK\r\n"));
            }
        });
        for (request, status) in &refused {
            let answer = support::exchange(address, request);
            assert!(is_refused(&answer, *status), "{request:.80} -> {answer}");
        }
        for request in by_library {
            assert!(support::exchange(address, request).starts_with("HTTP/1.1 400 "), "{request}");
        }
        for request in hang_ups {
            support::connect(address).write_all(request.as_bytes()).expect("write");
        }
        others.join().expect("others");
    });
    assert!(support::wait_until(|| entry.in_flight() == 0));
    assert!(handler.paths().iter().all(|path| path.starts_with("/good/")));
}

/// Guards against slow uploads that occupy all workers: uploads have threads of their own, time
/// out, and are refused as busy beyond their limit.
#[test]
fn slow_bodies_hold_no_worker() {
    let (entry, handler) = start(short_timeouts());
    let address = entry.local_addr();
    let head = "POST /slow HTTP/1.1\r\ncontent-length: 5000\r\n\r\n";
    let mut slow: Vec<_> = (0..6).map(|_| support::connect(address)).collect();
    for stream in &mut slow {
        stream.write_all(head.as_bytes()).expect("write");
    }
    assert!(get(address, "/good").starts_with("HTTP/1.1 200 OK\r\n"));
    let answers: Vec<_> = slow.iter_mut().map(support::read_message).collect();
    assert!(answers.iter().all(|a| is_refused(a, 408) || is_refused(a, 503)), "{answers:?}");
    assert!(answers.iter().any(|answer| is_refused(answer, 408)));
    assert_eq!(handler.paths(), ["/good"]);
}

/// Guards against request smuggling: the rest of a body whose upload timed out must not be read as
/// the next request of the connection.
#[test]
fn rest_of_an_abandoned_body_never_runs() {
    let (entry, handler) = start(short_timeouts());
    let chunked = "POST /slow HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab";
    let stated = "POST /slow HTTP/1.1\r\ncontent-length: 5000\r\n\r\nab";
    let inner = "POST /book HTTP/1.1\r\ncontent-length: 0\r\n\r\n";
    for head in [chunked, stated] {
        let mut stream = support::connect(entry.local_addr());
        stream.write_all(head.as_bytes()).expect("write");
        assert!(is_refused(&support::read_message(&mut stream), 408));
        for _ in 0..10 {
            let _ = stream.write_all(inner.as_bytes());
            thread::sleep(Duration::from_millis(20));
        }
        let answers = String::from_utf8_lossy(&support::read_to_end(&mut stream)).into_owned();
        assert!(!answers.contains("answered"), "{answers}");
    }
    assert_eq!(handler.paths(), Vec::<String>::new());
}

/// Guards against a second answer that is written behind a truncated one on the same connection.
#[test]
fn nothing_follows_an_answer_that_was_cut_off() {
    let (entry, handler) = start(short_timeouts());
    let mut stream = support::connect(entry.local_addr());
    stream.write_all(b"GET /large HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n").expect("write");
    assert!(support::wait_until(|| handler.entered.load(Ordering::SeqCst) == 1));
    assert!(support::wait_until(|| entry.in_flight() == 0), "the answer is given up");
    let bytes = support::read_to_end(&mut stream);
    let head = bytes.windows(4).position(|end| end == b"\r\n\r\n").expect("head") + 4;
    assert!(bytes.len() - head < LARGE_BODY_BYTES, "cut off");
    assert!(bytes[head..].iter().all(|byte| *byte == b'a'), "part of one answer only");
    assert_eq!(handler.paths(), ["/large"], "what cannot be answered does not run");
    assert!(get(entry.local_addr(), "/good").starts_with("HTTP/1.1 200 OK\r\n"));
}

/// Guards against a client that blocks all workers with pipelined requests behind a slow one: they
/// wait in a queue of their connection.
#[test]
fn requests_behind_a_slow_one_hold_no_worker() {
    let (entry, handler) = start(EntrySettings { workers: 2, ..EntrySettings::default() });
    let (release, held) = mpsc::channel();
    *handler.held.lock().expect("lock") = Some(held);
    let mut eager = support::connect(entry.local_addr());
    eager.write_all(b"GET /held HTTP/1.1\r\n\r\n").expect("write");
    for number in 0..20 {
        write!(eager, "GET /{number} HTTP/1.1\r\n\r\n").expect("write");
    }
    assert!(support::wait_until(|| handler.entered.load(Ordering::SeqCst) == 1));
    for _ in 0..20 {
        assert!(get(entry.local_addr(), "/good").starts_with("HTTP/1.1 200 OK\r\n"));
    }
    release.send(()).expect("held");
    for _ in 0..=20 {
        assert!(support::read_message(&mut eager).starts_with("HTTP/1.1 200 OK\r\n"));
    }
    let own = handler.paths().into_iter().filter(|path| path != "/good");
    let order = (0..20).map(|number| format!("/{number}"));
    assert!(own.eq(["/held".to_owned()].into_iter().chain(order)));
}

#[test]
fn connection_is_usable_after_a_refused_body() {
    let (entry, _) = start(EntrySettings { body: 100, ..EntrySettings::default() });
    let mut stream = support::connect(entry.local_addr());
    let body = "x".repeat(100_000);
    let head = "POST / HTTP/1.1\r\ncontent-length: 100000\r\n\r\n";
    stream.write_all((head.to_owned() + &body).as_bytes()).expect("write");
    assert!(is_refused(&support::read_message(&mut stream), 413));
    stream.write_all(b"GET /next HTTP/1.1\r\n\r\n").expect("write");
    assert!(support::read_message(&mut stream).starts_with("HTTP/1.1 200 OK\r\n"));
}

/// Guards against an abort of the process: `tiny_http` allocates the rest of a body when it drops a
/// request, which fails for an enormous content length.
#[test]
fn absurd_length_does_not_end_the_process() {
    let (entry, _) = start(short_timeouts());
    let mut stream = support::connect(entry.local_addr());
    let length = usize::MAX / 4;
    write!(stream, "POST / HTTP/1.1\r\ncontent-length: {length}\r\n\r\n").expect("write");
    let mut status = [0; 13];
    stream.read_exact(&mut status).expect("answer");
    assert_eq!(&status, b"HTTP/1.1 413 ");
    drop(stream);
    assert!(get(entry.local_addr(), "/good").starts_with("HTTP/1.1 200 OK\r\n"));
}

#[test]
fn panic_of_the_handler_is_unknown_and_ends_no_worker() {
    let (entry, _) = start(short_timeouts());
    for _ in 0..3 {
        let answer = get(entry.local_addr(), "/panic");
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert!(answer.contains("x-acaciaring-verdict: unknown"), "{answer}");
    }
    assert!(get(entry.local_addr(), "/good").starts_with("HTTP/1.1 200 OK\r\n"));
}

/// Guards against an entry that stops accepting: the read timeout also applies to the listening
/// socket, and `tiny_http` stops at the first failure of `accept`.
#[test]
fn silent_connections_end_and_accepting_goes_on() {
    let (entry, _) = start(short_timeouts());
    let mut silent = support::connect(entry.local_addr());
    silent.write_all(b"GET /half HTTP/1.1\r\nx-ha").expect("write");
    assert_eq!(support::read_to_end(&mut silent), b"", "closed without an answer");
    thread::sleep(Duration::from_millis(1500));
    assert!(get(entry.local_addr(), "/good").starts_with("HTTP/1.1 200 OK\r\n"));
}

#[test]
fn drain_finishes_what_is_in_flight() {
    let (entry, handler) = start(EntrySettings::default());
    let address = entry.local_addr();
    let (release, held) = mpsc::channel();
    *handler.held.lock().expect("lock") = Some(held);
    let mut kept = support::connect(address);
    let caller = thread::spawn(move || get(address, "/held"));
    assert!(support::wait_until(|| handler.entered.load(Ordering::SeqCst) == 1));
    let drain = thread::spawn(move || entry.drain(support::WAIT_TIMEOUT));
    let refused = || std::net::TcpStream::connect(address).is_err();
    assert!(support::wait_until(refused), "no further connections");
    let late = support::wait_until(|| {
        kept.write_all(b"GET /late HTTP/1.1\r\n\r\n").expect("write");
        support::read_message(&mut kept).contains("x-acaciaring-reason: draining")
    });
    assert!(late, "an open connection is refused as draining");
    release.send(()).expect("held");
    assert!(caller.join().expect("caller").starts_with("HTTP/1.1 200 OK\r\n"));
    assert_eq!(drain.join().expect("drain"), 0);
}

#[test]
fn drain_reports_what_it_cuts_off() {
    let (entry, handler) = start(EntrySettings::default());
    let (release, held) = mpsc::channel();
    *handler.held.lock().expect("lock") = Some(held);
    let mut stream = support::connect(entry.local_addr());
    stream.write_all(b"GET /held HTTP/1.1\r\n\r\n").expect("write");
    assert!(support::wait_until(|| handler.entered.load(Ordering::SeqCst) == 1));
    assert_eq!(entry.drain(Duration::from_millis(50)), 1);
    release.send(()).expect("held");
}
