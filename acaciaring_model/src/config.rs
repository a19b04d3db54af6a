//! Model of configuration changes: two operators publish the same document concurrently while
//! members fold the log, join and are evicted.

use std::cell::RefCell;
use std::collections::HashMap;

use acaciaring_core::state::{Outcome, State};
use acaciaring_core::{MemberId, Offset, route::DocumentKind};

use crate::interner::{Handle, Interner};
use crate::mutation::Mutation;
use crate::records::{self, TEMPLATE, record};
use crate::search::Model;

/// Members that have joined in the initial state.
const FIRST_MEMBER: MemberId = MemberId(2);
const SECOND_MEMBER: MemberId = MemberId(3);
/// Maximum number of attempts of one append.
const MAX_ATTEMPTS: usize = 2;

/// Record in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Entry {
    /// Change of the document by an operator.
    Publish {
        /// Operator.
        operator: usize,
        /// Version that the change replaces.
        base: Offset,
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// The third member joins.
    Join,
    /// The second member is evicted.
    Evict,
}

/// Latest answer that an operator has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The outcome is not known yet.
    Pending,
    /// Every member has folded the change at this offset.
    Accepted(Offset),
    /// The change was rejected, as another one preceded it.
    Conflict,
}

/// Operator that publishes at most one change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Operator {
    /// Version that the change replaces; none until the change is sent.
    base: Option<Offset>,
    attempts: usize,
    reply: Reply,
}

/// State of the operators, the members and the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigState {
    log: Vec<Entry>,
    appends: Vec<Entry>,
    /// Folded state of each member; none until the third member starts.
    members: [Option<Handle>; 3],
    operators: [Operator; 2],
    evicting: bool,
}

/// Event at an operator, a member or the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// An operator sends a change that replaces the version known to the first member.
    Publish(usize),
    /// An operator without a final answer retries its change.
    Retry(usize),
    /// The log appends a record.
    Append(Entry),
    /// A member folds the next record.
    Fold(usize),
    /// A member that has folded less than the first one restores the latter's snapshot.
    Restore(usize),
    /// The third member starts from a snapshot of this member and sends its `Join`.
    Start(usize),
    /// The second member's lease has expired and the first member evicts it.
    Evict,
    /// An operator queries the outcome of its change at the first member.
    Query(usize),
}

/// Model of configuration changes, with the folded states that members can have.
pub struct ConfigModel {
    mutation: Option<Mutation>,
    states: Interner<State>,
    base: Handle,
    /// First offset after the base state.
    first: Offset,
    /// Cache of folds, by state and record.
    folds: RefCell<HashMap<(Handle, Entry), (Handle, Outcome)>>,
    /// Cache of states restored from the snapshot of a state.
    restores: RefCell<HashMap<Handle, Handle>>,
}

