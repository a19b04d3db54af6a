//! Model of leases: one holder, its lessors, and members that count their votes.

mod state;
mod step;

use std::time::Duration;

use acaciaring_core::lease::{Holder, LeaseSettings, Lessor, Renewal, Tally};
use acaciaring_core::state::{Member, Phase};
use acaciaring_core::{MemberId, Offset, Time};

pub use self::state::{Action, Change, ChangeMode, Entry, LeaseState, Message};
use crate::interner::Interner;
use crate::mutation::Mutation;
use crate::search::Model;

/// Version of the first lessor set.
const FIRST_VERSION: Offset = 10;
/// Version of the second lessor set.
const SECOND_VERSION: Offset = 20;
/// Identity of the holder before and after its restart.
const HOLDERS: [MemberId; 2] = [MemberId(10), MemberId(15)];

/// Bounds of a search; one tick of the clock is a millisecond.
#[derive(Debug, Clone)]
pub struct LeaseModel {
    /// Guard to remove; none for the complete protocol.
    pub mutation: Option<Mutation>,
    /// Indexes of the lessors in the first set.
    pub first: Vec<usize>,
    /// Indexes of the lessors in the second set; empty when the set does not change.
    pub second: Vec<usize>,
    /// Time of the last tick, in milliseconds.
    pub horizon: u64,
    /// Maximum number of rounds of renewals.
    pub rounds: u32,
    /// Maximum number of messages in flight.
    pub messages: usize,
    /// True when the first lessor may be recorded as dead while it continues to grant.
    pub death: bool,
    /// True when the first lessor and the holder may restart.
    pub restart: bool,
    /// True when the holder may pause between its check and its write to the upstream.
    pub write: bool,
    /// How a holder with a lease starts the change to the second set.
    pub change_mode: ChangeMode,
    /// Interned states of the holder.
    pub holders: Interner<Holder>,
    /// Interned states of the lessors.
    pub lessors: Interner<Lessor>,
}

impl Default for LeaseModel {
    fn default() -> Self {
        Self {
            mutation: None,
            first: vec![0],
            second: Vec::new(),
            horizon: 4,
            rounds: 2,
            messages: 2,
            death: false,
            restart: false,
            write: false,
            change_mode: ChangeMode::Immediate,
            holders: Interner::default(),
            lessors: Interner::default(),
        }
    }
}

fn settings() -> LeaseSettings {
    LeaseSettings {
        interval: Duration::from_millis(1),
        resend: Duration::from_millis(1),
        term: Duration::from_millis(2),
        margin: Duration::ZERO,
        abandon: Duration::from_millis(1),
    }
}

fn id(lessor: usize) -> MemberId {
    MemberId(lessor as u64 + 1)
}

fn ids(lessors: &[usize]) -> Vec<MemberId> {
    lessors.iter().copied().map(id).collect()
}

impl LeaseModel {
    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn holds(&self, state: &LeaseState) -> bool {
        self.holders.get(state.holder).holds(state.now)
    }

    /// Returns true when some prefix of the log, with the votes, proves that the lease has expired.
    fn expiry_proved(&self, state: &LeaseState) -> bool {
        (0..=state.log.len()).any(|read| self.expiry_proved_by(state, &state.log[..read]))
    }

    fn expiry_proved_by(&self, state: &LeaseState, log: &[Entry]) -> bool {
        let me = self.holders.get(state.holder).id();
        let changed = log.contains(&Entry::SecondSet);
        let (mut version, lessors) =
            if changed { (SECOND_VERSION, &self.second) } else { (FIRST_VERSION, &self.first) };
        version = version.max(me.0);
        let mut tally = Tally::new(settings());
        for (lessor, member, voted) in &state.votes {
            let about = if self.mutated(Mutation::OldIdentityVotes) { me } else { *member };
            let ignored =
                self.mutated(Mutation::VersionIgnored) || self.mutated(Mutation::OldIdentityVotes);
            tally.vote(*lessor, about, if ignored { version } else { *voted });
        }
        let mut now = state.now;
        if self.mutated(Mutation::DeathCountsAtOnce) {
            now = now + settings().dead_vote_delay();
        }
        for entry in log {
            if let Entry::Death(read) = entry {
                tally.record_death(*read, id(0));
            }
        }
        tally.proof(now, &member(me, version, ids(lessors))).is_some()
    }

