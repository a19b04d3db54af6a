//! Admission by the bytes of large answers that the link of this VM carries.
//!
//! A large request starts only if the link will have sent the outstanding bytes by the time its
//! answer is ready. Guards against answers that are produced and then wait behind each other until
//! all of them are late.

use std::time::Duration;

use super::queue::WaitQueue;
use super::{Admission, RANKS, Ticket};
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

const NANOS_PER_SEC: u128 = 1_000_000_000;

/// Divisor of a caller's remaining time that bounds the retry delay of a refusal for the link.
const RETRY_DIVISOR: u32 = 3;

/// Answers that the link may still have to send when the answer of a request that starts is ready,
/// if it arrives by its deadline nevertheless.
///
/// The outstanding bytes include those of running requests, which the link cannot send yet. Without
/// this allowance the link idles while requests are refused: for 0.19 of that time in the replay of
/// `tests/admission_link.rs`, at most 0.04 with it.
const ANSWERS_AHEAD: u32 = 2;

/// Link of this VM, in bytes that it still has to send.
#[derive(Debug)]
pub(super) struct Link {
    /// Bytes per second, 0 for no limit.
    rate: u64,
    /// Bytes of finished large answers that wait for the link or are being sent.
    pub(super) backlog: u64,
    /// Expected answer bytes of running requests.
    running: u64,
}

impl Link {
    pub(super) fn new(rate: u64) -> Self {
        Self { rate, backlog: 0, running: 0 }
    }

    /// Returns true for a request whose start depends on the link.
    pub(super) fn limits(&self, ticket: &Ticket) -> bool {
        self.rate > 0 && ticket.answer > 0
    }

    /// Returns the outstanding bytes.
    pub(super) fn owed(&self) -> u64 {
        self.backlog.saturating_add(self.running)
    }

    /// Records the start of a request with this expected answer.
    pub(super) fn start(&mut self, answer: u64) {
        self.running = self.running.saturating_add(answer);
    }

    /// Records the end of a request that started with this expected answer.
    pub(super) fn finish(&mut self, answer: u64) {
        self.running = self.running.saturating_sub(answer);
    }

    /// Returns the time in which bytes cross the link, zero without a limit.
    fn crossing(&self, bytes: u64) -> Duration {
        let nanos = u128::from(bytes) * NANOS_PER_SEC;
        let nanos = nanos.checked_div(u128::from(self.rate)).unwrap_or(0);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}

impl<T> Admission<T> {
    /// Sets the bytes of finished large answers that wait for the link or are being sent.
    ///
    /// The owner calls this before each decision.
    pub fn set_backlog(&mut self, bytes: u64) {
        self.link.backlog = bytes;
    }

    /// Returns true while requests wait that may start only when the link has sent enough.
    #[must_use]
    pub fn waits_for_link(&self) -> bool {
        self.link.rate > 0 && self.queued_bytes() > 0
    }

    /// Returns the expected answer bytes of all waiting requests.
    pub(super) fn queued_bytes(&self) -> u64 {
        self.waiting.answers().saturating_add(self.late.answers())
    }

    /// Returns true if the link lets a request start now.
    ///
    /// A late one, or one that would be late, may not make use of [`ANSWERS_AHEAD`].
    pub(super) fn link_allows(&self, now: Time, ticket: &Ticket) -> bool {
        let owed = self.link.owed();
        if !self.link.limits(ticket) || !self.is_behind(owed, ticket, 0) {
            return true;
        }
        let ready = now + self.times.upper_estimate(ticket.rank, self.settings.deviations);
        !self.holds_back(owed, ticket)
            && !self.late.contains(ticket.attempt)
            && self.arrival(now, ready, owed, ticket) <= ticket.deadline
    }

    /// Returns true if the link holds back a request while it has `before` bytes to send.
    pub(super) fn holds_back(&self, before: u64, ticket: &Ticket) -> bool {
        self.link.limits(ticket) && self.is_behind(before, ticket, ANSWERS_AHEAD)
    }

