//! Recent moves that a member has proposed or seen.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::{BalanceSettings, Plan};
use crate::id::{KeyHash, MemberId, UnitId};
use crate::time::Time;

/// Window in which own moves are limited.
const RATE_WINDOW: Duration = Duration::from_mins(1);

/// Recent moves that a member has proposed or seen.
#[derive(Debug, Default)]
pub struct History {
    moved: HashMap<UnitId, Time>,
    /// Times of own moves, oldest first.
    move_times: VecDeque<Time>,
    /// Times at which members received units, oldest first.
    received: BTreeMap<MemberId, VecDeque<Time>>,
    /// Times at which members last received a hot key.
    hot_received: HashMap<MemberId, Time>,
    cold_since: HashMap<KeyHash, Time>,
    /// Times at which this member handed over the standby role of hot keys.
    handed_off: HashMap<KeyHash, Time>,
}

impl History {
    /// Records a proposed plan.
    pub fn record_plan(&mut self, now: Time, plan: &Plan) {
        for unit in &plan.switchovers {
            self.moved.insert(*unit, now);
            self.move_times.push_back(now);
        }
        self.handed_off.extend(plan.handoffs.iter().filter_map(|(unit, _)| Some((unit.key?, now))));
    }

    /// Records a folded switchover, whichever member proposed it.
    pub fn record_switchover(&mut self, now: Time, unit: UnitId, owner: MemberId) {
        self.moved.insert(unit, now);
        self.received.entry(owner).or_default().push_back(now);
        if unit.key.is_some() {
            self.hot_received.insert(owner, now);
        }
    }

    /// Returns true when a unit has moved within the cooldown.
    pub(super) fn in_cooldown(&self, now: Time, unit: UnitId, cooldown: Duration) -> bool {
        self.moved.get(&unit).is_some_and(|at| now.since(*at) < cooldown)
    }

    /// Returns true when this member has recently handed over the standby role of a hot key.
    pub(super) fn handed_off(&self, now: Time, key: KeyHash) -> bool {
        self.handed_off.get(&key).is_some_and(|at| now.since(*at) < RATE_WINDOW)
    }

    /// Returns the number of own moves in the last minute.
    pub(super) fn own_moves(&self, now: Time) -> usize {
        self.move_times.iter().filter(|at| now.since(**at) < RATE_WINDOW).count()
    }

    /// Returns the number of units that a member has received since it reported its load.
    pub(super) fn received_since(&self, member: MemberId, report: Time) -> usize {
        let times = self.received.get(&member).into_iter().flatten();
        times.filter(|at| **at >= report).count()
    }

    /// Returns true when a member received a hot key so recently that its reports may not show it.
    pub(super) fn hot_received(&self, now: Time, member: MemberId, settle_time: Duration) -> bool {
        self.hot_received.get(&member).is_some_and(|at| now.since(*at) < settle_time)
    }

    /// Returns for how long a hot key has been cold.
    pub(super) fn cold_duration(&mut self, now: Time, key: KeyHash, cold: bool) -> Duration {
        if cold {
            let since = *self.cold_since.entry(key).or_insert(now);
            return now.since(since);
        }
        self.cold_since.remove(&key);
        Duration::ZERO
    }

    /// Returns true when a hot key was cold when this member last owned it.
    pub(super) fn is_cold(&self, key: KeyHash) -> bool {
        self.cold_since.contains_key(&key)
    }

    pub(super) fn prune(&mut self, now: Time, settings: &BalanceSettings) {
        self.moved.retain(|_, at| now.since(*at) < settings.cooldown);
        drop_expired(now, &mut self.move_times);
        self.received.retain(|_, times| {
            drop_expired(now, times);
            !times.is_empty()
        });
        self.hot_received.retain(|_, at| now.since(*at) < settings.settle_time);
        self.handed_off.retain(|_, at| now.since(*at) < RATE_WINDOW);
        // Keys that were merged are never queried again, so their entries must expire.
        let longest = settings.merge_after * 4;
        self.cold_since.retain(|_, since| now.since(*since) < longest);
    }
}

fn drop_expired(now: Time, times: &mut VecDeque<Time>) {
    while times.front().is_some_and(|at| now.since(*at) >= RATE_WINDOW) {
        times.pop_front();
    }
}