impl ConfigModel {
    /// Creates the model, optionally with a guard removed.
    #[must_use]
    pub fn new(mutation: Option<Mutation>) -> Self {
        let states = Interner::default();
        let first = base().next();
        let base = states.intern(base());
        Self {
            mutation,
            states,
            base,
            first,
            folds: RefCell::default(),
            restores: RefCell::default(),
        }
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns the number of a record's id, which is the same for all attempts.
    fn record_id(&self, entry: Entry) -> u64 {
        match entry {
            Entry::Publish { operator, attempt, .. } => {
                let attempt = if self.mutated(Mutation::NewRecordId) { attempt } else { 0 };
                100 + operator as u64 * 10 + attempt as u64
            }
            Entry::Join => 200,
            Entry::Evict => 201,
        }
    }

    fn fold(&self, handle: Handle, entry: Entry) -> (Handle, Outcome) {
        if let Some(fold) = self.folds.borrow().get(&(handle, entry)) {
            return fold.clone();
        }
        let body = match entry {
            Entry::Publish { operator, base, .. } => records::template(base, operator == 1),
            Entry::Join => records::join(2),
            Entry::Evict => records::evict(SECOND_MEMBER, SECOND_MEMBER.0, &[FIRST_MEMBER]),
        };
        let mut next = handle;
        let outcome = self.states.update(&mut next, |state| {
            state.fold(state.next(), &record(self.record_id(entry), body))
        });
        self.folds.borrow_mut().insert((handle, entry), (next, outcome.clone()));
        (next, outcome)
    }

    /// Returns the offset and the outcome of an operator's change in a prefix of the log.
    fn outcome(&self, log: &[Entry], operator: usize, attempt: usize) -> Option<(Offset, Outcome)> {
        let wanted = |entry: &Entry| match entry {
            Entry::Publish { operator: by, base, .. } => {
                let sought = Entry::Publish { operator, base: *base, attempt };
                *by == operator && self.record_id(*entry) == self.record_id(sought)
            }
            Entry::Join | Entry::Evict => false,
        };
        let index = log.iter().position(wanted)?;
        let before = log[..index].iter().fold(self.base, |state, entry| self.fold(state, *entry).0);
        let (_, outcome) = self.fold(before, log[index]);
        Some((self.first + index as u64, outcome))
    }

    fn applied(&self, state: &ConfigState, member: usize) -> usize {
        let next = state.members[member].map_or(0, |handle| self.states.get(handle).next());
        usize::try_from(next.saturating_sub(self.first)).unwrap_or(0)
    }

    /// Returns true when a member may serve: it is not evicted and has folded its own `Join`.
    fn serving(&self, state: &ConfigState, member: usize) -> bool {
        match member {
            0 => true,
            1 => !state.evicting,
            _ => {
                let join = state.log.iter().position(|entry| *entry == Entry::Join);
                join.is_some_and(|index| self.applied(state, 2) > index)
            }
        }
    }

    fn query(&self, state: &ConfigState, operator: usize) -> Reply {
        let asked = &state.log[..self.applied(state, 0)];
        let attempt = state.operators[operator].attempts - 1;
        let Some((offset, outcome)) = self.outcome(asked, operator, attempt) else {
            return Reply::Pending;
        };
        if !outcome.applied() {
            return Reply::Conflict;
        }
        let has_folded = |member: usize| {
            state.members[member].is_some_and(|handle| self.states.get(handle).next() > offset)
        };
        let evicted = asked.contains(&Entry::Evict);
        let joined = asked.contains(&Entry::Join);
        let everywhere = (evicted || has_folded(1)) && (!joined || has_folded(2));
        if everywhere || self.mutated(Mutation::AcceptedEarly) {
            Reply::Accepted(offset)
        } else {
            Reply::Pending
        }
    }

    /// Returns the state restored from the snapshot of a state.
    fn restored(&self, handle: Handle) -> Handle {
        if let Some(restored) = self.restores.borrow().get(&handle) {
            return *restored;
        }
        let snapshot = self.states.get(handle).to_snapshot();
        let state = State::from_snapshot(&snapshot).expect("a snapshot of a state is valid");
        let restored = self.states.intern(state);
        self.restores.borrow_mut().insert(handle, restored);
        restored
    }

    fn start_third(&self, state: &mut ConfigState, from: usize) {
        let Some(handle) = state.members[from] else { return };
        let mut restored = self.restored(handle);
        if self.mutated(Mutation::SnapshotWithoutOffset) {
            let mut snapshot = self.states.get(restored).to_snapshot();
            snapshot.next = self.first + state.log.len() as u64;
            let state = State::from_snapshot(&snapshot).expect("a snapshot of a state is valid");
            restored = self.states.intern(state);
        }
        state.members[2] = Some(restored);
        state.appends.push(Entry::Join);
    }

    fn publish(&self, state: &mut ConfigState, operator: usize) {
        let Some(first) = state.members[0] else { return };
        let first = self.states.get(first);
        let document = first.document(DocumentKind::Template, TEMPLATE);
        let base = document.map_or(0, |published| published.version);
        state.operators[operator].base = Some(base);
        Self::send(state, operator);
    }

    fn send(state: &mut ConfigState, operator: usize) {
        let Operator { base, attempts, .. } = state.operators[operator];
        let base = base.unwrap_or_default();
        state.appends.push(Entry::Publish { operator, base, attempt: attempts });
        state.appends.sort_unstable();
        state.operators[operator].attempts += 1;
    }
}

impl Model for ConfigModel {
    type State = ConfigState;
    type Action = Action;

