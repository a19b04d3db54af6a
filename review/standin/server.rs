//! An application server beside one node: it beats to `Control` and runs the requests whose keys it
//! holds.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::judge::Judge;
use crate::record::Record;
use crate::rng::Rng;

pub const BEAT: Duration = Duration::from_millis(870);
pub const SLOTS: usize = 18;
const CONNECTIONS: usize = 110;
/// A reply later than this does not acknowledge a beat.
const REPLY_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone)]
struct Row {
    first: u32,
    last: u32,
    fence: u64,
    /// The server was told to release it, and still works on it.
    leaving: bool,
}

struct State {
    rows: Vec<Row>,
    until: Instant,
    freed: Vec<(u32, u32, String)>,
    /// Keys of the requests that run.
    work: Vec<u32>,
    /// Highest fencing token seen for each key.
    fences: Vec<u64>,
}

/// Shares of the requests and answers that a disruption spoils, in thousandths.
#[derive(Default)]
pub struct Trouble {
    /// Requests that are turned away as by a full server.
    pub shed: AtomicU64,
    /// Answers that are sent once more, late.
    pub extra: AtomicU64,
}

pub struct Settings {
    pub name: String,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub keyed: bool,
    pub address: SocketAddr,
    /// Where its beats go.
    pub control: SocketAddr,
    /// Time that a request takes, in milliseconds.
    pub work: u64,
}

pub struct Server {
    pub settings: Settings,
    pub trouble: Arc<Trouble>,
    state: Mutex<State>,
    sequence: AtomicU64,
    open: AtomicUsize,
    pub ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
    judge: Arc<Judge>,
    rng: Rng,
}

