//! Periodic reads of a fixed set of keys, which measure the availability of each key.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use ureq::Agent;

use crate::upstream::micros;

/// Path suffix that distinguishes probes from the load in upstreams and records.
pub(super) const PROBE_SUFFIX: &str = "/probe";

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Options of the probes.
#[derive(Debug, Clone)]
pub(super) struct ProbeOptions {
    /// Name of the service that is partitioned by key.
    pub(super) service: &'static str,
    /// Probed keys; each has a thread of its own.
    pub(super) keys: Vec<String>,
    /// Entries that the fault does not affect, so that only failures of owners are measured.
    pub(super) entries: Vec<SocketAddr>,
    /// Interval between probes of a key.
    pub(super) interval: Duration,
    /// Duration of the run.
    pub(super) length: Duration,
}

/// Answers to the probes of one key.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeAnswers {
    /// Times of the answers, in microseconds of Unix time.
    pub(super) answers: Vec<u64>,
}

/// Probes all keys until the end of the run.
pub(super) fn run(options: &ProbeOptions) -> Vec<ProbeAnswers> {
    let start = Instant::now();
    thread::scope(|scope| {
        let probe = |number| scope.spawn(move || probe(options, number, start));
        let threads: Vec<_> = (0..options.keys.len()).map(probe).collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or_default()).collect()
    })
}

fn probe(options: &ProbeOptions, number: usize, start: Instant) -> ProbeAnswers {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PROBE_TIMEOUT))
        .build();
    let agent = config.new_agent();
    let path = format!("/{}/{}{PROBE_SUFFIX}", options.service, options.keys[number]);
    let count = options.keys.len();
    let mut entry = number;
    let mut probed = ProbeAnswers::default();
    // Spreads the probes of different keys over the interval.
    let mut due = start + options.interval.mul_f64(fraction(number, count));
    while due < start + options.length {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let address = options.entries[entry % options.entries.len()];
        match answered(&agent, &format!("http://{address}{path}")) {
            Some(true) => probed.answers.push(micros()),
            Some(false) => {}
            None => entry += 1,
        }
        due = (due + options.interval).max(Instant::now());
    }
    probed
}

/// Whether the upstream answered successfully; `None` when the entry did not answer.
fn answered(agent: &Agent, url: &str) -> Option<bool> {
    let mut response = agent.get(url).call().ok()?;
    let verdict = response.headers().get("x-acaciaring-verdict");
    let answered = verdict.is_some_and(|verdict| verdict == "answered");
    response.body_mut().read_to_vec().ok()?;
    Some(answered && response.status().is_success())
}

#[allow(clippy::cast_precision_loss)]
fn fraction(number: usize, count: usize) -> f64 {
    number as f64 / count.max(1) as f64
}
