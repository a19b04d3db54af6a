//! Load generator: client threads that send a seeded mix of requests and record the responses.

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

/// Upper bound of the latency histogram.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Precision of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Settings of a load.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadOptions {
    /// Addresses of entries; each client starts at a different one and retries at the next.
    pub entries: Vec<SocketAddr>,
    /// Number of clients; each has one request in flight.
    pub threads: usize,
    /// Duration of the load in milliseconds.
    pub duration: u64,
    /// Total requests per second; unlimited if 0.
    pub rate: f64,
    /// Seed of the mix and part of each tag and idempotency key; each load needs its own.
    pub seed: u64,
    /// Number of keys; key `n` is requested about `1 / n` as often as key 1.
    pub keys: u64,
    /// Maximum number of attempts of a request whose verdict is not `answered`.
    pub tries: u32,
    /// Timeout of an attempt in milliseconds.
    pub timeout: u64,
    /// Times in milliseconds at which the 13 hottest keys are replaced by new ones.
    pub changes: Vec<u64>,
    /// Whether the entries are upstreams, whose responses carry no verdict.
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
    /// Name of the class in the figures.
    pub name: String,
    /// `GET`; any other value means `POST`.
    pub method: String,
    /// Path, in which `{key}` is replaced by a key; requests without the placeholder have no key.
    pub path: String,
    /// Weight relative to the other classes.
    pub weight: u32,
    /// Whether a request may run at most once; if so, it carries an idempotency key.
    pub once: bool,
    /// Header `x-acaciaring-deadline` in milliseconds; omitted if 0.
    pub deadline: u64,
    /// Length of the body in bytes.
    pub body: usize,
    /// Additional headers, for example `host`.
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

/// Result of one attempt as the client observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Verdict `answered`, with the complete response to this request.
    Answered,
    /// Verdict `answered`, with a corrupt response or that of another request.
    Wrong,
    /// Verdict `not-run`.
    NotRun,
    /// Verdict `unknown`.
    Unknown,
    /// No complete response, or one without a verdict.
    Nothing,
}

/// Request sent in one or more attempts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SentRequest {
    /// Unique tag; attempt `n`, counted from 0, carries `<tag>.<n>` in the header `x-load-tag`.
    pub tag: String,
    /// Name of the class.
    pub class: String,
    /// Key, or `None` if the service is not partitioned by key.
    pub key: Option<String>,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Verdict of each attempt.
    pub tries: Vec<Verdict>,
    /// HTTP status of the last attempt, 0 if there was no response.
    pub status: u16,
    /// Header `x-acaciaring-reason` of the last attempt.
    pub reason: Option<String>,
    /// Start as Unix time in microseconds.
    pub start: u64,
    /// End as Unix time in microseconds.
    pub end: u64,
}

/// Figures of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answered requests per second.
    pub goodput: f64,
    /// Median latency of answered requests in microseconds, retries included.
    pub p50: u64,
    /// 99th percentile of the latency of answered requests, in microseconds.
    pub p99: u64,
    /// Maximum latency of answered requests, in microseconds.
    pub longest: u64,
}

/// Results of a load.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LoadFigures {
    /// Figures by class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Number of attempts by verdict.
    pub told: BTreeMap<Verdict, u64>,
    /// Number of requests by the reason header of their last attempt.
    pub reasons: BTreeMap<String, u64>,
    /// All requests; omitted from the JSON.
    #[serde(skip)]
    pub sent: Vec<SentRequest>,
}

/// Runs a load to completion.
///
/// # Errors
///
/// Returns an error if the options contain no entry, no weighted class, no keys or no attempts.
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
