//! Admission control in front of one upstream: a concurrency limit and a short queue by deadline.
//!
//! Critical requests start first. Each lower rank that waits is guaranteed a minimum share of the
//! remaining slot time; beyond that the more important rank starts first, and within a rank the
//! earliest deadline. A request that would miss its deadline waits behind all others if a late
//! answer is useful, else it is refused as soon as the miss can be predicted.
//!
//! An upstream may also limit the requests per second, always or while it is cold. Each request then
//! counts for the slot time between two starts at the least, so predictions and shares hold for
//! both limits.
//!
//! A request with a large answer also waits for the link of the VM, while others overtake it.

mod late;
mod link;
mod predict;
mod queue;
mod rate;
mod select;
mod service;
mod settings;
mod sizes;

use std::collections::HashMap;
use std::time::Duration;

pub use self::rate::ColdLimit;
pub use self::settings::AdmissionSettings;
pub use self::sizes::AnswerSizes;

use self::link::Link;
use self::queue::WaitQueue;
use self::rate::RateLimits;
use self::service::ServiceTimes;
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

/// Divisor of the time to expiry that bounds how long a late request may wait.
///
/// A refusal must leave the caller most of its time for a retry.
const LATE_WAIT_DIVISOR: u32 = 8;

/// The same divisor while a request that it may overtake is running and will free a slot.
const OVERTAKE_WAIT_DIVISOR: u32 = 2;

const RANK_COUNT: usize = 4;

/// Ranks, most important first.
const RANKS: [Rank; RANK_COUNT] = [Rank::Critical, Rank::Interactive, Rank::Bulk, Rank::Background];

/// Properties of a request that admission decides by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// Rank of the request's class.
    pub rank: Rank,
    /// Time by which the whole answer should arrive.
    pub deadline: Time,
    /// Time after which an answer is useless; the deadline if late answers are useless.
    pub expiry: Time,
    /// Attempt number, unique among the requests that wait or run here.
    pub attempt: u64,
    /// Expected answer bytes that cross the link of this VM; 0 for an answer that is not large.
    pub answer: u64,
}

/// Request at the upstream.
#[derive(Debug, Clone, Copy)]
struct Running {
    rank: Rank,
    /// Expected answer bytes.
    answer: u64,
}

/// Result of [`Admission::offer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer<T> {
    /// Send it to the upstream now.
    Start(T),
    /// It waits for a slot.
    Queued {
        /// Less important request removed from the full queue; it was not run.
        displaced: Option<(T, Refusal)>,
    },
    /// Refused without running.
    Refused(T, Refusal),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered completely.
    Answered,
    /// The upstream refused the request without running it.
    Refused,
    /// No complete answer: timeout, connection failure or cancellation by the caller.
    Unanswered,
}

/// How new requests are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    /// The upstream sheds load until this time.
    Shedding(Time),
    Draining,
}

/// Admission controller of one upstream.
///
/// The owner calls [`Admission::expire`] after each [`Admission::finish`] and every few
/// milliseconds while requests wait.
#[derive(Debug)]
pub struct Admission<T> {
    settings: AdmissionSettings,
    mode: Mode,
    /// Concurrency limit at the start of the ramp, and the start time.
    ramp: (u32, Time),
    running: HashMap<u64, Running>,
    link: Link,
    waiting: WaitQueue<T>,
    /// Requests that have missed or would miss their deadline but have not expired.
    ///
    /// Guards against an overloaded queue in which every answer is late: requests that can meet
    /// their deadline start first, late ones use the remaining slots, except by
    /// [`Admission::overtakes`].
    late: WaitQueue<T>,
    times: ServiceTimes,
    /// Limits on starts.
    rates: RateLimits,
    /// Slot time in seconds that each rank is owed while others start before it.
    credit: [f64; RANK_COUNT],
}

