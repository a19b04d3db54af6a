//! Model of a log that comes back from an older copy: one slot, and three members.
//!
//! The former log stays known to the members that have folded it. The copy begins a generation with
//! the state that one of them has folded. Time is an event: the generation settles once all members
//! with a lease have heard of it, and those that have folded records which it does not include have
//! read how it begins.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use acaciaring_core::lease::{Holder, LeaseSettings, Tally};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::{Assignment, Opening, State};
use acaciaring_core::{Generation, Name, Offset, Time, Token, UnitId};

use crate::interner::{Handle, Interner};
use crate::mutation::Mutation;
use crate::records::{self, WORKSPACE, record_in};
use crate::search::Model;
use crate::takeover::{MEMBERS, base, insert_sorted, leased};

const SLOT: UnitId = UnitId::slot(0);
const FIRST: Generation = Generation(0);
const SECOND: Generation = Generation(1);

/// Kind of record that a member may propose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The owner swaps roles with the standby.
    Switchover,
    /// The standby hands its role to the third member.
    Handoff,
    /// A member evicts the member of this index.
    Evict(usize),
}

/// Record that a member proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Proposal {
    by: usize,
    kind: Kind,
    version: Offset,
    target: usize,
    generation: Generation,
}

/// Entry of either copy of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Entry {
    /// Record of a member.
    Record(Proposal),
    /// Snapshot of the state after this many records of the former log.
    Begin(usize),
}

/// Part of the log that a member has folded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum View {
    /// Records of the former log.
    Former(usize),
    /// Records of the copy after the point from which it was taken.
    Present(usize),
}

/// Release message from one member to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Release {
    from: usize,
    to: usize,
    version: Offset,
}

/// Identity of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    view: View,
    rights: Handle,
    leased: bool,
    /// True once the member has heard of the generation and folds no former records any more.
    heard: bool,
    /// Own record whose outcome is not known.
    pending: Option<Proposal>,
    expired: [bool; 3],
}

/// State of the members, both copies of the log and the messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GenerationState {
    former: Vec<Entry>,
    /// Length of the former log when the copy was taken.
    copied: Option<usize>,
    /// Records of the copy since it came back; none before.
    present: Option<Vec<Entry>>,
    appends: Vec<Proposal>,
    releases: Vec<Release>,
    processes: [Process; 3],
    proposals: usize,
    losses: usize,
    settled: bool,
    /// Member that served last, and its token.
    last: Option<(usize, Token)>,
    /// True once a member has served under a token that was not above the former one's.
    fell: bool,
}

/// Event at a member or the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A member folds the next record.
    Fold(usize),
    /// A member hears of the generation.
    Hear(usize),
    /// A member reads how the generation has begun.
    Enter(usize),
    /// A member sends a record to the log.
    Propose(Proposal),
    /// The log appends a record.
    Append(Proposal),
    /// A copy of the log is taken.
    Copy,
    /// The log comes back from the copy.
    Restore,
    /// A member appends the state with which the generation begins.
    Begin(usize),
    /// Members that missed the beginning of the generation have no lease any more.
    Settle,
    /// A member releases the slot.
    Release(usize),
    /// A release arrives.
    Receive(Release),
    /// A member loses its lease permanently.
    LoseLease(usize),
    /// A member receives a majority of votes that another member's lease has expired.
    LearnExpiry(usize, usize),
}

/// Records of the former log and of the copy that lead to a folded state.
type Lineage = (Vec<Entry>, usize, Vec<Entry>);

/// Folded state, and whether the last record changed it.
struct Fold {
    state: State,
    applied: bool,
}

/// Bounds of a search.
pub struct GenerationModel {
    /// Guard to remove; none for the complete protocol.
    pub mutation: Option<Mutation>,
    /// Maximum number of records other than evictions.
    pub proposals: usize,
    /// Maximum number of members that lose their lease by chance.
    pub losses: usize,
    base: State,
    rights: Interner<Rights>,
    folds: RefCell<HashMap<Lineage, Rc<Fold>>>,
    holders: [Holder; 3],
    workspace: Name,
}

