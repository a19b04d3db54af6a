//! Stand-in for the platform's append-only log service.

mod control;
mod store;

use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_schema::log::Appended;
use crossbeam_channel::{Receiver, Sender};
use parking_lot::Mutex;
use prost::Message;
use tiny_http::{Method, Request};

use crate::error::Result;
use crate::http::{self, Http, Reply};

use self::store::{RateLimit, Store};

pub use self::control::{LogControl, LogCounts, LogOptions};

/// Header with the id of a call.
const CALL: &str = "x-acaciaring-call";

const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Number of worker threads; a long-polling read occupies none of them.
const WORKERS: usize = 64;

/// Interval of the scan for long-polling reads that have timed out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of records in a batch if the request states none.
const DEFAULT_BATCH: u64 = 1000;

/// Bytes that do not decode as a record: protobuf forbids field number 0.
const CORRUPT_RECORD: [u8; 4] = [0x07, 0xff, 0xff, 0xff];

/// Log service that runs in this process and stops when dropped.
pub struct LogServer {
    handle: LogHandle,
}

/// Handle that controls a running log service.
#[derive(Clone)]
pub struct LogHandle {
    shared: Arc<Shared>,
}

struct Shared {
    http: Arc<Http>,
    state: Mutex<State>,
    jobs: Sender<Job>,
}

struct State {
    store: Store,
    limit: RateLimit,
    counts: LogCounts,
    outage: bool,
    hang: bool,
    delay: Duration,
    lose: u32,
    /// Long-polling reads that wait for a record.
    waiting: Vec<PendingRead>,
    /// Requests left unanswered until `hang` is false.
    hanging: Vec<Request>,
}

enum Job {
    Request(Request),
    Read(PendingRead),
    Stop,
}

struct PendingRead {
    request: Request,
    from: u64,
    max: usize,
    until: Instant,
}

/// Sends an answer, which repeats the id of its call.
fn answer(request: Request, reply: Reply) {
    let call = http::header(&request, CALL).unwrap_or_default().to_owned();
    http::answer(request, http::with_header(reply, CALL, &call));
}

impl LogServer {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(options: LogOptions) -> Result<Self> {
        let now = Instant::now();
        let http = Http::start(options.address, options.connections, Duration::from_millis(1))?;
        let (jobs, queue) = crossbeam_channel::unbounded();
        let state = State {
            store: Store::new(options.retention, options.age),
            limit: RateLimit::new(now, options.rate),
            counts: LogCounts::default(),
            outage: false,
            hang: false,
            delay: Duration::ZERO,
            lose: 0,
            waiting: Vec::new(),
            hanging: Vec::new(),
        };
        let shared = Arc::new(Shared { http, state: Mutex::new(state), jobs });
        for _ in 0..WORKERS {
            let (shared, queue) = (Arc::clone(&shared), queue.clone());
            thread::spawn(move || work(&shared, &queue));
        }
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || accept(&acceptor));
        Ok(Self { handle: LogHandle { shared } })
    }

    /// Address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.shared.http.address()
    }

    /// Returns a handle that controls the service.
    #[must_use]
    pub fn handle(&self) -> LogHandle {
        self.handle.clone()
    }

    /// Closes the listening socket and all connections. The records are lost.
    pub fn stop(&self) {
        self.handle.shared.http.stop();
    }
}

impl Drop for LogServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl LogHandle {
    /// Applies the settings that `control` contains.
    pub fn set(&self, control: &LogControl) {
        self.shared.set(control);
    }

    /// Counters since the start.
    #[must_use]
    pub fn counts(&self) -> LogCounts {
        self.shared.counts()
    }

    /// Appends a record regardless of the rate limit and faults, and returns its offset.
    #[must_use = "the offset is the only trace of the record"]
    pub fn append(&self, record: Vec<u8>) -> u64 {
        self.shared.append(&mut self.shared.state.lock(), record)
    }

    /// Returns the retained records from offset `from` on, and the offset of the first one.
    #[must_use]
    pub fn records(&self, from: u64) -> (u64, Vec<Vec<u8>>) {
        let batch = self.shared.state.lock().store.batch(from, usize::MAX);
        (batch.start, batch.entries)
    }
}

fn accept(shared: &Arc<Shared>) {
    let sweeper = Arc::downgrade(shared);
    thread::spawn(move || {
        while let Some(shared) = sweeper.upgrade() {
            shared.sweep(Instant::now());
            drop(shared);
            thread::sleep(SWEEP_INTERVAL);
        }
    });
    while let Some(request) = shared.http.receive() {
        _ = shared.jobs.send(Job::Request(request));
    }
    for _ in 0..WORKERS {
        _ = shared.jobs.send(Job::Stop);
    }
}

