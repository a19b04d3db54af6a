//! Memory of requests that may run at most once, at the owner and at the standby.
//!
//! One table per service. The owner asks [`DedupTable::begin`] before a run and tells the standby; the
//! standby notes [`DedupTable::intent`] and [`DedupTable::outcome`]. What the standby noted without an
//! outcome becomes unknown when it takes over.
//!
//! Entries belong to a slot, not to a unit: a key that is split out of its slot, or merged back, finds
//! what its slot remembered.

mod table;

use std::collections::HashMap;
use std::time::Duration;

use self::table::Table;
use crate::id::{Offset, RequestId, UnitId};
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

/// Settings of the memory of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupSettings {
    /// Time for which a request is remembered after it has ended.
    pub window: Duration,
    /// Bound on the size of ids and answers, in bytes.
    pub max_bytes: usize,
}

impl Default for DedupSettings {
    fn default() -> Self {
        Self { window: Duration::from_mins(10), max_bytes: 64 << 20 }
    }
}

/// What to do with a request that may run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run it; it is remembered from now on.
    Run,
    /// An earlier try is running.
    Running,
    /// An earlier try was answered so.
    Done(A),
    /// An earlier try may have run and its answer is not known.
    Unknown(Reason),
    /// It did not run: this member does not own the unit, or cannot remember more requests.
    Refused(Refusal),
}

/// What is remembered of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestState<A> {
    /// It is running here.
    Running,
    /// Its owner, another member, runs it or has run it.
    Noted,
    /// It was answered so.
    Done {
        /// Answer.
        answer: A,
        /// Size of the answer in bytes.
        bytes: usize,
    },
    /// It may have run; there is no answer.
    Unknown,
}

/// Entry on its way to another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupEntry<A> {
    /// Unit under which the request was begun.
    pub unit: UnitId,
    /// Identity of the request.
    pub id: RequestId,
    /// What is remembered.
    pub state: RequestState<A>,
    /// Time since the request ended, or since it was noted; zero while it runs.
    pub age: Duration,
}

/// What this member does for a unit.
///
/// Up to `blind`, requests may have run of which this memory knows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Duty {
    /// Runs requests.
    Owner { blind: Time },
    /// Notes what the owner runs since `version`; `blind` is none before the first sync.
    Standby { version: Offset, blind: Option<Time> },
}

/// Memory of requests that may run at most once, for one service.
#[derive(Debug)]
pub struct DedupTable<A> {
    settings: DedupSettings,
    duties: HashMap<UnitId, Duty>,
    table: Table<A>,
}

impl<A: Clone> DedupTable<A> {
    /// Returns an empty memory without units.
    #[must_use]
    pub fn new(settings: DedupSettings) -> Self {
        let table = Table::new(&settings);
        Self { settings, duties: HashMap::new(), table }
    }

    /// Returns the count of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns true when no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of ids and answers, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Becomes owner of a unit that never had an owner before, so that nothing can have run.
    pub fn become_first_owner(&mut self, unit: UnitId) {
        self.duties.insert(unit, Duty::Owner { blind: Time::ZERO });
    }

    /// Becomes owner of a unit that its former owner has released, with what that one remembers.
    ///
    /// `blind` is the former owner's [`DedupTable::gap`]. The former owner has nothing in flight, so what
    /// was noted here and is not among its entries did not run.
    pub fn become_owner(
        &mut self,
        now: Time,
        unit: UnitId,
        entries: Vec<DedupEntry<A>>,
        blind: Duration,
    ) {
        let told = entries.iter().map(|entry| entry.id).collect();
        self.table.drop_noted(unit, &told);
        let whole = self.import(now, entries);
        let blind = if whole { blind } else { self.settings.window };
        self.table.give_up_noted(now, unit);
        self.duties.insert(unit, Duty::Owner { blind: now + blind });
    }

