//! Roles of this member for units, which determine the deduplication state that it keeps.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::state::{Assignment, State};
use acaciaring_core::{MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::peer::Release;

use super::Control;
use crate::gate::{DedupHandover, Role};
use crate::metrics::Counter;
use crate::view::{Permit, Permits};
use crate::wire;

/// Role of this member for a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnitRole {
    Server,
    Standby(Offset),
}

/// Release received from a former server, with its deduplication state.
#[derive(Debug)]
pub(super) struct ReceivedRelease {
    from: MemberId,
    version: Offset,
    dedup: DedupHandover,
}

/// Roles of this member, and data received from former servers.
#[derive(Debug, Default)]
pub(super) struct Roles {
    pub(super) current: HashMap<(Name, UnitId), UnitRole>,
    /// Latest release received for each unit.
    pub(super) releases: HashMap<(Name, UnitId), ReceivedRelease>,
    /// Handover data from the upstreams of former servers.
    pub(super) handovers: HashMap<(Name, UnitId), Name>,
    /// Units that had no server before this member.
    pub(super) first_owned: HashSet<(Name, UnitId)>,
    /// State and permits from which the roles were last derived.
    applied: Option<(Arc<State>, Arc<Permits>)>,
}

impl Control {
    /// Stores the deduplication state of a former server until this member serves the units.
    pub(super) fn store_release(&mut self, from: MemberId, workspace: &Name, release: &Release) {
        let blind = Duration::from_millis(u64::from(release.blind));
        for unit in &release.units {
            let id = wire::unit_id(unit);
            let entries =
                release.dedup.iter().filter(|entry| entry.slot == id.slot).cloned().collect();
            let dedup = DedupHandover { entries, blind };
            let received = ReceivedRelease { from, version: unit.version, dedup };
            self.roles.releases.insert((Arc::clone(workspace), id), received);
        }
    }

    /// Applies role changes to the deduplication state, before the permits are published.
    pub(super) fn update_roles(&mut self, now: Time, permits: &Arc<Permits>) {
        let Some(me) = self.identity.as_ref().map(|identity| identity.me) else { return };
        let state = Arc::clone(&self.state);
        let same = |(seen, rights): &(Arc<State>, Arc<Permits>)| {
            Arc::ptr_eq(seen, &state) && **rights == **permits
        };
        if self.roles.applied.as_ref().is_some_and(same) {
            return;
        }
        self.roles.applied = Some((Arc::clone(&state), Arc::clone(permits)));
        let mut seen = HashSet::new();
        for service in state.services() {
            for (unit, assignment) in service.units() {
                let Assignment { owner, standby, prior, prior_standby, .. } = assignment;
                if ![owner, standby, prior, prior_standby].contains(&&Some(me)) {
                    continue;
                }
                let unit_key = (Arc::clone(&service.workspace), unit);
                let permit = permits.get(&service.workspace).and_then(|units| units.get(&unit));
                let before = self.roles.current.get(&unit_key).copied();
                let Some(role_here) = unit_role(me, assignment, permit, before) else { continue };
                seen.insert(unit_key.clone());
                if before != Some(role_here) {
                    self.set_role(now, unit_key, role_here, assignment);
                }
            }
        }
        let gone: Vec<_> = self
            .roles
            .current
            .keys()
            .filter(|unit_key| !seen.contains(*unit_key))
            .cloned()
            .collect();
        for unit_key in gone {
            self.roles.current.remove(&unit_key);
            self.roles.handovers.remove(&unit_key);
            let role = if self.has_slot(&unit_key) { Role::Merge } else { Role::Nothing };
            self.context.gate.dedup.set_role(now, &unit_key.0, unit_key.1, role);
        }
    }

    fn set_role(
        &mut self,
        now: Time,
        unit_key: (Name, UnitId),
        role_here: UnitRole,
        assignment: &Assignment,
    ) {
        let role = match role_here {
            UnitRole::Standby(version) => Role::Standby(version),
            UnitRole::Server if self.roles.first_owned.remove(&unit_key) => Role::FirstOwner,
            UnitRole::Server if self.is_split(&unit_key) => Role::Split,
            UnitRole::Server => self.succession(&unit_key, assignment),
        };
        match role {
            Role::Handover(_) => self.context.metrics.count(Counter::UnitsSwitched, 1),
            Role::Takeover => self.context.metrics.count(Counter::UnitsTakenOver, 1),
            Role::FirstOwner | Role::Split | Role::Merge | Role::Standby(_) | Role::Nothing => {}
        }
        self.context.gate.dedup.set_role(now, &unit_key.0, unit_key.1, role);
        self.roles.current.insert(unit_key, role_here);
    }

