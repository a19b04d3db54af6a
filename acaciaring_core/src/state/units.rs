//! Records that change assignments: assign, switchover, handoff, split and merge.

use std::collections::{BTreeMap, BTreeSet};

use acaciaring_schema::log;

use super::reassignment::{assignments, blocks};
use super::standby::Picker;
use super::{Assignment, HotKey, Member, NUMERIC_KEYS, Rejection, Service, State};
use crate::id::{KeyHash, MemberId, Name, Offset, UnitId};

/// Maximum number of hot keys of one service.
pub const HOT_MAX: usize = 64;

impl State {
    pub(super) fn assign(&mut self, offset: Offset, assign: &log::Assign) -> Result<(), Rejection> {
        self.create_numeric_service(&assign.workspace, assign.slots)?;
        let service = self.active_service(&assign.workspace)?;
        if service.units().all(|(_, a)| a.owner.is_some()) {
            return Err(Rejection::Assigned);
        }
        let may_own = |member: &&Member| !member.lessors.is_empty();
        let owners = self.members_of(&assign.workspace).filter(may_own);
        let mut owners: BTreeSet<_> =
            owners.map(|m| (self.counts.owned_count(m.id), m.id)).collect();
        if owners.is_empty() {
            return Err(Rejection::NoCandidate);
        }
        let Some(service) = self.services.get_mut(&*assign.workspace) else { return Ok(()) };
        let mut picker = Picker::new(&mut self.counts, &self.members, &assign.workspace);
        let blocks = blocks(service, owners.len());
        let mut chosen: BTreeMap<u32, MemberId> = BTreeMap::new();
        for (existing, block) in assignments(service).zip(blocks) {
            if existing.owner.is_some() {
                continue;
            }
            let block_owner = block.and_then(|block| chosen.get(&block).copied());
            let is_block_owner = |(_, id): &&(usize, MemberId)| Some(*id) == block_owner;
            let Some(least) =
                owners.iter().find(is_block_owner).or_else(|| owners.first()).copied()
            else {
                break;
            };
            let (count, owner) = least;
            owners.remove(&least);
            owners.insert((count + 1, owner));
            chosen.extend(block.map(|block| (block, owner)));
            let next = Assignment {
                owner: Some(owner),
                standby: picker.pick_for_block(owner, block),
                prior: existing.prior.filter(|prior| *prior != owner),
                prior_standby: existing
                    .prior_standby
                    .filter(|prior_standby| *prior_standby != owner),
                version: offset,
                token: offset,
            };
            picker.remove(existing);
            picker.add(&next);
            *existing = next;
        }
        Ok(())
    }

    /// Creates the numeric service of a workspace if the record gives it slots and there is none.
    ///
    /// Checks for a candidate owner first, so that a rejected record creates no service.
    fn create_numeric_service(&mut self, workspace: &str, slots: u32) -> Result<(), Rejection> {
        if slots == 0 || self.services.contains_key(workspace) {
            return Ok(());
        }
        let count = usize::try_from(slots).unwrap_or(usize::MAX);
        let candidate = self.members_of(workspace).any(|member| !member.lessors.is_empty());
        if workspace.is_empty() || slots > NUMERIC_KEYS || !candidate {
            return Err(Rejection::NoCandidate);
        }
        let service = Service {
            workspace: Name::from(workspace),
            slots: vec![Assignment::default(); count],
            hot: BTreeMap::new(),
            numeric: true,
        };
        self.services.insert(Name::clone(&service.workspace), service);
        Ok(())
    }

