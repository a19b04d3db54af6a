//! Table of attempts with their cancellation flags and the waiters for their answers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use acaciaring_core::Time;
use acaciaring_core::attempt::{Arrival, AttemptId, Attempts, Fetched};
use acaciaring_schema::peer::Answer;

use crate::clock;
use crate::peer::cancel::CancelFlag;

/// Time for which a large answer is known as such, longer than any caller waits.
const LARGE_RETENTION: Duration = Duration::from_secs(30);

/// Large answer of an attempt while it is delivered.
#[derive(Clone)]
pub(super) struct Delivery {
    /// Time by which the caller wants the answer; `None` without a target.
    pub aim: Option<Time>,
    /// Time at which the sender stops waiting.
    pub expiry: Time,
    /// Set once the sender has left.
    pub left: CancelFlag,
    /// Set once the sender has acknowledged the answer on another connection.
    pub fetched: CancelFlag,
}

impl Delivery {
    /// Returns the delivery of a copy of the answer that the sender fetches.
    ///
    /// Other fetches do not end it: the sender may have acknowledged one and not read it.
    pub fn copy(&self) -> Self {
        Self { fetched: CancelFlag::default(), ..self.clone() }
    }

    /// Waits until the sender has left or has the answer.
    pub async fn ended(&self) {
        tokio::select! {
            () = self.left.cancelled() => {}
            () = self.fetched.cancelled() => {}
        }
    }
}

/// Answer that is fetched, with its delivery if it is large.
pub(super) type FetchedAnswer = (Answer, Option<Delivery>);

/// Attempts that this process has received.
#[derive(Default)]
pub(super) struct AttemptTable {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    attempts: Attempts,
    flags: HashMap<AttemptId, CancelFlag>,
    waiters: HashMap<AttemptId, Vec<oneshot::Sender<FetchedAnswer>>>,
    /// Large answers, and the times at which they are forgotten.
    deliveries: HashMap<AttemptId, Delivery>,
    delivery_expiry: VecDeque<(Time, AttemptId)>,
}

/// Result of looking up the answer of an attempt.
pub(super) enum Fetch {
    /// The answer.
    Ready(FetchedAnswer),
    /// The attempt is running; the channel yields its answer.
    Later(oneshot::Receiver<FetchedAnswer>),
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
    ///
    /// Ends the delivery of a large answer.
    pub fn cancel(&self, attempt: AttemptId) {
        let mut inner = self.inner.lock();
        let flag = if inner.attempts.cancel(clock::now(), attempt) {
            inner.flags.get(&attempt).cloned()
        } else {
            inner.deliveries.get(&attempt).map(|delivery| delivery.left.clone())
        };
        drop(inner);
        if let Some(flag) = flag {
            flag.set();
        }
    }

    /// Records that a large answer of an attempt is about to be recorded and delivered.
    pub fn deliver(&self, attempt: AttemptId, delivery: Delivery) {
        let now = clock::now();
        let mut inner = self.inner.lock();
        while let Some((_, old)) = inner.delivery_expiry.pop_front_if(|(until, _)| *until <= now) {
            inner.deliveries.remove(&old);
        }
        inner.delivery_expiry.push_back((now + LARGE_RETENTION, attempt));
        inner.deliveries.insert(attempt, delivery);
    }

    /// Records the answer of an attempt and sends it to all waiters.
    pub fn finish(&self, attempt: AttemptId, answer: Answer) {
        let mut inner = self.inner.lock();
        inner.flags.remove(&attempt);
        for waiter in inner.waiters.remove(&attempt).unwrap_or_default() {
            // Fails only if the waiter was dropped.
            let _ = waiter.send((answer.clone(), inner.deliveries.get(&attempt).cloned()));
        }
        inner.attempts.finish(clock::now(), attempt, answer);
    }

    /// Returns the answer of an attempt, or a channel on which to wait for it.
    pub fn fetch(&self, attempt: AttemptId) -> Fetch {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        match inner.attempts.fetch(clock::now(), attempt) {
            Fetched::Ready(answer) => {
                Fetch::Ready((answer.clone(), inner.deliveries.get(&attempt).cloned()))
            }
            Fetched::Absent => Fetch::Absent,
            Fetched::Running => {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.entry(attempt).or_default().push(sender);
                Fetch::Later(receiver)
            }
        }
    }
}
