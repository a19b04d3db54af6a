//! Attempts of this process at other members whose outcome is not known yet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use quinn::{Connection, ConnectionError};

/// What an attempt waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// A connection on which the request is written.
    Sending,
    /// The acknowledgement of the request.
    Sent,
    /// The answer.
    Acknowledged,
    /// A reply on a new connection; the one on which the request was sent is silent or has failed.
    Searching,
    /// A reply on any connection; the member counts as silent.
    Silent,
    /// The answer on its own connection, since the member no longer keeps it.
    Dropped,
}

impl AttemptStage {
    /// Returns the name of the stage for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Sending => "sending",
            Self::Sent => "sent",
            Self::Acknowledged => "acknowledged",
            Self::Searching => "searching",
            Self::Silent => "silent",
            Self::Dropped => "dropped",
        }
    }
}

/// Attempt without an outcome.
#[derive(Debug, Clone)]
pub struct PendingAttempt {
    /// Random number of the attempt.
    pub attempt: u64,
    /// Address of the member.
    pub to: SocketAddr,
    /// What the attempt waits for.
    pub stage: AttemptStage,
    /// When the attempt started.
    pub since: Instant,
    /// When its stage began.
    pub changed: Instant,
    /// Connection on which the request was sent.
    conn: Option<Connection>,
}

impl PendingAttempt {
    /// Returns why the connection on which the request was sent has ended; `None` if it is open.
    #[must_use]
    pub fn closed(&self) -> Option<ConnectionError> {
        self.conn.as_ref()?.close_reason()
    }
}

/// Attempts without an outcome, by number.
#[derive(Debug, Default)]
pub(super) struct Outgoing(Mutex<HashMap<u64, PendingAttempt>>);

impl Outgoing {
    /// Adds an attempt until the guard is dropped.
    pub fn add(self: &Arc<Self>, now: Instant, attempt: u64, to: SocketAddr) -> OutgoingGuard {
        let stage = AttemptStage::Sending;
        let pending = PendingAttempt { attempt, to, stage, since: now, changed: now, conn: None };
        self.0.lock().insert(attempt, pending);
        OutgoingGuard { outgoing: Arc::clone(self), attempt }
    }

    /// Records the connection on which an attempt was sent.
    pub fn sent(&self, now: Instant, attempt: u64, conn: &Connection) {
        if let Some(pending) = self.0.lock().get_mut(&attempt) {
            pending.conn = Some(conn.clone());
        }
        self.set_stage(now, attempt, AttemptStage::Sent);
    }

    /// Records what an attempt waits for from now on.
    pub fn set_stage(&self, now: Instant, attempt: u64, stage: AttemptStage) {
        if let Some(pending) = self.0.lock().get_mut(&attempt) {
            pending.stage = stage;
            pending.changed = now;
        }
    }

    /// Returns the attempts without an outcome.
    pub fn pending(&self) -> Vec<PendingAttempt> {
        self.0.lock().values().cloned().collect()
    }
}

/// Attempt without an outcome until dropped.
#[derive(Debug)]
pub(super) struct OutgoingGuard {
    outgoing: Arc<Outgoing>,
    attempt: u64,
}

impl Drop for OutgoingGuard {
    fn drop(&mut self) {
        self.outgoing.0.lock().remove(&self.attempt);
    }
}
