//! Transitions of the processes in the takeover model.

use acaciaring_core::rights::Rights;
use acaciaring_core::{KeyHash, UnitId};

use super::{
    HOT_KEY, Kind, MEMBERS, Proposal, Release, TakeoverModel, TakeoverState, insert_sorted,
};
use crate::mutation::Mutation;

impl TakeoverModel {
    pub(super) fn proposals(&self, state: &TakeoverState, number: usize) -> Vec<Proposal> {
        let process = &state.processes[number];
        let unfolded = state.appends.iter().chain(&state.log[process.applied..]);
        if unfolded.into_iter().any(|proposal| proposal.by == number) {
            return Vec::new();
        }
        let fold = self.view(state, number);
        let me = Some(MEMBERS[number]);
        let units = Self::units(&fold);
        let slot = units[0].1;
        let rights = self.rights.get(process.rights);
        let serving = units
            .iter()
            .filter(|(_, assignment)| assignment.owner == me)
            .all(|(unit, _)| rights.serving(&self.workspace, *unit));
        let may_move = serving || self.mutated(Mutation::MoveBeforeServing);
        let third = (0..3).find(|other| {
            let id = Some(MEMBERS[*other]);
            id != slot.owner && id != slot.standby
        });
        let split = units.len() > 1;
        let allowed = |kind: &Kind| match kind {
            Kind::Switchover => slot.owner == me && slot.standby.is_some() && may_move,
            Kind::Leave => slot.standby == me || (slot.owner == me && may_move),
            Kind::Handoff => slot.standby == me && third.is_some(),
            Kind::Split => slot.owner == me && serving && !split,
            Kind::Move => slot.owner == me && serving && third.is_some(),
            Kind::Evict(_) => false,
        };
        let by = number;
        let target = third.unwrap_or_default();
        let version = slot.version;
        let read = fold.state.next();
        let mut proposals = Vec::new();
        if state.proposals < self.proposals {
            let kinds = self.kinds.iter().copied().filter(allowed);
            proposals.extend(kinds.map(|kind| Proposal { by, kind, version, read, target }));
        }
        for lost in (0..3).filter(|lost| process.expired[*lost]) {
            let Some(member) = fold.state.member(MEMBERS[lost]) else { continue };
            let kind = Kind::Evict(lost);
            let known = state.appends.iter().chain(&state.log).any(|other| other.kind == kind);
            if !known {
                proposals.push(Proposal { by, kind, version: member.version, read, target });
            }
        }
        proposals
    }

    pub(super) fn propose(&self, state: &mut TakeoverState, proposal: Proposal) {
        let slot = UnitId::slot(0);
        self.rights.update(&mut state.processes[proposal.by].rights, |rights| {
            match proposal.kind {
                Kind::Handoff if !self.mutated(Mutation::RoleKept) => {
                    rights.renounce(&self.workspace, slot, proposal.version);
                }
                Kind::Leave => {
                    rights.renounce(&self.workspace, slot, proposal.version);
                    if !self.mutated(Mutation::RoleRegained) {
                        rights.leave();
                    }
                }
                Kind::Split if !self.mutated(Mutation::ReleaseBeforeSettled) => {
                    rights.begin_change(&self.workspace, 0);
                }
                _ => {}
            }
        });
        state.proposals += usize::from(!matches!(proposal.kind, Kind::Evict(_)));
        insert_sorted(&mut state.appends, proposal);
        self.refresh(state, proposal.by);
    }

    pub(super) fn fold_record(&self, state: &mut TakeoverState, number: usize) {
        let proposal = state.log[state.processes[number].applied];
        state.processes[number].applied += 1;
        let fold = self.view(state, number);
        if proposal.by == number {
            self.rights.update(&mut state.processes[number].rights, |rights| match proposal.kind {
                Kind::Handoff | Kind::Leave if !fold.applied => {
                    rights.cancel_renounce(&self.workspace, UnitId::slot(0), proposal.version);
                    rights.cancel_leave();
                }
                Kind::Split => {
                    if fold.applied {
                        let key = UnitId { slot: 0, key: Some(KeyHash(HOT_KEY)) };
                        rights.inherit(&self.workspace, key);
                    }
                    rights.end_change(&self.workspace, 0);
                }
                _ => {}
            });
        }
        if fold.moved.is_none() {
            let prune = |rights: &mut Rights| rights.prune(MEMBERS[number], &fold.state);
            self.rights.update(&mut state.processes[number].rights, prune);
        }
        self.refresh(state, number);
    }

    /// Returns the members to which a process may release a unit.
    pub(super) fn receivers(
        &self,
        state: &TakeoverState,
        number: usize,
        unit: UnitId,
    ) -> Vec<usize> {
        let me = Some(MEMBERS[number]);
        let fold = self.view(state, number);
        let found = Self::units(&fold).into_iter().find(|(id, _)| *id == unit);
        let Some((_, assignment)) = found else { return Vec::new() };
        let rights = self.rights.get(state.processes[number].rights);
        let served = rights.serving(&self.workspace, unit)
            || rights.has_released(&self.workspace, unit, &assignment);
        let to = match assignment.owner {
            owner if owner == me && served => [assignment.standby, None],
            owner if owner != me && assignment.prior == me => [owner, assignment.standby],
            _ => [None, None],
        };
        let numbers = (0..3).filter(|other| *other != number);
        numbers.filter(|other| to.contains(&Some(MEMBERS[*other]))).collect()
    }

    pub(super) fn release(&self, state: &mut TakeoverState, number: usize, unit: UnitId) {
        let fold = self.view(state, number);
        let found = Self::units(&fold).into_iter().find(|(id, _)| *id == unit);
        let Some((_, assignment)) = found else { return };
        let version = assignment.version;
        let receivers = self.receivers(state, number, unit);
        let rights = &mut state.processes[number].rights;
        if self.rights.update(rights, |rights| rights.release(&self.workspace, unit, &assignment)) {
            for to in receivers {
                insert_sorted(&mut state.releases, Release { from: number, to, unit, version });
            }
        }
        self.refresh(state, number);
    }

    pub(super) fn receive(&self, state: &mut TakeoverState, release: Release) {
        let Release { from, to, unit, version } = release;
        self.rights.update(&mut state.processes[to].rights, |rights| {
            rights.record_release(MEMBERS[from], &self.workspace, unit, version);
        });
        self.refresh(state, to);
    }
}
