//! Deduplication of requests that may run at most once, at the owner and at the standby.
//!
//! There is one table per service. The owner calls [`DedupTable::begin`] before a run and sends the
//! standby an intent; the standby records it with [`DedupTable::intent`] and the result with
//! [`DedupTable::outcome`]. An intent without an outcome becomes unknown when the standby takes
//! over.
//!
//! Entries belong to a slot, not to a unit, so that a key split out of its slot, or merged back,
//! finds the slot's entries.

mod table;

use std::collections::HashMap;
use std::time::Duration;

use self::table::Table;
use crate::id::{Offset, RequestId, UnitId};
use crate::time::Time;
use crate::verdict::{Reason, Refusal};

/// Settings of deduplication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupSettings {
    /// Time for which a request is kept after it has ended.
    pub window: Duration,
    /// Maximum size of ids and answers, in bytes.
    pub max_bytes: usize,
}

impl Default for DedupSettings {
    fn default() -> Self {
        Self { window: Duration::from_mins(10), max_bytes: 64 << 20 }
    }
}

/// Result of [`DedupTable::begin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin<A> {
    /// Run it; the table has recorded it as running.
    Run,
    /// An earlier attempt is running.
    Running,
    /// An earlier attempt was answered with this.
    Done(A),
    /// An earlier attempt may have run and its answer is not known.
    Unknown(Reason),
    /// It did not run: this member does not own the unit, or the table is full.
    Refused(Refusal),
}

/// Recorded state of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestState<A> {
    /// It is running here.
    Running,
    /// Its owner, another member, is running it or has run it.
    Noted,
    /// It was answered.
    Done {
        /// The answer.
        answer: A,
        /// Size of the answer in bytes.
        bytes: usize,
    },
    /// It may have run, and its answer is not known.
    Unknown,
}

/// Entry as transferred between members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupEntry<A> {
    /// Unit under which the request was begun.
    pub unit: UnitId,
    /// Id of the request.
    pub id: RequestId,
    /// Its state.
    pub state: RequestState<A>,
    /// Time since the request ended or was noted; zero while it runs.
    pub age: Duration,
}

/// Role of this member for a unit.
///
/// Until `gap_end`, requests that are missing from the table may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Runs requests.
    Owner { gap_end: Time },
    /// Records what the owner runs since `version`; `gap_end` is `None` before the first sync.
    Standby { version: Offset, gap_end: Option<Time> },
}

/// Table of the requests of one service that may run at most once.
#[derive(Debug)]
pub struct DedupTable<A> {
    settings: DedupSettings,
    roles: HashMap<UnitId, Role>,
    table: Table<A>,
}

impl<A: Clone> DedupTable<A> {
    /// Returns an empty table without units.
    #[must_use]
    pub fn new(settings: DedupSettings) -> Self {
        let table = Table::new(&settings);
        Self { settings, roles: HashMap::new(), table }
    }

    /// Returns the number of recorded requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns true when no request is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of ids and answers, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }

    /// Becomes owner of a unit that had no owner before, so that no request can have run.
    pub fn become_first_owner(&mut self, unit: UnitId) {
        self.roles.insert(unit, Role::Owner { gap_end: Time::ZERO });
    }

    /// Becomes owner of a unit that its former owner has released, with that owner's entries.
    ///
    /// `gap` is the former owner's [`DedupTable::gap`]. The former owner has nothing in flight, so
    /// a request that is noted here but missing from its entries did not run.
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

    /// Becomes standby of a unit under this version of the assignment.
    ///
    /// A standby stays synced when only the version changes. So does the former owner after a
    /// planned move: it has recorded all earlier requests and is sent all later ones.
    pub fn become_standby(&mut self, unit: UnitId, version: Offset) {
        let gap_end = match self.roles.get(&unit) {
            Some(Role::Owner { gap_end }) => Some(*gap_end),
            Some(Role::Standby { gap_end, .. }) => *gap_end,
            None => None,
        };
        self.roles.insert(unit, Role::Standby { version, gap_end });
    }

    /// Takes over a unit whose owner is lost; rejects all further intents for the unit.
    ///
    /// Noted requests may have run and become unknown. A standby that was never synced does not
    /// know what ran before, so for one window each request missing from the table is answered as
    /// unknown.
    pub fn take_over(&mut self, now: Time, unit: UnitId) {
        let gap_end = match self.roles.get(&unit) {
            Some(Role::Owner { .. }) => return,
            Some(Role::Standby { gap_end: Some(gap_end), .. }) => *gap_end,
            Some(Role::Standby { gap_end: None, .. }) | None => now + self.settings.window,
        };
        self.roles.insert(unit, Role::Owner { gap_end });
        self.table.mark_noted_unknown(now, unit);
    }