    /// Becomes standby of a unit under the assignment's version.
    ///
    /// A standby whose unit only changes its version stays synced. So does the former owner after a
    /// planned move: it remembers all that ran before, and is told of all that runs after.
    pub fn become_standby(&mut self, unit: UnitId, version: Offset) {
        let blind = match self.duties.get(&unit) {
            Some(Duty::Owner { blind }) => Some(*blind),
            Some(Duty::Standby { blind, .. }) => *blind,
            None => None,
        };
        self.duties.insert(unit, Duty::Standby { version, blind });
    }

    /// Takes over a unit whose owner is lost. No intent for the unit is accepted from now on.
    ///
    /// What was noted may have run and becomes unknown. A standby that was never synced knows nothing of
    /// what ran before, so for a whole window each request that it does not know is answered as unknown.
    pub fn take_over(&mut self, now: Time, unit: UnitId) {
        let blind = match self.duties.get(&unit) {
            Some(Duty::Owner { .. }) => return,
            Some(Duty::Standby { blind: Some(blind), .. }) => *blind,
            Some(Duty::Standby { blind: None, .. }) | None => now + self.settings.window,
        };
        self.duties.insert(unit, Duty::Owner { blind });
        self.table.give_up_noted(now, unit);
    }

    /// Gives up a unit altogether; what is remembered for it fades with time.
    pub fn drop_unit(&mut self, unit: UnitId) {
        self.duties.remove(&unit);
    }

    /// Gives a key that is split out of its slot the same duty as the slot.
    pub fn split(&mut self, unit: UnitId) {
        if let Some(duty) = self.duties.get(&UnitId::slot(unit.slot)).copied() {
            self.duties.insert(unit, duty);
        }
    }

    /// Returns a hot key to its slot, of which no more is known than of both.
    pub fn merge(&mut self, unit: UnitId) {
        let slot = UnitId::slot(unit.slot);
        let key = self.duties.remove(&unit);
        let merged = match (key, self.duties.get(&slot)) {
            (Some(Duty::Owner { blind: a }), Some(Duty::Owner { blind: b })) => {
                Duty::Owner { blind: a.max(*b) }
            }
            (Some(Duty::Standby { blind: a, .. }), Some(Duty::Standby { version, blind: b })) => {
                Duty::Standby { version: *version, blind: a.zip(*b).map(|(a, b)| a.max(b)) }
            }
            (_, Some(Duty::Standby { version, .. })) => {
                Duty::Standby { version: *version, blind: None }
            }
            (_, Some(Duty::Owner { .. }) | None) => return,
        };
        self.duties.insert(slot, merged);
    }

    /// Returns true when this member stands by for the unit and was told what ran before.
    #[must_use]
    pub fn synced(&self, unit: UnitId) -> bool {
        matches!(self.duties.get(&unit), Some(Duty::Standby { blind: Some(_), .. }))
    }

    /// Returns for how long requests that are not known here may yet have run, zero for a whole memory.
    #[must_use]
    pub fn gap(&self, now: Time, unit: UnitId) -> Duration {
        match self.duties.get(&unit) {
            Some(Duty::Owner { blind } | Duty::Standby { blind: Some(blind), .. }) => {
                blind.since(now)
            }
            Some(Duty::Standby { blind: None, .. }) | None => self.settings.window,
        }
    }

    /// Decides, at the owner, about a request that is about to run.
    pub fn begin(&mut self, now: Time, id: RequestId, unit: UnitId) -> Begin<A> {
        self.expire(now);
        let Some(Duty::Owner { blind }) = self.duties.get(&unit) else {
            return Begin::Refused(Refusal::not_run(Reason::NotOwner));
        };
        match self.table.get(unit.slot, id) {
            Some(RequestState::Running | RequestState::Noted) => return Begin::Running,
            Some(RequestState::Done { answer, .. }) => return Begin::Done(answer.clone()),
            Some(RequestState::Unknown) => return Begin::Unknown(Reason::LostAnswer),
            None => {}
        }
        // The former owner may have run this very request; its memory was lost with its VM.
        if now < *blind {
            return Begin::Unknown(Reason::DedupLost);
        }
        if self.table.insert(now, unit, id, RequestState::Running) {
            Begin::Run
        } else {
            Begin::Refused(Refusal::not_run(Reason::Busy).after(self.next_expiry(now)))
        }
    }

