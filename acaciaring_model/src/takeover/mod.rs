//! Model of takeovers: one slot, and three members that fold the log independently.

mod fold;
mod rights;
mod state;
mod step;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use acaciaring_core::lease::{Holder, LeaseSettings};
use acaciaring_core::rights::Rights;
use acaciaring_core::state::{Assignment, State};
use acaciaring_core::{MemberId, Name, Time};

use self::fold::Fold;
pub(crate) use self::fold::base;
pub use self::state::{Action, Kind, Process, Proposal, Release, TakeoverState};
use crate::interner::{Handle, Interner};
use crate::mutation::Mutation;
use crate::records::WORKSPACE;
use crate::search::Model;

/// Ids of the members in the base state.
pub const MEMBERS: [MemberId; 3] = [MemberId(3), MemberId(4), MemberId(5)];
/// Hot key that may be split out of the slot.
const HOT_KEY: u64 = 7;
/// Key that stays in the slot.
const COLD_KEY: u64 = 8;

/// Bounds of a search.
pub struct TakeoverModel {
    /// Guard to remove; none for the complete protocol.
    pub mutation: Option<Mutation>,
    /// Kinds of records that members may propose, other than evictions.
    pub kinds: Vec<Kind>,
    /// Maximum number of such records.
    pub proposals: usize,
    /// Maximum number of members that lose their lease.
    pub losses: usize,
    rights: Interner<Rights>,
    base: State,
    folds: RefCell<HashMap<Vec<Proposal>, Rc<Fold>>>,
    /// Cache of whether a process may serve the hot key and the cold key.
    served: RefCell<HashMap<Serving, [bool; 2]>>,
    holders: [Holder; 3],
    workspace: Name,
}

/// Process, number of its folded prefix, its rights, and the members it knows to have expired.
type Serving = (usize, usize, Handle, [bool; 3]);

impl TakeoverModel {
    /// Creates a model in which the first member owns the slot and the second one is the standby.
    #[must_use]
    pub fn new(kinds: &[Kind], proposals: usize, losses: usize) -> Self {
        Self {
            mutation: None,
            kinds: kinds.to_vec(),
            proposals,
            losses,
            rights: Interner::default(),
            base: base(),
            folds: RefCell::default(),
            served: RefCell::default(),
            holders: MEMBERS.map(leased),
            workspace: WORKSPACE.into(),
        }
    }

    /// Returns true when some member may serve the slot.
    #[must_use]
    pub fn served(&self, state: &TakeoverState) -> bool {
        (0..3).any(|process| self.serves(state, process)[1])
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn view(&self, state: &TakeoverState, process: usize) -> Rc<Fold> {
        self.fold(&state.log[..state.processes[process].applied])
    }

    fn actions_of(&self, state: &TakeoverState, number: usize) -> Vec<Action> {
        let process = &state.processes[number];
        if !process.leased {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if process.applied < state.log.len() {
            actions.push(Action::Fold(number));
        }
        actions.extend(self.proposals(state, number).into_iter().map(Action::Propose));
        for (unit, Assignment { version, .. }) in Self::units(&self.view(state, number)) {
            let sent = |to: &usize| {
                let release = Release { from: number, to: *to, unit, version };
                state.releases.contains(&release)
            };
            let receivers = self.receivers(state, number, unit);
            if receivers.iter().any(|to| !sent(to)) {
                actions.push(Action::Release(number, unit));
            }
        }
        for other in (0..3).filter(|other| !state.processes[*other].leased) {
            if !process.expired[other] {
                actions.push(Action::LearnExpiry(number, other));
            }
        }
        if state.processes.iter().filter(|process| !process.leased).count() < self.losses {
            actions.push(Action::LoseLease(number));
        }
        actions
    }
}

impl Model for TakeoverModel {
    type State = TakeoverState;
    type Action = Action;

    fn start(&self) -> TakeoverState {
        let rights = self.rights.intern(Rights::new());
        let process = Process { applied: 0, rights, leased: true, expired: [false; 3] };
        let mut state = TakeoverState {
            log: Vec::new(),
            appends: Vec::new(),
            releases: Vec::new(),
            processes: [process; 3],
            proposals: 0,
        };
        self.refresh(&mut state, 0);
        state
    }

    fn actions(&self, state: &TakeoverState) -> Vec<Action> {
        let mut actions: Vec<Action> = (0..3).flat_map(|n| self.actions_of(state, n)).collect();
        actions.extend(state.appends.iter().copied().map(Action::Append));
        let deliverable = |release: &&Release| state.processes[release.to].leased;
        actions.extend(state.releases.iter().filter(deliverable).copied().map(Action::Receive));
        actions
    }

    fn next(&self, state: &TakeoverState, action: &Action) -> TakeoverState {
        let mut state = state.clone();
        match *action {
            Action::Fold(number) => self.fold_record(&mut state, number),
            Action::Propose(proposal) => self.propose(&mut state, proposal),
            Action::Append(proposal) => {
                state.appends.retain(|other| *other != proposal);
                state.log.push(proposal);
            }
            Action::Release(number, unit) => self.release(&mut state, number, unit),
            Action::Receive(release) => self.receive(&mut state, release),
            Action::LoseLease(number) => state.processes[number].leased = false,
            Action::LearnExpiry(number, other) => {
                state.processes[number].expired[other] = true;
                self.refresh(&mut state, number);
            }
        }
        state
    }

    fn violation(&self, state: &TakeoverState) -> Option<String> {
        let serves: Vec<[bool; 2]> = (0..3).map(|number| self.serves(state, number)).collect();
        for (index, key) in [HOT_KEY, COLD_KEY].into_iter().enumerate() {
            let able: Vec<usize> = (0..3).filter(|number| serves[*number][index]).collect();
            if able.len() > 1 {
                return Some(format!("members {able:?} may all serve key {key}"));
            }
        }
        let fold = self.fold(&state.log);
        let service = fold.state.service(WORKSPACE)?;
        let candidates = fold.state.members_of(WORKSPACE).next().is_some();
        let ownerless = service.units().any(|(_, assignment)| assignment.owner.is_none());
        let lost = candidates && ownerless;
        lost.then(|| {
            "a unit has no owner although a member of the workspace is available".to_owned()
        })
    }
}

/// Returns the lease holder of a member, with a valid lease.
pub(crate) fn leased(me: MemberId) -> Holder {
    let mut holder = Holder::new(me, Time::ZERO, LeaseSettings::default());
    holder.install(me.0, &[MemberId(1)], |_| true);
    for renewal in holder.due(Time::ZERO) {
        holder.handle_grant(Time::ZERO, renewal.lessor, renewal.seq, true, renewal.version);
    }
    holder
}

/// Adds a value to a sorted list without duplicates.
pub(crate) fn insert_sorted<T: Ord>(list: &mut Vec<T>, value: T) {
    if let Err(index) = list.binary_search(&value) {
        list.insert(index, value);
    }
}