fn work(shared: &Shared, queue: &Receiver<Job>) {
    for job in queue {
        match job {
            Job::Request(request) => shared.handle(request),
            Job::Read(read) => shared.read(read, Instant::now()),
            Job::Stop => return,
        }
    }
}

impl Shared {
    fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        if path == "/control" {
            return self.control(request);
        }
        // Reads the body before the delay, so that a slow client does not add to it.
        let body = http::body(&mut request, MAX_RECORD_BYTES);
        thread::sleep(self.state.lock().delay);
        let now = Instant::now();
        match (request.method(), path) {
            (Method::Post, "/v1/records") => self.post(request, body, now),
            (Method::Get, "/v1/records") => {
                let max = http::query(&url, "max").unwrap_or(DEFAULT_BATCH);
                let wait = http::query(&url, "wait").unwrap_or(0);
                let from = http::query(&url, "from").unwrap_or(1);
                let max = usize::try_from(max).unwrap_or(usize::MAX);
                self.read(
                    PendingRead { request, from, max, until: now + Duration::from_millis(wait) },
                    now,
                );
            }
            _ => answer(request, http::status(404)),
        }
    }

    fn post(&self, request: Request, body: Option<Vec<u8>>, now: Instant) {
        let mut state = self.state.lock();
        let Some(request) = state.refuse(request) else { return };
        let Some(record) = body else {
            return answer(request, http::status(413));
        };
        if !state.limit.take(now) {
            state.counts.limited += 1;
            return answer(request, http::status(429));
        }
        let offset = self.append(&mut state, record);
        if state.lose > 0 {
            state.lose -= 1;
            state.counts.lost += 1;
            return self.http.close(request);
        }
        drop(state);
        answer(request, http::bytes(Appended { offset }.encode_to_vec()));
    }

    fn append(&self, state: &mut State, record: Vec<u8>) -> u64 {
        state.counts.appends += 1;
        state.counts.received += record.len() as u64;
        let offset = state.store.append(Instant::now(), record);
        for read in state.waiting.extract_if(.., |read| read.from <= offset) {
            _ = self.jobs.send(Job::Read(read));
        }
        offset
    }

    fn read(&self, mut read: PendingRead, now: Instant) {
        let mut state = self.state.lock();
        let Some(request) = state.refuse(read.request) else { return };
        read.request = request;
        state.store.prune(now);
        let waits = read.from >= state.store.next() && now < read.until;
        if waits {
            return state.waiting.push(read);
        }
        let body = state.store.batch(read.from, read.max).encode_to_vec();
        state.counts.reads += 1;
        state.counts.sent += body.len() as u64;
        drop(state);
        answer(read.request, http::bytes(body));
    }

    /// Wakes reads that have timed out; in an outage, wakes all of them.
    fn sweep(&self, now: Instant) {
        let mut state = self.state.lock();
        let all = state.outage || state.hang;
        for read in state.waiting.extract_if(.., |read| all || read.until <= now) {
            _ = self.jobs.send(Job::Read(read));
        }
    }

    fn control(&self, mut request: Request) {
        if request.method() == &Method::Post {
            match http::command(&mut request) {
                Ok(control) => self.set(&control),
                Err(error) => return http::answer(request, http::bad_request(&error)),
            }
        }
        http::answer(request, http::json(&self.counts()));
    }

    fn set(&self, control: &LogControl) {
        let mut state = self.state.lock();
        state.outage = control.outage.unwrap_or(state.outage);
        state.hang = control.hang.unwrap_or(state.hang);
        state.delay = control.delay.map_or(state.delay, Duration::from_millis);
        state.lose = control.lose.unwrap_or(state.lose);
        state.store.retention = control.retention.unwrap_or(state.store.retention);
        state.store.age = control.age.map_or(state.store.age, Duration::from_millis);
        state.store.prune(Instant::now());
        if let Some(rate) = control.rate {
            state.limit = RateLimit::new(Instant::now(), rate);
        }
        for _ in 0..control.corrupt.unwrap_or(0) {
            self.append(&mut state, CORRUPT_RECORD.to_vec());
        }
        if !state.hang {
            for request in mem::take(&mut state.hanging) {
                self.http.close(request);
            }
        }
    }

    fn counts(&self) -> LogCounts {
        let state = self.state.lock();
        let oldest = state.store.batch(u64::MAX, 0).oldest;
        LogCounts { oldest, next: state.store.next(), ..state.counts }
    }
}

impl State {
    /// Refuses or holds a request during an outage; otherwise returns it.
    fn refuse(&mut self, request: Request) -> Option<Request> {
        if self.hang {
            self.hanging.push(request);
            return None;
        }
        if self.outage {
            self.counts.refused += 1;
            answer(request, http::status(503));
            return None;
        }
        Some(request)
    }
}
