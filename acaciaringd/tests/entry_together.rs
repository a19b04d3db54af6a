//! Connections that are opened to the entry at the same time.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use acaciaring_core::Verdict;
use acaciaringd::entry::{Entry, EntryAnswer, EntryRequest, EntrySettings, Service};

use support::{connect, read_message};

/// Connections that are opened at the same time.
const CONNECTION_COUNT: usize = 16;

/// Repetitions of the burst.
const ROUNDS: usize = 20;

/// Timeout of an answer, far below the idle timeout of the entry.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

struct Answering;

impl Service for Answering {
    fn handle(&self, _: EntryRequest) -> EntryAnswer {
        EntryAnswer {
            verdict: Verdict::Answered,
            reason: None,
            status: 200,
            headers: Vec::new(),
            body: Vec::new(),
            retry: None,
            owner: None,
        }
    }
}

// Guards against a new connection that is not served while the entry is idle: the HTTP library
// counts a waiting thread as free until it wakes up, and may assign it two connections.
#[test]
fn each_of_many_new_connections_is_answered() {
    let settings = EntrySettings { idle: Duration::from_mins(1), ..EntrySettings::default() };
    let entry = Entry::start(settings, Arc::new(Answering)).expect("the entry starts");
    let address = entry.local_addr();
    let mut open = Vec::new();
    for round in 0..ROUNDS {
        let start = Barrier::new(CONNECTION_COUNT);
        let streams: Vec<TcpStream> = thread::scope(|scope| {
            let ask = || scope.spawn(|| ask(address, &start));
            let threads: Vec<_> = (0..CONNECTION_COUNT).map(|_| ask()).collect();
            threads.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect()
        });
        assert_eq!(streams.len(), CONNECTION_COUNT, "answered in round {round}");
        open.extend(streams);
    }
}

/// Sends a request on a new connection; returns the connection when it was answered.
fn ask(address: SocketAddr, start: &Barrier) -> Option<TcpStream> {
    start.wait();
    let mut stream = connect(address);
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
    read_message(&mut stream).starts_with("HTTP/1.1 200").then_some(stream)
}
