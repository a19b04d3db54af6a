//! Application servers that are granted keys in the replies to their heartbeats, and the check of
//! what they hold and run.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{BEAT, World, exchange, json, read_request, unix_millis};

/// Keys in a block; grants and checks are kept by blocks.
pub const BLOCK: u32 = 16;
const BLOCKS: usize = 4096;

/// Time for which two servers may hold the same keys (rule OWNER).
const BOTH_S: f64 = 0.5;

/// What all servers held and ran, by their own word.
pub struct Checker {
    /// By block: holder, begin and end of a hold.
    holds: Vec<Vec<Hold>>,
    /// By attempt: server incarnations that began to run it, with times and kind.
    pub runs: HashMap<String, Vec<(String, f64, bool)>>,
    /// By block: when a request began and at which incarnation.
    begun: Vec<Vec<(String, f64)>>,
}

struct Hold {
    holder: String,
    fence: u64,
    from: f64,
    until: f64,
}

impl Default for Checker {
    fn default() -> Self {
        let holds = (0..BLOCKS).map(|_| Vec::new()).collect();
        let begun = (0..BLOCKS).map(|_| Vec::new()).collect();
        Self { holds, runs: HashMap::new(), begun }
    }
}

impl Checker {
    fn hold(&mut self, holder: &str, first: u32, last: u32, fence: u64, now: f64, until: f64) {
        for block in first / BLOCK..=last / BLOCK {
            let holds = &mut self.holds[block as usize];
            match holds.iter_mut().rfind(|hold| hold.holder == holder) {
                Some(hold) if hold.until >= now && hold.fence == fence => hold.until = until,
                _ => holds.push(Hold { holder: holder.into(), fence, from: now, until }),
            }
        }
    }

    fn free(&mut self, holder: &str, first: u32, last: u32, now: f64) {
        for block in first / BLOCK..=last / BLOCK {
            for hold in self.holds[block as usize].iter_mut().filter(|hold| hold.holder == holder) {
                hold.until = hold.until.min(now);
            }
        }
    }

    /// Returns the blocks that two incarnations held for longer than the rule allows, and those on
    /// which both began requests meanwhile, with one example each.
    pub fn owner(&self) -> Vec<String> {
        let mut found: BTreeMap<(String, String), (usize, usize, String, f64)> = BTreeMap::new();
        for (block, holds) in self.holds.iter().enumerate() {
            for (index, one) in holds.iter().enumerate() {
                for other in &holds[index + 1..] {
                    if one.holder == other.holder {
                        continue;
                    }
                    let (from, until) = (one.from.max(other.from), one.until.min(other.until));
                    if until <= from {
                        continue;
                    }
                    let ran = |holder: &str| {
                        self.begun[block].iter().any(|(by, at)| by == holder && (from..until).contains(at))
                    };
                    let both = ran(&one.holder) && ran(&other.holder);
                    if until - from <= BOTH_S && !both {
                        continue;
                    }
                    let pair = (one.holder.clone(), other.holder.clone());
                    let example = format!(
                        "keys {} to {} from {from:.3} s to {until:.3} s, fences {} and {}",
                        block as u32 * BLOCK,
                        block as u32 * BLOCK + BLOCK - 1,
                        one.fence,
                        other.fence
                    );
                    let entry = found.entry(pair).or_insert((0, 0, example.clone(), 0.0));
                    entry.0 += 1;
                    entry.1 += usize::from(both);
                    if until - from > entry.3 {
                        entry.3 = until - from;
                        entry.2 = example;
                    }
                }
            }
        }
        found
            .into_iter()
            .map(|((one, other), (blocks, both, example, longest))| {
                format!(
                    "OWNER: {one} and {other} held the same {blocks} blocks of keys, for {longest:.3} s at \
                     most; both began requests on {both} of them; for example {example}"
                )
            })
            .collect()
    }

    /// Returns the requests that may run once and ran more often.
    pub fn twice(&self) -> Vec<String> {
        let mut lines: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, runs)| runs.len() > 1 && runs.iter().any(|(_, _, once)| *once))
            .map(|(id, runs)| format!("TWICE: {id} ran {} times: {runs:?}", runs.len()))
            .collect();
        lines.sort();
        lines
    }
}

#[derive(Default)]
struct State {
    /// Present incarnation; empty while the server is down.
    id: String,
    sequence: u64,
    /// Unix millisecond of its start.
    born: u128,
    rows: Vec<(u32, u32, u64)>,
    until: f64,
    freed: Vec<(u32, u32, String)>,
    /// Heartbeats that a cut holds up.
    held_up: Vec<(String, Vec<u8>)>,
}

