//! Table of attempts with those who wait for an answer or for cancellation.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use acaciaring_core::attempt::{Arrival, AttemptId, Attempts, Fetched};
use acaciaring_schema::peer::Answer;

use crate::clock;
use crate::peer::cancel::CancelFlag;

/// Attempts that have arrived at this process.
#[derive(Default)]
pub(super) struct AttemptTable {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    attempts: Attempts,
    flags: HashMap<AttemptId, CancelFlag>,
    waiters: HashMap<AttemptId, Vec<oneshot::Sender<Answer>>>,
}

/// Answer of an attempt, now or later.
pub(super) enum Fetch {
    /// The answer.
    Ready(Answer),
    /// Yields the answer when the attempt finishes.
    Later(oneshot::Receiver<Answer>),
    /// There is none and will be none.
    Absent,
}

impl AttemptTable {
    /// Records an arrival; returns the flag by which an attempt that is to run can be cancelled.
    pub fn arrive(&self, attempt: AttemptId) -> Result<CancelFlag, Arrival> {
        let mut inner = self.inner.lock();
        match inner.attempts.arrive(clock::now(), attempt) {
            Arrival::Run => Ok(inner.flags.entry(attempt).or_default().clone()),
            refused => Err(refused),
        }
    }

    /// Returns whether an attempt has arrived, and refuses it from now on if not.
    pub fn probe(&self, attempt: AttemptId) -> bool {
        self.inner.lock().attempts.probe(clock::now(), attempt)
    }

    /// Cancels an attempt that is running, and refuses it from now on if it has not arrived.
    pub fn cancel(&self, attempt: AttemptId) {
        let mut inner = self.inner.lock();
        if !inner.attempts.cancel(clock::now(), attempt) {
            return;
        }
        let flag = inner.flags.get(&attempt).cloned();
        drop(inner);
        if let Some(flag) = flag {
            flag.set();
        }
    }

    /// Records the answer of an attempt and hands it to all who wait for it.
    pub fn finish(&self, attempt: AttemptId, answer: Answer) {
        let mut inner = self.inner.lock();
        inner.flags.remove(&attempt);
        for waiter in inner.waiters.remove(&attempt).unwrap_or_default() {
            // Fails only when the waiter has gone away.
            let _ = waiter.send(answer.clone());
        }
        inner.attempts.finish(clock::now(), attempt, answer);
    }

    /// Returns the answer of an attempt, or a way to wait for it.
    pub fn fetch(&self, attempt: AttemptId) -> Fetch {
        let mut inner = self.inner.lock();
        match inner.attempts.fetch(clock::now(), attempt) {
            Fetched::Ready(answer) => Fetch::Ready(answer.clone()),
            Fetched::Absent => Fetch::Absent,
            Fetched::Running => {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.entry(attempt).or_default().push(sender);
                Fetch::Later(receiver)
            }
        }
    }
}