    /// Removes a unit; its entries expire normally.
    pub fn drop_unit(&mut self, unit: UnitId) {
        self.roles.remove(&unit);
    }

    /// Gives a key that is split out of its slot the role of the slot.
    pub fn split(&mut self, unit: UnitId) {
        if let Some(role) = self.roles.get(&UnitId::slot(unit.slot)).copied() {
            self.roles.insert(unit, role);
        }
    }

    /// Returns a hot key to its slot, whose gap becomes the longer of both.
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

    /// Returns true when this member is standby of the unit and has synced the owner's entries.
    #[must_use]
    pub fn synced(&self, unit: UnitId) -> bool {
        matches!(self.roles.get(&unit), Some(Role::Standby { gap_end: Some(_), .. }))
    }

    /// Returns for how long requests missing from the table may have run; zero without a gap.
    #[must_use]
    pub fn gap(&self, now: Time, unit: UnitId) -> Duration {
        match self.roles.get(&unit) {
            Some(Role::Owner { gap_end } | Role::Standby { gap_end: Some(gap_end), .. }) => {
                gap_end.since(now)
            }
            Some(Role::Standby { gap_end: None, .. }) | None => self.settings.window,
        }
    }

    /// Decides, at the owner, whether a request may run, and records it.
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
        // The former owner may have run this request and lost its table with its VM.
        if now < *gap_end {
            return Begin::Unknown(Reason::DedupLost);
        }
        if self.table.insert(now, unit, id, RequestState::Running) {
            Begin::Run
        } else {
            Begin::Refused(Refusal::not_run(Reason::Busy).after(self.next_expiry(now)))
        }
    }

    /// Records, at the owner, the complete answer of a request that ran.
    pub fn finish(&mut self, now: Time, id: RequestId, unit: UnitId, answer: A, bytes: usize) {
        self.table.update(now, unit, id, RequestState::Done { answer, bytes });
    }

    /// Records, at the owner, that a request may have run without a complete answer.
    pub fn unknown(&mut self, now: Time, id: RequestId, unit: UnitId) {
        self.table.update(now, unit, id, RequestState::Unknown);
    }

    /// Records, at the owner, that a begun request did not run and this attempt never will.
    ///
    /// The standby is not notified: the message could overtake a later intent for the same request,
    /// and the standby would drop a request that runs.
    pub fn not_run(&mut self, id: RequestId, unit: UnitId) {
        if matches!(self.table.get(unit.slot, id), Some(RequestState::Running)) {
            self.table.remove(unit.slot, id);
        }
    }

    /// Records, at the standby, that the owner is about to run a request; false forbids the run.
    ///
    /// It is forbidden after a takeover, for an owner under an older version, when the request is
    /// known to have run, and when the table is full. A repeated intent is accepted, because the
    /// single owner repeats it when it has missed the first reply.
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

    /// Records, at the standby, how a request ended; `None` when its answer is not known.
    ///
    /// The message may arrive before a delayed intent or after a takeover; both are harmless.
    pub fn outcome(&mut self, now: Time, id: RequestId, unit: UnitId, answer: Option<(A, usize)>) {
        let state = answer
            .map_or(RequestState::Unknown, |(answer, bytes)| RequestState::Done { answer, bytes });
        self.table.merge(now, unit, id, state);
    }

    /// Returns all entries of a unit's slot, for a release or to sync a standby.
    #[must_use]
    pub fn export(&self, now: Time, unit: UnitId) -> Vec<DedupEntry<A>> {
        self.table.export(now, unit.slot)
    }

    /// Merges another member's entries; false when not all of them fit.
    ///
    /// Of two states of a request the more certain one is kept.
    pub fn import(&mut self, now: Time, entries: Vec<DedupEntry<A>>) -> bool {
        self.expire(now);
        let mut all = true;
        for entry in entries {
            all &= self.table.merge(now - entry.age, entry.unit, entry.id, entry.state);
        }
        all
    }

    /// Merges the entries of a unit's owner and its [`DedupTable::gap`]; true when all fit.
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

    /// Removes requests that ended more than a window ago.
    pub fn expire(&mut self, now: Time) {
        self.table.expire(now);
    }

    /// Returns the time until the next entry expires.
    fn next_expiry(&self, now: Time) -> Duration {
        let expiry = self.table.next_expiry().unwrap_or(now);
        expiry.since(now).max(Duration::from_millis(1))
    }
}
