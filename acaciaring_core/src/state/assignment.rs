//! Assignments of slots and hot keys to owners and standbys.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::id::{KeyHash, MemberId, Name, Offset, Slot, UnitId};

/// Owner and standby of a unit, and former owners that may still serve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Assignment {
    /// Member that owns the unit.
    pub owner: Option<MemberId>,
    /// Member that takes over when the owner fails.
    pub standby: Option<MemberId>,
    /// Former owner that may not have released the unit yet.
    pub prior: Option<MemberId>,
    /// Standby of the predecessor that the owner replaced.
    ///
    /// It may have taken over before it read the replacement in the log, so the owner waits for its
    /// release as for that of `prior`.
    pub prior_standby: Option<MemberId>,
    /// Offset of the record that last changed this assignment.
    pub version: Offset,
    /// Offset of the record that last changed the owner.
    pub token: Offset,
}

/// Hot key, split from its slot into a unit of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HotKey {
    /// Slot that contains the key.
    pub slot: Slot,
    /// Assignment of the key.
    pub assignment: Assignment,
}

/// Assignments of a workspace's service that is partitioned by key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Service {
    /// Name of the workspace.
    pub workspace: Name,
    /// Assignment of each slot.
    pub slots: Vec<Assignment>,
    /// Hot keys with their assignments.
    pub hot: BTreeMap<KeyHash, HotKey>,
    /// True if keys are numbers and each slot is a range of them; false if keys are hashed.
    ///
    /// An `Assign` record creates such a service; any other comes from a route.
    pub numeric: bool,
}

/// Least number of slot blocks per member of a numeric service; there are up to twice as many.
const BLOCKS_PER_MEMBER: u32 = 32;

/// Number of keys of a numeric service, which are `0..NUMERIC_KEYS`.
pub const NUMERIC_KEYS: u32 = 1 << 16;

impl Service {
    /// Returns the unit that contains a key: the hot key itself or its slot.
    ///
    /// # Panics
    ///
    /// Panics if the service has no slots or more than `u32::MAX`, which the fold rules out.
    #[must_use]
    pub fn unit_of(&self, key: KeyHash) -> UnitId {
        let count = u32::try_from(self.slots.len()).expect("slots are counted by a u32");
        let hot = self.hot.contains_key(&key);
        let slot = if self.numeric { slot_of_number(key, count) } else { key.slot(count) };
        UnitId { slot, key: hot.then_some(key) }
    }

    /// Returns the key ranges of a unit of a numeric service in order.
    ///
    /// Those of a slot exclude its hot keys.
    #[must_use]
    pub fn key_ranges(&self, unit: UnitId) -> Vec<RangeInclusive<u32>> {
        if let Some(key) = unit.key {
            return u32::try_from(key.0).map(|number| number..=number).into_iter().collect();
        }
        let count = u64::try_from(self.slots.len()).unwrap_or(u64::MAX).max(1);
        let first = |slot: u64| {
            let first = (slot * u64::from(NUMERIC_KEYS)).div_ceil(count);
            u32::try_from(first).unwrap_or(NUMERIC_KEYS)
        };
        let slot = u64::from(unit.slot);
        let (mut start, end) = (first(slot), first(slot + 1));
        let mut ranges = Vec::new();
        let hot = self.hot.iter().filter(|(_, hot)| hot.slot == unit.slot);
        for number in hot.filter_map(|(key, _)| u32::try_from(key.0).ok()) {
            if start < number {
                ranges.push(start..=number - 1);
            }
            start = number + 1;
        }
        if start < end {
            ranges.push(start..=end - 1);
        }
        ranges
    }

    /// Returns the block of adjacent slots that contains a slot, given the number of members.
    ///
    /// Slots of a numeric service are small, so that busy adjacent keys can be separated.
    /// Assignment and failover work on whole blocks: otherwise an upstream would own so many
    /// disjoint ranges that its grants exceed the size limit of a message.
    #[must_use]
    pub fn block(&self, slot: Slot, members: usize) -> u32 {
        let slots = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        let size = if self.numeric { slots / BLOCKS_PER_MEMBER.saturating_mul(members) } else { 1 };
        slot / prior_power_of_two(size)
    }

    /// Returns the assignment of a unit, or `None` when the service has no such unit.
    #[must_use]
    pub fn assignment(&self, unit: UnitId) -> Option<&Assignment> {
        match unit.key {
            Some(key) => self.hot.get(&key).map(|hot| &hot.assignment),
            None => self.slots.get(usize::try_from(unit.slot).ok()?),
        }
    }

    pub(super) fn assignment_mut(&mut self, unit: UnitId) -> Option<&mut Assignment> {
        match unit.key {
            Some(key) => self.hot.get_mut(&key).map(|hot| &mut hot.assignment),
            None => self.slots.get_mut(usize::try_from(unit.slot).ok()?),
        }
    }

    /// Returns all units with their assignments, slots first.
    pub fn units(&self) -> impl Iterator<Item = (UnitId, &Assignment)> {
        let slots = (0..).zip(&self.slots).map(|(slot, a)| (UnitId::slot(slot), a));
        let hot = self
            .hot
            .iter()
            .map(|(key, hot)| (UnitId { slot: hot.slot, key: Some(*key) }, &hot.assignment));
        slots.chain(hot)
    }
}

/// Returns the slot of a numeric key; all slots have ranges of about the same length.
fn slot_of_number(key: KeyHash, slots: u32) -> Slot {
    let number = key.0.min(u64::from(NUMERIC_KEYS) - 1);
    let slot = number * u64::from(slots) / u64::from(NUMERIC_KEYS);
    Slot::try_from(slot).unwrap_or(0)
}

/// Returns the highest power of two not above a number, 1 for 0.
const fn prior_power_of_two(number: u32) -> u32 {
    match number.checked_ilog2() {
        Some(power) => 1 << power,
        None => 1,
    }
}