    /// Returns true for a hot key that was split from a slot served by this member.
    ///
    /// A released key has a received release, and a key taken over from a dead server had a role
    /// here before.
    fn is_split(&self, unit_key: &(Name, UnitId)) -> bool {
        let new = !self.roles.current.contains_key(unit_key)
            && !self.roles.releases.contains_key(unit_key);
        new && unit_key.1.key.is_some() && self.slot_role(unit_key) == Some(UnitRole::Server)
    }

    /// Returns true for a hot key if this member has a role for its slot.
    fn has_slot(&self, unit_key: &(Name, UnitId)) -> bool {
        unit_key.1.key.is_some() && self.slot_role(unit_key).is_some()
    }

    fn slot_role(&self, unit_key: &(Name, UnitId)) -> Option<UnitRole> {
        let slot = UnitId::slot(unit_key.1.slot);
        self.roles.current.get(&(Arc::clone(&unit_key.0), slot)).copied()
    }

    /// Returns the role by which this member serves a unit: after a release or after a takeover.
    fn succession(&mut self, unit_key: &(Name, UnitId), assignment: &Assignment) -> Role {
        match self.roles.releases.remove(unit_key) {
            Some(received) if received.version >= least_version(assignment, received.from) => {
                Role::Handover(received.dedup)
            }
            _ => Role::Takeover,
        }
    }

    /// Clears all roles of an identity that has ended.
    pub(super) fn clear_roles(&mut self) {
        let now = crate::clock::now();
        for ((workspace, unit), _) in self.roles.current.drain() {
            self.context.gate.dedup.set_role(now, &workspace, unit, Role::Nothing);
        }
        self.roles.releases.clear();
        self.roles.handovers.clear();
        self.roles.first_owned.clear();
        self.roles.applied = None;
    }

    /// Returns the units that have never had a server.
    pub(super) fn unserved_units(&self) -> Vec<(Name, UnitId)> {
        let mut unserved = Vec::new();
        for service in self.replica.state().services() {
            let units = service.units().filter(|(_, assignment)| assignment.token == 0);
            unserved.extend(units.map(|(unit, _)| (Arc::clone(&service.workspace), unit)));
        }
        unserved
    }

    /// Records which of the given new units are now owned by this member.
    pub(super) fn track_first_owned(&mut self, unserved: Vec<(Name, UnitId)>) {
        let Some(me) = self.identity.as_ref().map(|identity| identity.me) else { return };
        let state = self.replica.state();
        let mine = unserved.into_iter().filter(|(workspace, unit)| {
            let assignment = state.service(workspace).and_then(|service| service.assignment(*unit));
            assignment.is_some_and(|assignment| assignment.owner == Some(me))
        });
        self.roles.first_owned.extend(mine);
    }
}

/// Returns the role of this member for a unit, given its former role.
///
/// A server keeps its role while its lease is interrupted, since nobody else can serve meanwhile,
/// and after a move until it is no longer `prior`. Otherwise it would release the unit without its
/// deduplication state, and requests that may run at most once would be answered as unknown.
fn unit_role(
    me: MemberId,
    assignment: &Assignment,
    permit: Option<&Permit>,
    before: Option<UnitRole>,
) -> Option<UnitRole> {
    match permit {
        Some(Permit::Serve { .. }) => Some(UnitRole::Server),
        Some(Permit::Wait) if before == Some(UnitRole::Server) => before,
        _ if assignment.standby == Some(me) => Some(UnitRole::Standby(assignment.version)),
        _ if [assignment.owner, assignment.prior, assignment.prior_standby].contains(&Some(me)) => {
            before
        }
        _ => None,
    }
}

/// Returns the lowest version at which a release by `from` counts, as in `acaciaring_core::rights`.
fn least_version(assignment: &Assignment, from: MemberId) -> Offset {
    if assignment.owner == Some(from) { assignment.version } else { assignment.token }
}
