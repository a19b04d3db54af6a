//! Queue of requests that wait for a slot, by rank and deadline.

use std::collections::{BTreeMap, HashMap};

use super::{RANK_COUNT, RANKS, Ticket};
use crate::route::Rank;
use crate::time::Time;

/// Deadline, then order of arrival.
type QueueKey = (Time, u64);

/// Waiting requests, ordered by rank and deadline.
#[derive(Debug)]
pub(super) struct WaitQueue<T> {
    arrivals: u64,
    /// Expected answer bytes of all entries.
    answers: u64,
    ranks: [BTreeMap<QueueKey, (Ticket, T)>; RANK_COUNT],
    keys: HashMap<u64, (Rank, QueueKey)>,
}

impl<T> WaitQueue<T> {
    pub(super) fn new() -> Self {
        Self {
            arrivals: 0,
            answers: 0,
            ranks: [const { BTreeMap::new() }; RANK_COUNT],
            keys: HashMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn count(&self, rank: Rank) -> usize {
        self.ranks[rank as usize].len()
    }

    pub(super) fn contains(&self, attempt: u64) -> bool {
        self.keys.contains_key(&attempt)
    }

    /// Returns the expected answer bytes of the waiting requests.
    pub(super) fn answers(&self) -> u64 {
        self.answers
    }

    pub(super) fn push(&mut self, ticket: Ticket, item: T) {
        self.arrivals += 1;
        self.answers += ticket.answer;
        let key = (ticket.deadline, self.arrivals);
        self.ranks[ticket.rank as usize].insert(key, (ticket, item));
        self.keys.insert(ticket.attempt, (ticket.rank, key));
    }

    pub(super) fn remove(&mut self, attempt: u64) -> Option<(Ticket, T)> {
        let (rank, key) = self.keys.remove(&attempt)?;
        let entry = self.ranks[rank as usize].remove(&key)?;
        self.answers -= entry.0.answer;
        Some(entry)
    }

    /// Returns the tickets of a rank, earliest deadline first.
    pub(super) fn tickets(&self, rank: Rank) -> impl Iterator<Item = &Ticket> {
        self.ranks[rank as usize].values().map(|(ticket, _)| ticket)
    }

    /// Returns the ticket with the earliest deadline in the most important rank, of those that may
    /// start.
    pub(super) fn first(&self, may: impl Fn(&Ticket) -> bool) -> Option<&Ticket> {
        RANKS.into_iter().find_map(|rank| self.first_of(rank, &may))
    }

    /// Returns the ticket of a rank with the earliest deadline, of those that may start.
    pub(super) fn first_of(&self, rank: Rank, may: impl Fn(&Ticket) -> bool) -> Option<&Ticket> {
        self.tickets(rank).find(|ticket| may(ticket))
    }

    /// Returns the attempt of a rank with the latest deadline.
    pub(super) fn last(&self, rank: Rank) -> Option<u64> {
        self.ranks[rank as usize].last_key_value().map(|(_, (ticket, _))| ticket.attempt)
    }

    /// Returns all attempts, most important first.
    pub(super) fn attempts(&self) -> Vec<u64> {
        self.ranks.iter().flat_map(BTreeMap::values).map(|(ticket, _)| ticket.attempt).collect()
    }
}