impl<T> Admission<T> {
    /// Returns a controller for a warm upstream.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        let times = ServiceTimes::new(settings.service_time);
        let link = Link::new(settings.link_rate);
        Self {
            ramp: (settings.slots, Time::ZERO),
            settings,
            mode: Mode::Open,
            running: HashMap::new(),
            link,
            waiting: WaitQueue::new(),
            late: WaitQueue::new(),
            times,
            rates: RateLimits::default(),
            credit: [0.0; RANK_COUNT],
        }
    }

    /// Returns the number of running and waiting requests.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len() + self.waiting()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.late.len()
    }

    /// Returns the smoothed service time of a rank's requests at the upstream.
    #[must_use]
    pub fn service_time(&self, rank: Rank) -> Duration {
        Duration::from_secs_f64(self.times.mean(rank))
    }

    /// Returns the smoothed service time over all ranks.
    #[must_use]
    pub fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.times.overall())
    }

    /// Returns the current concurrency limit.
    #[must_use]
    pub fn capacity(&self, now: Time) -> u32 {
        let (from, since) = self.ramp;
        let slots = self.settings.slots;
        let share = now.since(since).as_secs_f64() / self.settings.ramp.as_secs_f64();
        if share >= 1.0 || from >= slots {
            return slots;
        }
        let grown = f64::from(slots - from) * share;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "0 <= grown < slots"
        )]
        let grown = grown as u32;
        from + grown
    }

    /// Returns true while the upstream sheds load.
    #[must_use]
    pub fn shedding(&self, now: Time) -> bool {
        matches!(self.mode, Mode::Shedding(until) if now < until)
    }

    /// Decides whether a new request starts, waits or is refused.
    pub fn offer(&mut self, now: Time, ticket: Ticket, item: T) -> Offer<T> {
        self.end_cold(now);
        if let Some(refusal) = self.refuse_immediately(now, ticket) {
            return Offer::Refused(item, refusal);
        }
        if self.can_start_now(now, &ticket) {
            self.record_start(now, ticket);
            return Offer::Start(item);
        }
        let wait = self.predicted_wait(now, ticket);
        let ready = now + wait + self.times.upper_estimate(ticket.rank, self.settings.deviations);
        let before = self.bytes_before(&ticket);
        if let Some(missed) = self.miss(now, ready, before, &ticket, ticket.deadline) {
            return self.offer_late(now, ticket, item, missed);
        }
        if self.waiting.len() < self.settings.queue {
            self.waiting.push(ticket, item);
            return Offer::Queued { displaced: None };
        }
        let Some((victim, reason)) = self.victim(now, ticket.rank) else {
            return Offer::Refused(item, self.refusal(now, Reason::Busy, ticket.attempt));
        };
        let refusal = self.refusal(now, reason, victim);
        let displaced = self.waiting.remove(victim).map(|(_, item)| (item, refusal));
        self.waiting.push(ticket, item);
        Offer::Queued { displaced }
    }

    /// Records that a started request ended after `took`; returns the requests to start now.
    pub fn finish(
        &mut self,
        now: Time,
        attempt: u64,
        took: Duration,
        completion: Completion,
    ) -> Vec<T> {
        if let Some(Running { rank, answer }) = self.running.remove(&attempt) {
            self.times.sample(rank, took, completion);
            self.link.finish(answer);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting request whose caller has disconnected; `None` when it does not wait here.
    ///
    /// A running request keeps its slot until [`Admission::finish`].
    pub fn cancel(&mut self, _now: Time, attempt: u64) -> Option<T> {
        self.take(attempt).map(|(_, item)| item)
    }

    /// Starts shedding load for `retry`, as the upstream asks; refuses and returns queued requests.
    ///
    /// Afterwards the concurrency limit ramps up from half of the running requests.
    pub fn shed(&mut self, now: Time, retry: Duration) -> Vec<(T, Refusal)> {
        if self.mode == Mode::Draining {
            return Vec::new();
        }
        let until = now + retry.min(self.settings.max_shed);
        let until = match self.mode {
            Mode::Shedding(earlier) => until.max(earlier),
            Mode::Open | Mode::Draining => until,
        };
        let half = u32::try_from(self.running.len() / 2).unwrap_or(u32::MAX);
        self.mode = Mode::Shedding(until);
        self.ramp = (half.max(self.settings.initial_slots).min(self.settings.slots), until);
        let all = self.attempts();
        self.refuse(now, &all, Reason::Busy)
    }

    /// Stops admission permanently as the upstream leaves; refuses and returns queued requests.
    pub fn drain(&mut self, now: Time) -> Vec<(T, Refusal)> {
        self.mode = Mode::Draining;
        let all = self.attempts();
        self.refuse(now, &all, Reason::Draining)
    }

    /// Records that the upstream accepts requests; returns the requests to start now.
    ///
    /// The concurrency limit of a cold upstream ramps up from the initial one.
    pub fn ready(&mut self, now: Time, cold: bool) -> Vec<T> {
        self.mode = Mode::Open;
        let from = if cold { self.settings.initial_slots } else { self.settings.slots };
        self.ramp = (from.min(self.settings.slots), now);
        self.start_waiting(now)
    }

    /// Sets the concurrency limit that the upstream states; returns the requests to start now.
    pub fn resize(&mut self, now: Time, slots: u32) -> Vec<T> {
        let warm = self.capacity(now) >= self.settings.slots;
        self.settings.slots = slots.max(1);
        if warm {
            self.ramp = (self.settings.slots, now);
        }
        self.update_slot_times();
        self.start_waiting(now)
    }

    /// Limits the starts per second as the upstream states; returns the requests to start now.
    pub fn limit_rate(&mut self, now: Time, limit: Option<f64>) -> Vec<T> {
        self.rates.state(now, limit);
        self.update_slot_times();
        self.start_waiting(now)
    }

    /// Limits the starts per second of a cold upstream, `None` for one that is not cold; returns
    /// the requests to start now.
    ///
    /// Starts of the last second count, so an upstream that turns cold gets no more than it
    /// tolerates from that moment on.
    pub fn limit_cold(&mut self, now: Time, limit: Option<ColdLimit>) -> Vec<T> {
        self.rates.set_cold(now, limit);
        self.update_slot_times();
        self.start_waiting(now)
    }

    /// Returns the waiting requests that the rate limit and the link allow to start by now.
    pub fn start_due(&mut self, now: Time) -> Vec<T> {
        let ended = self.end_cold(now);
        let limited = ended || self.rates.rate().is_some() || self.waits_for_link();
        if limited { self.start_waiting(now) } else { Vec::new() }
    }

    /// Ends the limit of an upstream that is no longer cold; returns true if there was one.
    fn end_cold(&mut self, now: Time) -> bool {
        let ended = self.rates.expire(now);
        if ended {
            self.update_slot_times();
        }
        ended
    }

    /// Returns the concurrency that the upstream's limit on the rate leaves, at most the slots.
    #[must_use]
    pub fn usable_slots(&self, now: Time) -> u32 {
        let slots = self.capacity(now);
        let Some(rate) = self.rates.rate() else { return slots };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it saturates, and is not negative"
        )]
        let busy = (rate * self.times.overall()).ceil() as u32;
        busy.clamp(1, slots.max(1))
    }

    /// Makes each request count for the slot time that passes between two starts at the least.
    fn update_slot_times(&mut self) {
        let interval = self.rates.rate().map_or(0.0, |rate| 1.0 / rate);
        self.times.set_min_slot_time(f64::from(self.settings.slots) * interval);
    }

    /// Returns the refusal of a request that cannot be admitted whatever the queue holds.
    fn refuse_immediately(&mut self, now: Time, ticket: Ticket) -> Option<Refusal> {
        if let Mode::Shedding(until) = self.mode
            && until <= now
        {
            self.mode = Mode::Open;
        }
        if ticket.expiry <= now {
            return Some(Refusal::not_run(Reason::Expired));
        }
        if self.running.contains_key(&ticket.attempt) || self.is_waiting(ticket.attempt) {
            return Some(Refusal::not_run(Reason::Superseded));
        }
        match self.mode {
            Mode::Open => None,
            Mode::Shedding(_) => Some(self.refusal(now, Reason::Busy, ticket.attempt)),
            Mode::Draining => Some(Refusal::not_run(Reason::Draining)),
        }
    }

    /// Returns true when a new request need not wait.
    ///
    /// With a free slot and no feasible request waiting, it starts regardless of the estimates.
    /// Otherwise an estimate that exceeds all deadlines would block all requests and never be
    /// corrected.
    ///
    /// A request with a large answer overtakes none that waits for the link. Others do: had the
    /// link had room at the last finish or sweep, those that wait would use the free slot.
    fn can_start_now(&self, now: Time, ticket: &Ticket) -> bool {
        if !self.has_room(now) {
            return false;
        }
        if self.link.limits(ticket) {
            return self.link_allows(now, ticket)
                && self.is_useful(now, ticket)
                && self.next_feasible(now, |_| true).is_none();
        }
        if self.rates.rate().is_none() {
            return self.next_feasible(now, |waiting| !self.link.limits(waiting)).is_none();
        }
        self.next_startable(now).is_none()
    }

    /// Removes a request from either queue.
    fn take(&mut self, attempt: u64) -> Option<(Ticket, T)> {
        self.waiting.remove(attempt).or_else(|| self.late.remove(attempt))
    }

    fn is_waiting(&self, attempt: u64) -> bool {
        self.waiting.contains(attempt) || self.late.contains(attempt)
    }

    fn attempts(&self) -> Vec<u64> {
        let mut all = self.waiting.attempts();
        all.extend(self.late.attempts());
        all
    }

    /// Returns true if a request may start: a slot is free, and the rate limit allows it.
    fn has_room(&self, now: Time) -> bool {
        self.has_free_slot(now) && self.rates.allows(now)
    }

    fn has_free_slot(&self, now: Time) -> bool {
        u32::try_from(self.running.len()).is_ok_and(|count| count < self.capacity(now))
    }

    fn start_waiting(&mut self, now: Time) -> Vec<T> {
        let mut started = Vec::new();
        while self.mode == Mode::Open && self.has_room(now) {
            let Some(attempt) = self.next(now) else { break };
            let Some((ticket, item)) = self.take(attempt) else { break };
            self.record_start(now, ticket);
            started.push(item);
        }
        started
    }

    /// Charges the slot time of a start to its rank and credits the waiting ranks with their
    /// shares.
    fn record_start(&mut self, now: Time, ticket: Ticket) {
        self.rates.take(now);
        let cost = self.times.slot_time(ticket.rank);
        for rank in RANKS {
            let index = rank as usize;
            if self.waiting.count(rank) == 0 {
                self.credit[index] = 0.0;
            } else if rank == ticket.rank {
                self.credit[index] = (self.credit[index] - cost).max(0.0);
            } else {
                let max_credit = 2.0 * self.times.slot_time(rank);
                let earned = cost * self.settings.min_shares[index];
                self.credit[index] = (self.credit[index] + earned).min(max_credit);
            }
        }
        self.link.start(ticket.answer);
        let running = Running { rank: ticket.rank, answer: ticket.answer };
        self.running.insert(ticket.attempt, running);
    }

    fn refuse(&mut self, now: Time, attempts: &[u64], reason: Reason) -> Vec<(T, Refusal)> {
        let mut refused = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            let refusal = self.refusal(now, reason, *attempt);
            let taken = self.take(*attempt);
            refused.extend(taken.map(|(ticket, item)| match reason {
                Reason::LinkFull => (item, self.link_refusal(now, &ticket)),
                _ => (item, refusal),
            }));
        }
        refused
    }
}
