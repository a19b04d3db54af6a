//! Admission queue of requests to the local upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::admission::{
    Admission, AdmissionSettings, ColdLimit, Completion, Offer, Ticket,
};
use acaciaring_core::route::Rank;
use acaciaring_core::{Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::Notify;
use tokio::sync::oneshot::{self, Receiver, Sender};
use tokio::time::sleep;

use crate::announce::{Announcement, Phase};
use crate::clock;
use crate::metrics::{Counter, Metrics, Timer};
use crate::peer::CancelFlag;

/// Interval at which one queued request starts due requests and removes expired ones.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which other queued requests check their own deadline and whether one of them sweeps.
///
/// Guards against quadratic work in overload, when each queued request would scan all the others.
const WAIT_INTERVAL: Duration = Duration::from_millis(250);

type Decision = Result<(), Refusal>;

/// Admission queue shared by all requests.
pub(crate) struct Queue {
    admission: Mutex<Admission<Sender<Decision>>>,
    metrics: Metrics,
    /// Configured limit of concurrent requests.
    slots: u32,
    announced: Mutex<Option<Announced>>,
    /// True while a queued request sweeps the queue.
    sweeping: AtomicBool,
    /// Passes the sweep on while requests wait for the link.
    ///
    /// Guards against a link that idles for up to [`WAIT_INTERVAL`] once the request that swept
    /// has left the queue.
    turn: Notify,
    /// Bytes of finished large answers that wait for the link or are being sent.
    backlog: Arc<AtomicU64>,
}

/// Last announcement of the upstream, as far as it concerns the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Announced {
    address: SocketAddr,
    slots: u32,
    cold: bool,
}

/// Permit to run one request at the upstream; released when finished or dropped.
pub(crate) struct ConcurrencyPermit<'a> {
    queue: &'a Queue,
    attempt: u64,
    start: Time,
    /// True if the request has a large answer.
    large: bool,
    finished: bool,
}

impl Queue {
    /// Creates an empty queue.
    pub(crate) fn new(
        settings: AdmissionSettings,
        metrics: Metrics,
        backlog: Arc<AtomicU64>,
    ) -> Self {
        let slots = settings.slots;
        let admission = Mutex::new(Admission::new(settings));
        let sweeping = AtomicBool::new(false);
        let (announced, turn) = (Mutex::default(), Notify::new());
        Self { admission, metrics, slots, announced, sweeping, turn, backlog }
    }

