//! Measures throughput, latency and CPU time of the entry and the upstream client.
//!
//! Compares, over loopback and in one process, direct calls of a minimal upstream, the entry alone,
//! and the entry with the upstream client. The callers are the same in all rows, so the difference
//! of two rows is the overhead. Arguments: callers, seconds per row, trials.

use std::env;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_core::{RequestId, Verdict};
use acaciaringd::clock;
use acaciaringd::entry::{Entry, EntryAnswer, EntryRequest, EntrySettings, Service};
use acaciaringd::upstream::{Upstream, UpstreamCall, UpstreamSettings};
use rustix::time::{ClockId, clock_gettime};

const REQUEST: &[u8] = b"POST /v1/orders/4711 HTTP/1.1\r\nhost: a\r\ncontent-length: 64\r\n\r\n\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 64\r\n\r\n\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const BODY_BYTES: usize = 64;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Echoes the body, or forwards the request to the upstream if there is one.
struct BenchService(Option<(Upstream, SocketAddr)>);

impl Service for BenchService {
    fn handle(&self, request: EntryRequest) -> EntryAnswer {
        let (status, headers, body) = match &self.0 {
            None => (200, Vec::new(), request.body.to_vec()),
            Some((upstream, address)) => {
                let call = UpstreamCall {
                    address: *address,
                    method: &request.method,
                    path: &request.path,
                    headers: &request.headers,
                    body: &request.body,
                    id: RequestId([1; 16]),
                    attempt: 1,
                    left: REQUEST_TIMEOUT,
                    fence: None,
                    trace: &request.trace.to_string(),
                };
                match upstream.send(&call) {
                    Ok(answer) => (answer.status, answer.headers, answer.body),
                    Err(refusal) => return EntryAnswer::refusal(refusal),
                }
            }
        };
        let (reason, retry, owner) = (None, None, None);
        let verdict = Verdict::Answered;
        EntryAnswer { verdict, reason, status, headers, body, retry, owner }
    }
}

fn main() {
    let mut arguments = env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let callers = arguments.next().unwrap_or(16);
    let span = Duration::from_secs(arguments.next().unwrap_or(3));
    let trials = arguments.next().unwrap_or(3);
    let upstream = upstream();
    let settings = || EntrySettings { workers: 32, ..EntrySettings::default() };
    let entry_only = Entry::start(settings(), Arc::new(BenchService(None))).expect("entry");
    let client = Upstream::new(UpstreamSettings::default());
    let with_upstream =
        Entry::start(settings(), Arc::new(BenchService(Some((client, upstream))))).expect("entry");
    let rows = [
        ("direct", upstream),
        ("entry", entry_only.local_addr()),
        ("entry+upstream", with_upstream.local_addr()),
    ];
    println!("{callers} callers, {span:?} a row");
    for _ in 0..trials {
        for (name, address) in rows {
            measure_row(name, address, callers, span);
        }
    }
}

/// Starts an upstream that answers each request with [`ANSWER`].
fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            stream.set_nodelay(true).expect("option");
            thread::spawn(move || {
                while exchange(&mut stream) {
                    if stream.write_all(ANSWER).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn measure_row(name: &str, address: SocketAddr, callers: u64, span: Duration) {
    let (start, busy) = (clock::now(), cpu_time());
    let caller = || {
        let mut stream = TcpStream::connect(address).expect("connect");
        stream.set_nodelay(true).expect("option");
        let mut times = Vec::new();
        let begun = Instant::now();
        while begun.elapsed() < span {
            let sent = Instant::now();
            stream.write_all(REQUEST).expect("write");
            assert!(exchange(&mut stream), "answer");
            times.push(sent.elapsed());
        }
        times
    };
    let mut times: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..callers).map(|_| scope.spawn(caller)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("caller")).collect()
    });
    let (elapsed, busy) = (clock::now().since(start), cpu_time().saturating_sub(busy));
    times.sort_unstable();
    let count = u32::try_from(times.len()).expect("count");
    println!(
        "{name:15} {:8.0} requests/s  p50 {:>9.1?}  p99 {:>9.1?}  processor {:>8.1?} a request",
        f64::from(count) / elapsed.as_secs_f64(),
        times[times.len() / 2],
        times[times.len() * 99 / 100],
        busy / count,
    );
}

/// Reads one message whose body is [`BODY_BYTES`] bytes long; false at the end of the stream.
fn exchange(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 4096];
    let mut size = 0;
    loop {
        match stream.read(&mut bytes[size..]) {
            Ok(0) | Err(_) => return false,
            Ok(read) => size += read,
        }
        let end = bytes[..size].windows(4).position(|window| window == b"\r\n\r\n");
        if end.is_some_and(|end| size == end + 4 + BODY_BYTES) {
            return true;
        }
    }
}

/// Returns the CPU time of this process.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
