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
enum Role {
    /// Runs requests.
    Owner { gap_end: Time },
    /// Notes what the owner runs since `version`; `blind` is none before the first sync.
    Standby { version: Offset, gap_end: Option<Time> },
}

/// Memory of requests that may run at most once, for one service.
#[derive(Debug)]
pub struct DedupTable<A> {
    settings: DedupSettings,
    roles: HashMap<UnitId, Role>,
    table: Table<A>,
}

impl<A: Clone> DedupTable<A> {
    /// Returns an empty memory without units.
    #[must_use]
    pub fn new(settings: DedupSettings) -> Self {
        let table = Table::new(&settings);
        Self { settings, roles: HashMap::new(), table }
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
        self.roles.insert(unit, Role::Owner { gap_end: Time::ZERO });
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
        gap: Duration,
    ) {
        let reported = entries.iter().map(|entry| entry.id).collect();
        self.table.drop_noted(unit, &reported);
        let complete = self.import(now, entries);
        let gap = if complete { gap } else { self.settings.window };
        self.table.mark_noted_unknown(now, unit);
        self.roles.insert(unit, Role::Owner { gap_end: now + gap });
    }

    /// Becomes standby of a unit under the assignment's version.
    ///
    /// A standby whose unit only changes its version stays synced. So does the former owner after a
    /// planned move: it remembers all that ran before, and is told of all that runs after.
    pub fn become_standby(&mut self, unit: UnitId, version: Offset) {
        let gap_end = match self.roles.get(&unit) {
            Some(Role::Owner { gap_end }) => Some(*gap_end),
            Some(Role::Standby { gap_end, .. }) => *gap_end,
            None => None,
        };
        self.roles.insert(unit, Role::Standby { version, gap_end });
    }

    /// Takes over a unit whose owner is lost. No intent for the unit is accepted from now on.
    ///
    /// What was noted may have run and becomes unknown. A standby that was never synced knows nothing of
    /// what ran before, so for a whole window each request that it does not know is answered as unknown.
    pub fn take_over(&mut self, now: Time, unit: UnitId) {
        let gap_end = match self.roles.get(&unit) {
            Some(Role::Owner { .. }) => return,
            Some(Role::Standby { gap_end: Some(gap_end), .. }) => *gap_end,
            Some(Role::Standby { gap_end: None, .. }) | None => now + self.settings.window,
        };
        self.roles.insert(unit, Role::Owner { gap_end });
        self.table.mark_noted_unknown(now, unit);
    }

    /// Gives up a unit altogether; what is remembered for it fades with time.
    pub fn drop_unit(&mut self, unit: UnitId) {
        self.roles.remove(&unit);
    }

    /// Gives a key that is split out of its slot the same duty as the slot.
    pub fn split(&mut self, unit: UnitId) {
        if let Some(role) = self.roles.get(&UnitId::slot(unit.slot)).copied() {
            self.roles.insert(unit, role);
        }
    }

    /// Returns a hot key to its slot, of which no more is known than of both.
    pub fn merge(&mut self, unit: UnitId) {
        let slot = UnitId::slot(unit.slot);
        let key = self.roles.remove(&unit);
        let merged = match (key, self.roles.get(&slot)) {
            (Some(Role::Owner { gap_end: a }), Some(Role::Owner { gap_end: b })) => {
                Role::Owner { gap_end: a.max(*b) }
            }
            (
                Some(Role::Standby { gap_end: a, .. }),
                Some(Role::Standby { version, gap_end: b }),
            ) => Role::Standby { version: *version, gap_end: a.zip(*b).map(|(a, b)| a.max(b)) },
            (_, Some(Role::Standby { version, .. })) => {
                Role::Standby { version: *version, gap_end: None }
            }
            (_, Some(Role::Owner { .. }) | None) => return,
        };
        self.roles.insert(slot, merged);
    }

    /// Returns true when this member stands by for the unit and was told what ran before.
    #[must_use]
    pub fn synced(&self, unit: UnitId) -> bool {
        matches!(self.roles.get(&unit), Some(Role::Standby { gap_end: Some(_), .. }))
    }

    /// Returns for how long requests that are not known here may yet have run, zero for a whole memory.
    #[must_use]
    pub fn gap(&self, now: Time, unit: UnitId) -> Duration {
        match self.roles.get(&unit) {
            Some(Role::Owner { gap_end } | Role::Standby { gap_end: Some(gap_end), .. }) => {
                gap_end.since(now)
            }
            Some(Role::Standby { gap_end: None, .. }) | None => self.settings.window,
        }
    }

    /// Decides, at the owner, about a request that is about to run.
    pub fn begin(&mut self, now: Time, id: RequestId, unit: UnitId) -> Begin<A> {
        self.expire(now);
        let Some(Role::Owner { gap_end }) = self.roles.get(&unit) else {
            return Begin::Refused(Refusal::not_run(Reason::NotOwner));
        };
        match self.table.get(unit.slot, id) {
            Some(RequestState::Running | RequestState::Noted) => return Begin::Running,
            Some(RequestState::Done { answer, .. }) => return Begin::Done(answer.clone()),
            Some(RequestState::Unknown) => return Begin::Unknown(Reason::LostAnswer),
            None => {}
        }
        // The former owner may have run this very request; its memory was lost with its VM.
        if now < *gap_end {
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
        let Some(Role::Standby { version: current, .. }) = self.roles.get(&unit) else {
            return false;
        };
        if version < *current {
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
        let state = answer
            .map_or(RequestState::Unknown, |(answer, bytes)| RequestState::Done { answer, bytes });
        self.table.merge(now, unit, id, state);
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
        gap: Duration,
    ) -> bool {
        let complete = self.import(now, entries);
        if let Some(Role::Standby { gap_end: known, .. }) = self.roles.get_mut(&unit)
            && complete
        {
            *known = Some(now + gap);
        }
        complete && self.synced(unit)
    }

    /// Forgets requests that ended a window ago.
    pub fn expire(&mut self, now: Time) {
        self.table.expire(now);
    }

    /// Returns the time until the next request is forgotten.
    fn next_expiry(&self, now: Time) -> Duration {
        let expiry = self.table.next_expiry().unwrap_or(now);
        expiry.since(now).max(Duration::from_millis(1))
    }
}
