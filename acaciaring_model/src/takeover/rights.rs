//! Decision of which keys a process of the takeover model may serve.

use acaciaring_core::lease::{LeaseSettings, Tally};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::State;
use acaciaring_core::{KeyHash, Time, UnitId};

use super::{COLD_KEY, HOT_KEY, MEMBERS, TakeoverModel, TakeoverState};
use crate::mutation::Mutation;
use crate::records::WORKSPACE;

impl TakeoverModel {
    /// Decides whether a process may serve a unit, and records the decision in `rights`.
    pub(super) fn right(
        &self,
        state: &TakeoverState,
        number: usize,
        rights: &mut Rights,
        unit: UnitId,
    ) -> bool {
        let process = &state.processes[number];
        if !process.leased {
            return false;
        }
        let fold = self.view(state, number);
        let holder = &self.holders[number];
        let tally = tally(&fold.state, process.expired);
        let altered = fold.moved.is_some() || self.mutated(Mutation::PriorIgnored);
        if !altered {
            let right =
                rights.right(Time::ZERO, &fold.state, holder, &tally, &self.workspace, unit);
            return matches!(right, Right::Serve { .. });
        }
        let found = Self::units(&fold).into_iter().find(|(id, _)| *id == unit);
        let Some((_, mut assignment)) = found else { return false };
        if self.mutated(Mutation::PriorIgnored) {
            assignment.prior = None;
        }
        let expired =
            |id| fold.state.member(id).is_none_or(|member| tally.expired(Time::ZERO, member));
        let right = rights.decide(Time::ZERO, holder, &self.workspace, unit, &assignment, expired);
        matches!(right, Right::Serve { .. })
    }

    /// Returns whether a process may serve the hot key and the cold key.
    pub(super) fn serves(&self, state: &TakeoverState, number: usize) -> [bool; 2] {
        let process = &state.processes[number];
        if !process.leased {
            return [false; 2];
        }
        let fold = self.view(state, number);
        let decided = (number, fold.number, process.rights, process.expired);
        if let Some(serves) = self.served.borrow().get(&decided) {
            return *serves;
        }
        let service = fold.state.service(WORKSPACE).expect("the base publishes the service");
        let serves = [HOT_KEY, COLD_KEY].map(|key| {
            let unit = service.unit_of(KeyHash(key));
            let mut rights = Rights::clone(&self.rights.get(process.rights));
            self.right(state, number, &mut rights, unit)
        });
        self.served.borrow_mut().insert(decided, serves);
        serves
    }

    /// Decides the rights of a process to all units again after an event.
    pub(super) fn refresh(&self, state: &mut TakeoverState, number: usize) {
        let units = Self::units(&self.view(state, number));
        let mut rights = Rights::clone(&self.rights.get(state.processes[number].rights));
        for (unit, _) in units {
            self.right(state, number, &mut rights, unit);
        }
        state.processes[number].rights = self.rights.intern(rights);
    }
}

/// Returns a tally with the votes of all lessors of the expired members.
fn tally(state: &State, expired: [bool; 3]) -> Tally {
    let mut tally = Tally::new(LeaseSettings::default());
    for id in MEMBERS.iter().zip(expired).filter(|(_, expired)| *expired).map(|(id, _)| id) {
        let Some(member) = state.member(*id) else { continue };
        for lessor in &member.lessors {
            tally.vote(*lessor, *id, member.version);
        }
    }
    tally
}
