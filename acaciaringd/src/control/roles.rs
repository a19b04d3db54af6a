//! What this member does for each unit, told to the memory of once-requests.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::state::{Assignment, State};
use acaciaring_core::{MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::peer::Release;

use super::Control;
use crate::gate::{Inheritance, Role};
use crate::metrics::Counter;
use crate::view::{Permit, Permits};
use crate::wire;

/// Role of this member for a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Duty {
    Server,
    Standby(Offset),
}

/// What a former server has passed on.
#[derive(Debug)]
pub(super) struct Legacy {
    from: MemberId,
    version: Offset,
    inheritance: Inheritance,
}

/// What this member does for each unit, and what it needs to know to begin.
#[derive(Debug, Default)]
pub(super) struct Roles {
    pub(super) duties: HashMap<(Name, UnitId), Duty>,
    /// What former servers have passed on with their releases.
    pub(super) inheritances: HashMap<(Name, UnitId), Legacy>,
    /// What the upstreams of former servers gave out for the next holder.
    pub(super) handovers: HashMap<(Name, UnitId), Name>,
    /// Units that had no server before this member.
    pub(super) founded: HashSet<(Name, UnitId)>,
    /// State and rights by which the roles were last taken up.
    seen: Option<(Arc<State>, Arc<Permits>)>,
}

impl Control {
    /// Keeps what a former server remembers until this member takes its place.
    pub(super) fn inherit(&mut self, from: MemberId, workspace: &Name, release: &Release) {
        let blind = Duration::from_millis(u64::from(release.blind));
        for unit in &release.units {
            let id = wire::unit_id(unit);
            let entries =
                release.dedup.iter().filter(|entry| entry.slot == id.slot).cloned().collect();
            let inheritance = Inheritance { entries, blind };
            let legacy = Legacy { from, version: unit.version, inheritance };
            self.roles.inheritances.insert((Arc::clone(workspace), id), legacy);
        }
    }

    /// Tells the memory of once-requests about new roles, before the rights are published.
    pub(super) fn take_up_roles(&mut self, now: Time, permits: &Arc<Permits>) {
        let Some(me) = self.identity.as_ref().map(|identity| identity.me) else { return };
        let state = Arc::clone(&self.state);
        let same = |(seen, rights): &(Arc<State>, Arc<Permits>)| {
            Arc::ptr_eq(seen, &state) && **rights == **permits
        };
        if self.roles.seen.as_ref().is_some_and(same) {
            return;
        }
        self.roles.seen = Some((Arc::clone(&state), Arc::clone(permits)));
        let mut seen = HashSet::new();
        for service in state.services() {
            for (unit, assignment) in service.units() {
                let Assignment { owner, standby, prior, prior_standby, .. } = assignment;
                if ![owner, standby, prior, prior_standby].contains(&&Some(me)) {
                    continue;
                }
                let place = (Arc::clone(&service.workspace), unit);
                let permit = permits.get(&service.workspace).and_then(|units| units.get(&unit));
                let before = self.roles.duties.get(&place).copied();
                let Some(duty) = duty(me, assignment, permit, before) else { continue };
                seen.insert(place.clone());
                if before != Some(duty) {
                    self.take_up(now, place, duty, assignment);
                }
            }
        }
        let gone: Vec<_> =
            self.roles.duties.keys().filter(|place| !seen.contains(*place)).cloned().collect();
        for place in gone {
            self.roles.duties.remove(&place);
            self.roles.handovers.remove(&place);
            let role = if self.has_slot(&place) { Role::Merge } else { Role::Nothing };
            self.parts.gate.dedup.take_up(now, &place.0, place.1, role);
        }
    }

    fn take_up(&mut self, now: Time, place: (Name, UnitId), duty: Duty, assignment: &Assignment) {
        let role = match duty {
            Duty::Standby(version) => Role::Standby(version),
            Duty::Server if self.roles.founded.remove(&place) => Role::Founder,
            Duty::Server if self.is_split(&place) => Role::Split,
            Duty::Server => self.succession(&place, assignment),
        };
        match role {
            Role::Heir(_) => self.parts.metrics.count(Counter::UnitsSwitched, 1),
            Role::Successor => self.parts.metrics.count(Counter::UnitsTakenOver, 1),
            Role::Founder | Role::Split | Role::Merge | Role::Standby(_) | Role::Nothing => {}
        }
        self.parts.gate.dedup.take_up(now, &place.0, place.1, role);
        self.roles.duties.insert(place, duty);
    }