impl GenerationModel {
    /// Creates a model in which the first member owns the slot and the second one is the standby.
    #[must_use]
    pub fn new(proposals: usize, losses: usize) -> Self {
        Self {
            mutation: None,
            proposals,
            losses,
            base: base(),
            rights: Interner::default(),
            folds: RefCell::default(),
            holders: MEMBERS.map(leased),
            workspace: WORKSPACE.into(),
        }
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn fold(&self, state: &GenerationState, view: View) -> Rc<Fold> {
        let lineage = match view {
            View::Former(applied) => (state.former[..applied].to_vec(), 0, Vec::new()),
            View::Present(applied) => {
                let present = &state.present.as_deref().unwrap_or_default()[..applied];
                let (_, source) = beginning(present).expect("a member enters a begun generation");
                let copied = state.copied.unwrap_or_default();
                (state.former[..source].to_vec(), copied, present.to_vec())
            }
        };
        if let Some(fold) = self.folds.borrow().get(&lineage) {
            return Rc::clone(fold);
        }
        let fold = Rc::new(self.fold_lineage(&lineage));
        self.folds.borrow_mut().insert(lineage, Rc::clone(&fold));
        fold
    }

    fn fold_lineage(&self, (former, copied, present): &Lineage) -> Fold {
        let mut fold = Fold { state: self.base.clone(), applied: true };
        for entry in former {
            self.fold_entry(&mut fold, *entry);
        }
        let Some((begun, _)) = beginning(present) else { return fold };
        let position = self.base.next() + (copied + begun) as u64;
        let mut snapshot = fold.state.for_opening(true).to_snapshot();
        snapshot.generation = SECOND.0;
        snapshot.floor = SECOND.offset(position);
        snapshot.next = snapshot.floor + 1;
        fold.state = State::from_snapshot(&snapshot).expect("a snapshot of a state is valid");
        for entry in &present[begun + 1..] {
            self.fold_entry(&mut fold, *entry);
        }
        fold
    }

    fn fold_entry(&self, fold: &mut Fold, entry: Entry) {
        let offset = fold.state.next();
        let Entry::Record(proposal) = entry else {
            fold.state.fold(offset, &[]);
            fold.applied = false;
            return;
        };
        let (member, target) = (MEMBERS[proposal.by], MEMBERS[proposal.target]);
        let body = match proposal.kind {
            Kind::Switchover => records::switchover(member, proposal.version),
            Kind::Handoff => records::handoff(member, target, proposal.version),
            Kind::Evict(lost) => {
                let lessors = fold.state.member(MEMBERS[lost]).map(|lost| lost.lessors.clone());
                records::evict(MEMBERS[lost], proposal.version, &lessors.unwrap_or_default())
            }
        };
        let late = self.mutated(Mutation::LateRecordApplies);
        let generation = if late { fold.state.generation() } else { proposal.generation };
        let outcome = fold.state.fold(offset, &record_in(generation, offset, body));
        fold.applied = outcome.applied();
    }

    fn slot(fold: &Fold) -> Assignment {
        let service = fold.state.service(WORKSPACE).expect("the base publishes the service");
        *service.assignment(SLOT).expect("it has a slot")
    }

    /// Returns the token under which a member may serve the slot, and records it in `rights`.
    fn token(&self, state: &GenerationState, number: usize, rights: &mut Rights) -> Option<Token> {
        let process = &state.processes[number];
        if !process.leased {
            return None;
        }
        let fold = self.fold(state, process.view);
        let present = matches!(process.view, View::Present(_));
        if present && !self.mutated(Mutation::TokenWithoutFloor) {
            rights.begin_generation(fold.state.floor());
        }
        let unsettled = present && !state.settled && !self.mutated(Mutation::ServeUnsettled);
        let unread = process.heard && !present && !self.mutated(Mutation::ServeUnread);
        rights.withhold(unsettled || unread);
        let tally = tally(&fold.state, process.expired);
        let holder = &self.holders[number];
        let right = rights.right(Time::ZERO, &fold.state, holder, &tally, &self.workspace, SLOT);
        match right {
            Right::Serve { token, .. } => Some(token),
            _ => None,
        }
    }

    fn tokens(&self, state: &GenerationState) -> Vec<(usize, Token)> {
        let token = |number: usize| {
            let mut rights = Rights::clone(&self.rights.get(state.processes[number].rights));
            Some((number, self.token(state, number, &mut rights)?))
        };
        (0..3).filter_map(token).collect()
    }

    /// Decides the rights of a member again after an event.
    fn refresh(&self, state: &mut GenerationState, number: usize) {
        let mut rights = Rights::clone(&self.rights.get(state.processes[number].rights));
        self.token(state, number, &mut rights);
        state.processes[number].rights = self.rights.intern(rights);
    }

    fn enter(&self, state: &mut GenerationState, number: usize) {
        let present = state.present.as_deref().unwrap_or_default();
        let Some((begun, source)) = beginning(present) else { return };
        let process = state.processes[number];
        let View::Former(applied) = process.view else { return };
        let next = |records: usize| self.base.next() + records as u64;
        let opening = Opening { source: FIRST, next: next(source) };
        let included = process
            .pending
            .is_some_and(|pending| state.former[..source].contains(&Entry::Record(pending)));
        let continues = opening.continues(FIRST, next(applied)) && !included;
        let process = &mut state.processes[number];
        process.view = View::Present(begun + 1);
        let pending = process.pending.take();
        if !continues && !self.mutated(Mutation::LostStateContinued) {
            process.leased = false;
            return;
        }
        if let Some(pending) = pending {
            self.rights.update(&mut process.rights, |rights| {
                rights.cancel_renounce(&self.workspace, SLOT, pending.version);
            });
        }
        self.prune(state, number);
    }

    fn prune(&self, state: &mut GenerationState, number: usize) {
        let fold = self.fold(state, state.processes[number].view);
        let prune = |rights: &mut Rights| rights.prune(MEMBERS[number], &fold.state);
        self.rights.update(&mut state.processes[number].rights, prune);
        self.refresh(state, number);
    }

    fn fold_next(&self, state: &mut GenerationState, number: usize) {
        let process = &mut state.processes[number];
        let (entry, view) = match process.view {
            View::Former(applied) => (state.former[applied], View::Former(applied + 1)),
            View::Present(applied) => {
                let present = state.present.as_deref().unwrap_or_default();
                (present[applied], View::Present(applied + 1))
            }
        };
        process.view = view;
        let fold = self.fold(state, view);
        let process = &mut state.processes[number];
        if let Some(pending) = process.pending.filter(|own| entry == Entry::Record(*own)) {
            process.pending = None;
            if pending.kind == Kind::Handoff && !fold.applied {
                self.rights.update(&mut process.rights, |rights| {
                    rights.cancel_renounce(&self.workspace, SLOT, pending.version);
                });
            }
        }
        self.prune(state, number);
    }

    fn proposals(&self, state: &GenerationState, number: usize) -> Vec<Proposal> {
        let process = &state.processes[number];
        if process.pending.is_some() {
            return Vec::new();
        }
        let fold = self.fold(state, process.view);
        let me = Some(MEMBERS[number]);
        let slot = Self::slot(&fold);
        let rights = self.rights.get(process.rights);
        let third = (0..3).find(|other| {
            let id = Some(MEMBERS[*other]);
            id != slot.owner && id != slot.standby
        });
        let generation = fold.state.generation();
        let (by, target) = (number, third.unwrap_or_default());
        let proposal = |kind, version| Proposal { by, kind, version, target, generation };
        let mut proposals = Vec::new();
        if state.proposals < self.proposals {
            let serving = rights.serving(&self.workspace, SLOT);
            if slot.owner == me && slot.standby.is_some() && serving {
                proposals.push(proposal(Kind::Switchover, slot.version));
            }
            if slot.standby == me && third.is_some() {
                proposals.push(proposal(Kind::Handoff, slot.version));
            }
        }
        for lost in (0..3).filter(|lost| process.expired[*lost]) {
            let Some(member) = fold.state.member(MEMBERS[lost]) else { continue };
            let kind = Kind::Evict(lost);
            let evicts = |other: &Proposal| other.kind == kind && other.generation == generation;
            let logged = state.former.iter().chain(state.present.iter().flatten());
            let logged = logged.filter_map(|entry| match entry {
                Entry::Record(proposal) => Some(proposal),
                Entry::Begin(_) => None,
            });
            if !state.appends.iter().chain(logged).any(evicts) {
                proposals.push(proposal(kind, member.version));
            }
        }
        proposals
    }

    fn propose(&self, state: &mut GenerationState, proposal: Proposal) {
        let process = &mut state.processes[proposal.by];
        if proposal.kind == Kind::Handoff {
            self.rights.update(&mut process.rights, |rights| {
                rights.renounce(&self.workspace, SLOT, proposal.version);
            });
        }
        if !matches!(proposal.kind, Kind::Evict(_)) {
            process.pending = Some(proposal);
            state.proposals += 1;
        }
        insert_sorted(&mut state.appends, proposal);
        self.refresh(state, proposal.by);
    }

    fn receivers(&self, state: &GenerationState, number: usize) -> Vec<usize> {
        let process = &state.processes[number];
        let slot = Self::slot(&self.fold(state, process.view));
        let me = Some(MEMBERS[number]);
        let former = slot.owner != me && slot.prior == me;
        let to = if former { [slot.owner, slot.standby] } else { [None, None] };
        let numbers = (0..3).filter(|other| *other != number);
        numbers.filter(|other| to.contains(&Some(MEMBERS[*other]))).collect()
    }

    fn release(&self, state: &mut GenerationState, number: usize) {
        let slot = Self::slot(&self.fold(state, state.processes[number].view));
        let rights = &mut state.processes[number].rights;
        self.rights.update(rights, |rights| rights.release(&self.workspace, SLOT, &slot));
        for to in self.receivers(state, number) {
            let release = Release { from: number, to, version: slot.version };
            insert_sorted(&mut state.releases, release);
        }
        self.refresh(state, number);
    }

    /// Returns how many records of the former log can be read: once it is lost, those that a member
    /// has folded and passes on.
    fn readable(state: &GenerationState) -> usize {
        if state.present.is_none() {
            return state.former.len();
        }
        let folded = state.processes.iter().map(|process| match process.view {
            View::Former(applied) => applied,
            View::Present(_) => 0,
        });
        folded.max().unwrap_or(0)
    }

    /// Returns true for a member that may serve by records which the generation does not include.
    fn is_outdated(state: &GenerationState, number: usize) -> bool {
        let begun = state.present.as_deref().and_then(beginning);
        match (begun, state.processes[number].view) {
            (Some((_, source)), View::Former(applied)) => applied > source,
            _ => false,
        }
    }

    fn actions_of(&self, state: &GenerationState, number: usize) -> Vec<Action> {
        let process = &state.processes[number];
        if !process.leased {
            return Vec::new();
        }
        let mut actions = Vec::new();
        let begun = state.present.as_deref().and_then(beginning);
        let folds = match process.view {
            View::Former(applied) => {
                if !process.heard && state.present.is_some() {
                    actions.push(Action::Hear(number));
                } else if process.heard {
                    let enters = begun.is_some();
                    actions.push(if enters {
                        Action::Enter(number)
                    } else {
                        Action::Begin(number)
                    });
                }
                !process.heard && applied < Self::readable(state)
            }
            View::Present(applied) => state.present.as_ref().is_some_and(|p| applied < p.len()),
        };
        if folds {
            actions.push(Action::Fold(number));
        }
        actions.extend(self.proposals(state, number).into_iter().map(Action::Propose));
        let version = Self::slot(&self.fold(state, process.view)).version;
        let sent =
            |to: &usize| state.releases.contains(&Release { from: number, to: *to, version });
        if self.receivers(state, number).iter().any(|to| !sent(to)) {
            actions.push(Action::Release(number));
        }
        for other in (0..3).filter(|other| !state.processes[*other].leased) {
            if !process.expired[other] {
                actions.push(Action::LearnExpiry(number, other));
            }
        }
        if state.losses < self.losses || Self::is_outdated(state, number) {
            actions.push(Action::LoseLease(number));
        }
        actions
    }

    /// Records which member serves, and whether its token is above the former one's.
    fn observe(&self, state: &mut GenerationState) {
        for (number, token) in self.tokens(state) {
            if let Some((last, highest)) = state.last {
                state.fell |= last != number && token <= highest;
            }
            let highest = state.last.map_or(token, |(_, highest)| highest.max(token));
            state.last = Some((number, highest));
        }
    }
}

impl Model for GenerationModel {
    type State = GenerationState;
    type Action = Action;