impl Server {
    pub fn start(
        settings: Settings,
        trouble: Arc<Trouble>,
        record: Arc<Record>,
        judge: Arc<Judge>,
        seed: u64,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(settings.address).expect("the server listens");
        listener.set_nonblocking(true).expect("an option");
        let state = State {
            rows: Vec::new(),
            until: Instant::now(),
            freed: Vec::new(),
            work: Vec::new(),
            fences: vec![0; 65536],
        };
        record.add(&format!("server {} of {} starts beside {}", settings.id, settings.service, settings.name));
        let server = Arc::new(Self {
            settings,
            trouble,
            state: Mutex::new(state),
            sequence: AtomicU64::new(1),
            open: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            record,
            judge,
            rng: Rng::new(seed),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || accepting.accept(&listener));
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                let began = Instant::now();
                let again = beating.beat();
                let pause = if again { Duration::from_millis(90) } else { BEAT };
                thread::sleep(pause.saturating_sub(began.elapsed()));
            }
        });
        server
    }

    /// Ends without a word: its connections close, and it holds nothing.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let mut state = self.state.lock().unwrap();
        state.rows.clear();
        self.judge.held(&self.settings.id, &[], Instant::now());
        self.record.add(&format!("server {} crashes", self.settings.id));
    }

    /// Returns the number of keys that it holds.
    pub fn keys(&self) -> u32 {
        let state = self.state.lock().unwrap();
        if Instant::now() >= state.until {
            return 0;
        }
        state.rows.iter().map(|row| row.last - row.first + 1).sum()
    }

    fn expire(&self, state: &mut State, now: Instant) {
        if now >= state.until && !state.rows.is_empty() {
            let keys: u32 = state.rows.iter().map(|row| row.last - row.first + 1).sum();
            self.record.add(&format!("server {}: its hold of {keys} keys runs out", self.settings.id));
            state.rows.clear();
        }
    }

    /// Sends one beat; returns true while keys are to be released.
    fn beat(&self) -> bool {
        let sent = Instant::now();
        let mut state = self.state.lock().unwrap();
        self.expire(&mut state, sent);
        Self::release(&mut state, &self.settings.id);
        let rows: Vec<String> = state
            .rows
            .iter()
            .map(|row| format!("[{},{},{}]", row.first, row.last, row.fence))
            .collect();
        let freed: Vec<String> = state
            .freed
            .iter()
            .map(|(first, last, word)| format!("[{first},{last},\"{word}\"]"))
            .collect();
        let told = state.freed.len();
        drop(state);
        let Settings { id, service, zone, address, keyed, .. } = &self.settings;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let holds = if *keyed {
            format!(",\"Holds\":[{}],\"Freed\":[{}]", rows.join(","), freed.join(","))
        } else {
            String::new()
        };
        let body = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Sequence\":{sequence}{holds}}}"
        );
        let host = self.settings.control.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        let request = http::build(&format!("PUT /instances/{id} HTTP/1.1"), &headers, body.as_bytes());
        let reply = http::call(self.settings.control, &request, REPLY_LIMIT);
        let timely = sent.elapsed() <= REPLY_LIMIT && !self.ended.load(Ordering::SeqCst);
        let Some(reply) = reply.filter(|reply| timely && (200..300).contains(&reply.status())) else {
            self.record.add(&format!("server {id}: beat {sequence} with {} rows gets no answer", rows.len()));
            return false;
        };
        let mut state = self.state.lock().unwrap();
        state.freed.drain(..told);
        self.apply(&mut state, &String::from_utf8_lossy(&reply.body), sent, sequence);
        state.rows.iter().any(|row| row.leaving) || !state.freed.is_empty()
    }

    /// Applies the keys that a reply grants.
    fn apply(&self, state: &mut State, reply: &str, sent: Instant, sequence: u64) {
        let id = &self.settings.id;
        let Some((granted, hold)) = grants(reply) else {
            if self.settings.keyed {
                self.record.add(&format!("server {id}: reply to beat {sequence} renews nothing"));
            }
            return;
        };
        let now = Instant::now();
        self.expire(state, now);
        // What is no longer granted is released once nothing runs on it.
        let mut rows: Vec<Row> = Vec::new();
        for row in &state.rows {
            let mut rest = vec![(row.first, row.last)];
            for (first, last, _) in &granted {
                rest = rest.into_iter().flat_map(|part| without(part, (*first, *last))).collect();
            }
            rows.extend(rest.into_iter().map(|(first, last)| Row { first, last, leaving: true, ..*row }));
        }
        for (first, last, fence) in granted {
            let range = first as usize..=last as usize;
            if state.fences[range.clone()].iter().any(|seen| *seen > fence) {
                self.record.add(&format!("server {id}: does not accept {first}-{last} under {fence}"));
                continue;
            }
            state.fences[range].fill(fence);
            rows.push(Row { first, last, fence, leaving: false });
        }
        let before = summary(&state.rows);
        state.rows = rows;
        state.until = sent + Duration::from_millis(hold);
        let after = summary(&state.rows);
        if before != after {
            self.record.add(&format!("server {id}: beat {sequence}, holds {after} for {hold} ms"));
        }
        Self::release(state, id);
        let held: Vec<(u32, u32, u64)> =
            state.rows.iter().map(|row| (row.first, row.last, row.fence)).collect();
        self.judge.held(id, &held, state.until);
    }

    /// Gives up the rows that are to be released and on which nothing runs.
    fn release(state: &mut State, id: &str) {
        let State { rows, freed, work, .. } = state;
        rows.retain(|row| {
            let busy = work.iter().any(|key| (row.first..=row.last).contains(key));
            if row.leaving && !busy {
                freed.push((row.first, row.last, format!("{id}{:05}", row.first)));
            }
            !row.leaving || busy
        });
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if self.open.load(Ordering::SeqCst) >= CONNECTIONS {
                continue;
            }
            self.open.fetch_add(1, Ordering::SeqCst);
            self.streams.lock().unwrap().push(stream.try_clone().expect("a copy"));
            let server = Arc::clone(self);
            thread::spawn(move || {
                server.serve(stream);
                server.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    /// Serves one request after the other on a connection.
    fn serve(&self, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a copy");
        let mut reader = BufReader::new(stream);
        // A second copy of the last answer, sent where the next answer is expected.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = http::read(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if let Some(extra) = extra.take() {
                if out.write_all(&extra).is_err() {
                    return;
                }
                self.record.add(&format!(
                    "server {}: an extra answer goes out, as {} has arrived",
                    self.settings.id,
                    request.header("x-attempt-id").unwrap_or("-")
                ));
            }
            let answer = self.answer(&request);
            if out.write_all(&answer).is_err() {
                return;
            }
            let thousandths = self.trouble.extra.load(Ordering::SeqCst);
            if thousandths > 0 && self.rng.chance(thousandths as f64 / 1000.0) {
                extra = Some(answer);
            }
            if request.closes() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let Settings { id, keyed, work, .. } = &self.settings;
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        let not_run = |status: &str| {
            let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Instance-Id", id.as_str()), ("X-Not-Executed", "1")];
            http::build(&format!("HTTP/1.1 {status}"), &headers, b"")
        };
        if attempt.is_empty() {
            return not_run("400 Bad Request");
        }
        if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
            self.record.add(&format!("server {id}: 421 to {attempt}, for another server"));
            return not_run("421 Misdirected Request");
        }
        let shed = self.trouble.shed.load(Ordering::SeqCst);
        let key: Option<u32> = request.header("x-shard-key").and_then(|text| text.parse().ok());
        let mut state = self.state.lock().unwrap();
        if *keyed {
            self.expire(&mut state, Instant::now());
            let held = key.is_some_and(|key| {
                state.rows.iter().any(|row| !row.leaving && (row.first..=row.last).contains(&key))
            });
            if !held {
                drop(state);
                self.record.add(&format!("server {id}: 421 to {attempt}, key not held"));
                return not_run("421 Misdirected Request");
            }
        }
        if state.work.len() >= SLOTS || shed > 0 && self.rng.chance(shed as f64 / 1000.0) {
            drop(state);
            self.record.add(&format!("server {id}: 503 to {attempt}, not executed"));
            return not_run("503 Service Unavailable");
        }
        let key = key.unwrap_or(0);
        state.work.push(key);
        drop(state);
        self.record.add(&format!("server {id}: runs {attempt}"));
        self.judge.ran(&attempt, id, key);
        thread::sleep(Duration::from_millis(work / 2 + self.rng.below(*work)));
        let mut state = self.state.lock().unwrap();
        if let Some(place) = state.work.iter().position(|other| *other == key) {
            state.work.remove(place);
        }
        let outlasted = *keyed && Instant::now() >= state.until;
        drop(state);
        let status = if outlasted { "500 Internal Server Error" } else { "200 OK" };
        let signature = format!("{id}.{attempt}");
        let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Server-Signature", signature.as_str())];
        http::build(&format!("HTTP/1.1 {status}"), &headers, format!("body of {attempt}").as_bytes())
    }
}

