//! Admission beside an upstream: its slots bound concurrency, a short queue orders what waits.
//!
//! Critical requests go first. Of what they leave, each lower rank is sure of a minimum share while it
//! waits; beyond that the more important rank goes first, and within a rank the earliest deadline.
//! A request that would miss its deadline is refused as soon as that is foreseen.

mod predict;
mod queue;
mod select;
mod service;
mod settings;

use std::collections::HashMap;
use std::time::Duration;

pub use self::settings::AdmissionSettings;

use self::queue::WaitQueue;
use self::service::ServiceTimes;
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

/// Part of the time in which a late request is of use for which it may wait; 8 stands for an eighth.
///
/// A caller that is refused may come back within a third of its time, so a refusal must leave most
/// of it.
const LATE_WAIT_DIVISOR: u32 = 8;

/// The same while requests run that it may pass: it gets the next slot that one of them frees.
const OVERTAKE_WAIT_DIVISOR: u32 = 2;

/// Count of ranks.
const RANK_COUNT: usize = 4;

/// Ranks, most important first.
const RANKS: [Rank; RANK_COUNT] = [Rank::Critical, Rank::Interactive, Rank::Bulk, Rank::Background];

/// What admission has to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// Rank of the request's class.
    pub rank: Rank,
    /// Time by which the whole answer is wanted.
    pub deadline: Time,
    /// Time up to which a late answer is of use; the deadline where none is.
    pub expiry: Time,
    /// One try of the request, unique among those that wait or run here.
    pub attempt: u64,
}

/// What becomes of a request that is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer<T> {
    /// Give it to the upstream now.
    Start(T),
    /// It waits.
    Queued {
        /// Less important request that had to make room; it did not run and never will.
        displaced: Option<(T, Refusal)>,
    },
    /// It did not run and never will.
    Refused(T, Refusal),
}

/// How a started request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The upstream gave a whole answer.
    Answered,
    /// The upstream refused it without running it.
    Refused,
    /// No whole answer: time ran out, the connection failed or the caller left.
    Unanswered,
}

/// What admission does with new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Open,
    /// The upstream asked to be left alone until then.
    Shedding(Time),
    Draining,
}

/// Gate in front of one upstream.
///
/// The owner of this value calls [`Admission::expire`] after each [`Admission::finish`] and at least
/// every few milliseconds while something waits.
#[derive(Debug)]
pub struct Admission<T> {
    settings: AdmissionSettings,
    mode: Mode,
    /// Bound on concurrency when the ramp began, and when that was.
    ramp: (u32, Time),
    running: HashMap<u64, Rank>,
    waiting: WaitQueue<T>,
    /// Requests that have missed their deadline, or would, and are of use later.
    ///
    /// Guards against a queue in which each request waits until its answer is late: under a load
    /// above its capacity an upstream would answer everybody late. Those that can be in time
    /// go first, the late ones take what is left; but see [`Admission::overtakes`].
    late: WaitQueue<T>,
    times: ServiceTimes,
    /// Slot time, in seconds, that each rank is owed for having been passed over.
    credit: [f64; RANK_COUNT],
}