    /// Returns admission for a decision by the present backlog of the link, to which `finished`
    /// bytes are added.
    fn decide(&self, finished: u64) -> MutexGuard<'_, Admission<Sender<Decision>>> {
        let mut admission = self.admission.lock();
        admission.set_backlog(self.backlog.load(Ordering::Relaxed).saturating_add(finished));
        admission
    }

    /// Returns the number of requests running or queued, and the concurrency limit.
    ///
    /// The limit is 0 while the upstream sheds load, and lower while it limits the rate.
    pub(crate) fn load(&self) -> (u32, u32) {
        let now = clock::now();
        let admission = self.admission.lock();
        let capacity = if admission.shedding(now) { 0 } else { admission.usable_slots(now) };
        (count(admission.busy()), capacity)
    }

    /// Returns the number of requests at the upstream and the number in the queue.
    pub(crate) fn request_counts(&self) -> (usize, usize) {
        let admission = self.admission.lock();
        let waiting = admission.waiting();
        (admission.busy().saturating_sub(waiting), waiting)
    }

    /// Returns the smoothed service time of interactive requests.
    pub(crate) fn service_time(&self) -> Duration {
        self.admission.lock().service_time(Rank::Interactive)
    }

    /// Returns the smoothed service time of requests of all ranks.
    pub(crate) fn mean_time(&self) -> Duration {
        self.admission.lock().mean_time()
    }

    /// Applies a periodic announcement of the upstream; only a change has an effect.
    ///
    /// Guards against an upstream that keeps announcing itself while it sheds load: each
    /// announcement would reopen the queue before the requested delay, and restart the ramp of a
    /// cold upstream.
    pub(crate) fn announce(&self, now: Time, announcement: &Announcement) {
        let cold = announcement.phase == Phase::Cold;
        let slots = announcement.slots.min(self.slots);
        let latest = Announced { address: announcement.address, slots, cold };
        let known = self.announced.lock().replace(latest);
        if known.is_none_or(|known| known.slots != slots) {
            let started = self.decide(0).resize(now, slots);
            start(started);
        }
        // A cold upstream that becomes ready continues its ramp.
        if known.is_none_or(|known| known.address != latest.address || (cold && !known.cold)) {
            let started = self.decide(0).ready(now, cold);
            start(started);
        }
    }

    /// Waits for admission until `moved` completes.
    ///
    /// # Errors
    ///
    /// A `NotRun` refusal: the deadline cannot be met, the queue is full, or the request was
    /// cancelled; otherwise the refusal returned by `moved`.
    pub(crate) async fn enter(
        &self,
        ticket: Ticket,
        cancelled: &CancelFlag,
        moved: impl Future<Output = Refusal>,
    ) -> Result<ConcurrencyPermit<'_>, Refusal> {
        let start = clock::now();
        let result = self.admit(ticket, cancelled, moved).await;
        match &result {
            Ok(permit) => self.metrics.time(Timer::Queue, permit.start.since(start)),
            Err(Refusal { reason: Reason::Expired, .. }) => {
                self.metrics.count(Counter::QueueExpired, 1);
            }
            Err(Refusal { reason: Reason::Cancelled, .. }) => {}
            Err(_) => self.metrics.count(Counter::QueueRefused, 1),
        }
        result
    }

    async fn admit(
        &self,
        ticket: Ticket,
        cancelled: &CancelFlag,
        moved: impl Future<Output = Refusal>,
    ) -> Result<ConcurrencyPermit<'_>, Refusal> {
        let (sender, decision) = oneshot::channel();
        let (attempt, large) = (ticket.attempt, ticket.answer > 0);
        let now = clock::now();
        let offer = self.decide(0).offer(now, ticket, sender);
        match offer {
            Offer::Start(_) => {}
            Offer::Queued { displaced } => {
                refuse(displaced);
                let waiting = Waiting { queue: self, attempt, done: false, sweeps: false };
                tokio::select! {
                    biased;
                    decided = waiting.wait(decision, ticket.expiry, cancelled) => decided?,
                    refusal = moved => return Err(refusal),
                }
            }
            Offer::Refused(_, refusal) => return Err(refusal),
        }
        let start = clock::now();
        Ok(ConcurrencyPermit { queue: self, attempt, start, large, finished: false })
    }

    /// Limits the requests per second at the upstream; `None` ends the limit.
    pub(crate) fn limit_rate(&self, now: Time, limit: Option<f64>) {
        let started = self.decide(0).limit_rate(now, limit);
        start(started);
    }

    /// Limits the requests per second at a cold upstream; `None` for a warm one.
    pub(crate) fn limit_cold(&self, now: Time, limit: Option<ColdLimit>) {
        let started = self.decide(0).limit_cold(now, limit);
        start(started);
    }

    /// Starts the requests that the rate limit and the link allow by now, and refuses expired ones.
    fn sweep(&self, now: Time) {
        let started = self.decide(0).start_due(now);
        start(started);
        self.refuse_expired(now, 0);
    }

    /// Refuses expired requests in the queue.
    fn refuse_expired(&self, now: Time, finished: u64) {
        let expired = self.decide(finished).expire(now);
        refuse(expired);
    }

    fn finish(&self, attempt: u64, took: Duration, end: End) {
        let now = clock::now();
        let (refused, started) = {
            let mut admission = self.decide(end.answer);
            let refused = end.shed.map(|retry| admission.shed(now, retry));
            (refused, admission.finish(now, attempt, took, end.completion))
        };
        refuse(refused.into_iter().flatten());
        start(started);
        self.refuse_expired(now, end.answer);
    }
}

/// How a request at the upstream ended.
#[derive(Clone, Copy)]
struct End {
    completion: Completion,
    /// Time for which the upstream asks to be left alone.
    shed: Option<Duration>,
    /// Bytes of a large answer, which the backlog does not include yet.
    answer: u64,
}

