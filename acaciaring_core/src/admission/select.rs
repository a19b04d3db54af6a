//! Selection of the next waiting request, and of the request that a full queue drops.

use std::time::Duration;

use super::{Admission, RANK_COUNT, RANKS};
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::Reason;

impl<T> Admission<T> {
    /// Returns the waiting request to start next; late ones come last unless they may overtake.
    pub(super) fn next(&self, now: Time) -> Option<u64> {
        let heads = RANKS.map(|rank| self.first_feasible(now, rank));
        let Some((rank, attempt)) = self.next_feasible(heads) else { return self.late.first() };
        let mut overtaking = RANKS.into_iter().filter(|late| self.overtakes(*late, rank));
        overtaking.find_map(|late| self.late.first_of(late)).or(Some(attempt))
    }

    fn next_feasible(&self, heads: [Option<u64>; RANK_COUNT]) -> Option<(Rank, u64)> {
        let ranked = || RANKS.into_iter().zip(heads).filter_map(|(r, head)| Some((r, head?)));
        if let Some(critical) = heads[0] {
            return Some((Rank::Critical, critical));
        }
        let credited = ranked()
            .filter(|(rank, _)| self.has_credit(*rank))
            .max_by(|(a, _), (b, _)| self.credit[*a as usize].total_cmp(&self.credit[*b as usize]));
        credited.or_else(|| ranked().next())
    }

    /// Returns the first request of a rank that can still meet its deadline.
    pub(super) fn first_feasible(&self, now: Time, rank: Rank) -> Option<u64> {
        let needed = Duration::from_secs_f64(self.times.mean(rank));
        let mut tickets = self.waiting.tickets(rank);
        tickets.find(|ticket| now + needed <= ticket.deadline).map(|ticket| ticket.attempt)
    }

    /// Returns true when a rank is owed at least the slot time of one of its requests.
    fn has_credit(&self, rank: Rank) -> bool {
        self.credit[rank as usize] >= self.times.slot_time(rank)
    }

    /// Returns the waiting request that makes room for a new one of `rank`, and why it is refused.
    ///
    /// One that would miss its deadline anyway goes first, else the last of the least important
    /// rank that holds more than its reserved places. Without reserved places a flood of important
    /// requests would displace all bulk requests before their share comes up and starve them.
    pub(super) fn victim(&self, now: Time, rank: Rank) -> Option<(u64, Reason)> {
        let late = RANKS.into_iter().rev().find_map(|r| self.first_late(now, r));
        if let Some(attempt) = late {
            return Some((attempt, Reason::Expired));
        }
        let entitled = self.waiting.count(rank) < self.settings.reserved[rank as usize];
        let from = RANKS.into_iter().rev().find(|other| {
            let spare = self.waiting.count(*other) > self.settings.reserved[*other as usize];
            let lower = *other > rank;
            (lower && (spare || rank == Rank::Critical) && self.waiting.count(*other) > 0)
                || (entitled && spare && *other != Rank::Critical && *other != rank)
        })?;
        self.waiting.last(from).map(|attempt| (attempt, Reason::Busy))
    }

    fn first_late(&self, now: Time, rank: Rank) -> Option<u64> {
        let needed = Duration::from_secs_f64(self.times.mean(rank));
        let first = self.waiting.tickets(rank).next()?;
        (now + needed > first.deadline).then_some(first.attempt)
    }
}