    /// Returns true for a hot key that is new here while this member serves its slot.
    ///
    /// One that came by release has an inheritance; one that came by the loss of
    /// its server had a role here before.
    fn is_split(&self, place: &(Name, UnitId)) -> bool {
        let new =
            !self.roles.duties.contains_key(place) && !self.roles.inheritances.contains_key(place);
        new && place.1.key.is_some() && self.slot_role(place) == Some(Duty::Server)
    }

    /// Returns true for a hot key whose slot has a role here.
    fn has_slot(&self, place: &(Name, UnitId)) -> bool {
        place.1.key.is_some() && self.slot_role(place).is_some()
    }

    fn slot_role(&self, place: &(Name, UnitId)) -> Option<Duty> {
        let slot = UnitId::slot(place.1.slot);
        self.roles.duties.get(&(Arc::clone(&place.0), slot)).copied()
    }

    /// Returns how this member came to serve a unit: by release, or by the loss of its former server.
    fn succession(&mut self, place: &(Name, UnitId), assignment: &Assignment) -> Role {
        match self.roles.inheritances.remove(place) {
            Some(legacy) if legacy.version >= least_version(assignment, legacy.from) => {
                Role::Heir(legacy.inheritance)
            }
            _ => Role::Successor,
        }
    }

    /// Forgets all roles of an identity that has ended.
    pub(super) fn forget_roles(&mut self) {
        let now = crate::clock::now();
        for ((workspace, unit), _) in self.roles.duties.drain() {
            self.parts.gate.dedup.take_up(now, &workspace, unit, Role::Nothing);
        }
        self.roles.inheritances.clear();
        self.roles.handovers.clear();
        self.roles.founded.clear();
        self.roles.seen = None;
    }

    /// Returns the units that never had a server.
    pub(super) fn fresh_units(&self) -> Vec<(Name, UnitId)> {
        let mut fresh = Vec::new();
        for service in self.replica.state().services() {
            let units = service.units().filter(|(_, assignment)| assignment.token == 0);
            fresh.extend(units.map(|(unit, _)| (Arc::clone(&service.workspace), unit)));
        }
        fresh
    }

    /// Notes which of the fresh units were given to this member.
    pub(super) fn note_founded(&mut self, fresh: Vec<(Name, UnitId)>) {
        let Some(me) = self.identity.as_ref().map(|identity| identity.me) else { return };
        let state = self.replica.state();
        let mine = fresh.into_iter().filter(|(workspace, unit)| {
            let assignment = state.service(workspace).and_then(|service| service.assignment(*unit));
            assignment.is_some_and(|assignment| assignment.owner == Some(me))
        });
        self.roles.founded.extend(mine);
    }
}

/// A server whose lease is interrupted remains one: nobody else can have served meanwhile.
///
/// Guards against a planned move after which every request that may run once is answered as unknown
/// for a whole window: the former owner forgot its duty when it read the record, and then released
/// the unit as one of which it knows nothing. It keeps the duty until it is no longer `prior`, and
/// the heir keeps what it noted as standby until it serves.
fn duty(
    me: MemberId,
    assignment: &Assignment,
    permit: Option<&Permit>,
    before: Option<Duty>,
) -> Option<Duty> {
    match permit {
        Some(Permit::Serve { .. }) => Some(Duty::Server),
        Some(Permit::Wait) if before == Some(Duty::Server) => before,
        _ if assignment.standby == Some(me) => Some(Duty::Standby(assignment.version)),
        _ if [assignment.owner, assignment.prior, assignment.prior_standby].contains(&Some(me)) => {
            before
        }
        _ => None,
    }
}

/// Returns the lowest version under which a release by `from` counts, as for rights.
fn least_version(assignment: &Assignment, from: MemberId) -> Offset {
    if assignment.owner == Some(from) { assignment.version } else { assignment.token }
}