    fn start(&self) -> ConfigState {
        let handle = self.base;
        let operator = Operator { base: None, attempts: 0, reply: Reply::Pending };
        ConfigState {
            log: Vec::new(),
            appends: Vec::new(),
            members: [Some(handle), Some(handle), None],
            operators: [operator; 2],
            evicting: false,
        }
    }

    fn actions(&self, state: &ConfigState) -> Vec<Action> {
        let mut actions: Vec<Action> = state.appends.iter().copied().map(Action::Append).collect();
        for (number, operator) in state.operators.iter().enumerate() {
            if operator.base.is_none() {
                actions.push(Action::Publish(number));
            } else if operator.reply == Reply::Pending {
                actions.push(Action::Query(number));
                if operator.attempts < MAX_ATTEMPTS {
                    actions.push(Action::Retry(number));
                }
            }
        }
        for member in (0..3).filter(|member| state.members[*member].is_some()) {
            if self.applied(state, member) < state.log.len() {
                actions.push(Action::Fold(member));
            }
            if self.applied(state, member) < self.applied(state, 0) {
                actions.push(Action::Restore(member));
            }
        }
        if state.members[2].is_none() {
            actions.extend([Action::Start(0), Action::Start(1)]);
        }
        if !state.evicting {
            actions.push(Action::Evict);
        }
        actions
    }

    fn next(&self, state: &ConfigState, action: &Action) -> ConfigState {
        let mut state = state.clone();
        match *action {
            Action::Publish(operator) => self.publish(&mut state, operator),
            Action::Retry(operator) => Self::send(&mut state, operator),
            Action::Append(entry) => {
                let index = state.appends.iter().position(|other| *other == entry);
                if let Some(index) = index {
                    state.appends.remove(index);
                    state.log.push(entry);
                }
            }
            Action::Fold(member) => {
                let entry = state.log[self.applied(&state, member)];
                state.members[member] =
                    state.members[member].map(|handle| self.fold(handle, entry).0);
            }
            Action::Restore(member) => {
                state.members[member] = state.members[0].map(|handle| self.restored(handle));
            }
            Action::Start(from) => self.start_third(&mut state, from),
            Action::Evict => {
                state.evicting = true;
                state.appends.push(Entry::Evict);
                state.appends.sort_unstable();
            }
            Action::Query(number) => state.operators[number].reply = self.query(&state, number),
        }
        state
    }

    fn violation(&self, state: &ConfigState) -> Option<String> {
        for (number, operator) in state.operators.iter().enumerate() {
            match operator.reply {
                Reply::Pending => {}
                Reply::Accepted(offset) => {
                    for member in (0..3).filter(|member| self.serving(state, *member)) {
                        let Some(handle) = state.members[member] else { continue };
                        let folded = self.states.get(handle);
                        let document = folded.document(DocumentKind::Template, TEMPLATE);
                        if document.is_none_or(|published| published.version < offset) {
                            return Some(format!(
                                "member {member} may serve without the change accepted at {offset}"
                            ));
                        }
                    }
                }
                Reply::Conflict => {
                    let applied = |attempt| {
                        let outcome = self.outcome(&state.log, number, attempt);
                        outcome.is_some_and(|(_, outcome)| outcome.applied())
                    };
                    if (0..operator.attempts).any(applied) {
                        return Some(format!(
                            "operator {number} received a conflict although its change was applied"
                        ));
                    }
                }
            }
        }
        None
    }
}

/// Returns the base state, with one document and two members.
fn base() -> State {
    let bodies = [records::template(0, false), records::join(0), records::join(1)];
    let mut state = State::default();
    for (offset, body) in (1..).zip(bodies) {
        let outcome = state.fold(offset, &record(offset, body));
        assert!(outcome.applied(), "record {offset} of the base: {outcome:?}");
    }
    state
}
