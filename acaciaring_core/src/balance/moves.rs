//! Which own units change roles with their standbys.

use std::collections::HashMap;

use super::quotas;
use super::summary::{OwnUnit, Survey};
use super::{BalanceSettings, History, View};
use crate::id::{MemberId, UnitId};
use crate::time::Time;

/// Loads as they would be after the moves chosen so far.
struct Outlook<'a> {
    survey: &'a Survey,
    view: &'a View<'a>,
    own: f64,
    others: HashMap<MemberId, f64>,
}

/// Chooses the units to move now.
pub(super) fn decide(
    now: Time,
    view: &View<'_>,
    settings: &BalanceSettings,
    survey: &Survey,
    history: &History,
    homeward: &[UnitId],
) -> Vec<UnitId> {
    let mut left = allowance(now, settings, survey, history);
    let mut free = survey.own.clone();
    free.retain(|own| !history.rests(now, own.unit, settings.cooldown));
    let mut outlook = Outlook { survey, view, own: survey.load, others: survey.loads.clone() };
    let mut chosen: Vec<UnitId> = Vec::new();
    for own in free.iter().filter(|own| homeward.contains(&own.unit)).take(left) {
        outlook.apply(own);
        chosen.push(own.unit);
    }
    left -= chosen.len();
    for own in outlook.fill(settings, &free, left) {
        chosen.push(own.unit);
        left -= 1;
    }
    if survey.hot(settings) {
        free.retain(|own| !chosen.contains(&own.unit));
        chosen.extend(outlook.relieve(settings, free, left));
    }
    let whole = |unit: &UnitId| survey.own.iter().find(|own| own.unit == *unit);
    let units =
        |unit: UnitId| whole(&unit).map_or_else(|| vec![unit], |own| own.units(view, &survey.own));
    chosen.into_iter().flat_map(units).collect()
}

/// Returns how many units may move now.
fn allowance(now: Time, settings: &BalanceSettings, survey: &Survey, history: &History) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a u32")]
    let share = (survey.fair * settings.move_share) as usize;
    let units = share.max(settings.min_moves).saturating_sub(history.own_moves(now));
    // A block counts by its slots.
    let blocks = survey.own.iter().filter(|own| own.block.is_some()).count();
    let slots = survey.owned.div_ceil(blocks.max(1)).max(1);
    if blocks > 0 { units.div_ceil(slots) } else { units }
}

impl Outlook<'_> {
    /// Moves units until no move is worth its cost, the best gain per cost first.
    fn relieve(
        &mut self,
        settings: &BalanceSettings,
        mut free: Vec<OwnUnit>,
        left: usize,
    ) -> Vec<UnitId> {
        let mut chosen = Vec::new();
        while chosen.len() < left {
            let values = free.iter().map(|own| self.value(own));
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

    /// Gives members that are short of units this member's share of what they lack.
    ///
    /// Units of middling heat go first, and none that would bring the newcomer above the mean: reports
    /// lag, and many give at once.
    fn fill(&mut self, settings: &BalanceSettings, free: &[OwnUnit], left: usize) -> Vec<OwnUnit> {
        let mut chosen = Vec::new();
        let slots = self.survey.owned.div_ceil(self.survey.own.len().max(1)).max(1);
        for (member, quota) in quotas::fills(self.view, settings, self.survey) {
            let quota = if self.view.service.founded { quota / slots } else { quota };
            let typical = self.survey.mean / self.survey.fair;
            let mut units: Vec<_> = free.iter().filter(|own| own.standby == member).collect();
            let distance = |own: &OwnUnit| (self.load_at(member, own.rate) - typical).abs();
            let service = self.view.service;
            if service.founded {
                let members = self.view.members.len();
                units.sort_by_key(|own| (service.block(own.unit.slot, members), own.unit));
            } else {
                units.sort_by(|a, b| distance(a).total_cmp(&distance(b)).then(a.unit.cmp(&b.unit)));
            }
            for own in units.into_iter().take(quota) {
                let Some(load) = self.others.get(&member) else { break };
                if chosen.len() >= left || load + self.load_at(member, own.rate) > self.survey.mean
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
    fn value(&self, own: &OwnUnit) -> f64 {
        let Some(theirs) = self.others.get(&own.standby) else { return 0.0 };
        let Some(load) = self.view.members.get(&own.standby).and_then(|member| member.load) else {
            return 0.0;
        };
        let cost = self.survey.costs.relative(own.unit, own.rate);
        // The limit starts moves and the goal ends them, so that a load near either causes none.
        if self.survey.load <= self.survey.limit(cost) || self.own <= self.survey.goal(cost) {
            return 0.0;
        }
        let mine = self.own - own.rate * self.survey.per_rate;
        let after = theirs + self.load_at(own.standby, own.rate);
        // The receiver must end neither hot nor above the giver. Else the unit would soon come back, and
        // callers would see it swapped to and fro.
        if load.saturated() || after > self.survey.goal(0.0) || after > mine.max(self.survey.mean) {
            return 0.0;
        }
        let gain = self.own.max(*theirs) - mine.max(after);
        gain / self.survey.mean / self.survey.costs.of(own.unit, own.rate)
    }

    /// Returns the load that `rate` requests a second are at a member.
    fn load_at(&self, member: MemberId, rate: f64) -> f64 {
        let load = self.view.members.get(&member).and_then(|candidate| candidate.load);
        rate / load.map_or(1.0, |load| load.power())
    }

    fn apply(&mut self, own: &OwnUnit) {
        let arriving = self.load_at(own.standby, own.rate);
        self.own -= own.rate * self.survey.per_rate;
        if let Some(load) = self.others.get_mut(&own.standby) {
            *load += arriving;
        }
    }
}
