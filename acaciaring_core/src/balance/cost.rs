//! Cost of a move to the tenant.

use std::time::Duration;

use super::{BalanceSettings, View};
use crate::id::UnitId;

/// Cost model of moves; a fair number of slots whose moves cost 1 each add up to 1.
///
/// Only the ratio of the tenant's weights matters: with churn alone a change of owner costs 1, with
/// downtime alone a drain of the reference time does.
#[derive(Debug, Clone, Copy)]
pub(super) struct Costs {
    churn: f64,
    downtime: f64,
    service: Duration,
    transfer: Duration,
    drain: Duration,
    key: f64,
    fair: f64,
}

impl Costs {
    pub(super) fn new(view: &View<'_>, settings: &BalanceSettings, fair: f64) -> Self {
        let (churn, downtime) = (f64::from(view.weights.churn), f64::from(view.weights.downtime));
        let total = (churn + downtime).max(1.0);
        Self {
            churn: churn / total,
            downtime: downtime / total,
            service: view.service_time,
            transfer: settings.transfer_time,
            drain: settings.reference_drain,
            key: settings.key_cost,
            fair,
        }
    }

    /// Returns the cost of moving a unit with `rate` requests per second.
    pub(super) fn of(&self, unit: UnitId, rate: f64) -> f64 {
        self.relative(unit, rate) / self.fair
    }

    /// Returns the cost of moving a unit, on a scale where a slot costs about 1.
    pub(super) fn relative(&self, unit: UnitId, rate: f64) -> f64 {
        let keys = if unit.key.is_some() { self.key } else { 1.0 };
        keys * self.slot(rate)
    }

    fn slot(&self, rate: f64) -> f64 {
        let drain = self.expected_drain(rate).as_secs_f64() / self.drain.as_secs_f64();
        self.churn + self.downtime * drain
    }

    /// Returns the expected time for which a unit is not served during a move.
    ///
    /// The owner waits for requests in flight; arrivals are modelled as a Poisson process.
    fn expected_drain(&self, rate: f64) -> Duration {
        let in_flight = 1.0 - (-rate * self.service.as_secs_f64()).exp();
        self.transfer + self.service.mul_f64(in_flight)
    }
}