    /// Notes, at the owner, the whole answer of a request that ran.
    pub fn finish(&mut self, now: Time, id: RequestId, unit: UnitId, answer: A, bytes: usize) {
        self.table.update(now, unit, id, RequestState::Done { answer, bytes });
    }

    /// Notes, at the owner, that a request may have run and has no whole answer.
    pub fn unknown(&mut self, now: Time, id: RequestId, unit: UnitId) {
        self.table.update(now, unit, id, RequestState::Unknown);
    }

    /// Notes, at the owner, that a request which was begun did not run and never will under this try.
    ///
    /// Only the owner forgets. The standby is not told: the message could pass a later intent for the
    /// same request on the way, and the standby would forget a request that runs.
    pub fn not_run(&mut self, id: RequestId, unit: UnitId) {
        if matches!(self.table.get(unit.slot, id), Some(RequestState::Running)) {
            self.table.remove(unit.slot, id);
        }
    }

    /// Notes, at the standby, that the owner is about to run a request; false forbids the run.
    ///
    /// It is forbidden once this member has taken over, for an owner under an older version, when the
    /// request is known to have run, and when no more requests can be remembered. A repeated intent is
    /// accepted: the owner is one, and asks again when it missed the first reply.
    pub fn intent(&mut self, now: Time, id: RequestId, unit: UnitId, version: Offset) -> bool {
        self.expire(now);
        let Some(Duty::Standby { version: since, .. }) = self.duties.get(&unit) else {
            return false;
        };
        if version < *since {
            return false;
        }
        match self.table.get(unit.slot, id) {
            Some(RequestState::Noted) => true,
            Some(RequestState::Running | RequestState::Done { .. } | RequestState::Unknown) => {
                false
            }
            None => self.table.insert(now, unit, id, RequestState::Noted),
        }
    }

    /// Notes, at the standby, how a request ended; `None` when its answer is not known.
    ///
    /// The message may come before a delayed intent or after a takeover; both are harmless.
    pub fn outcome(&mut self, now: Time, id: RequestId, unit: UnitId, answer: Option<(A, usize)>) {
        let memory = answer
            .map_or(RequestState::Unknown, |(answer, bytes)| RequestState::Done { answer, bytes });
        self.table.merge(now, unit, id, memory);
    }

    /// Returns all that is remembered of a unit's slot, for a release or to sync a standby.
    #[must_use]
    pub fn export(&self, now: Time, unit: UnitId) -> Vec<DedupEntry<A>> {
        self.table.export(now, unit.slot)
    }

    /// Takes in what another member remembers; false when not all of it fits.
    ///
    /// What is known better here is kept.
    pub fn import(&mut self, now: Time, entries: Vec<DedupEntry<A>>) -> bool {
        self.expire(now);
        let mut all = true;
        for entry in entries {
            all &= self.table.merge(now - entry.age, entry.unit, entry.id, entry.state);
        }
        all
    }

    /// Takes in what the owner of a unit remembers of it and its [`DedupTable::gap`]; true when all fits.
    pub fn sync(
        &mut self,
        now: Time,
        unit: UnitId,
        entries: Vec<DedupEntry<A>>,
        blind: Duration,
    ) -> bool {
        let whole = self.import(now, entries);
        if let Some(Duty::Standby { blind: known, .. }) = self.duties.get_mut(&unit)
            && whole
        {
            *known = Some(now + blind);
        }
        whole && self.synced(unit)
    }

    /// Forgets requests that ended a window ago.
    pub fn expire(&mut self, now: Time) {
        self.table.expire(now);
    }

    /// Returns the time until the next request is forgotten.
    fn next_expiry(&self, now: Time) -> Duration {
        let due = self.table.next_due().unwrap_or(now);
        due.since(now).max(Duration::from_millis(1))
    }
}
