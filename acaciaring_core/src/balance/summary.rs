//! Counts and loads that all parts of a plan share.

use std::collections::{BTreeMap, HashMap};

use super::cost::Costs;
use super::{BalanceSettings, History, Load, View};
use crate::id::{MemberId, UnitId};
use crate::time::Time;

/// Number of slots that a member owns and is standby of.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotCount {
    pub(super) owned: u32,
    pub(super) standbys: u32,
}

/// Own unit with a standby, or a block of neighbouring slots with a common standby.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnedUnit {
    /// The unit, or the first slot of the block.
    pub(super) unit: UnitId,
    /// Block whose own slots with this standby move together.
    pub(super) block: Option<u32>,
    pub(super) standby: MemberId,
    /// Requests per second.
    pub(super) rate: f64,
}

/// Counts and loads as the planning member knows them.
#[derive(Debug)]
pub(super) struct Summary {
    /// Slots of each candidate.
    pub(super) counts: BTreeMap<MemberId, SlotCount>,
    /// Own units that may move, grouped into blocks in a numeric service.
    pub(super) movable: Vec<OwnedUnit>,
    /// Number of own units with a standby, not grouped into blocks.
    pub(super) owned: usize,
    /// Fair number of slots per member.
    pub(super) fair: f64,
    /// Own load.
    pub(super) load: f64,
    /// Own load per request per second.
    pub(super) rate_factor: f64,
    /// Mean of the known loads.
    pub(super) mean: f64,
    /// Loads of other members, including what they have received since their reports.
    pub(super) loads: HashMap<MemberId, f64>,
    /// Fraction by which a load may exceed the mean before free moves are worthwhile.
    tolerance: f64,
    pub(super) costs: Costs,
}

impl Summary {
    pub(super) fn new(
        now: Time,
        view: &View<'_>,
        settings: &BalanceSettings,
        history: &History,
    ) -> Self {
        let (counts, movable, owned) = count(now, view);
        let fair = fair(view, counts.len());
        let costs = Costs::new(view, settings, fair);
        let unsaturated_mean = unsaturated_mean(view);
        let (load, rate_factor) = own_load(now, view, unsaturated_mean);
        let mut known: HashMap<_, _> = reported(view, unsaturated_mean).collect();
        let all: f64 = known.values().sum::<f64>() + load;
        let members = u32::try_from(known.len() + 1).map_or(1.0, f64::from);
        let mean = all / members;
        for (member, load) in &mut known {
            let report = view.members[member].load.map_or(now, |load| load.at);
            let received = history.received_since(*member, report);
            let received = u32::try_from(received).map_or(0.0, f64::from);
            *load += received * mean / fair;
            if history.hot_received(now, *member, settings.settle_time) {
                *load = load.max(mean);
            }
        }
        let tolerance = settings.tolerance;
        Self {
            counts,
            movable,
            owned,
            fair,
            load,
            rate_factor,
            mean,
            loads: known,
            tolerance,
            costs,
        }
    }

    /// Returns the load above which moves at this cost, as of [`Costs::relative`], are worthwhile.
    pub(super) fn limit(&self, cost: f64) -> f64 {
        self.mean * (1.0 + self.tolerance * (1.0 + cost))
    }

    /// Returns the load at which moves end: halfway from the limit to the mean.
    pub(super) fn target(&self, cost: f64) -> f64 {
        f64::midpoint(self.limit(cost), self.mean)
    }

    /// Returns true when this member should move load away, at least where that is free.
    pub(super) fn overloaded(&self, settings: &BalanceSettings) -> bool {
        self.load > self.limit(0.0) && self.load > settings.min_load
    }
}

fn count(now: Time, view: &View<'_>) -> (BTreeMap<MemberId, SlotCount>, Vec<OwnedUnit>, usize) {
    let mut index: HashMap<MemberId, SlotCount> =
        view.members.keys().map(|id| (*id, SlotCount::default())).collect();
    let mut own = Vec::new();
    for (unit, assignment) in view.service.units() {
        if let (Some(owner), Some(standby)) = (assignment.owner, assignment.standby)
            && owner == view.local
        {
            own.push(OwnedUnit { unit, block: None, standby, rate: view.rates.rate(now, unit) });
        }
        if unit.key.is_some() {
            continue;
        }
        if let Some(count) = assignment.owner.and_then(|id| index.get_mut(&id)) {
            count.owned += 1;
        }
        if let Some(count) = assignment.standby.and_then(|id| index.get_mut(&id)) {
            count.standbys += 1;
        }
    }
    let owned = own.len();
    let own = if view.service.numeric { group_blocks(view, &own) } else { own };
    (index.into_iter().collect(), own, owned)
}

