//! Table of attempts with their cancellation flags and the waiters for their answers.

use std::collections::HashMap;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use acaciaring_core::attempt::{Arrival, AttemptId, Attempts, Fetched};
use acaciaring_schema::peer::Answer;

use crate::clock;
use crate::peer::cancel::CancelFlag;

/// Attempts that this process has received.
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

/// Result of looking up the answer of an attempt.
pub(super) enum Fetch {
    /// The answer.
    Ready(Answer),
    /// The attempt is running; the channel yields its answer.
    Later(oneshot::Receiver<Answer>),
    /// There is no answer and will be none.
    Absent,
}

impl AttemptTable {
    /// Records an arrival; returns the cancellation flag if the attempt is to run.
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

    /// Cancels a running attempt, or refuses it from now on if it has not arrived.
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

    /// Records the answer of an attempt and sends it to all waiters.
    pub fn finish(&self, attempt: AttemptId, answer: Answer) {
        let mut inner = self.inner.lock();
        inner.flags.remove(&attempt);
        for waiter in inner.waiters.remove(&attempt).unwrap_or_default() {
            // Fails only if the waiter was dropped.
            let _ = waiter.send(answer.clone());
        }
        inner.attempts.finish(clock::now(), attempt, answer);
    }

    /// Returns the answer of an attempt, or a channel on which to wait for it.
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