    /// Returns the actions by which the holder may start the change of its lessors.
    fn proposals(&self, state: &LeaseState) -> Vec<Action> {
        let holder = self.holders.get(state.holder);
        let ready = !holder.holds(state.now) || holder.ready(state.now, &ids(&self.second));
        let mut actions = Vec::new();
        let prepared = self.change_mode == ChangeMode::Prepared;
        if !prepared || ready || self.mutated(Mutation::ProposeUnready) {
            actions.push(Action::Propose);
        }
        if prepared && !holder.preparing() {
            actions.push(Action::Prepare);
        }
        actions
    }

    fn changes(&self, state: &LeaseState) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.second.is_empty() && self.holders.get(state.holder).id() == HOLDERS[0] {
            match state.change {
                Change::None => actions.extend(self.proposals(state)),
                Change::Proposed => actions.push(Action::Append),
                Change::Appended => actions.push(Action::Install),
                Change::Installed => {}
            }
        }
        if state.change >= Change::Appended {
            let lagging = (0..state.lessors.len()).filter(|lessor| !state.folded.contains(lessor));
            actions.extend(lagging.map(Action::Fold));
        }
        let dead = state.log.iter().any(|entry| matches!(entry, Entry::Death(_)));
        if self.death && !dead {
            actions.push(Action::RecordDeath);
        }
        if self.restart && !state.replaced {
            actions.push(Action::RestartLessor);
        }
        if self.restart && self.holders.get(state.holder).id() == HOLDERS[0] {
            actions.push(Action::RestartHolder);
        }
        actions
    }
}

impl Model for LeaseModel {
    type State = LeaseState;
    type Action = Action;

    fn start(&self) -> LeaseState {
        let count = self.first.iter().chain(&self.second).max().map_or(0, |last| last + 1);
        let mut holder = Holder::new(HOLDERS[0], Time::ZERO, settings());
        holder.install(FIRST_VERSION, &ids(&self.first), |_| true);
        let mut lessors: Vec<Lessor> =
            (0..count).map(|lessor| Lessor::new(id(lessor), settings())).collect();
        for lessor in &self.first {
            lessors[*lessor].join_set(Time::ZERO, HOLDERS[0], FIRST_VERSION);
        }
        LeaseState {
            now: Time::ZERO,
            holder: self.holders.intern(holder),
            lessors: lessors.into_iter().map(|lessor| self.lessors.intern(lessor)).collect(),
            replaced: false,
            folded: Vec::new(),
            messages: Vec::new(),
            votes: Vec::new(),
            log: Vec::new(),
            change: Change::None,
            rounds: 0,
            request: None,
            late_write: false,
        }
    }

    fn actions(&self, state: &LeaseState) -> Vec<Action> {
        let mut actions: Vec<Action> =
            state.messages.iter().copied().map(Action::Receive).collect();
        if state.now < Time::from_millis(self.horizon) {
            actions.push(Action::Tick);
        }
        if state.rounds < self.rounds
            && self.holders.get(state.holder).next_due(state.now) == state.now
        {
            actions.push(Action::Renew);
        }
        actions.extend((0..state.lessors.len()).map(Action::Vote));
        actions.extend(self.changes(state));
        if self.write && state.request.is_none() && self.holds(state) {
            actions.push(Action::Check);
        }
        if state.request.is_some() {
            actions.push(Action::Write);
        }
        actions
    }