    /// Returns true if the link still has to send more of `before` bytes than a number of answers
    /// when the answer of a request that starts now is ready.
    fn is_behind(&self, before: u64, ticket: &Ticket, answers: u32) -> bool {
        let service = self.times.upper_estimate(ticket.rank, self.settings.deviations);
        let allowed = service + self.link.crossing(ticket.answer) * answers;
        before > 0 && self.link.crossing(before) > allowed
    }

    /// Returns when an answer that is ready at `ready` arrives, with `before` bytes to send first.
    pub(super) fn arrival(&self, now: Time, ready: Time, before: u64, ticket: &Ticket) -> Time {
        if !self.link.limits(ticket) {
            return ready;
        }
        ready.max(now + self.link.crossing(before)) + self.link.crossing(ticket.answer)
    }

    /// Returns true if the answer of a request that starts now is useful.
    ///
    /// A request always counts as useful while nothing is outstanding. Otherwise an estimate of its
    /// size that is too large would block all requests and never be corrected.
    pub(super) fn is_useful(&self, now: Time, ticket: &Ticket) -> bool {
        let owed = self.link.owed();
        let ready = now + self.times.upper_estimate(ticket.rank, 0.0);
        owed == 0
            || !self.link.limits(ticket)
            || self.arrival(now, ready, owed, ticket) <= ticket.expiry
    }

    /// Returns why an answer that is ready at `ready` misses `limit`, `None` if it arrives in time.
    pub(super) fn miss(
        &self,
        now: Time,
        ready: Time,
        before: u64,
        ticket: &Ticket,
        limit: Time,
    ) -> Option<Reason> {
        if ready > limit {
            return Some(Reason::Expired);
        }
        (self.arrival(now, ready, before, ticket) > limit).then_some(Reason::LinkFull)
    }

    /// Returns the bytes that cross the link before the answer of a new request.
    pub(super) fn bytes_before(&self, ticket: &Ticket) -> u64 {
        let higher = RANKS.into_iter().filter(|rank| *rank < ticket.rank);
        let higher = higher.flat_map(|rank| self.waiting.tickets(rank));
        let own = self.waiting.tickets(ticket.rank).filter(|t| t.deadline <= ticket.deadline);
        let queued: u64 = higher.chain(own).map(|ticket| ticket.answer).sum();
        self.link.owed().saturating_add(queued)
    }

    /// Returns the bytes that cross the link before the answer of a new late request.
    pub(super) fn bytes_before_late(&self) -> u64 {
        self.link.owed().saturating_add(self.queued_bytes())
    }

    /// Returns the number of requests of a rank in a queue, up to a deadline, that start as soon as
    /// slots are free.
    ///
    /// Requests that the link holds back do not count, since all others overtake them.
    pub(super) fn startable(
        &self,
        queue: &WaitQueue<T>,
        before: u64,
        rank: Rank,
        until: Option<Time>,
    ) -> u32 {
        if until.is_none() && (self.link.rate == 0 || queue.answers() == 0) {
            return u32::try_from(queue.count(rank)).unwrap_or(u32::MAX);
        }
        let higher = RANKS.into_iter().filter(|other| *other < rank);
        let higher = higher.flat_map(|other| queue.tickets(other));
        let mut bytes = before.saturating_add(higher.map(|ticket| ticket.answer).sum());
        let mut count = 0;
        for ticket in queue.tickets(rank) {
            if until.is_some_and(|until| ticket.deadline > until) {
                break;
            }
            count += u32::from(!self.holds_back(bytes, ticket));
            bytes = bytes.saturating_add(ticket.answer);
        }
        count
    }

    /// Returns the refusal of a request whose answer would not cross the link in time.
    ///
    /// The caller may retry once the link has sent the outstanding and the queued bytes, but with
    /// most of its time left.
    pub(super) fn link_refusal(&self, now: Time, ticket: &Ticket) -> Refusal {
        let bytes = self.link.owed().saturating_add(self.waiting.answers());
        let wait = self.link.crossing(bytes).max(self.settings.min_retry);
        let retry = wait.mul_f64(super::predict::jitter(ticket.attempt));
        let most = ticket.expiry.since(now) / RETRY_DIVISOR;
        Refusal::not_run(Reason::LinkFull).after(retry.min(most))
    }
}
