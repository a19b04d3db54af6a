//! Selection of the next waiting request, and of the request that a full queue drops.

use std::time::Duration;

use super::{Admission, RANKS, Ticket};
use crate::route::Rank;
use crate::time::Time;
use crate::verdict::Reason;

impl<T> Admission<T> {
    /// Returns the waiting request to start next; late ones come last unless they may overtake.
    ///
    /// While the link holds back the first one, only requests without large answers may start.
    pub(super) fn next(&self, now: Time) -> Option<u64> {
        let first = self.select(now, |_| true)?;
        if self.link_allows(now, first) {
            return Some(first.attempt);
        }
        let small = self.select(now, |ticket| !self.link.limits(ticket))?;
        Some(small.attempt)
    }

    /// Returns the first of the waiting requests that may start.
    fn select(&self, now: Time, may: impl Fn(&Ticket) -> bool) -> Option<&Ticket> {
        let useful = |ticket: &Ticket| may(ticket) && self.is_useful(now, ticket);
        let Some(feasible) = self.next_feasible(now, &may) else { return self.late.first(useful) };
        let mut overtaking = RANKS.into_iter().filter(|late| self.overtakes(*late, feasible.rank));
        overtaking.find_map(|late| self.late.first_of(late, useful)).or(Some(feasible))
    }

    /// Returns the feasible request to start next if the link lets it start, else the next one
    /// without a large answer.
    pub(super) fn next_startable(&self, now: Time) -> Option<&Ticket> {
        let first = self.next_feasible(now, |_| true)?;
        if self.link_allows(now, first) {
            return Some(first);
        }
        self.next_feasible(now, |ticket| !self.link.limits(ticket))
    }

    /// Returns the next of the feasible requests that may start.
    pub(super) fn next_feasible(
        &self,
        now: Time,
        may: impl Fn(&Ticket) -> bool,
    ) -> Option<&Ticket> {
        let heads = RANKS.map(|rank| self.first_feasible(now, rank, &may));
        if heads[0].is_some() {
            return heads[0];
        }
        let waiting = || heads.into_iter().flatten();
        let credit = |ticket: &Ticket| self.credit[ticket.rank as usize];
        let credited = waiting()
            .filter(|ticket| self.has_credit(ticket.rank))
            .max_by(|a, b| credit(a).total_cmp(&credit(b)));
        credited.or_else(|| waiting().next())
    }

    /// Returns the first request of a rank that may start and can still meet its deadline.
    fn first_feasible(
        &self,
        now: Time,
        rank: Rank,
        may: impl Fn(&Ticket) -> bool,
    ) -> Option<&Ticket> {
        let ready = now + Duration::from_secs_f64(self.times.mean(rank));
        let owed = self.link.owed();
        let in_time = |ticket: &Ticket| self.arrival(now, ready, owed, ticket) <= ticket.deadline;
        self.waiting.first_of(rank, |ticket| may(ticket) && in_time(ticket))
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