    pub(super) fn switch_over(
        &mut self,
        offset: Offset,
        record: &log::Switchover,
    ) -> Result<(), Rejection> {
        let owner = self.require_present(record.member)?;
        let service = self.active_service(&record.workspace)?;
        let units = current_units(service, &record.units)?;
        for (unit, assignment) in &units {
            check_owner(*unit, assignment, owner)?;
            let standby =
                assignment.standby.filter(|standby| self.require_alive(standby.0).is_ok());
            standby.ok_or(Rejection::NotStandby { slot: unit.slot })?;
        }
        let units: Vec<_> = units.into_iter().map(|(unit, _)| unit).collect();
        let remains = self.require_alive(owner.0).is_ok();
        self.update_assignments(&record.workspace, &units, |a| Assignment {
            owner: a.standby,
            standby: Some(owner),
            prior: Some(owner),
            // An owner proposes a switchover only for units that it serves, so the prior standby
            // has released them.
            prior_standby: None,
            version: offset,
            token: offset,
        });
        // A leaving member gets no new role.
        if !remains {
            self.pick_standbys(&record.workspace, &units);
        }
        Ok(())
    }

    pub(super) fn hand_off(
        &mut self,
        offset: Offset,
        record: &log::Handoff,
    ) -> Result<(), Rejection> {
        let standby = self.require_present(record.member)?;
        let service = self.active_service(&record.workspace)?;
        let target = MemberId(record.target);
        let fits = self.members_of(&record.workspace).any(|member| member.id == target);
        let units = current_units(service, &record.units)?;
        for (unit, assignment) in &units {
            let slot = unit.slot;
            if assignment.standby != Some(standby) {
                return Err(Rejection::NotStandby { slot });
            }
            if !fits || target == standby || assignment.owner == Some(target) {
                return Err(Rejection::Target { slot, target: record.target });
            }
        }
        let units: Vec<_> = units.into_iter().map(|(unit, _)| unit).collect();
        let change = |a: Assignment| Assignment { standby: Some(target), version: offset, ..a };
        self.update_assignments(&record.workspace, &units, change);
        Ok(())
    }

    pub(super) fn split(&mut self, offset: Offset, record: &log::Split) -> Result<(), Rejection> {
        let owner = self.require_present(record.member)?;
        let service = self.active_service(&record.workspace)?;
        let slots: Vec<_> = record.units.iter().map(|u| log::Unit { key: None, ..*u }).collect();
        let mut keys = BTreeSet::new();
        for (unit, slot) in record.units.iter().zip(&slots) {
            let slot = current_unit(service, slot)?;
            check_owner(slot.0, &slot.1, owner)?;
            let key = unit.key.map(KeyHash).filter(|key| service.unit_of(*key) == slot.0);
            if !key.is_some_and(|key| keys.insert(key)) {
                return Err(Rejection::UnknownUnit { slot: unit.slot });
            }
        }
        if keys.is_empty() {
            return Err(Rejection::UnknownUnit { slot: 0 });
        }
        if service.hot.len() + keys.len() > HOT_MAX {
            return Err(Rejection::HotKeys { limit: HOT_MAX });
        }
        // The slot gets a new version too: under the old one, a standby that lags behind the log
        // could take over the slot, released to it, with the hot key still in it.
        let units: Vec<_> = slots.iter().map(|unit| UnitId::slot(unit.slot)).collect();
        self.update_assignments(&record.workspace, &units, |a| Assignment { version: offset, ..a });
        let Some(service) = self.services.get_mut(&*record.workspace) else { return Ok(()) };
        for (key, unit) in record.units.iter().filter_map(|unit| Some((KeyHash(unit.key?), unit))) {
            let Some(assignment) = service.assignment(UnitId::slot(unit.slot)).copied() else {
                continue;
            };
            self.counts.add(&assignment);
            service.hot.insert(key, HotKey { slot: unit.slot, assignment });
        }
        Ok(())
    }

