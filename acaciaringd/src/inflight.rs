//! Counts of requests in flight at the upstream, which the release of a unit waits for.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use acaciaring_core::{KeyHash, Name, Slot, UnitId};
use parking_lot::Mutex;

/// Workspace and slot.
type SlotKey = (Name, Slot);

/// Requests in flight, by key.
///
/// A request registers before it reads the view and checks its permit; the control thread publishes
/// the view in which the unit is draining before it reads the count. So either the request sees the
/// drain and is refused, or the control thread sees the request and waits for it.
///
/// Counts keys rather than slots: when a key is split out of its slot and moved, the release of the
/// key must wait for its older requests too, or the key would be served by two servers at once.
#[derive(Debug, Default)]
pub(crate) struct Inflight {
    counts: Mutex<HashMap<SlotKey, HashMap<KeyHash, usize>>>,
}

impl Inflight {
    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(
        self: &Arc<Self>,
        workspace: &Name,
        slot: Slot,
        key: KeyHash,
    ) -> InflightGuard {
        let slot_key = (Arc::clone(workspace), slot);
        *self.counts.lock().entry(slot_key.clone()).or_default().entry(key).or_default() += 1;
        InflightGuard { inflight: Arc::clone(self), slot_key, key }
    }

    /// Returns the number of requests of a unit; `unit_of` maps a key to its current unit.
    pub(crate) fn count(
        &self,
        workspace: &Name,
        unit: UnitId,
        unit_of: impl Fn(KeyHash) -> UnitId,
    ) -> usize {
        let slot_key = (Arc::clone(workspace), unit.slot);
        let counts = self.counts.lock();
        let keys = counts.get(&slot_key).into_iter().flatten();
        keys.filter(|(key, _)| unit_of(**key) == unit).map(|(_, count)| count).sum()
    }

    /// Returns the hashes of the keys of a workspace with requests in flight.
    pub(crate) fn keys(&self, workspace: &str) -> BTreeSet<u64> {
        let counts = self.counts.lock();
        let slots = counts.iter().filter(|((name, _), _)| **name == *workspace);
        slots.flat_map(|(_, keys)| keys.keys()).map(|key| key.0).collect()
    }

    /// Returns the number of all requests in flight.
    pub(crate) fn total(&self) -> usize {
        self.counts.lock().values().flat_map(HashMap::values).sum()
    }

    fn leave(&self, slot_key: &SlotKey, key: KeyHash) {
        let mut counts = self.counts.lock();
        let Some(keys) = counts.get_mut(slot_key) else { return };
        if let Some(count) = keys.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                keys.remove(&key);
            }
        }
        if keys.is_empty() {
            counts.remove(slot_key);
        }
    }
}

/// Registration of one request, removed on drop.
#[derive(Debug)]
pub(crate) struct InflightGuard {
    inflight: Arc<Inflight>,
    slot_key: SlotKey,
    key: KeyHash,
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.inflight.leave(&self.slot_key, self.key);
    }
}
