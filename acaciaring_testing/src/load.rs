//! Load generator: caller threads with a seeded mix of requests, and what they saw.

mod caller;
mod check;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::error::Result;

use self::caller::Caller;

pub use self::check::{Overlap, Report, check_records, check_tokens, read_records};

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Settings of a load.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadOptions {
    /// Entries; each caller begins at its own and goes on to the next for a retry.
    pub entries: Vec<SocketAddr>,
    /// Callers that each have one request open at a time.
    pub threads: usize,
    /// Length in milliseconds.
    pub duration: u64,
    /// Requests a second of all callers together; without bound when 0.
    pub rate: f64,
    /// Seed of the mix and part of each tag and idempotency key, so another load needs another one.
    pub seed: u64,
    /// Count of keys; key `n` is asked for about `1 / n` as often as key 1.
    pub keys: u64,
    /// Most tries of a request whose verdict is not `answered`.
    pub tries: u32,
    /// Time in milliseconds after which a caller gives up a try.
    pub timeout: u64,
    /// Times in milliseconds at which the hottest keys change: 13 new ones take their places.
    pub changes: Vec<u64>,
    /// True when the entries are upstreams, whose answers carry no verdict.
    pub direct: bool,
    /// Mix of requests.
    pub classes: Vec<LoadClass>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            threads: 4,
            duration: 1000,
            rate: 0.0,
            seed: 1,
            keys: 100,
            tries: 1,
            timeout: 5000,
            changes: Vec::new(),
            direct: false,
            classes: vec![LoadClass::default()],
        }
    }
}

/// One class of requests in a load.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadClass {
    /// Name in the report.
    pub name: String,
    /// `GET`, or `POST` for all else.
    pub method: String,
    /// Path; `{key}` is replaced by the key, and a path without it has none.
    pub path: String,
    /// Share of the mix, relative to the other classes.
    pub weight: u32,
    /// True when a request may run at most once; it then carries an idempotency key.
    pub once: bool,
    /// Header `x-acaciaring-deadline` in milliseconds; none when 0.
    pub deadline: u64,
    /// Length of the body in bytes.
    pub body: usize,
    /// Further headers, for example `host`.
    pub headers: BTreeMap<String, String>,
}

impl Default for LoadClass {
    fn default() -> Self {
        Self {
            name: "read".into(),
            method: "GET".into(),
            path: "/{key}".into(),
            weight: 1,
            once: false,
            deadline: 0,
            body: 0,
            headers: BTreeMap::new(),
        }
    }
}

/// What a caller was told of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Verdict `answered`, with the caller's own whole answer.
    Answered,
    /// Verdict `answered`, with another request's answer or a broken one.
    Wrong,
    /// Verdict `not-run`.
    NotRun,
    /// Verdict `unknown`.
    Unknown,
    /// No whole answer, or one without a verdict.
    Nothing,
}

/// One request that was sent, in one or more tries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SentRequest {
    /// Unique; try `n` carries `<tag>.<n>` in the header `x-load-tag`, from 0.
    pub tag: String,
    /// Name of the class.
    pub class: String,
    /// Key, none for a service that is not divided by key.
    pub key: Option<String>,
    /// True when it may run at most once.
    pub once: bool,
    /// What was told of each try.
    pub tries: Vec<Verdict>,
    /// Status of the last try, 0 when there was none.
    pub status: u16,
    /// Reason header of the last try.
    pub reason: Option<String>,
    /// Start in microseconds of Unix time.
    pub start: u64,
    /// End in microseconds of Unix time.
    pub end: u64,
}

/// Figures of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answered requests a second.
    pub goodput: f64,
    /// Median latency of answered requests in microseconds, over all tries.
    pub p50: u64,
    /// Latency within which 99 of 100 answered requests stay, in microseconds.
    pub p99: u64,
    /// Longest latency of answered requests in microseconds.
    pub longest: u64,
}

/// What a load has shown.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LoadFigures {
    /// By class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Tries by what was told.
    pub told: BTreeMap<Verdict, u64>,
    /// Requests by the reason of their last try.
    pub reasons: BTreeMap<String, u64>,
    /// Each request; left out of the JSON.
    #[serde(skip)]
    pub sent: Vec<SentRequest>,
}

/// Runs a load to its end.
///
/// # Errors
///
/// When the options are of no use: no entry, or no class with a weight.
pub fn run_load(options: &LoadOptions) -> Result<LoadFigures> {
    caller::validate(options)?;
    let start = Instant::now();
    let callers = (0..options.threads).map(|number| Caller::new(options, number, start));
    let sent = thread::scope(|scope| {
        let threads: Vec<_> = callers.map(|caller| scope.spawn(move || caller.run())).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect()
    });
    Ok(figures(sent, start.elapsed()))
}

fn figures(sent: Vec<SentRequest>, elapsed: Duration) -> LoadFigures {
    let mut figures = LoadFigures::default();
    let mut latencies: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
    for request in &sent {
        let class = figures.classes.entry(request.class.clone()).or_default();
        class.sent += 1;
        if request.tries.last() == Some(&Verdict::Answered) {
            class.answered += 1;
            let latency = latencies.entry(request.class.clone()).or_insert_with(histogram);
            latency.saturating_record(request.end.saturating_sub(request.start).max(1));
        }
        for told in &request.tries {
            *figures.told.entry(*told).or_default() += 1;
        }
        if let Some(reason) = &request.reason {
            *figures.reasons.entry(reason.clone()).or_default() += 1;
        }
    }
    for (name, latency) in latencies {
        let class = figures.classes.entry(name).or_default();
        class.p50 = latency.value_at_quantile(0.5);
        class.p99 = latency.value_at_quantile(0.99);
        class.longest = latency.max();
        class.goodput = per_second(class.answered, elapsed);
    }
    figures.sent = sent;
    figures
}

#[allow(clippy::cast_precision_loss)]
fn per_second(count: u64, elapsed: Duration) -> f64 {
    count as f64 / elapsed.as_secs_f64()
}

/// Histogram of latencies in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the constants are valid bounds")
}
