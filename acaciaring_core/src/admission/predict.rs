//! Prediction of waiting times, and retry delays for refused requests.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::queue::WaitQueue;
use super::{Admission, Mode, RANKS, Ticket};
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

/// Minimum ratio of service times at which a short late request overtakes a long one.
const OVERTAKE_RATIO: f64 = 3.0;

impl<T> Admission<T> {
    /// Returns the predicted time until a new request with this ticket would start.
    pub(super) fn predicted_wait(&self, now: Time, ticket: Ticket) -> Duration {
        let mut ahead = self.residual(now);
        for rank in RANKS.into_iter().filter(|rank| *rank < ticket.rank) {
            ahead += self.waiting_work(rank);
        }
        let until = Some(ticket.deadline);
        let before = self.startable(&self.waiting, self.link.owed(), ticket.rank, until);
        let own = (0..before).map(|_| self.times.slot_time(ticket.rank)).sum();
        self.bounded_wait(ticket.rank, ahead, own, f64::from(self.capacity(now)))
    }

    /// Returns the predicted time until a new late request of a rank would start.
    pub(super) fn predicted_late_wait(&self, now: Time, rank: Rank) -> Duration {
        let before = self.link.owed().saturating_add(self.waiting.answers());
        let all = self.residual(now)
            + self.work_ahead_waiting(rank)
            + self.work_ahead(&self.late, before, rank);
        Duration::from_secs_f64(all / f64::from(self.capacity(now)))
    }

    /// Returns the slot time that requests which can meet their deadline use before a late one of
    /// a rank, in seconds.
    pub(super) fn work_ahead_waiting(&self, rank: Rank) -> f64 {
        self.work_ahead(&self.waiting, self.link.owed(), rank)
    }

    /// Returns the slot time that a queue serves before a late request of a rank, in seconds, with
    /// `before` bytes to send before its answers.
    fn work_ahead(&self, queue: &WaitQueue<T>, before: u64, rank: Rank) -> f64 {
        let served = RANKS.into_iter().filter(|other| !self.overtakes(rank, *other));
        served.map(|other| self.work(queue, before, other)).sum()
    }

    /// Returns the slot time that the waiting requests of a rank will take, in seconds.
    fn waiting_work(&self, rank: Rank) -> f64 {
        self.work(&self.waiting, self.link.owed(), rank)
    }

    /// Returns the slot time that the requests of a rank in a queue will take, in seconds, without
    /// those that the link holds back.
    fn work(&self, queue: &WaitQueue<T>, before: u64, rank: Rank) -> f64 {
        let count = self.startable(queue, before, rank, None);
        f64::from(count) * self.times.slot_time(rank)
    }

    /// Returns true when a late request of `rank` starts before one of `other` that can meet its
    /// deadline.
    ///
    /// It is more important and so short that it hardly delays the other. Guards against refusing
    /// short calls that running requests depend on: without them the callers fail and the slot time
    /// they have used is lost. Among requests of similar length the one that can meet its deadline
    /// goes first.
    pub(super) fn overtakes(&self, rank: Rank, other: Rank) -> bool {
        rank < other && self.times.mean(rank) * OVERTAKE_RATIO <= self.times.mean(other)
    }

    /// Returns the wait behind slot time, in seconds, `ahead` of other ranks and `own` of the same.
    ///
    /// A rank with a guaranteed share waits no longer than that share takes to serve it.
    pub(super) fn bounded_wait(&self, rank: Rank, ahead: f64, own: f64, slots: f64) -> Duration {
        let behind_all = (ahead + own) / slots;
        let share = self.settings.min_shares[rank as usize];
        let by_share = (own + self.times.slot_time(rank)) / (share * slots);
        let wait = if share > 0.0 { behind_all.min(by_share) } else { behind_all };
        Duration::from_secs_f64(wait)
    }

    /// Returns the expected time until a request may start, in seconds of slot time; zero with a
    /// free slot that the rate limit allows to use.
    pub(super) fn residual(&self, now: Time) -> f64 {
        if !self.has_free_slot(now) {
            return self.times.overall();
        }
        self.rates.wait(now).as_secs_f64() * f64::from(self.capacity(now))
    }

    /// Returns the refusal of a request that was removed from a queue.
    pub(super) fn refusal_for(&self, now: Time, reason: Reason, ticket: &Ticket) -> Refusal {
        match reason {
            Reason::LinkFull => self.link_refusal(now, ticket),
            _ => self.refusal(now, reason, ticket.attempt),
        }
    }

    /// Returns a refusal whose retry delay is the time in which the present queue is served.
    ///
    /// The delay is spread by the attempt number, so that callers refused together do not return
    /// together.
    pub(super) fn refusal(&self, now: Time, reason: Reason, attempt: u64) -> Refusal {
        let refusal = Refusal::not_run(reason);
        if reason == Reason::Draining {
            return refusal;
        }
        let shed = match self.mode {
            Mode::Shedding(until) => until.since(now),
            Mode::Open | Mode::Draining => Duration::ZERO,
        };
        let work: f64 = RANKS.into_iter().map(|rank| self.waiting_work(rank)).sum();
        let queue = (work + self.residual(now)) / f64::from(self.capacity(now));
        let queue = Duration::from_secs_f64(queue).max(self.settings.min_retry);
        refusal.after(shed + queue.mul_f64(jitter(attempt)))
    }
}

/// Returns a factor from 1 to 2 derived from the attempt number alone.
pub(super) fn jitter(attempt: u64) -> f64 {
    let mixed = xxh3_64(&attempt.to_le_bytes()) >> 32;
    let mixed = u32::try_from(mixed).unwrap_or(u32::MAX);
    1.0 + f64::from(mixed) / f64::from(u32::MAX)
}
