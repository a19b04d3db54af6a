//! Entries of deduplication, bounded in bytes.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use super::{DedupEntry, DedupSettings, RequestState};
use crate::id::{RequestId, Slot, UnitId};
use crate::time::Time;

/// Estimated size of an entry without its answer, including the indexes, in bytes.
const ENTRY_BYTES: usize = 256;

/// Slot and id: the same idempotency key under a resource in another slot is another request.
type Key = (Slot, RequestId);

/// Time of change or expiry, then the key.
type TimedKey = (Time, Key);

#[derive(Debug)]
struct Entry<A> {
    unit: UnitId,
    state: RequestState<A>,
    changed: Time,
}

/// Entries by key, by slot and by time.
#[derive(Debug)]
pub(super) struct Table<A> {
    max_bytes: usize,
    window: Duration,
    bytes: usize,
    entries: HashMap<Key, Entry<A>>,
    /// Expiry times; requests that run here have none.
    expiries: BTreeSet<TimedKey>,
    /// Entries with answers, oldest first.
    answers: BTreeSet<TimedKey>,
    slots: HashMap<Slot, BTreeSet<RequestId>>,
}

impl<A: Clone> Table<A> {
    pub(super) fn new(settings: &DedupSettings) -> Self {
        Self {
            max_bytes: settings.max_bytes,
            window: settings.window,
            bytes: 0,
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            answers: BTreeSet::new(),
            slots: HashMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, slot: Slot, id: RequestId) -> Option<&RequestState<A>> {
        self.entries.get(&(slot, id)).map(|entry| &entry.state)
    }

    /// Returns the time at which the next entry expires.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Adds a missing entry; false when there is no room for one more id.
    ///
    /// Answers are evicted to make room for ids, but ids never: a request whose id is lost could
    /// run twice.
    pub(super) fn insert(
        &mut self,
        at: Time,
        unit: UnitId,
        id: RequestId,
        state: RequestState<A>,
    ) -> bool {
        if (self.entries.len() + 1) * ENTRY_BYTES > self.max_bytes {
            return false;
        }
        self.put(at, unit, id, state);
        self.evict_answers();
        true
    }

    /// Replaces the state of an existing entry.
    pub(super) fn update(&mut self, at: Time, unit: UnitId, id: RequestId, state: RequestState<A>) {
        if self.remove(unit.slot, id) {
            self.put(at, unit, id, state);
            self.evict_answers();
        }
    }

    /// Merges another member's state, of which the more certain is kept; false when there is no
    /// room.
    pub(super) fn merge(
        &mut self,
        at: Time,
        unit: UnitId,
        id: RequestId,
        state: RequestState<A>,
    ) -> bool {
        // A request that runs at the other member does not run here.
        let state =
            if matches!(state, RequestState::Running) { RequestState::Noted } else { state };
        let Some(known) = self.get(unit.slot, id) else {
            return self.insert(at, unit, id, state);
        };
        if certainty(&state) > certainty(known) {
            self.update(at, unit, id, state);
        }
        true
    }

    pub(super) fn remove(&mut self, slot: Slot, id: RequestId) -> bool {
        let key = (slot, id);
        let Some(entry) = self.entries.remove(&key) else { return false };
        self.bytes -= size(&entry.state);
        self.answers.remove(&(entry.changed, key));
        if let Some(expiry) = self.expiry(&entry.state, entry.changed) {
            self.expiries.remove(&(expiry, key));
        }
        if let Some(ids) = self.slots.get_mut(&slot) {
            ids.remove(&id);
            if ids.is_empty() {
                self.slots.remove(&slot);
            }
        }
        true
    }

    /// Removes the noted requests of a unit that are not among `reported`.
    pub(super) fn drop_noted(&mut self, unit: UnitId, reported: &HashSet<RequestId>) {
        let unreported = self.noted(unit).into_iter().filter(|id| !reported.contains(id));
        for id in unreported.collect::<Vec<_>>() {
            self.remove(unit.slot, id);
        }
    }

    /// Marks the noted requests of a unit as unknown.
    ///
    /// A key that was split out may have been noted under its slot, so the slot's requests are
    /// marked as well. This is harmless for other units of the slot, because a later outcome still
    /// replaces the state.
    pub(super) fn mark_noted_unknown(&mut self, now: Time, unit: UnitId) {
        let units: HashSet<_> = [unit, UnitId::slot(unit.slot)].into();
        for unit in units {
            for id in self.noted(unit) {
                self.update(now, unit, id, RequestState::Unknown);
            }
        }
    }

    pub(super) fn export(&self, now: Time, slot: Slot) -> Vec<DedupEntry<A>> {
        let ids = self.slots.get(&slot).into_iter().flatten();
        ids.filter_map(|id| {
            let entry = self.entries.get(&(slot, *id))?;
            let running = matches!(entry.state, RequestState::Running);
            let age = if running { Duration::ZERO } else { now.since(entry.changed) };
            Some(DedupEntry { unit: entry.unit, id: *id, state: entry.state.clone(), age })
        })
        .collect()
    }

    pub(super) fn expire(&mut self, now: Time) {
        while let Some((expiry, (slot, id))) = self.expiries.first().copied()
            && expiry <= now
        {
            self.remove(slot, id);
        }
    }

    fn noted(&self, unit: UnitId) -> Vec<RequestId> {
        let ids = self.slots.get(&unit.slot).into_iter().flatten();
        let noted = ids.filter(|id| {
            let entry = self.entries.get(&(unit.slot, **id));
            entry.is_some_and(|e| e.unit == unit && matches!(e.state, RequestState::Noted))
        });
        noted.copied().collect()
    }

    fn put(&mut self, changed: Time, unit: UnitId, id: RequestId, state: RequestState<A>) {
        let key = (unit.slot, id);
        self.bytes += size(&state);
        if let Some(expiry) = self.expiry(&state, changed) {
            self.expiries.insert((expiry, key));
        }
        if matches!(state, RequestState::Done { .. }) {
            self.answers.insert((changed, key));
        }
        self.slots.entry(unit.slot).or_default().insert(id);
        self.entries.insert(key, Entry { unit, state, changed });
    }

    /// Returns the time at which an entry expires; `None` while the request runs.
    ///
    /// A noted request is kept for two windows: its outcome may be lost, so it must expire, but the
    /// owner may have ended it, and started its own window, long after it was noted.
    fn expiry(&self, state: &RequestState<A>, changed: Time) -> Option<Time> {
        match state {
            RequestState::Running => None,
            RequestState::Noted => Some(changed + 2 * self.window),
            RequestState::Done { .. } | RequestState::Unknown => Some(changed + self.window),
        }
    }

    /// Drops the oldest answers, but not their ids, until the size limit is met.
    fn evict_answers(&mut self) {
        while self.bytes > self.max_bytes {
            let Some((changed, (slot, id))) = self.answers.first().copied() else { return };
            let unit = self.entries.get(&(slot, id)).map_or(UnitId::slot(slot), |entry| entry.unit);
            self.remove(slot, id);
            self.put(changed, unit, id, RequestState::Unknown);
        }
    }
}

fn size<A>(state: &RequestState<A>) -> usize {
    match state {
        RequestState::Done { bytes, .. } => ENTRY_BYTES + bytes,
        RequestState::Running | RequestState::Noted | RequestState::Unknown => ENTRY_BYTES,
    }
}

/// Ranks states by certainty, to merge what two members know of one request.
fn certainty<A>(state: &RequestState<A>) -> u8 {
    match state {
        RequestState::Noted => 0,
        RequestState::Unknown => 1,
        RequestState::Running => 2,
        RequestState::Done { .. } => 3,
    }
}
