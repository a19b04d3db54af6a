//! Waiting of requests for a place at the upstream.

use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::admission::{Admission, AdmissionSettings, Ending, Offer, Ticket};
use acaciaring_core::route::Rank;
use acaciaring_core::{Reason, Refusal, Time, Verdict};
use acaciaring_schema::peer::Answer;
use parking_lot::Mutex;
use tokio::sync::oneshot::{self, Receiver, Sender};
use tokio::time::timeout;

use crate::announce::{Announcement, Phase};
use crate::clock;
use crate::metrics::{Counter, Metrics, Timer};
use crate::peer::CancelFlag;

/// Interval at which a waiting request looks whether its time is over.
const LOOK: Duration = Duration::from_millis(20);

type Decision = Result<(), Refusal>;

/// Admission shared by all requests.
pub(crate) struct Queue {
    admission: Mutex<Admission<Sender<Decision>>>,
    metrics: Metrics,
    /// Bound of the settings on what runs at once.
    slots: u32,
    announced: Mutex<Option<Announced>>,
}

/// What the upstream last said of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Announced {
    address: SocketAddr,
    slots: u32,
    cold: bool,
}

/// A place at the upstream; it must be finished.
pub(crate) struct Place<'a> {
    queue: &'a Queue,
    attempt: u64,
    start: Time,
    finished: bool,
}

impl Queue {
    /// Makes an empty queue.
    pub(crate) fn new(settings: AdmissionSettings, metrics: Metrics) -> Self {
        let slots = settings.slots;
        let admission = Mutex::new(Admission::new(settings));
        Self { admission, metrics, slots, announced: Mutex::default() }
    }

    /// Returns requests in flight and waiting, and the bound; 0 while the upstream asks to be left alone.
    pub(crate) fn load(&self) -> (u32, u32) {
        let now = clock::now();
        let admission = self.admission.lock();
        let capacity = if admission.shedding(now) { 0 } else { admission.capacity(now) };
        (count(admission.busy()), capacity)
    }

    /// Returns requests at the upstream, and those that wait.
    pub(crate) fn census(&self) -> (usize, usize) {
        let admission = self.admission.lock();
        let waiting = admission.waiting();
        (admission.busy().saturating_sub(waiting), waiting)
    }

    /// Returns the smoothed time that an interactive request takes.
    pub(crate) fn service_time(&self) -> Duration {
        self.admission.lock().service_time(Rank::Interactive)
    }

    /// Returns the smoothed time that any request takes.
    pub(crate) fn mean_time(&self) -> Duration {
        self.admission.lock().mean_time()
    }

    /// Takes in what the upstream announces, twice a second.
    ///
    /// Only a change has an effect. Guards against an upstream that sheds load and announces
    /// itself all the same: each announcement would open the queue again long before the time
    /// that it asked for, and begin the ramp of a cold one anew, so that it stays at its start.
    pub(crate) fn announce(&self, now: Time, announcement: &Announcement) {
        let cold = announcement.phase == Phase::Cold;
        let slots = announcement.slots.min(self.slots);
        let latest = Announced { address: announcement.address, slots, cold };
        let known = self.announced.lock().replace(latest);
        if known.is_none_or(|known| known.slots != slots) {
            let started = self.admission.lock().resize(now, slots);
            start(started);
        }
        // A cold upstream that becomes ready goes on with its ramp.
        if known.is_none_or(|known| known.address != latest.address || (cold && !known.cold)) {
            let started = self.admission.lock().ready(now, cold);
            start(started);
        }
    }

