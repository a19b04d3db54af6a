//! Requests that have missed or would miss their deadline: postponed, or refused once useless.

use std::time::Duration;

use super::{Admission, LATE_WAIT_DIVISOR, OVERTAKE_WAIT_DIVISOR, Offer, RANKS, Ticket};
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

impl<T> Admission<T> {
    /// Removes and refuses the waiting requests that can no longer be answered in time.
    ///
    /// Requests that are still useful after their deadline move to the late queue instead.
    pub fn expire(&mut self, now: Time) -> Vec<(T, Refusal)> {
        let mut late = Vec::new();
        let mut ahead = self.residual(now);
        let mut bytes = self.link.owed();
        let slots = f64::from(self.capacity(now));
        for rank in RANKS {
            let service = self.times.slot_time(rank);
            let needed = self.times.upper_estimate(rank, self.settings.deviations);
            let mut own = 0.0;
            for ticket in self.waiting.tickets(rank) {
                let ready = now + self.bounded_wait(rank, ahead, own, slots) + needed;
                if let Some(reason) = self.miss(now, ready, bytes, ticket, ticket.deadline) {
                    late.push((ticket.attempt, reason));
                    continue;
                }
                if !self.holds_back(bytes, ticket) {
                    own += service;
                }
                bytes = bytes.saturating_add(ticket.answer);
            }
            ahead += own;
        }
        let mut refused = self.postpone(now, &late);
        for (attempt, reason) in self.expired(now) {
            refused.extend(self.refuse(now, &[attempt], reason));
        }
        refused
    }

    /// Returns the late requests that would not be answered before their wait ends, and why.
    fn expired(&self, now: Time) -> Vec<(u64, Reason)> {
        let mut expired = Vec::new();
        let slots = f64::from(self.capacity(now));
        let mut ahead = self.residual(now);
        let mut bytes = self.link.owed().saturating_add(self.waiting.answers());
        for rank in RANKS {
            let needed = self.times.upper_estimate(rank, 0.0);
            let feasible_work = self.work_ahead_waiting(rank);
            for ticket in self.late.tickets(rank) {
                let wait = Duration::from_secs_f64((ahead + feasible_work) / slots);
                let ready = now + wait + needed;
                if let Some(reason) = self.miss(now, ready, bytes, ticket, ticket.deadline) {
                    expired.push((ticket.attempt, reason));
                    continue;
                }
                if !self.holds_back(bytes, ticket) {
                    ahead += self.times.slot_time(rank);
                }
                bytes = bytes.saturating_add(ticket.answer);
            }
        }
        expired
    }

    /// Queues a request behind all that can meet their deadline.
    ///
    /// Its wait is bounded by a fraction of the time to its expiry, which becomes its deadline.
    /// Guards against a request that is overtaken for as long as an overload lasts and leaves its
    /// caller no time for a retry.
    fn push_late(&mut self, now: Time, ticket: Ticket, item: T) {
        let overtakes = self.running.values().any(|run| self.overtakes(ticket.rank, run.rank));
        let divisor = if overtakes { OVERTAKE_WAIT_DIVISOR } else { LATE_WAIT_DIVISOR };
        let deadline = now + ticket.expiry.since(now) / divisor;
        self.late.push(Ticket { deadline, ..ticket }, item);
    }

    /// Queues a request that would miss its deadline but be useful later, or refuses it.
    ///
    /// `missed` is why it would miss its deadline.
    pub(super) fn offer_late(
        &mut self,
        now: Time,
        ticket: Ticket,
        item: T,
        missed: Reason,
    ) -> Offer<T> {
        let wait = self.predicted_late_wait(now, ticket.rank);
        let ready = now + wait + self.times.upper_estimate(ticket.rank, self.settings.deviations);
        let useless = self.miss(now, ready, self.bytes_before_late(), &ticket, ticket.expiry);
        let no_place = ticket.expiry <= ticket.deadline || self.late.len() >= self.settings.queue;
        match useless.or(no_place.then_some(missed)) {
            Some(Reason::LinkFull) => Offer::Refused(item, self.link_refusal(now, &ticket)),
            Some(_) => Offer::Refused(item, self.refusal(now, Reason::Busy, ticket.attempt)),
            None => {
                self.push_late(now, ticket, item);
                Offer::Queued { displaced: None }
            }
        }
    }

    /// Moves waiting requests that would be late to the late queue; returns those refused.
    fn postpone(&mut self, now: Time, late: &[(u64, Reason)]) -> Vec<(T, Refusal)> {
        let mut refused = Vec::new();
        for (attempt, missed) in late {
            let Some((ticket, item)) = self.waiting.remove(*attempt) else { continue };
            let ready = now + self.times.upper_estimate(ticket.rank, 0.0);
            let useless = self.miss(now, ready, self.bytes_before_late(), &ticket, ticket.expiry);
            let no_place =
                ticket.expiry <= ticket.deadline || self.late.len() >= self.settings.queue;
            match useless.or(no_place.then_some(*missed)) {
                Some(reason) => refused.push((item, self.refusal_for(now, reason, &ticket))),
                None => self.push_late(now, ticket, item),
            }
        }
        refused
    }
}
