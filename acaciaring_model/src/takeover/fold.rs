//! Folded states of the takeover model.

use std::rc::Rc;

use acaciaring_core::UnitId;
use acaciaring_core::state::{Assignment, State};

use super::{HOT_KEY, Kind, MEMBERS, Proposal, TakeoverModel};
use crate::mutation::Mutation;
use crate::records::{self, WORKSPACE, record};

/// Folded state after a prefix of the log.
pub(super) struct Fold {
    /// Number that identifies this prefix.
    pub(super) number: usize,
    pub(super) state: State,
    /// True when the last record changed the state.
    pub(super) applied: bool,
    /// Assignment made by a [`Kind::Move`].
    pub(super) moved: Option<Assignment>,
}

impl TakeoverModel {
    /// Returns the folded state of a prefix of the log, from a cache where possible.
    pub(super) fn fold(&self, log: &[Proposal]) -> Rc<Fold> {
        if let Some(fold) = self.folds.borrow().get(log) {
            return Rc::clone(fold);
        }
        let fold = Rc::new(match log.split_last() {
            None => Fold { number: 0, state: self.base.clone(), applied: true, moved: None },
            Some((last, before)) => self.fold_next(&self.fold(before), last, log.len()),
        });
        self.folds.borrow_mut().insert(log.to_vec(), Rc::clone(&fold));
        fold
    }

    pub(super) fn fold_next(&self, before: &Fold, proposal: &Proposal, length: usize) -> Fold {
        let number = self.folds.borrow().len();
        let mut state = before.state.clone();
        let offset = state.next();
        let member = MEMBERS[proposal.by];
        let target = MEMBERS[proposal.target];
        let body = match proposal.kind {
            Kind::Switchover => records::switchover(member, proposal.version),
            Kind::Leave => {
                let unread = self.mutated(Mutation::LeaveBeforeFold);
                records::leave(member, if unread { offset } else { proposal.read })
            }
            Kind::Handoff => records::handoff(member, target, proposal.version),
            Kind::Split => records::split(member, proposal.version, HOT_KEY),
            Kind::Evict(lost) => {
                let lessors = state.member(MEMBERS[lost]).map(|member| member.lessors.clone());
                records::evict(MEMBERS[lost], proposal.version, &lessors.unwrap_or_default())
            }
            Kind::Move => {
                state.fold(offset, &[]);
                let owner = Some(MEMBERS[proposal.target]);
                let prior = Some(member);
                let standby = prior;
                let moved = Assignment {
                    owner,
                    standby,
                    prior,
                    prior_standby: None,
                    version: offset,
                    token: offset,
                };
                return Fold { number, state, applied: true, moved: Some(moved) };
            }
        };
        let outcome = state.fold(offset, &record(length as u64 + 100, body));
        Fold { number, state, applied: outcome.applied(), moved: before.moved }
    }

    /// Returns the units of the workspace in a folded state, with their assignments.
    pub(super) fn units(fold: &Fold) -> Vec<(UnitId, Assignment)> {
        if let Some(moved) = fold.moved {
            return vec![(UnitId::slot(0), moved)];
        }
        let service = fold.state.service(WORKSPACE).expect("the base publishes the service");
        service.units().map(|(unit, assignment)| (unit, *assignment)).collect()
    }
}

/// Returns the base state: the first member owns the slot, the second one is the standby.
pub(crate) fn base() -> State {
    let [first, second, third] = MEMBERS;
    let bodies = [
        records::template(0, false),
        records::parameters(),
        records::join(0),
        records::join(1),
        records::join(2),
        records::lessors(first, first.0, &[second, third]),
        records::lessors(second, second.0, &[first, third]),
        records::attach(first),
        records::attach(second),
        records::attach(third),
        records::assign(),
    ];
    let mut state = State::default();
    for (offset, body) in (1..).zip(bodies) {
        let outcome = state.fold(offset, &record(offset, body));
        assert!(outcome.applied(), "record {offset} of the base: {outcome:?}");
    }
    state
}
