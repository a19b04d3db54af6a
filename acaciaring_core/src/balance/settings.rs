//! Settings of balance.

use std::time::Duration;

/// Settings of balance.
#[derive(Debug, Clone, PartialEq)]
pub struct BalanceSettings {
    /// Share by which a member's load may exceed the mean when moves cost nothing.
    ///
    /// The cost of a move to the tenant widens it for that move.
    pub tolerance: f64,
    /// Load in requests a second per slot below which nothing is moved for its heat.
    pub min_load: f64,
    /// Least gain per cost of a move; 1 is the gain of a slot of mean heat at a cost of 1.
    pub min_gain: f64,
    /// Share of its fair count of units by which a member may fall short.
    pub max_deficit: f64,
    /// Own units that may move in a minute whatever the fair count.
    pub min_moves: usize,
    /// Own units that may move in a minute, as a share of the fair count.
    pub move_share: f64,
    /// Time for which a unit that has moved stays where it is.
    pub cooldown: Duration,
    /// Time for which a member that has received a hot key gets no other units for their heat.
    ///
    /// Its reports are smoothed and lag, so it looks cool while keys from all sides make it the hottest.
    pub settle_time: Duration,
    /// Drain that weighs as much as the change of owner.
    pub reference_drain: Duration,
    /// Time that a move takes without any request in flight.
    pub transfer_time: Duration,
    /// Cost of moving a hot key relative to a slot.
    pub key_cost: f64,
    /// Share of a slot's heat from which a key is split out.
    pub split_share: f64,
    /// Least heat of a key that is split out, as a share of the mean load.
    pub split_load: f64,
    /// Share of the mean load below which a hot key is cold.
    pub merge_load: f64,
    /// Share of the mean load below which a member may become standby of a hot key for its coolness.
    pub cool_load: f64,
    /// Time for which a hot key has to be cold before it returns to its slot.
    pub merge_after: Duration,
    /// Hot keys of a service at most.
    pub hot_keys: usize,
    /// Keys that are split out in one plan at most.
    pub max_splits: usize,
    /// Standby roles that are handed over in one plan at most.
    pub max_handoffs: usize,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            tolerance: 0.1,
            min_load: 0.5,
            min_gain: 0.5,
            max_deficit: 0.15,
            min_moves: 4,
            move_share: 0.1,
            cooldown: Duration::from_mins(5),
            settle_time: Duration::from_secs(20),
            reference_drain: Duration::from_millis(20),
            transfer_time: Duration::from_millis(2),
            key_cost: 0.05,
            split_share: 0.5,
            split_load: 0.02,
            merge_load: 0.005,
            cool_load: 0.9,
            merge_after: Duration::from_mins(5),
            hot_keys: 256,
            max_splits: 4,
            max_handoffs: 64,
        }
    }
}
