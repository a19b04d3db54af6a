//! Queue of requests that wait for a slot, by rank and deadline.

use std::collections::{BTreeMap, HashMap};

use super::service::ServiceTimes;
use super::{RANK_COUNT, RANKS, Ticket};
use crate::route::Rank;
use crate::time::Time;

/// Deadline, then order of arrival.
type QueueKey = (Time, u64);

/// Waiting requests, ordered by rank and deadline.
#[derive(Debug)]
pub(super) struct WaitQueue<T> {
    arrivals: u64,
    ranks: [BTreeMap<QueueKey, (Ticket, T)>; RANK_COUNT],
    keys: HashMap<u64, (Rank, QueueKey)>,
}

impl<T> WaitQueue<T> {
    pub(super) fn new() -> Self {
        Self { arrivals: 0, ranks: [const { BTreeMap::new() }; RANK_COUNT], keys: HashMap::new() }
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

    /// Returns the slot time that the waiting requests of a rank will take, in seconds.
    pub(super) fn work(&self, rank: Rank, times: &ServiceTimes) -> f64 {
        let count = u32::try_from(self.count(rank)).unwrap_or(u32::MAX);
        f64::from(count) * times.slot_time(rank)
    }

    pub(super) fn push(&mut self, ticket: Ticket, item: T) {
        self.arrivals += 1;
        let key = (ticket.deadline, self.arrivals);
        self.ranks[ticket.rank as usize].insert(key, (ticket, item));
        self.keys.insert(ticket.attempt, (ticket.rank, key));
    }

    pub(super) fn remove(&mut self, attempt: u64) -> Option<(Ticket, T)> {
        let (rank, key) = self.keys.remove(&attempt)?;
        self.ranks[rank as usize].remove(&key)
    }

    /// Returns the tickets of a rank, earliest deadline first.
    pub(super) fn tickets(&self, rank: Rank) -> impl Iterator<Item = &Ticket> {
        self.ranks[rank as usize].values().map(|(ticket, _)| ticket)
    }

    /// Returns the attempt with the earliest deadline in the most important rank.
    pub(super) fn first(&self) -> Option<u64> {
        RANKS.into_iter().find_map(|rank| self.first_of(rank))
    }

    /// Returns the attempt of a rank with the earliest deadline.
    pub(super) fn first_of(&self, rank: Rank) -> Option<u64> {
        self.ranks[rank as usize].first_key_value().map(|(_, (ticket, _))| ticket.attempt)
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
