//! Selection of the own units that swap roles with their standbys.

use std::collections::HashMap;

use super::quotas;
use super::summary::{OwnedUnit, Summary};
use super::{BalanceSettings, History, View};
use crate::id::{MemberId, UnitId};
use crate::time::Time;

/// Loads as they would be after the moves chosen so far.
struct Projection<'a> {
    summary: &'a Summary,
    view: &'a View<'a>,
    own_load: f64,
    other_loads: HashMap<MemberId, f64>,
}

/// Chooses the units to move now.
pub(super) fn decide(
    now: Time,
    view: &View<'_>,
    settings: &BalanceSettings,
    summary: &Summary,
    history: &History,
    returning: &[UnitId],
) -> Vec<UnitId> {
    let mut left = allowance(now, settings, summary, history);
    let mut free = summary.movable.clone();
    free.retain(|own| !history.in_cooldown(now, own.unit, settings.cooldown));
    let mut projection =
        Projection { summary, view, own_load: summary.load, other_loads: summary.loads.clone() };
    let mut chosen: Vec<UnitId> = Vec::new();
    for own in free.iter().filter(|own| returning.contains(&own.unit)).take(left) {
        projection.apply(own);
        chosen.push(own.unit);
    }
    left -= chosen.len();
    for own in projection.fill_deficits(settings, &free, left) {
        chosen.push(own.unit);
        left -= 1;
    }
    if summary.overloaded(settings) {
        free.retain(|own| !chosen.contains(&own.unit));
        chosen.extend(projection.reduce_load(settings, free, left));
    }
    let entry = |unit: &UnitId| summary.movable.iter().find(|own| own.unit == *unit);
    let units = |unit: UnitId| {
        entry(&unit).map_or_else(|| vec![unit], |own| own.units(view, &summary.movable))
    };
    chosen.into_iter().flat_map(units).collect()
}

/// Returns the number of units or blocks that may move now.
fn allowance(now: Time, settings: &BalanceSettings, summary: &Summary, history: &History) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a u32")]
    let share = (summary.fair * settings.move_share) as usize;
    let units = share.max(settings.min_moves).saturating_sub(history.own_moves(now));
    // A block counts as many moves as it has slots.
    let blocks = summary.movable.iter().filter(|own| own.block.is_some()).count();
    let slots = summary.owned.div_ceil(blocks.max(1)).max(1);
    if blocks > 0 { units.div_ceil(slots) } else { units }
}

impl Projection<'_> {
    /// Moves units in order of gain per cost until no move is worth its cost.
    fn reduce_load(
        &mut self,
        settings: &BalanceSettings,
        mut free: Vec<OwnedUnit>,
        left: usize,
    ) -> Vec<UnitId> {
        let mut chosen = Vec::new();
        while chosen.len() < left {
            let values = free.iter().map(|own| self.gain_per_cost(own));
            let best = values.enumerate().max_by(|(_, a), (_, b)| a.total_cmp(b));
            let Some((index, value)) = best else { break };
            if value <= settings.min_gain {
                break;
            }
            let own = free.swap_remove(index);
            self.apply(&own);
            chosen.push(own.unit);
        }
        chosen
    }

    /// Moves this member's quota of units to members that own too few.
    ///
    /// Units of typical rate go first, and none that would raise the receiver above the mean:
    /// reports lag, and several donors give at once.
    fn fill_deficits(
        &mut self,
        settings: &BalanceSettings,
        free: &[OwnedUnit],
        left: usize,
    ) -> Vec<OwnedUnit> {
        let mut chosen = Vec::new();
        let slots = self.summary.owned.div_ceil(self.summary.movable.len().max(1)).max(1);
        for (member, quota) in quotas::transfer_quotas(self.view, settings, self.summary) {
            let quota = if self.view.service.numeric { quota / slots } else { quota };
            let typical = self.summary.mean / self.summary.fair;
            let mut units: Vec<_> = free.iter().filter(|own| own.standby == member).collect();
            let distance = |own: &OwnedUnit| (self.load_at(member, own.rate) - typical).abs();
            let service = self.view.service;
            if service.numeric {
                let members = self.view.members.len();
                units.sort_by_key(|own| (service.block(own.unit.slot, members), own.unit));
            } else {
                units.sort_by(|a, b| distance(a).total_cmp(&distance(b)).then(a.unit.cmp(&b.unit)));
            }
            for own in units.into_iter().take(quota) {
                let Some(load) = self.other_loads.get(&member) else { break };
                if chosen.len() >= left || load + self.load_at(member, own.rate) > self.summary.mean
                {
                    break;
                }
                self.apply(own);
                chosen.push(*own);
            }
        }
        chosen
    }

    /// Returns the gain per cost of a move, zero or less when it should not be made.
    fn gain_per_cost(&self, own: &OwnedUnit) -> f64 {
        let Some(theirs) = self.other_loads.get(&own.standby) else { return 0.0 };
        let Some(load) = self.view.members.get(&own.standby).and_then(|member| member.load) else {
            return 0.0;
        };
        let cost = self.summary.costs.relative(own.unit, own.rate);
        // Hysteresis: the limit starts moves and the target ends them, so a load near either is
        // stable.
        if self.summary.load <= self.summary.limit(cost)
            || self.own_load <= self.summary.target(cost)
        {
            return 0.0;
        }
        let mine = self.own_load - own.rate * self.summary.rate_factor;
        let after = theirs + self.load_at(own.standby, own.rate);
        // The receiver must end neither overloaded nor above the donor, or the unit would soon move
        // back and oscillate between the two.
        if load.saturated()
            || after > self.summary.target(0.0)
            || after > mine.max(self.summary.mean)
        {
            return 0.0;
        }
        let gain = self.own_load.max(*theirs) - mine.max(after);
        gain / self.summary.mean / self.summary.costs.of(own.unit, own.rate)
    }

    /// Returns the load that `rate` requests per second cause at a member.
    fn load_at(&self, member: MemberId, rate: f64) -> f64 {
        let load = self.view.members.get(&member).and_then(|candidate| candidate.load);
        rate / load.map_or(1.0, |load| load.effective_slots())
    }

    fn apply(&mut self, own: &OwnedUnit) {
        let arriving = self.load_at(own.standby, own.rate);
        self.own_load -= own.rate * self.summary.rate_factor;
        if let Some(load) = self.other_loads.get_mut(&own.standby) {
            *load += arriving;
        }
    }
}