    /// Waits for a place.
    ///
    /// # Errors
    ///
    /// A refusal as not run: the deadline cannot be met, the queue is full, or
    /// the caller has gone away.
    pub(crate) async fn enter(
        &self,
        ticket: Ticket,
        cancelled: &CancelFlag,
    ) -> Result<Place<'_>, Refusal> {
        let start = clock::now();
        let result = self.admit(ticket, cancelled).await;
        match &result {
            Ok(place) => self.metrics.time(Timer::Queue, place.start.since(start)),
            Err(Refusal { reason: Reason::Expired, .. }) => {
                self.metrics.count(Counter::QueueExpired, 1);
            }
            Err(Refusal { reason: Reason::Cancelled, .. }) => {}
            Err(_) => self.metrics.count(Counter::QueueRefused, 1),
        }
        result
    }

    async fn admit(&self, ticket: Ticket, cancelled: &CancelFlag) -> Result<Place<'_>, Refusal> {
        let (sender, decision) = oneshot::channel();
        let attempt = ticket.attempt;
        let now = clock::now();
        let offer = self.admission.lock().offer(now, ticket, sender);
        match offer {
            Offer::Start(_) => {}
            Offer::Queued { displaced } => {
                refuse(displaced);
                self.wait(decision, attempt, ticket.last, cancelled).await?;
            }
            Offer::Refused(_, refusal) => return Err(refusal),
        }
        Ok(Place { queue: self, attempt, start: clock::now(), finished: false })
    }

    async fn wait(
        &self,
        mut decision: Receiver<Decision>,
        attempt: u64,
        deadline: Time,
        cancelled: &CancelFlag,
    ) -> Result<(), Refusal> {
        let waiting = Waiting { queue: self, attempt };
        loop {
            let look = async {
                tokio::select! {
                    decision = &mut decision => Some(decision),
                    () = cancelled.cancelled() => None,
                }
            };
            if let Ok(Some(decision)) = timeout(LOOK, look).await {
                std::mem::forget(waiting);
                return decision.unwrap_or(Err(Refusal::not_run(Reason::Busy)));
            }
            let now = clock::now();
            let reason = match (cancelled.is_set(), now >= deadline) {
                (true, _) => Reason::Cancelled,
                (false, true) => Reason::Expired,
                (false, false) => {
                    self.notify(now);
                    continue;
                }
            };
            if self.admission.lock().cancel(now, attempt).is_some() {
                std::mem::forget(waiting);
                return Err(Refusal::not_run(reason));
            }
            // No longer waiting: the decision is already on its way.
        }
    }

    /// Tells the waiting requests what expired.
    fn notify(&self, now: Time) {
        let expired = self.admission.lock().expire(now);
        refuse(expired);
    }

    fn finish(&self, attempt: u64, took: Duration, ending: Ending, shed: Option<Duration>) {
        let now = clock::now();
        let (refused, started) = {
            let mut admission = self.admission.lock();
            let refused = shed.map(|retry| admission.shed(now, retry));
            (refused, admission.finish(now, attempt, took, ending))
        };
        refuse(refused.into_iter().flatten());
        start(started);
        self.notify(now);
    }
}

/// Tells waiting requests to start.
fn start(senders: Vec<Sender<Decision>>) {
    for sender in senders {
        // The request waits until it has a decision or is out of the queue.
        let _ = sender.send(Ok(()));
    }
}

/// Tells waiting requests that they are refused.
fn refuse(refused: impl IntoIterator<Item = (Sender<Decision>, Refusal)>) {
    for (sender, refusal) in refused {
        // The request waits until it has a decision or is out of the queue.
        let _ = sender.send(Err(refusal));
    }
}

/// A request that waits; leaves the queue when dropped.
///
/// Guards against a caller that leaves while its request waits: the request would be given a
/// place that nobody frees. A place that was given at that very moment is freed here.
struct Waiting<'a> {
    queue: &'a Queue,
    attempt: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        if self.queue.admission.lock().cancel(now, self.attempt).is_none() {
            self.queue.finish(self.attempt, Duration::ZERO, Ending::Refused, None);
        }
    }
}

impl Place<'_> {
    /// Frees the place with what came of the request.
    pub(crate) fn finish(mut self, result: &Result<Answer, Refusal>) {
        let (ending, shed) = match result {
            Ok(_) => (Ending::Answered, None),
            Err(Refusal { reason: Reason::Busy, retry, .. }) => (Ending::Refused, *retry),
            Err(Refusal { verdict: Verdict::NotRun, .. }) => (Ending::Refused, None),
            Err(_) => (Ending::Lost, None),
        };
        self.free(ending, shed);
    }

    fn free(&mut self, ending: Ending, shed: Option<Duration>) {
        if self.finished {
            return;
        }
        self.finished = true;
        let took = clock::now().since(self.start);
        self.queue.finish(self.attempt, took, ending, shed);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.free(Ending::Lost, None);
    }
}

fn count(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