/// Groups the own slots of each block that have the same standby.
///
/// Guards against fragmenting ownership into more separate ranges than an upstream's grants can
/// hold, which would leave slots unserved. A slot that makes up most of its block's rate stays
/// separate, so that it can move without its neighbours.
fn group_blocks(view: &View<'_>, own: &[OwnedUnit]) -> Vec<OwnedUnit> {
    let members = view.members.len();
    let mut blocks: BTreeMap<(u32, MemberId), OwnedUnit> = BTreeMap::new();
    for unit in own {
        let block = view.service.block(unit.unit.slot, members);
        let group = OwnedUnit { block: Some(block), rate: 0.0, ..*unit };
        blocks.entry((block, unit.standby)).or_insert(group).rate += unit.rate;
    }
    let mut separate = Vec::new();
    for unit in own {
        let block = view.service.block(unit.unit.slot, members);
        let Some(group) = blocks.get_mut(&(block, unit.standby)) else { continue };
        if group.unit != unit.unit && unit.rate > group.rate / 2.0 {
            group.subtract_rate(unit.rate);
            separate.push(*unit);
        }
    }
    blocks.into_values().chain(separate).collect()
}

impl OwnedUnit {
    /// Subtracts the rate of a unit that moves separately from its block.
    ///
    /// Guards against a negative rate from floating-point rounding, for which no drain time exists.
    fn subtract_rate(&mut self, rate: f64) {
        self.rate = (self.rate - rate).max(0.0);
    }

    /// Returns the units that move together.
    pub(super) fn units(&self, view: &View<'_>, others: &[Self]) -> Vec<UnitId> {
        let Some(block) = self.block else { return vec![self.unit] };
        let members = view.members.len();
        let separate = |unit: UnitId| others.iter().any(|o| o.block.is_none() && o.unit == unit);
        let slots = view.service.units().filter(|(unit, assignment)| {
            let mine = assignment.owner == Some(view.local);
            let same = assignment.standby == Some(self.standby);
            let slot = unit.key.is_none() && view.service.block(unit.slot, members) == block;
            mine && same && slot && !separate(*unit)
        });
        slots.map(|(unit, _)| unit).collect()
    }
}

fn fair(view: &View<'_>, members: usize) -> f64 {
    let slots = u32::try_from(view.service.slots.len()).map_or(1.0, f64::from);
    let members = u32::try_from(members).map_or(1.0, f64::from);
    slots.max(1.0) / members.max(1.0)
}

/// Returns the mean load of the members that are not saturated.
fn unsaturated_mean(view: &View<'_>) -> f64 {
    let loads = view.members.values().filter_map(|candidate| candidate.load);
    let densities: Vec<_> =
        loads.filter(|load| !load.saturated()).map(|load| load.load_per_slot()).collect();
    let count = u32::try_from(densities.len()).map_or(1.0, f64::from);
    densities.iter().sum::<f64>() / count.max(1.0)
}

/// Returns the load of a member in requests per second per slot.
///
/// A saturated member counts at least as the mean of the unsaturated ones, times its overload: a
/// slow upstream receives its fair rate, so only its backlog shows the problem.
fn load_of(load: &Load, unsaturated_mean: f64) -> f64 {
    if load.saturated() {
        load.load_per_slot().max(unsaturated_mean) * load.overload()
    } else {
        load.load_per_slot()
    }
}

/// Returns the own load, and the load per request per second.
fn own_load(now: Time, view: &View<'_>, unsaturated_mean: f64) -> (f64, f64) {
    let Some(load) = view.members[&view.local].load else { return (0.0, 0.0) };
    let rate = view.rates.total(now);
    let own = load_of(&Load { rate, ..load }, unsaturated_mean);
    if rate > 0.0 { (own, own / rate) } else { (0.0, 0.0) }
}

fn reported(view: &View<'_>, unsaturated_mean: f64) -> impl Iterator<Item = (MemberId, f64)> {
    let others = view.members.iter().filter(|(id, _)| **id != view.local);
    others
        .filter_map(move |(id, candidate)| Some((*id, load_of(&candidate.load?, unsaturated_mean))))
}

#[cfg(test)]
mod tests;