    pub(super) fn merge(&mut self, offset: Offset, record: &log::Merge) -> Result<(), Rejection> {
        let owner = self.require_present(record.member)?;
        let service = self.active_service(&record.workspace)?;
        let mut merged = Vec::new();
        for (unit, hot) in current_units(service, &record.units)? {
            check_owner(unit, &hot, owner)?;
            let key = unit.key.ok_or(Rejection::UnknownUnit { slot: unit.slot })?;
            let slot = service.assignment(UnitId::slot(unit.slot));
            let same = slot.is_some_and(|slot| mergeable(slot, &hot));
            if !same {
                return Err(Rejection::Differs { slot: unit.slot });
            }
            merged.push((key, unit.slot, hot));
        }
        for (key, slot, hot) in merged {
            let joined = |a: Assignment| Assignment {
                prior: a.prior.or(hot.prior),
                prior_standby: a.prior_standby.or(hot.prior_standby),
                version: offset,
                // The key may have moved away and back since the slot got its token.
                token: a.token.max(hot.token),
                ..a
            };
            self.update_assignments(&record.workspace, &[UnitId::slot(slot)], joined);
            self.counts.remove(&hot);
            if let Some(service) = self.services.get_mut(&*record.workspace) {
                service.hot.remove(&key);
            }
        }
        Ok(())
    }

    /// Picks new standbys for units.
    fn pick_standbys(&mut self, workspace: &str, units: &[UnitId]) {
        let Some(service) = self.services.get_mut(workspace) else { return };
        let mut picker = Picker::new(&mut self.counts, &self.members, workspace);
        for unit in units {
            let Some(existing) = service.assignment_mut(*unit) else { continue };
            picker.remove(existing);
            existing.standby = existing.owner.and_then(|owner| picker.pick(owner));
            picker.add(existing);
        }
    }

    /// Returns the service of a workspace, or a rejection if there is no active one.
    fn active_service(&self, workspace: &str) -> Result<&Service, Rejection> {
        self.service(workspace)
            .ok_or_else(|| Rejection::UnknownService { workspace: Name::from(workspace) })
    }

    /// Replaces assignments and updates the counts.
    fn update_assignments(
        &mut self,
        workspace: &str,
        units: &[UnitId],
        update: impl Fn(Assignment) -> Assignment,
    ) {
        let Some(service) = self.services.get_mut(workspace) else { return };
        for unit in units {
            let Some(existing) = service.assignment_mut(*unit) else { continue };
            let next = update(*existing);
            self.counts.remove(existing);
            self.counts.add(&next);
            *existing = next;
        }
    }
}

/// Returns the units of a record; rejects unknown, duplicate and outdated ones.
fn current_units(
    service: &Service,
    units: &[log::Unit],
) -> Result<Vec<(UnitId, Assignment)>, Rejection> {
    let mut seen = BTreeSet::new();
    let mut found = Vec::with_capacity(units.len());
    for unit in units {
        let current = current_unit(service, unit)?;
        if !seen.insert(current.0) {
            return Err(Rejection::UnknownUnit { slot: unit.slot });
        }
        found.push(current);
    }
    if found.is_empty() {
        return Err(Rejection::UnknownUnit { slot: 0 });
    }
    Ok(found)
}

fn current_unit(service: &Service, unit: &log::Unit) -> Result<(UnitId, Assignment), Rejection> {
    let slot = unit.slot;
    let id = UnitId { slot, key: unit.key.map(KeyHash) };
    let hot_elsewhere = id.key.is_some_and(|key| service.unit_of(key) != id);
    let assignment = service.assignment(id).filter(|_| !hot_elsewhere);
    let assignment = *assignment.ok_or(Rejection::UnknownUnit { slot })?;
    if assignment.version != unit.version {
        return Err(Rejection::Stale { slot, current: assignment.version });
    }
    Ok((id, assignment))
}

fn check_owner(unit: UnitId, assignment: &Assignment, owner: MemberId) -> Result<(), Rejection> {
    if assignment.owner == Some(owner) {
        return Ok(());
    }
    Err(Rejection::NotOwner { slot: unit.slot })
}

/// Returns true if a hot key can be merged into its slot without a change of ownership.
fn mergeable(slot: &Assignment, hot: &Assignment) -> bool {
    let fits = |one: Option<MemberId>, other: Option<MemberId>| {
        one.is_none() || other.is_none() || one == other
    };
    let former = fits(slot.prior, hot.prior) && fits(slot.prior_standby, hot.prior_standby);
    slot.owner == hot.owner && slot.standby == hot.standby && former
}
