//! Balance: which units an owner moves, which keys it splits out, which standby roles it hands over.
//!
//! Each member decides for itself from the folded state and from loads that it has been told of.
//! A unit moves only to its standby, which serves as soon as the owner releases.

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

/// Least and greatest speed that is believed; beyond them something else is wrong.
const MIN_SPEED: f64 = 0.1;
const MAX_SPEED: f64 = 10.0;

/// Load of a member as it was reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests a second.
    pub rate: f64,
    /// Requests in flight and waiting.
    pub busy: u32,
    /// Requests that may run at once.
    pub capacity: u32,
    /// Requests that a slot runs in the time in which that of a typical member runs one.
    pub speed: f64,
    /// When this process got the report.
    pub at: Time,
}

impl Load {
    /// Returns true when more requests are there than may run at once.
    #[must_use]
    pub fn saturated(&self) -> bool {
        self.busy > self.capacity
    }

    fn slots(&self) -> f64 {
        f64::from(self.capacity.max(1))
    }

    /// Returns the count of typical slots that run as much as this member's.
    fn effective_slots(&self) -> f64 {
        self.slots() * self.speed.clamp(MIN_SPEED, MAX_SPEED)
    }

    /// Returns requests a second for each typical slot.
    fn load_per_slot(&self) -> f64 {
        self.rate / self.effective_slots()
    }

    /// Returns how many times its slots a saturated member would need, 1 for any other.
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

/// What a member knows when it plans.
#[derive(Debug)]
pub struct View<'a> {
    /// The member that plans.
    pub local: MemberId,
    /// Assignments of the service.
    pub service: &'a Service,
    /// Members that are alive and attached to the service, the planning one included.
    pub members: &'a BTreeMap<MemberId, Candidate>,
    /// Heat of the units that this member owns.
    pub rates: &'a RequestRates,
    /// The tenant's weights.
    pub weights: Weights,
    /// Typical time that a request takes at this member's upstream.
    pub service_time: Duration,
}

impl View<'_> {
    /// Returns true when `member` may take the standby role from the planning one.
    ///
    /// The new standby is not in the owner's data centre, unless the planning member is.
    fn allows_standby(&self, owner: MemberId, member: MemberId) -> bool {
        let place = |id: MemberId| self.members.get(&id).map(|candidate| &candidate.data_centre);
        place(owner) != place(member) || place(owner) == place(self.local)
    }
}

/// What a member should propose now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Own units that should change roles with their standby.
    pub switchovers: Vec<UnitId>,
    /// Own keys that should become units of their own.
    pub splits: Vec<UnitId>,
    /// Own hot keys that should return to their slot.
    pub merges: Vec<UnitId>,
    /// Units for which this member stands by, and who should do so instead.
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
}

/// Decides what to propose now.
///
/// The caller tells `history` what it has proposed and which switchovers it has folded.
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
