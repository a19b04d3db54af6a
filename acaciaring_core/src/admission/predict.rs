//! How long a newcomer would wait, and when a refused one may come back.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::queue::WaitQueue;
use super::{Admission, Mode, RANKS, Ticket};
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

/// How many times as long the requests must take that a late one passes.
const OVERTAKE_RATIO: f64 = 3.0;

impl<T> Admission<T> {
    /// Returns the time until a newcomer with this ticket would start.
    pub(super) fn predicted_wait(&self, now: Time, ticket: Ticket) -> Duration {
        let mut ahead = self.residual(now);
        for rank in RANKS.into_iter().filter(|rank| *rank < ticket.rank) {
            ahead += self.waiting.work(rank, &self.times);
        }
        let before = self.waiting.tickets(ticket.rank).filter(|t| t.deadline <= ticket.deadline);
        let own = before.map(|_| self.times.mean(ticket.rank)).sum();
        self.bounded_wait(ticket.rank, ahead, own, f64::from(self.capacity(now)))
    }

    /// Returns the time until a newcomer of a rank would start that is late.
    pub(super) fn predicted_late_wait(&self, now: Time, rank: Rank) -> Duration {
        let all = self.residual(now)
            + self.work_ahead(&self.waiting, rank)
            + self.work_ahead(&self.late, rank);
        Duration::from_secs_f64(all / f64::from(self.capacity(now)))
    }

    /// Returns the slot time of what goes before a late request of a rank in a queue, in seconds.
    pub(super) fn work_ahead(&self, queue: &WaitQueue<T>, rank: Rank) -> f64 {
        let before = RANKS.into_iter().filter(|other| !self.overtakes(rank, *other));
        before.map(|other| queue.work(other, &self.times)).sum()
    }

    /// Returns true when a late request of a rank goes before one of another that is in time.
    ///
    /// It is more important and so short that the other is hardly delayed. Guards against calls of
    /// running requests that are refused behind long reads: late by their own aim they are as good as in
    /// time, without them the requests that make them fail, and the slot time that these took is lost.
    /// Among requests of like length a late one is worth less than one in time.
    pub(super) fn overtakes(&self, rank: Rank, other: Rank) -> bool {
        rank < other && self.times.mean(rank) * OVERTAKE_RATIO <= self.times.mean(other)
    }

    /// Returns the wait behind `ahead` of other ranks and `own` of the same, in seconds of slot time.
    pub(super) fn bounded_wait(&self, rank: Rank, ahead: f64, own: f64, slots: f64) -> Duration {
        let behind_all = (ahead + own) / slots;
        let share = self.settings.min_shares[rank as usize];
        let by_share = (own + self.times.mean(rank)) / (share * slots);
        let wait = if share > 0.0 { behind_all.min(by_share) } else { behind_all };
        Duration::from_secs_f64(wait)
    }

    /// Returns the slot time until one slot is free, in seconds: one request's share when all are busy.
    pub(super) fn residual(&self, now: Time) -> f64 {
        if self.has_free_slot(now) { 0.0 } else { self.times.overall() }
    }

    /// Returns a refusal that says when to come back: once what waits now has been served.
    ///
    /// The time is spread by the attempt's number. Refused together, callers would else return together.
    pub(super) fn refusal(&self, now: Time, reason: Reason, attempt: u64) -> Refusal {
        let refusal = Refusal::not_run(reason);
        if reason == Reason::Draining {
            return refusal;
        }
        let shed = match self.mode {
            Mode::Shedding(until) => until.since(now),
            Mode::Open | Mode::Draining => Duration::ZERO,
        };
        let work: f64 = RANKS.into_iter().map(|rank| self.waiting.work(rank, &self.times)).sum();
        let queue = (work + self.residual(now)) / f64::from(self.capacity(now));
        let queue = Duration::from_secs_f64(queue).max(self.settings.min_retry);
        refusal.after(shed + queue.mul_f64(jitter(attempt)))
    }
}

/// Returns a number between 1 and 2 that depends on the attempt alone.
fn jitter(attempt: u64) -> f64 {
    let mixed = xxh3_64(&attempt.to_le_bytes()) >> 32;
    let mixed = u32::try_from(mixed).unwrap_or(u32::MAX);
    1.0 + f64::from(mixed) / f64::from(u32::MAX)
}