    fn next(&self, state: &LeaseState, action: &Action) -> LeaseState {
        let mut state = state.clone();
        match *action {
            Action::Tick => state.now = state.now + Duration::from_millis(1),
            Action::Renew => {
                state.rounds += 1;
                let now = state.now;
                let (holder, renewals) =
                    self.holders.update(&mut state.holder, |holder| (holder.id(), holder.due(now)));
                for Renewal { lessor, seq, version, .. } in renewals {
                    let lessor = (0..state.lessors.len()).find(|number| id(*number) == lessor);
                    // A message above the bound is lost; one in flight may never arrive. This
                    // covers a network that loses any message.
                    if let Some(lessor) = lessor
                        && state.messages.len() < self.messages
                    {
                        insert_sorted(
                            &mut state.messages,
                            Message::Renew(lessor, holder, seq, version),
                        );
                    }
                }
            }
            Action::Receive(message) => {
                state.messages.retain(|other| *other != message);
                match message {
                    Message::Renew(..) => self.renew(&mut state, message),
                    Message::Grant(..) => self.grant(&mut state, message),
                }
            }
            Action::Vote(lessor) => self.vote(&mut state, lessor),
            Action::Prepare => {
                self.holders.update(&mut state.holder, |holder| holder.prepare(&ids(&self.second)));
            }
            Action::Propose => {
                if !self.mutated(Mutation::ProposalSkipped) {
                    self.holders
                        .update(&mut state.holder, |holder| holder.propose(&ids(&self.second)));
                }
                state.change = Change::Proposed;
            }
            Action::Append => {
                state.log.push(Entry::SecondSet);
                state.change = Change::Appended;
            }
            Action::Install => self.install(&mut state),
            Action::Fold(lessor) => {
                insert_sorted(&mut state.folded, lessor);
                let now = state.now;
                let in_set = self.second.contains(&lessor);
                self.lessors.update(&mut state.lessors[lessor], |lessor| {
                    if in_set {
                        lessor.join_set(now, HOLDERS[0], SECOND_VERSION);
                    } else {
                        lessor.leave_set(HOLDERS[0], SECOND_VERSION);
                    }
                });
            }
            Action::RecordDeath => state.log.push(Entry::Death(state.now)),
            Action::RestartLessor => self.restart_lessor(&mut state),
            Action::RestartHolder => {
                let mut holder = Holder::new(HOLDERS[1], state.now, settings());
                holder.install(HOLDERS[1].0, &ids(&self.first), |_| true);
                state.holder = self.holders.intern(holder);
                state.request = None;
            }
            Action::Check => state.request = self.holders.get(state.holder).until(),
            Action::Write => {
                let until = state.request.take();
                let refused = until.is_some_and(|until| state.now >= until)
                    && !self.mutated(Mutation::FenceWithoutEnd);
                state.late_write |= !refused && self.expiry_proved(&state);
            }
        }
        state
    }

    fn violation(&self, state: &LeaseState) -> Option<String> {
        if state.late_write {
            return Some(
                "the upstream accepted a request after the lease was proved to have expired"
                    .to_owned(),
            );
        }
        let broken = self.holds(state) && self.expiry_proved(state);
        broken.then(|| {
            "the holder holds its lease although votes prove that it has expired".to_owned()
        })
    }
}

/// Adds a value to a sorted list without duplicates.
fn insert_sorted<T: Ord>(list: &mut Vec<T>, value: T) {
    if let Err(index) = list.binary_search(&value) {
        list.insert(index, value);
    }
}

/// Returns the holder as a member of the folded state.
fn member(id: MemberId, version: Offset, lessors: Vec<MemberId>) -> Member {
    Member {
        id,
        vm: "vm".into(),
        nonce: 0,
        data_centre: "welkom".into(),
        region: "free-state".into(),
        rack: "".into(),
        peer: "".into(),
        http: "".into(),
        fingerprint: Vec::new(),
        attachment: None,
        version,
        lessors,
        phase: Phase::Alive,
    }
}
