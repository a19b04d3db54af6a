//! Metrics as statsd lines, as text, and as listed in the documentation.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use acaciaringd::config::Metrics as MetricsSettings;
use acaciaringd::metrics::{Counter, Gauge, Metrics, Timer};

const PAGE: &str = include_str!("../../docs/METRICS.md");

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn section(title: &str) -> BTreeSet<(String, String)> {
    let start = format!("### {title}\n");
    let (_, rest) = PAGE.split_once(&start).expect("the page has the section");
    let rows = rest.lines().take_while(|line| !line.starts_with('#'));
    let rows = rows.filter_map(|line| line.strip_prefix("| `")?.split_once("` | "));
    let unit = |rest: &str| rest.split(" |").next().unwrap_or_default().to_owned();
    rows.map(|(name, rest)| (name.to_owned(), unit(rest))).collect()
}

fn pairs<'a>(all: impl Iterator<Item = (&'a str, &'a str)>) -> BTreeSet<(String, String)> {
    all.map(|(name, unit)| (name.to_owned(), unit.to_owned())).collect()
}

#[test]
fn the_page_lists_each_metric_with_its_unit() {
    let counters = pairs(Counter::ALL.iter().map(|metric| (metric.name(), metric.unit())));
    let gauges = pairs(Gauge::ALL.iter().map(|metric| (metric.name(), metric.unit())));
    let timers = pairs(Timer::ALL.iter().map(|metric| (metric.name(), metric.unit())));
    assert_eq!(section("Counters"), counters);
    assert_eq!(section("Gauges"), gauges);
    assert_eq!(section("Timers"), timers);
    let total = Counter::ALL.len() + Gauge::ALL.len() + Timer::ALL.len();
    assert_eq!(counters.union(&gauges).chain(&timers).collect::<BTreeSet<_>>().len(), total);
}

#[test]
fn metrics_reach_the_server_as_statsd_lines() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    server.set_read_timeout(Some(Duration::from_millis(20))).expect("the time is valid");
    let address = server.local_addr().ok();
    let metrics = Metrics::new(&MetricsSettings { address, ..MetricsSettings::default() });
    let metrics = metrics.expect("the socket opens");
    metrics.count(Counter::RequestsAnswered, 3);
    metrics.gauge(Gauge::LeaseHeld, 1);
    metrics.time(Timer::Requests, Duration::from_millis(12));

    let expected = [
        "acaciaring.requests.answered:3|c",
        "acaciaring.lease.held:1|g",
        "acaciaring.requests.time:12|ms",
    ];
    let started = Instant::now();
    let mut text = String::new();
    let mut buffer = [0; 2048];
    while !expected.iter().all(|line| text.contains(line)) {
        assert!(started.elapsed() < WAIT_TIMEOUT, "got only {text:?}");
        // The queue's thread may not have taken the last metric yet.
        metrics.flush();
        if let Ok(size) = server.recv(&mut buffer) {
            text += &String::from_utf8_lossy(&buffer[..size]);
            text.push('\n');
        }
    }
}

#[test]
fn without_address_nothing_is_sent_and_nothing_fails() {
    let metrics = Metrics::new(&MetricsSettings::default()).expect("no socket is needed");
    metrics.count(Counter::LeaseLost, 1);
    metrics.flush();
}

// Guards against a text page that collectors cannot parse, and against counters, gauges or
// quantiles with wrong values.
#[test]
fn what_is_kept_is_read_as_text() {
    let metrics = Metrics::none().readable();
    metrics.count(Counter::RequestsNotRun, 2);
    metrics.count(Counter::RequestsNotRun, 3);
    metrics.gauge(Gauge::UpstreamBusy, 9);
    metrics.gauge(Gauge::UpstreamBusy, 4);
    for millis in [10, 10, 10, 500] {
        metrics.time(Timer::Queue, Duration::from_millis(millis));
    }
    // Above the range of the histogram: recorded as its maximum.
    metrics.time(Timer::Peer, Duration::from_hours(1));
    let text = metrics.text();
    let line = |line: &str| assert!(text.lines().any(|l| l == line), "no {line} in\n{text}");
    line("# TYPE acaciaring_requests_not_run_total counter");
    line("acaciaring_requests_not_run_total 5");
    line("acaciaring_upstream_busy 4");
    line("acaciaring_queue_time_seconds_count 4");
    line("acaciaring_queue_time_seconds_sum 0.53");
    line("acaciaring_peer_time_seconds_count 1");
    let median = text
        .lines()
        .find_map(|l| l.strip_prefix("acaciaring_queue_time_seconds{quantile=\"0.5\"} "));
    let median: f64 = median.expect("a median").parse().expect("a number");
    assert!((0.0099..0.0102).contains(&median), "{median}");
    let valid = |l: &str| l.starts_with('#') || l.split_whitespace().count() == 2;
    assert!(text.lines().all(valid), "{text}");
}
