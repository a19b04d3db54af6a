//! Transmission order of large answers on the link of this VM.
//!
//! Few large answers are transmitted concurrently, so that they complete one after the other and
//! short messages find a short queue at the link.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// Smallest body in bytes of an answer that waits for the link; shorter ones are sent at once.
pub const LARGE_BYTES: usize = 16 << 10;

/// Number of an answer in a queue.
pub type AnswerId = u64;

/// Limits of the concurrent transmission of large answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSettings {
    /// Bytes that the link carries per second; 0 for no limit on transmissions.
    pub rate: u64,
    /// Largest number of answers that are transmitted concurrently.
    ///
    /// A single one leaves gaps between its round trips; each one more adds what one connection has
    /// in flight to the queue of the link.
    pub concurrency: usize,
    /// Multiple of its transmission time for which an answer counts toward the limit.
    pub factor: u32,
    /// Time added to that.
    pub grace: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { rate: 0, concurrency: 2, factor: 4, grace: Duration::from_millis(200) }
    }
}

impl LinkSettings {
    /// Returns the time for which `bytes` occupy the link.
    #[must_use]
    pub const fn transmission_time(&self, bytes: u64) -> Duration {
        match bytes.saturating_mul(1_000_000).checked_div(self.rate) {
            Some(micros) => Duration::from_micros(micros),
            None => Duration::ZERO,
        }
    }

    /// Returns the longest time for which `bytes` count toward the limit.
    fn time_limit(&self, bytes: u64) -> Duration {
        self.transmission_time(bytes).saturating_mul(self.factor).saturating_add(self.grace)
    }
}

/// Large answer that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LargeAnswer {
    /// Bytes that cross the link.
    pub bytes: u64,
    /// Time by which the caller wants the answer; `None` if that is its expiry.
    pub aim: Option<Time>,
    /// Time at which the caller stops waiting.
    pub expiry: Time,
}

/// Answer whose transmission starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Started {
    /// Number of the answer.
    pub id: AnswerId,
    /// Time from which the transmission no longer counts toward the limit.
    pub until: Time,
}

/// Answer whose transmission has exceeded its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overdue {
    /// Number of the answer.
    pub id: AnswerId,
    /// Bytes of the answer.
    pub bytes: u64,
}

#[derive(Debug)]
struct Transmission {
    /// Bytes in the backlog; 0 once it is overdue and expired.
    bytes: u64,
    until: Time,
    expiry: Time,
    /// Whether it counts toward the limit.
    counted: bool,
}

/// Large answers that wait for the link or are being transmitted.
#[derive(Debug, Default)]
pub struct LinkQueue {
    settings: LinkSettings,
    /// Number of answers so far, which numbers the next one.
    count: AnswerId,
    waiting: BTreeMap<AnswerId, LargeAnswer>,
    sending: BTreeMap<AnswerId, Transmission>,
    /// Total size of both in bytes.
    backlog: u64,
}

impl LinkQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: LinkSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Adds an answer that is ready, and returns its number.
    pub fn join(&mut self, answer: LargeAnswer) -> AnswerId {
        let id = self.count;
        self.count += 1;
        self.backlog = self.backlog.saturating_add(answer.bytes);
        self.waiting.insert(id, answer);
        id
    }

    /// Removes an answer that was transmitted, or that its caller no longer waits for.
    pub fn end(&mut self, id: AnswerId) {
        let waiting = self.waiting.remove(&id).map(|answer| answer.bytes);
        let sending = || self.sending.remove(&id).map(|sending| sending.bytes);
        let bytes = waiting.or_else(sending).unwrap_or(0);
        self.backlog = self.backlog.saturating_sub(bytes);
    }

    /// Stops counting the transmissions that have exceeded their time limit, and returns them.
    ///
    /// Guards against a slow or silent receiver that blocks the answers to others. Those that have
    /// also expired leave the backlog: the connection of a receiver that died stays open for much
    /// longer, and nothing crosses the link on it.
    pub fn expire(&mut self, now: Time) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        for (&id, sending) in &mut self.sending {
            if sending.counted && sending.until <= now {
                sending.counted = false;
                overdue.push(Overdue { id, bytes: sending.bytes });
            }
            if !sending.counted && sending.expiry <= now {
                self.backlog = self.backlog.saturating_sub(sending.bytes);
                sending.bytes = 0;
            }
        }
        overdue
    }

    /// Starts transmissions up to the limit, and returns them in their order.
    pub fn start(&mut self, now: Time) -> Vec<Started> {
        let mut started = Vec::new();
        while self.has_room() {
            let Some(id) = self.next(now) else { break };
            let Some(LargeAnswer { bytes, expiry, .. }) = self.waiting.remove(&id) else { break };
            let until = now + self.settings.time_limit(bytes);
            self.sending.insert(id, Transmission { bytes, until, expiry, counted: true });
            started.push(Started { id, until });
        }
        started
    }

    /// Returns the bytes that wait or are being transmitted.
    #[must_use]
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Returns the number of answers that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of transmissions that count toward the limit.
    #[must_use]
    pub fn counted(&self) -> usize {
        self.sending.values().filter(|sending| sending.counted).count()
    }

    fn has_room(&self) -> bool {
        self.settings.rate == 0 || self.counted() < self.settings.concurrency
    }

    /// Returns the answer that is transmitted next.
    fn next(&self, now: Time) -> Option<AnswerId> {
        let order = |(id, answer): (&AnswerId, &LargeAnswer)| (self.order(now, answer), *id);
        self.waiting.iter().map(order).min().map(|(_, id)| id)
    }

    /// Returns the order of an answer: first those that can still meet their aim, by aim, then the
    /// others by expiry.
    fn order(&self, now: Time, answer: &LargeAnswer) -> (bool, Time) {
        let aim = answer.aim.unwrap_or(answer.expiry);
        let late = now + self.settings.transmission_time(answer.bytes) > aim;
        (late, if late { answer.expiry } else { aim })
    }
}