    fn start(&self) -> GenerationState {
        let rights = self.rights.intern(Rights::new());
        let view = View::Former(0);
        let (pending, expired) = (None, [false; 3]);
        let process = Process { view, rights, leased: true, heard: false, pending, expired };
        let mut state = GenerationState {
            former: Vec::new(),
            copied: None,
            present: None,
            appends: Vec::new(),
            releases: Vec::new(),
            processes: [process; 3],
            proposals: 0,
            losses: 0,
            settled: false,
            last: None,
            fell: false,
        };
        self.refresh(&mut state, 0);
        self.observe(&mut state);
        state
    }

    fn actions(&self, state: &GenerationState) -> Vec<Action> {
        let mut actions: Vec<Action> = (0..3).flat_map(|n| self.actions_of(state, n)).collect();
        actions.extend(state.appends.iter().copied().map(Action::Append));
        let deliverable = |release: &&Release| state.processes[release.to].leased;
        actions.extend(state.releases.iter().filter(deliverable).copied().map(Action::Receive));
        match (state.copied, &state.present) {
            (None, _) => actions.push(Action::Copy),
            (Some(_), None) => actions.push(Action::Restore),
            (Some(_), Some(present)) => {
                let waits = |number: usize| {
                    let process = &state.processes[number];
                    process.leased && (!process.heard || Self::is_outdated(state, number))
                };
                if !state.settled && beginning(present).is_some() && !(0..3).any(waits) {
                    actions.push(Action::Settle);
                }
            }
        }
        actions
    }