pub struct Inner {
    world: Arc<World>,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    sharded: bool,
    state: Mutex<State>,
    /// Incarnations so far.
    lives: AtomicU64,
    /// True while heartbeats are held up on their way.
    cut: AtomicBool,
    /// True once it sends no more heartbeats.
    silent: AtomicBool,
    pub beats: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

#[derive(Clone)]
pub struct Server(pub Arc<Inner>);

impl Server {
    /// Starts a server's first incarnation.
    pub fn start(
        world: &Arc<World>,
        service: &str,
        zone: &str,
        address: SocketAddr,
        control: SocketAddr,
        sharded: bool,
    ) -> Self {
        let inner = Arc::new(Inner {
            world: Arc::clone(world),
            service: service.into(),
            zone: zone.into(),
            address,
            control,
            sharded,
            state: Mutex::default(),
            lives: AtomicU64::new(0),
            cut: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            beats: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let server = Self(inner);
        server.begin();
        let beating = server.clone();
        thread::spawn(move || {
            while !beating.0.world.done.load(Ordering::SeqCst) {
                let again = beating.beat();
                thread::sleep(if again { Duration::from_millis(90) } else { BEAT });
            }
        });
        let accepting = server.clone();
        let listener = TcpListener::bind(address).expect("the server's address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                let id = server.id();
                if id.is_empty() {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    server.0.streams.lock().unwrap().push(copy);
                }
                thread::spawn(move || server.serve(stream, &id));
            }
        });
        server
    }

    pub fn id(&self) -> String {
        self.0.state.lock().unwrap().id.clone()
    }

    /// Starts a new incarnation, which holds nothing.
    pub fn begin(&self) {
        let life = self.0.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("i-{}-{life}", self.0.address.to_string().replace(['.', ':'], ""));
        let mut state = self.0.state.lock().unwrap();
        let held_up = std::mem::take(&mut state.held_up);
        *state = State { id: id.clone(), sequence: 1, born: unix_millis(), held_up, ..State::default() };
        drop(state);
        self.0.world.record.add(format!("server {id} ({}) starts", self.0.service));
    }

    /// Ends the incarnation without a word: it holds nothing any more, its connections end.
    pub fn crash(&self) {
        let now = self.0.world.record.now();
        let mut state = self.0.state.lock().unwrap();
        let id = std::mem::take(&mut state.id);
        state.rows.clear();
        state.freed.clear();
        drop(state);
        self.0.world.checker.lock().unwrap().free(&id, 0, 65_535, now);
        for stream in self.0.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.0.world.record.add(format!("server {id} crashes"));
    }

    /// Holds up heartbeats on their way from now on.
    pub fn cut(&self) {
        self.0.cut.store(true, Ordering::SeqCst);
        self.0.world.record.add(format!("heartbeats to {} are held up from now on", self.0.control));
    }

    /// Lets new heartbeats pass again; those held up stay under way.
    pub fn heal(&self) {
        self.0.cut.store(false, Ordering::SeqCst);
        self.0.world.record.add("new heartbeats pass again");
    }