/// Returns what is left of a range without another one.
fn without(part: (u32, u32), other: (u32, u32)) -> Vec<(u32, u32)> {
    if other.1 < part.0 || part.1 < other.0 {
        return vec![part];
    }
    let mut rest = Vec::new();
    if part.0 < other.0 {
        rest.push((part.0, other.0 - 1));
    }
    if other.1 < part.1 {
        rest.push((other.1 + 1, part.1));
    }
    rest
}

fn summary(rows: &[Row]) -> String {
    let keys: u32 = rows.iter().map(|row| row.last - row.first + 1).sum();
    let top = rows.iter().map(|row| row.fence).max().unwrap_or(0);
    format!("{keys} keys in {} rows, fences up to {top}", rows.len())
}

/// Reads the rows and the time of a reply: `{"Holds":[[0,4095,7,""]],"HoldMs":4000}`.
fn grants(reply: &str) -> Option<(Vec<(u32, u32, u64)>, u64)> {
    let list = reply.split_once("\"Holds\":[")?.1;
    let time = reply.split_once("\"HoldMs\":")?.1;
    let time = time.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()?;
    let mut rows = Vec::new();
    let list = list.split_once("]]").map_or("", |(list, _)| list);
    for row in list.split('[').skip(1) {
        let mut parts = row.split(',');
        let mut number = || parts.next()?.trim().parse::<u64>().ok();
        rows.push((number()? as u32, number()? as u32, number()?));
    }
    Some((rows, time))
}