    fn next(&self, state: &GenerationState, action: &Action) -> GenerationState {
        let mut state = state.clone();
        match *action {
            Action::Fold(number) => self.fold_next(&mut state, number),
            Action::Hear(number) => state.processes[number].heard = true,
            Action::Enter(number) => self.enter(&mut state, number),
            Action::Propose(proposal) => self.propose(&mut state, proposal),
            Action::Append(proposal) => {
                state.appends.retain(|other| *other != proposal);
                let log = state.present.as_mut().unwrap_or(&mut state.former);
                log.push(Entry::Record(proposal));
            }
            Action::Copy => state.copied = Some(state.former.len()),
            Action::Restore => state.present = Some(Vec::new()),
            Action::Begin(number) => {
                if let View::Former(applied) = state.processes[number].view {
                    state.present.get_or_insert_default().push(Entry::Begin(applied));
                }
            }
            Action::Settle => {
                state.settled = true;
                (0..3).for_each(|number| self.refresh(&mut state, number));
            }
            Action::Release(number) => self.release(&mut state, number),
            Action::Receive(Release { from, to, version }) => {
                self.rights.update(&mut state.processes[to].rights, |rights| {
                    rights.record_release(MEMBERS[from], &self.workspace, SLOT, version);
                });
                self.refresh(&mut state, to);
            }
            Action::LoseLease(number) => {
                state.losses += usize::from(!Self::is_outdated(&state, number));
                state.processes[number].leased = false;
            }
            Action::LearnExpiry(number, other) => {
                // Votes name the generation that their lessors have heard of.
                let entered = matches!(state.processes[other].view, View::Present(_));
                let process = &mut state.processes[number];
                process.heard |= entered && !self.mutated(Mutation::VoteWithoutGeneration);
                process.expired[other] = true;
                self.refresh(&mut state, number);
            }
        }
        self.observe(&mut state);
        state
    }

    fn violation(&self, state: &GenerationState) -> Option<String> {
        let able = self.tokens(state);
        if able.len() > 1 {
            return Some(format!("members {able:?} may all serve the slot"));
        }
        state.fell.then(|| "a member served under a token that was not above all".to_owned())
    }
}

/// Returns where a generation begins, and with how many records of the former log.
fn beginning(present: &[Entry]) -> Option<(usize, usize)> {
    (0..).zip(present).find_map(|(index, entry)| match entry {
        Entry::Begin(source) => Some((index, *source)),
        Entry::Record(_) => None,
    })
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