    /// Lets the heartbeats that were held up arrive, in their order.
    pub fn deliver(&self) {
        let held_up = std::mem::take(&mut self.0.state.lock().unwrap().held_up);
        for (id, request) in held_up {
            let answer = exchange(self.0.control, &request, Duration::from_secs(1));
            let text = answer.map(|answer| {
                format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body[..answer.body.len().min(200)]))
            });
            self.0.world.record.add(format!("held-up heartbeat of {id} arrives: {text:?}"));
        }
    }

    pub fn held_up(&self) -> usize {
        self.0.state.lock().unwrap().held_up.len()
    }

    /// Returns how many keys it holds now.
    pub fn held(&self) -> u32 {
        let now = self.0.world.record.now();
        let state = self.0.state.lock().unwrap();
        if state.until <= now {
            return 0;
        }
        state.rows.iter().map(|(first, last, _)| last - first + 1).sum()
    }

    /// Says that it leaves, by a call without heartbeats after it; returns true once acknowledged.
    pub fn deregister(&self) -> bool {
        let id = self.id();
        self.0.silent.store(true, Ordering::SeqCst);
        let request = format!(
            "DELETE /instances/{id} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            self.0.control
        );
        let answer = exchange(self.0.control, request.as_bytes(), Duration::from_secs(1));
        let acknowledged = answer.is_some_and(|answer| answer.status / 100 == 2);
        self.0.world.record.add(format!("DELETE of {id}, acknowledged: {acknowledged}"));
        acknowledged
    }

    /// Sends one heartbeat; returns true if another one is due at once, after a release.
    fn beat(&self) -> bool {
        let inner = &self.0;
        let sent = inner.world.record.now();
        let mut state = inner.state.lock().unwrap();
        if state.id.is_empty() || inner.silent.load(Ordering::SeqCst) {
            return false;
        }
        if state.until <= sent {
            state.rows.clear();
        }
        let id = state.id.clone();
        let freed_count = state.freed.len();
        let holds: Vec<String> =
            state.rows.iter().map(|(first, last, fence)| format!("[{first},{last},{fence}]")).collect();
        let freed: Vec<String> = state
            .freed
            .iter()
            .map(|(first, last, text)| format!("[{first},{last},\"{text}\"]"))
            .collect();
        let keys = if inner.sharded {
            format!(",\"Holds\":[{}],\"Freed\":[{}]", holds.join(","), freed.join(","))
        } else {
            String::new()
        };
        let born = if inner.world.born.load(Ordering::SeqCst) {
            format!(",\"born\":{}", state.born)
        } else {
            String::new()
        };
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":18,\
             \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":{}{born}{keys}}}",
            inner.service,
            inner.address,
            inner.zone,
            state.sequence,
        );
        state.sequence += 1;
        let request = format!(
            "PUT /instances/{id} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            inner.control,
            body.len()
        )
        .into_bytes();
        if inner.cut.load(Ordering::SeqCst) {
            state.held_up.push((id.clone(), request));
            let sequence = state.sequence - 1;
            drop(state);
            inner.world.record.add(format!("heartbeat {sequence} of {id} is held up on its way"));
            return false;
        }
        drop(state);
        let Some(answer) = exchange(inner.control, &request, Duration::from_secs(1)) else { return false };
        let now = inner.world.record.now();
        if answer.status / 100 != 2 || answer.body.len() > 4096 || now - sent > 1.0 {
            return false;
        }
        inner.beats.fetch_add(1, Ordering::SeqCst);
        self.apply(&id, sent, now, freed_count, &answer.body)
    }

    /// Applies the reply to a heartbeat.
    fn apply(&self, id: &str, sent: f64, now: f64, freed_count: usize, body: &[u8]) -> bool {
        let inner = &self.0;
        let mut state = inner.state.lock().unwrap();
        if state.id != id {
            return false;
        }
        state.freed.drain(..freed_count);
        let Some(reply) = json::parse(body) else { return false };
        let Some(rows) = reply.get("Holds") else { return false };
        let hold = reply.get("HoldMs").and_then(json::Value::number).unwrap_or(0);
        let next: Vec<(u32, u32, u64)> = rows
            .list()
            .iter()
            .filter_map(|row| {
                let number = |at: usize| row.list().get(at)?.number();
                Some((number(0)? as u32, number(1)? as u32, number(2)?))
            })
            .collect();
        let until = sent + hold as f64 / 1000.0;
        let mut checker = inner.world.checker.lock().unwrap();
        let kept = |block: u32| next.iter().any(|(first, last, _)| *first <= block && block + BLOCK - 1 <= *last);
        let mut released = Vec::new();
        for (first, last, _) in &state.rows {
            let mut begin = None;
            for block in (*first..=*last).step_by(BLOCK as usize).map(Some).chain([None]) {
                let gone = block.is_some_and(|block| !kept(block));
                match (begin, block) {
                    (None, Some(block)) if gone => begin = Some(block),
                    (Some(start), _) if !gone => {
                        released.push((start, block.map_or(*last, |block| block - 1)));
                        begin = None;
                    }
                    _ => {}
                }
            }
        }
        for (first, last) in &released {
            checker.free(id, *first, *last, now);
            let word = inner.world.ids.fetch_add(1, Ordering::SeqCst);
            state.freed.push((*first, *last, format!("{word:016x}")));
        }
        for (first, last, fence) in next.iter().filter(|_| now < until) {
            checker.hold(id, *first, *last, *fence, now, until);
        }
        drop(checker);
        let count: u32 = next.iter().map(|(first, last, _)| last - first + 1).sum();
        let before: u32 = state.rows.iter().map(|(first, last, _)| last - first + 1).sum();
        if count != before || !released.is_empty() {
            inner.world.record.add(format!(
                "server {id} holds {count} keys until {until:.3} s (before: {before}, released {} ranges)",
                released.len()
            ));
        }
        state.rows = next;
        state.until = until;
        !released.is_empty()
    }

    fn holds(&self, key: u32) -> bool {
        let state = self.0.state.lock().unwrap();
        let within = state.rows.iter().any(|(first, last, _)| (*first..=*last).contains(&key));
        within && self.0.world.record.now() < state.until
    }

    /// Serves a connection that the given incarnation accepted.
    fn serve(&self, mut stream: TcpStream, id: &str) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut rest) {
            if self.id() != id {
                return;
            }
            if request.path == "/health" {
                let text = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            let expected = request.header("x-expected-instance").is_none_or(|expected| expected == id);
            let key: Option<u32> = request.header("x-shard-key").and_then(|text| text.parse().ok());
            let held = !self.0.sharded || key.is_some_and(|key| self.holds(key));
            let head = if expected && held {
                let now = self.0.world.record.now();
                let once = request.method == "POST";
                let mut checker = self.0.world.checker.lock().unwrap();
                checker.runs.entry(attempt.clone()).or_default().push((id.to_owned(), now, once));
                if let (true, Some(key)) = (self.0.sharded, key) {
                    checker.begun[(key / BLOCK) as usize].push((id.to_owned(), now));
                }
                drop(checker);
                self.0.world.record.add(format!("run {attempt} key {key:?} at {id}"));
                thread::sleep(Duration::from_millis(20));
                if self.id() != id {
                    return;
                }
                "HTTP/1.1 200 OK\r\nX-Server-Signature: s"
            } else {
                "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1"
            };
            let body = format!("{id} {}", request.path);
            let text = format!(
                "{head}\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }
}