impl<T> Admission<T> {
    /// Returns a gate for a warm upstream.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        let times = ServiceTimes::new(settings.service_time);
        Self {
            ramp: (settings.slots, Time::ZERO),
            settings,
            mode: Mode::Open,
            running: HashMap::new(),
            waiting: WaitQueue::new(),
            late: WaitQueue::new(),
            times,
            credit: [0.0; RANK_COUNT],
        }
    }

    /// Returns the count of requests that run or wait.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.running.len() + self.waiting()
    }

    /// Returns the count of requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the count of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len() + self.late.len()
    }

    /// Returns the smoothed time that a request of `rank` takes at the upstream.
    #[must_use]
    pub fn service_time(&self, rank: Rank) -> Duration {
        Duration::from_secs_f64(self.times.mean(rank))
    }

    /// Returns the smoothed time that a request of any rank takes at the upstream.
    #[must_use]
    pub fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.times.overall())
    }

    /// Returns how many requests may run at once.
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

    /// Returns true while the upstream asks to be left alone.
    #[must_use]
    pub fn shedding(&self, now: Time) -> bool {
        matches!(self.mode, Mode::Shedding(until) if now < until)
    }

    /// Offers a request that has just arrived.
    pub fn offer(&mut self, now: Time, ticket: Ticket, item: T) -> Offer<T> {
        if let Some(refusal) = self.refuse_immediately(now, ticket) {
            return Offer::Refused(item, refusal);
        }
        if self.can_start_now(now) {
            self.record_start(ticket);
            return Offer::Start(item);
        }
        let wait = self.predicted_wait(now, ticket);
        if now + wait + self.times.upper_estimate(ticket.rank, self.settings.deviations)
            > ticket.deadline
        {
            return self.offer_late(now, ticket, item);
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

    /// Notes that a started request has ended after `took`; returns the requests to start now.
    pub fn finish(
        &mut self,
        now: Time,
        attempt: u64,
        took: Duration,
        completion: Completion,
    ) -> Vec<T> {
        if let Some(rank) = self.running.remove(&attempt) {
            self.times.sample(rank, took, completion);
        }
        self.start_waiting(now)
    }

    /// Returns the waiting requests whose deadline cannot be met any more; they did not run.
    pub fn expire(&mut self, now: Time) -> Vec<(T, Refusal)> {
        let mut late = Vec::new();
        let mut ahead = self.residual(now);
        let slots = f64::from(self.capacity(now));
        for rank in RANKS {
            let service = self.times.mean(rank);
            let needed = self.times.upper_estimate(rank, self.settings.deviations);
            let mut own = 0.0;
            for ticket in self.waiting.tickets(rank) {
                let wait = self.bounded_wait(rank, ahead, own, slots);
                if now + wait + needed > ticket.deadline {
                    late.push(ticket.attempt);
                } else {
                    own += service;
                }
            }
            ahead += own;
        }
        let mut refused = self.postpone(now, &late);
        let expired = self.expired(now);
        refused.extend(self.refuse(now, &expired, Reason::Expired));
        refused
    }

    /// Returns the late requests that cannot be served any more behind what goes before them.
    fn expired(&self, now: Time) -> Vec<u64> {
        let mut expired = Vec::new();
        let slots = f64::from(self.capacity(now));
        let mut ahead = self.residual(now);
        for rank in RANKS {
            let needed = self.times.upper_estimate(rank, 0.0);
            let feasible_work = self.work_ahead(&self.waiting, rank);
            for ticket in self.late.tickets(rank) {
                let wait = Duration::from_secs_f64((ahead + feasible_work) / slots);
                if now + wait + needed > ticket.expiry {
                    expired.push(ticket.attempt);
                } else {
                    ahead += self.times.mean(rank);
                }
            }
        }
        expired
    }

    /// Queues a request behind all that can be in time.
    ///
    /// It waits for a small part of the time in which it is of use. Guards against a request that
    /// is passed by new ones for as long as the load lasts: its caller would wait to the end for
    /// nothing, and could have come back meanwhile.
    fn push_late(&mut self, now: Time, ticket: Ticket, item: T) {
        let overtakes = self.running.values().any(|rank| self.overtakes(ticket.rank, *rank));
        let divisor = if overtakes { OVERTAKE_WAIT_DIVISOR } else { LATE_WAIT_DIVISOR };
        let expiry = now + ticket.expiry.since(now) / divisor;
        self.late.push(Ticket { deadline: expiry, expiry, ..ticket }, item);
    }

    /// Queues a request that would miss its deadline but be of use later, or refuses it.
    fn offer_late(&mut self, now: Time, ticket: Ticket, item: T) -> Offer<T> {
        let wait = self.predicted_late_wait(now, ticket.rank);
        let done = now + wait + self.times.upper_estimate(ticket.rank, self.settings.deviations);
        if ticket.expiry <= ticket.deadline
            || done > ticket.expiry
            || self.late.len() >= self.settings.queue
        {
            return Offer::Refused(item, self.refusal(now, Reason::Busy, ticket.attempt));
        }
        self.push_late(now, ticket, item);
        Offer::Queued { displaced: None }
    }

    /// Puts waiting requests that would be late behind all that would not; returns those refused.
    fn postpone(&mut self, now: Time, attempts: &[u64]) -> Vec<(T, Refusal)> {
        let mut refused = Vec::new();
        for attempt in attempts {
            let Some((ticket, item)) = self.waiting.remove(*attempt) else { continue };
            let useful = now + self.times.upper_estimate(ticket.rank, 0.0) <= ticket.expiry;
            if ticket.expiry > ticket.deadline && useful && self.late.len() < self.settings.queue {
                self.push_late(now, ticket, item);
            } else {
                refused.push((item, self.refusal(now, Reason::Expired, *attempt)));
            }
        }
        refused
    }

    /// Takes back a waiting request whose caller has gone; `None` when it does not wait here.
    ///
    /// A request that runs keeps its slot until [`Admission::finish`].
    pub fn cancel(&mut self, _now: Time, attempt: u64) -> Option<T> {
        self.take(attempt).map(|(_, item)| item)
    }

    /// Notes that the upstream asks to be left alone for `retry`; returns what waits, refused.
    ///
    /// Afterwards concurrency grows again from half of what ran.
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

    /// Notes that the upstream is leaving; returns what waits, refused.
    pub fn drain(&mut self, now: Time) -> Vec<(T, Refusal)> {
        self.mode = Mode::Draining;
        let all = self.attempts();
        self.refuse(now, &all, Reason::Draining)
    }

    /// Notes that the upstream takes requests; returns the requests to start now.
    ///
    /// Concurrency of a cold upstream starts small and grows over the settings' ramp.
    pub fn ready(&mut self, now: Time, cold: bool) -> Vec<T> {
        self.mode = Mode::Open;
        let from = if cold { self.settings.initial_slots } else { self.settings.slots };
        self.ramp = (from.min(self.settings.slots), now);
        self.start_waiting(now)
    }

    /// Takes over the count of slots that the upstream states; returns the requests to start now.
    pub fn resize(&mut self, now: Time, slots: u32) -> Vec<T> {
        let warm = self.capacity(now) >= self.settings.slots;
        self.settings.slots = slots.max(1);
        if warm {
            self.ramp = (self.settings.slots, now);
        }
        self.start_waiting(now)
    }

    /// Returns the refusal of a request that cannot be taken whatever the queue holds.
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

    /// Returns true when a newcomer need not wait.
    ///
    /// With room and nothing in time waiting, it starts whatever the estimates say. Else an upstream whose
    /// estimate once exceeded all deadlines would never be tried again, and the estimate never fall.
    fn can_start_now(&self, now: Time) -> bool {
        self.has_free_slot(now)
            && RANKS.into_iter().all(|rank| self.first_feasible(now, rank).is_none())
    }

    /// Takes a request out of either queue.
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

    fn has_free_slot(&self, now: Time) -> bool {
        u32::try_from(self.running.len()).is_ok_and(|count| count < self.capacity(now))
    }

    fn start_waiting(&mut self, now: Time) -> Vec<T> {
        let mut started = Vec::new();
        while self.mode == Mode::Open && self.has_free_slot(now) {
            let Some(attempt) = self.next(now) else { break };
            let Some((ticket, item)) = self.take(attempt) else { break };
            self.record_start(ticket);
            started.push(item);
        }
        started
    }

    /// Books the slot time of a start: the ranks that wait earn their share of it, its own rank pays.
    fn record_start(&mut self, ticket: Ticket) {
        let cost = self.times.mean(ticket.rank);
        for rank in RANKS {
            let index = rank as usize;
            if self.waiting.count(rank) == 0 {
                self.credit[index] = 0.0;
            } else if rank == ticket.rank {
                self.credit[index] = (self.credit[index] - cost).max(0.0);
            } else {
                let max_credit = 2.0 * self.times.mean(rank);
                let earned = cost * self.settings.min_shares[index];
                self.credit[index] = (self.credit[index] + earned).min(max_credit);
            }
        }
        self.running.insert(ticket.attempt, ticket.rank);
    }

    fn refuse(&mut self, now: Time, attempts: &[u64], reason: Reason) -> Vec<(T, Refusal)> {
        let mut refused = Vec::with_capacity(attempts.len());
        for attempt in attempts {
            let refusal = self.refusal(now, reason, *attempt);
            refused.extend(self.take(*attempt).map(|(_, item)| (item, refusal)));
        }
        refused
    }
}