impl End {
    fn new(completion: Completion) -> Self {
        Self { completion, shed: None, answer: 0 }
    }
}

/// Starts queued requests.
fn start(senders: Vec<Sender<Decision>>) {
    for sender in senders {
        // The receiver exists until it gets the decision or has left the queue.
        let _ = sender.send(Ok(()));
    }
}

/// Refuses queued requests.
fn refuse(refused: impl IntoIterator<Item = (Sender<Decision>, Refusal)>) {
    for (sender, refusal) in refused {
        // The receiver exists until it gets the decision or has left the queue.
        let _ = sender.send(Err(refusal));
    }
}

/// Queued request; leaves the queue when dropped.
///
/// Guards against a leaked concurrency permit when the future of a queued request is dropped; one
/// that was granted concurrently with the drop is released here.
struct Waiting<'a> {
    queue: &'a Queue,
    attempt: u64,
    /// True once the request has left the queue or was admitted.
    done: bool,
    /// True while this request sweeps the queue.
    sweeps: bool,
}

impl Waiting<'_> {
    /// Waits until the request is admitted or refused.
    async fn wait(
        mut self,
        mut decision: Receiver<Decision>,
        deadline: Time,
        cancelled: &CancelFlag,
    ) -> Result<(), Refusal> {
        loop {
            let sweep = SweepGuard::try_acquire(&self.queue.sweeping);
            self.sweeps = sweep.is_some();
            let pause = if self.sweeps { SWEEP_INTERVAL } else { WAIT_INTERVAL };
            let pause = pause.min(deadline.since(clock::now()));
            tokio::select! {
                biased;
                decision = &mut decision => {
                    self.done = true;
                    return decision.unwrap_or(Err(Refusal::not_run(Reason::Busy)));
                }
                () = cancelled.cancelled() => {}
                () = self.queue.turn.notified(), if !self.sweeps => {}
                () = sleep(pause) => {}
            }
            let now = clock::now();
            let reason = match (cancelled.is_set(), now >= deadline) {
                (true, _) => Reason::Cancelled,
                (false, true) => Reason::Expired,
                (false, false) => {
                    self.queue.sweep(now);
                    continue;
                }
            };
            if self.queue.admission.lock().cancel(now, self.attempt).is_some() {
                self.done = true;
                return Err(Refusal::not_run(reason));
            }
            // No longer queued: the decision has already been sent.
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.done {
            let now = clock::now();
            if self.queue.admission.lock().cancel(now, self.attempt).is_none() {
                self.queue.finish(self.attempt, Duration::ZERO, End::new(Completion::Refused));
            }
        }
        if self.sweeps && self.queue.admission.lock().waits_for_link() {
            self.queue.turn.notify_one();
        }
    }
}

/// Exclusive right of one queued request to sweep the queue; released when dropped.
struct SweepGuard<'a>(&'a AtomicBool);

impl<'a> SweepGuard<'a> {
    fn try_acquire(sweeping: &'a AtomicBool) -> Option<Self> {
        (!sweeping.swap(true, Ordering::AcqRel)).then_some(Self(sweeping))
    }
}

impl Drop for SweepGuard<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

impl ConcurrencyPermit<'_> {
    /// Releases the permit with the result of the request.
    pub(crate) fn finish(mut self, result: &Result<Answer, Refusal>) {
        let end = match result {
            Ok(answer) => {
                let answer = if self.large { answer.body.len() as u64 } else { 0 };
                End { answer, ..End::new(Completion::Answered) }
            }
            Err(Refusal { reason: Reason::Busy | Reason::Shed, retry, .. }) => {
                End { shed: *retry, ..End::new(Completion::Refused) }
            }
            Err(Refusal { verdict: Verdict::NotRun, .. }) => End::new(Completion::Refused),
            Err(_) => End::new(Completion::Unanswered),
        };
        self.release(end);
    }

    fn release(&mut self, end: End) {
        if self.finished {
            return;
        }
        self.finished = true;
        let took = clock::now().since(self.start);
        self.queue.finish(self.attempt, took, end);
    }
}

impl Drop for ConcurrencyPermit<'_> {
    fn drop(&mut self) {
        self.release(End::new(Completion::Unanswered));
    }
}

fn count(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
