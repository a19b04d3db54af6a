//! Settings of load balancing.

use std::time::Duration;

/// Settings of load balancing.
#[derive(Debug, Clone, PartialEq)]
pub struct BalanceSettings {
    /// Fraction by which a member's load may exceed the mean before free moves are worthwhile.
    ///
    /// The cost of a move to the tenant widens it for that move.
    pub tolerance: f64,
    /// Load in requests per second per slot below which no unit is moved for its load.
    pub min_load: f64,
    /// Minimum gain per cost of a move; 1 is the gain of a slot of mean load at a cost of 1.
    pub min_gain: f64,
    /// Fraction of its fair number of units by which a member may fall short.
    pub max_deficit: f64,
    /// Number of own units that may always move per minute.
    pub min_moves: usize,
    /// Own units that may move per minute, as a fraction of the fair number.
    pub move_share: f64,
    /// Time for which a unit stays where it is after a move.
    pub cooldown: Duration,
    /// Time for which a member that has received a hot key gets no other units for their load.
    ///
    /// Its smoothed reports lag, so it would look lightly loaded while every other member sends it
    /// keys.
    pub settle_time: Duration,
    /// Drain time that costs as much as the change of owner itself.
    pub reference_drain: Duration,
    /// Duration of a move without any request in flight.
    pub transfer_time: Duration,
    /// Cost of moving a hot key relative to a slot.
    pub key_cost: f64,
    /// Minimum fraction of its slot's rate at which a key is split out.
    pub split_share: f64,
    /// Minimum load of a key that is split out, as a fraction of the mean load.
    pub split_load: f64,
    /// Load below which a hot key counts as cold, as a fraction of the mean load.
    pub merge_load: f64,
    /// Load below which a member may become standby of a hot key, as a fraction of the mean load.
    pub cool_load: f64,
    /// Time for which a hot key must be cold before it returns to its slot.
    pub merge_after: Duration,
    /// Maximum number of hot keys of a service.
    pub hot_keys: usize,
    /// Maximum number of keys split out in one plan.
    pub max_splits: usize,
    /// Maximum number of standby roles handed over in one plan.
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
