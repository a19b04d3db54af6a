//! Retained records and the append rate limit of the log.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use acaciaring_schema::log::Batch;

/// Limit on the records of one batch, well below the response limit of clients.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

pub(super) struct Store {
    entries: VecDeque<(Instant, Vec<u8>)>,
    /// Offset of the first entry.
    oldest: u64,
    pub(super) retention: usize,
    pub(super) age: Duration,
}

impl Store {
    pub(super) fn new(retention: usize, age: Duration) -> Self {
        Self { entries: VecDeque::new(), oldest: 1, retention, age }
    }

    /// Offset of the next record to be appended.
    pub(super) fn next(&self) -> u64 {
        self.oldest + self.entries.len() as u64
    }

    pub(super) fn append(&mut self, now: Instant, record: Vec<u8>) -> u64 {
        let offset = self.next();
        self.entries.push_back((now, record));
        self.prune(now);
        offset
    }

    /// Removes the records that exceed the retention by count or age.
    pub(super) fn prune(&mut self, now: Instant) {
        while let Some((appended, _)) = self.entries.front() {
            let old = now.saturating_duration_since(*appended) > self.age;
            if !old && self.entries.len() <= self.retention {
                return;
            }
            self.entries.pop_front();
            self.oldest += 1;
        }
    }

    pub(super) fn batch(&self, from: u64, max: usize) -> Batch {
        let start = from.max(self.oldest);
        let skipped = usize::try_from(start - self.oldest).unwrap_or(usize::MAX);
        let mut left = MAX_BATCH_BYTES;
        let mut entries = Vec::new();
        for (_, record) in self.entries.iter().skip(skipped).take(max) {
            if !entries.is_empty() && record.len() > left {
                break;
            }
            left = left.saturating_sub(record.len());
            entries.push(record.clone());
        }
        Batch { oldest: self.oldest, next: self.next(), start, entries, generation: 0 }
    }
}

/// Token bucket with a burst of one second.
pub(super) struct RateLimit {
    pub(super) rate: u32,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    pub(super) fn new(now: Instant, rate: u32) -> Self {
        Self { rate, tokens: f64::from(rate), refilled: now }
    }

    pub(super) fn take(&mut self, now: Instant) -> bool {
        let rate = f64::from(self.rate);
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
