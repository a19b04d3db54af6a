//! Sees what clients and servers see, and finds broken rules.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Two servers may not hold the same keys for longer.
const OVERLAP: Duration = Duration::from_millis(500);

/// A request that was read whole has an answer when its connection ends later than this after its
/// last byte was sent.
const LOST: Duration = Duration::from_millis(200);

struct Hold {
    rows: Vec<(u32, u32, u64)>,
    until: Instant,
}

#[derive(Default)]
struct Seen {
    /// Runs of each attempt: when it began, server and key.
    runs: HashMap<String, Vec<(Instant, String)>>,
    /// Final status of each attempt that may run once at most; 0 without an answer.
    once: HashMap<String, u16>,
    holds: HashMap<String, Hold>,
    /// Since when two servers hold some same keys.
    overlaps: HashMap<(String, String), Instant>,
    owner: Vec<String>,
    /// Requests around a planned stop whose connections ended without an answer: when the last byte
    /// was sent and when the connection ended.
    ended: Vec<(String, Instant, Instant)>,
    answers: HashMap<(bool, u16), usize>,
}

pub struct Judge {
    record: Arc<Record>,
    seen: Mutex<Seen>,
}

impl Judge {
    pub fn new(record: Arc<Record>) -> Self {
        Self { record, seen: Mutex::default() }
    }

    pub fn ran(&self, attempt: &str, server: &str, key: u32) {
        let mut seen = self.seen.lock().unwrap();
        let run = format!("{server} (key {key})");
        seen.runs.entry(attempt.to_owned()).or_default().push((Instant::now(), run));
    }

    pub fn answered(&self, attempt: &str, once: bool, status: u16) {
        let mut seen = self.seen.lock().unwrap();
        *seen.answers.entry((once, status)).or_default() += 1;
        if once {
            seen.once.insert(attempt.to_owned(), status);
        }
    }

    /// Records that the connection of a request that was sent whole has ended without an answer.
    pub fn ended(&self, attempt: &str, sent: Instant) {
        self.seen.lock().unwrap().ended.push((attempt.to_owned(), sent, Instant::now()));
    }

    pub fn held(&self, server: &str, rows: &[(u32, u32, u64)], until: Instant) {
        let mut seen = self.seen.lock().unwrap();
        seen.holds.insert(server.to_owned(), Hold { rows: rows.to_vec(), until });
    }

    /// Compares what the servers hold now; called every few milliseconds.
    pub fn compare(&self) {
        let now = Instant::now();
        let mut seen = self.seen.lock().unwrap();
        let mut servers: Vec<&String> = seen.holds.keys().collect();
        servers.sort();
        let mut found = Vec::new();
        for (place, one) in servers.iter().enumerate() {
            for other in &servers[place + 1..] {
                let (a, b) = (&seen.holds[*one], &seen.holds[*other]);
                if now >= a.until || now >= b.until {
                    continue;
                }
                let common: u32 = a
                    .rows
                    .iter()
                    .flat_map(|x| b.rows.iter().map(move |y| (x.0.max(y.0), x.1.min(y.1))))
                    .filter(|(first, last)| first <= last)
                    .map(|(first, last)| last - first + 1)
                    .sum();
                if common > 0 {
                    found.push(((*one).clone(), (*other).clone(), common));
                }
            }
        }
        let pairs: Vec<(String, String)> =
            found.iter().map(|(one, other, _)| (one.clone(), other.clone())).collect();
        let ended: Vec<((String, String), Instant)> = seen
            .overlaps
            .iter()
            .filter(|(pair, _)| !pairs.contains(pair))
            .map(|(pair, since)| (pair.clone(), *since))
            .collect();
        for (pair, since) in ended {
            seen.overlaps.remove(&pair);
            let ms = now.duration_since(since).as_millis();
            self.record.add(&format!("{} and {} held the same keys for {ms} ms", pair.0, pair.1));
            if now.duration_since(since) > OVERLAP {
                seen.owner.push(format!("{} and {} held the same keys for {ms} ms", pair.0, pair.1));
            }
        }
        for (one, other, common) in found {
            let pair = (one, other);
            if !seen.overlaps.contains_key(&pair) {
                self.record.add(&format!("{} and {} both hold {common} keys", pair.0, pair.1));
                seen.overlaps.insert(pair, now);
            }
        }
    }

    /// Returns how many requests were refused by a promise although they have run.
    pub fn refused(&self) -> usize {
        let seen = self.seen.lock().unwrap();
        let promised = seen.once.iter().filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503));
        promised.filter(|(attempt, _)| seen.runs.contains_key(*attempt)).count()
    }

    /// Writes the verdict; returns the broken rules with their cases.
    pub fn verdict(&self) -> Vec<String> {
        let seen = self.seen.lock().unwrap();
        let mut broken = Vec::new();
        for (attempt, status) in &seen.once {
            let runs = seen.runs.get(attempt).map_or(&[][..], Vec::as_slice);
            let places: Vec<&str> = runs.iter().map(|(_, place)| place.as_str()).collect();
            if runs.len() > 1 {
                broken.push(format!("TWICE: {attempt} ran {} times, at {}", runs.len(), places.join(", ")));
            }
            if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
                broken.push(format!("REFUSED: {attempt} was answered {status} and ran at {}", places.join(", ")));
            }
        }
        for (attempt, sent, end) in &seen.ended {
            let ms = end.duration_since(*sent).as_millis();
            let runs = seen.runs.get(attempt).map_or(&[][..], Vec::as_slice);
            // Requests that were at a server then are not counted: they may be excused.
            let waited = runs.iter().all(|(began, _)| began > end);
            if waited && end.duration_since(*sent) > LOST {
                broken.push(format!(
                    "LOST: {attempt} was at no server, and its connection ended without an answer \
                     {ms} ms after its last byte was sent"
                ));
            }
        }
        broken.extend(seen.owner.iter().map(|text| format!("OWNER: {text}")));
        broken.sort();
        let mut answers: Vec<String> = seen
            .answers
            .iter()
            .map(|((once, status), count)| {
                let kind = if *once { "non_idempotent" } else { "idempotent" };
                format!("{kind} {status}: {count}")
            })
            .collect();
        answers.sort();
        self.record.add(&format!("answers: {}", answers.join(", ")));
        for text in &broken {
            self.record.add(text);
        }
        broken
    }
}
