//! Clients of one machine: they send to its `Outbound` address.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::judge::Judge;
use crate::record::Record;
use crate::rng::Rng;

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

pub struct Clients {
    pub entry: SocketAddr,
    pub name: String,
    /// Requests a second of each client.
    pub rate: f64,
    /// Share of requests that may run once at most, in percent.
    pub once: u64,
    pub ended: Arc<AtomicBool>,
    pub record: Arc<Record>,
    pub judge: Arc<Judge>,
}

impl Clients {
    pub fn start(self, count: u64, seed: u64) {
        let clients = Arc::new(self);
        for client in 0..count {
            let clients = Arc::clone(&clients);
            thread::spawn(move || clients.run(&Rng::new(seed * 1000 + client)));
        }
    }

    fn run(&self, rng: &Rng) {
        let mut kept: Option<BufReader<TcpStream>> = None;
        while !self.ended.load(Ordering::SeqCst) {
            let pause = -((rng.below(1_000_000) + 1) as f64 / 1_000_000.0).ln() / self.rate;
            thread::sleep(Duration::from_secs_f64(pause.min(2.0)));
            let once = rng.below(100) < self.once;
            let key = rng.below(65536) as u32;
            let left = Duration::from_millis(if once { 1500 } else { 1200 });
            let until = Instant::now() + left;
            let (status, after) = self.attempt(&mut kept, once, key, until, "");
            let promise = matches!(status, 408 | 421 | 429 | 503);
            let again = promise || !once && status != 200 && !matches!(status, 400 | 401 | 404 | 413 | 431);
            let rest = until.saturating_duration_since(Instant::now());
            if again && after < rest / 3 {
                thread::sleep(after);
                // Each retry takes a new connection and has an id of its own.
                kept = None;
                self.attempt(&mut kept, once, key, until, ", sent again after a failure");
            }
        }
    }

    /// Sends one attempt; returns its status, 0 without an answer, and the pause that is asked for.
    fn attempt(
        &self,
        kept: &mut Option<BufReader<TcpStream>>,
        once: bool,
        key: u32,
        until: Instant,
        note: &str,
    ) -> (u16, Duration) {
        let id = format!("a{:08}", ATTEMPTS.fetch_add(1, Ordering::SeqCst));
        let left = until.saturating_duration_since(Instant::now());
        let answer = self.exchange(kept, &id, once, key, left);
        let status = answer.as_ref().map_or(0, Message::status);
        let kind = if once { "non_idempotent" } else { "idempotent" };
        self.record.add(&format!("client of {}: {id} ({kind}, key {key}{note}) gets {status}", self.name));
        self.judge.answered(&id, once, status);
        let after = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok())
            .unwrap_or(0.0);
        if answer.as_ref().is_none_or(Message::closes) {
            *kept = None;
        }
        (status, Duration::from_secs_f64(after.max(0.0)))
    }

    fn exchange(
        &self,
        kept: &mut Option<BufReader<TcpStream>>,
        id: &str,
        once: bool,
        key: u32,
        left: Duration,
    ) -> Option<Message> {
        if kept.is_none() {
            *kept = Some(BufReader::new(http::connect(self.entry, Duration::from_secs(2)).ok()?));
        }
        let reader = kept.as_mut()?;
        // It waits a little beyond its deadline for the final answer.
        let wait = left + Duration::from_millis(500);
        reader.get_ref().set_read_timeout(Some(wait)).ok()?;
        let (key, left) = (key.to_string(), left.as_millis().to_string());
        let headers = [
            ("Host", "mill.example"),
            ("X-Attempt-Id", id),
            ("X-Remaining-Milliseconds", left.as_str()),
            ("X-Shard-Key", key.as_str()),
        ];
        let (first, body): (_, &[u8]) =
            if once { ("POST /sign/1 HTTP/1.1", b"commitment") } else { ("GET /look/1 HTTP/1.1", b"") };
        reader.get_mut().write_all(&http::build(first, &headers, body)).ok()?;
        http::read(reader)
    }
}
