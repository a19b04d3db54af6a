//! Metrics in memory, exported in the text format of Prometheus.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;

use super::{Counter, Gauge, Timer};

/// Longest recorded duration in microseconds; longer ones are recorded as this.
const MAX_MICROS: u64 = 60_000_000;

/// Significant digits of a histogram, which determine its size in memory.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Exported quantiles.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Prefix of all metric names.
const PREFIX: &str = "acaciaring";

/// Values of all metrics since the start of the process.
#[derive(Debug)]
pub(super) struct Registry {
    counters: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
    /// Durations in microseconds.
    timers: Vec<Mutex<Times>>,
}

#[derive(Debug)]
struct Times {
    histogram: Histogram<u64>,
    sum: u64,
}

impl Default for Registry {
    fn default() -> Self {
        let zeros = |count| std::iter::repeat_with(AtomicU64::default).take(count).collect();
        let times = || {
            let histogram = Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
            Mutex::new(Times { histogram: histogram.expect("the bounds are valid"), sum: 0 })
        };
        Self {
            counters: zeros(Counter::ALL.len()),
            gauges: zeros(Gauge::ALL.len()),
            timers: std::iter::repeat_with(times).take(Timer::ALL.len()).collect(),
        }
    }
}

impl Registry {
    pub(super) fn count(&self, counter: Counter, count: u64) {
        self.counters[counter.index()].fetch_add(count, Ordering::Relaxed);
    }

    pub(super) fn gauge(&self, gauge: Gauge, value: u64) {
        self.gauges[gauge.index()].store(value, Ordering::Relaxed);
    }

    pub(super) fn time(&self, timer: Timer, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).min(MAX_MICROS);
        let mut entry = self.timers[timer.index()].lock();
        entry.histogram.saturating_record(micros);
        entry.sum = entry.sum.saturating_add(micros);
    }

    /// Returns all values in the text format of Prometheus, with durations in seconds.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for counter in Counter::ALL {
            let value = self.counters[counter.index()].load(Ordering::Relaxed);
            write_value(&mut text, &format!("{}_total", name(counter.name())), "counter", value);
        }
        for gauge in Gauge::ALL {
            let value = self.gauges[gauge.index()].load(Ordering::Relaxed);
            write_value(&mut text, &name(gauge.name()), "gauge", value);
        }
        for timer in Timer::ALL {
            let times = self.timers[timer.index()].lock();
            write_times(&mut text, &format!("{}_seconds", name(timer.name())), &times);
        }
        text
    }
}

fn name(dotted: &str) -> String {
    format!("{PREFIX}_{}", dotted.replace('.', "_"))
}

fn write_value(text: &mut String, name: &str, kind: &str, value: u64) {
    // Writing to a string cannot fail.
    _ = writeln!(text, "# TYPE {name} {kind}\n{name} {value}");
}

fn write_times(text: &mut String, name: &str, times: &Times) {
    _ = writeln!(text, "# TYPE {name} summary");
    for quantile in QUANTILES {
        let value = Duration::from_micros(times.histogram.value_at_quantile(quantile));
        _ = writeln!(text, "{name}{{quantile=\"{quantile}\"}} {}", value.as_secs_f64());
    }
    let sum = Duration::from_micros(times.sum).as_secs_f64();
    _ = writeln!(text, "{name}_sum {sum}\n{name}_count {}", times.histogram.len());
}
