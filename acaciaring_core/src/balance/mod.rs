//! Load balancing: which units an owner moves, which keys it splits out and which standby roles it
//! hands over.
//!
//! Each member plans for itself from the folded state and the reported loads. A unit moves only to
//! its standby, which serves as soon as the owner releases it.

mod cost;
mod history;
mod keys;
mod moves;
mod quotas;
mod settings;
mod summary;

use std::collections::BTreeMap;
use std::time::Duration;

pub use self::history::History;
pub use self::settings::BalanceSettings;

use self::summary::Summary;
use crate::id::{MemberId, Name, UnitId};
use crate::rates::RequestRates;
use crate::route::Weights;
use crate::state::Service;
use crate::time::Time;

/// Bounds within which a reported speed is used; values beyond them are not plausible.
const MIN_SPEED: f64 = 0.1;
const MAX_SPEED: f64 = 10.0;

/// Maximum number of members that receive standby roles by one plan; each takes a record.
const RECEIVERS_PER_PLAN: usize = 4;

/// Reported load of a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// Requests in flight or waiting.
    pub busy: u32,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Throughput of a slot relative to that of a typical member.
    pub speed: f64,
    /// Time at which this process received the report.
    pub at: Time,
}

impl Load {
    /// Returns true when requests exceed the concurrency limit.
    #[must_use]
    pub fn saturated(&self) -> bool {
        self.busy > self.capacity
    }

    fn slots(&self) -> f64 {
        f64::from(self.capacity.max(1))
    }

    /// Returns the number of typical slots with the same throughput as this member's.
    fn effective_slots(&self) -> f64 {
        self.slots() * self.speed.clamp(MIN_SPEED, MAX_SPEED)
    }

    /// Returns requests per second per typical slot.
    fn load_per_slot(&self) -> f64 {
        self.rate / self.effective_slots()
    }

    /// Returns the ratio of requests to slots of a saturated member, 1 for any other.
    fn overload(&self) -> f64 {
        (f64::from(self.busy) / self.slots()).max(1.0)
    }
}

/// Member that may own units of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Data centre.
    pub data_centre: Name,
    /// Last known load.
    pub load: Option<Load>,
}

/// Input of [`plan`].
#[derive(Debug)]
pub struct View<'a> {
    /// The planning member.
    pub local: MemberId,
    /// Assignments of the service.
    pub service: &'a Service,
    /// Members that are alive and attached to the service, including the planning one.
    pub members: &'a BTreeMap<MemberId, Candidate>,
    /// Request rates of the units that this member owns.
    pub rates: &'a RequestRates,
    /// The tenant's weights.
    pub weights: Weights,
    /// Typical service time at this member's upstream.
    pub service_time: Duration,
}

impl View<'_> {
    /// Returns true when `member` may take over the standby role from the planning member.
    ///
    /// The new standby must be in another data centre than the owner, unless the planning member is
    /// in the owner's as well.
    fn allows_standby(&self, owner: MemberId, member: MemberId) -> bool {
        let place = |id: MemberId| self.members.get(&id).map(|candidate| &candidate.data_centre);
        place(owner) != place(member) || place(owner) == place(self.local)
    }
}

/// Changes that the planning member should propose now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Own units that should swap roles with their standby.
    pub switchovers: Vec<UnitId>,
    /// Own keys that should become separate units.
    pub splits: Vec<UnitId>,
    /// Own hot keys that should return to their slot.
    pub merges: Vec<UnitId>,
    /// Units for which this member is standby, and the members that should replace it.
    pub handoffs: Vec<(UnitId, MemberId)>,
}

impl Plan {
    /// Returns true when there is nothing to propose.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.switchovers.is_empty()
            && self.splits.is_empty()
            && self.merges.is_empty()
            && self.handoffs.is_empty()
    }

    /// Returns the handoffs to make now, a few receivers with their units.
    #[must_use]
    pub fn handoffs_by_receiver(&self) -> Vec<(MemberId, Vec<UnitId>)> {
        let mut receivers: Vec<(MemberId, Vec<UnitId>)> = Vec::new();
        for (unit, receiver) in &self.handoffs {
            match receivers.iter_mut().find(|(id, _)| id == receiver) {
                Some((_, units)) => units.push(*unit),
                None => receivers.push((*receiver, vec![*unit])),
            }
        }
        receivers.truncate(RECEIVERS_PER_PLAN);
        receivers
    }
}

/// Decides what to propose now.
///
/// The caller records in `history` the plans it has proposed and the switchovers it has folded.
#[must_use]
pub fn plan(now: Time, view: &View<'_>, settings: &BalanceSettings, history: &mut History) -> Plan {
    if !view.members.contains_key(&view.local) {
        return Plan::default();
    }
    history.prune(now, settings);
    let summary = Summary::new(now, view, settings, history);
    let keys = keys::decide(now, view, settings, &summary, history);
    let mut switchovers = moves::decide(now, view, settings, &summary, history, &keys.returning);
    switchovers.retain(|unit| !keys.merges.contains(unit));
    let mut handoffs = quotas::handoffs(view, settings, &summary);
    handoffs.extend(keys.handoffs);
    Plan { switchovers, splits: keys.splits, merges: keys.merges, handoffs }
}
