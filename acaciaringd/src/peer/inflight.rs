//! Tracking of messages that are being handled, so that a stop can wait for their answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

/// Kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Request,
    Fetch,
    Call,
}

impl Kind {
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Fetch => "fetch",
            Self::Call => "call",
        }
    }
}

/// What a message waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its handler is running.
    Running,
    /// Its answer waits for the link.
    Queued,
    /// Its answer is written and not acknowledged yet.
    Answering,
    /// Its connection ended before the answer was acknowledged; the sender may still fetch it.
    Kept,
}

impl Stage {
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Queued => "queued",
            Self::Answering => "answering",
            Self::Kept => "kept",
        }
    }
}

/// Message in flight, as the logs name it.
#[derive(Debug, Clone)]
pub(super) struct Message {
    pub kind: Kind,
    /// Attempt that a request or fetch belongs to; zero for a call.
    pub attempt: u64,
    pub from: SocketAddr,
    /// Random id of the sender's run of its process.
    pub process: u64,
    pub stage: Stage,
    /// When the message was received.
    pub since: Instant,
    /// When its stage began.
    pub changed: Instant,
    /// When its sender stops waiting for the answer; `None` if that is not known.
    pub until: Option<Instant>,
    /// Set once its sender waits no longer: it has the answer, or has given up.
    pub released: bool,
}

impl Message {
    pub fn new(now: Instant, kind: Kind, attempt: u64, from: SocketAddr) -> Self {
        Self {
            kind,
            attempt,
            from,
            process: 0,
            stage: Stage::Running,
            since: now,
            changed: now,
            until: None,
            released: false,
        }
    }

    /// Returns whether the sender waits for the answer.
    fn is_awaited(&self, now: Instant) -> bool {
        !self.released && self.until.is_none_or(|until| now < until)
    }
}

/// Keeps the messages in flight and refuses new ones once it is closed.
#[derive(Debug, Default)]
pub(super) struct InflightTracker(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    messages: HashMap<u64, Message>,
    /// Number of messages so far, which numbers the next one.
    count: u64,
    closed: bool,
    /// True while requests are refused, but not calls.
    requests_closed: bool,
    /// Set once a message ended without being settled.
    uncertain: bool,
}

impl InflightTracker {
    /// Tracks a message until the guard is dropped; `None` once the tracker is closed.
    pub fn try_track(self: &Arc<Self>, message: Message) -> Option<InflightGuard> {
        let mut inner = self.0.lock();
        if inner.closed || (inner.requests_closed && message.kind == Kind::Request) {
            return None;
        }
        Some(self.add(&mut inner, message))
    }

    /// Tracks a message, even if the tracker is closed.
    pub fn track(self: &Arc<Self>, message: Message) -> InflightGuard {
        self.add(&mut self.0.lock(), message)
    }

    fn add(self: &Arc<Self>, inner: &mut Inner, message: Message) -> InflightGuard {
        let id = inner.count;
        inner.count += 1;
        inner.messages.insert(id, message);
        InflightGuard { tracker: Arc::clone(self), id, settled: false }
    }

    /// Refuses further messages.
    pub fn close(&self) {
        self.0.lock().closed = true;
    }

    /// Refuses further requests.
    pub fn close_requests(&self) {
        self.0.lock().requests_closed = true;
    }

    /// Records that the sender of an attempt waits for no answer any more.
    pub fn release(&self, attempt: u64) {
        for message in self.0.lock().messages.values_mut() {
            message.released |= message.kind != Kind::Call && message.attempt == attempt;
        }
    }

    /// Records that a process has stopped, and waits for no answers any more.
    pub fn release_process(&self, process: u64) {
        for message in self.0.lock().messages.values_mut() {
            message.released |= message.process == process;
        }
    }

    /// Returns the messages in flight whose senders wait for the answer.
    pub fn awaited(&self, now: Instant) -> Vec<Message> {
        let inner = self.0.lock();
        inner.messages.values().filter(|message| message.is_awaited(now)).cloned().collect()
    }

    /// Returns the number of requests whose senders wait for the answer.
    pub fn awaited_requests(&self, now: Instant) -> usize {
        let inner = self.0.lock();
        let awaited = inner.messages.values().filter(|message| message.is_awaited(now));
        awaited.filter(|message| message.kind != Kind::Call).count()
    }

    /// Returns whether the tracker is closed and every message was settled.
    ///
    /// A message that is no longer awaited is not settled: its sender may be late and read the close
    /// first.
    pub fn is_settled(&self) -> bool {
        let inner = self.0.lock();
        inner.closed && inner.messages.is_empty() && !inner.uncertain
    }
}

/// Message in flight; if it is dropped before it is settled, its effect is unknown.
#[derive(Debug)]
pub(super) struct InflightGuard {
    tracker: Arc<InflightTracker>,
    id: u64,
    settled: bool,
}

impl InflightGuard {
    /// Records what the message waits for from now on.
    pub fn set_stage(&self, now: Instant, stage: Stage) {
        if let Some(message) = self.tracker.0.lock().messages.get_mut(&self.id) {
            message.stage = stage;
            message.changed = now;
        }
    }

    /// Ends a message whose answer the sender has, or that had no effect.
    pub fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        let mut inner = self.tracker.0.lock();
        inner.uncertain |= !self.settled;
        inner.messages.remove(&self.id);
    }
}
