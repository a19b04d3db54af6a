//! Deduplication state of requests that may run at most once, one table per workspace.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::dedup::{Begin, DedupEntry, DedupSettings, DedupTable, RequestState};
use acaciaring_core::{KeyHash, Name, Offset, RequestId, Time, UnitId};
use acaciaring_schema::peer;
use parking_lot::Mutex;

use crate::wire;

type Answer = Arc<peer::Answer>;
type Table = DedupTable<Answer>;

/// New role of this member for a unit, with regard to deduplication.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Role {
    /// Owner of a unit that never had an owner.
    FirstOwner,
    /// Owner after a release by the former owner, with its deduplication state.
    Handover(DedupHandover),
    /// Owner after the former owner has failed.
    Takeover,
    /// Owner of a hot key that was split from a slot owned by this member.
    Split,
    /// Owner or standby of the slot into which the hot key was merged.
    Merge,
    /// Standby under an assignment version.
    Standby(Offset),
    /// No role for the unit.
    Nothing,
}

/// Deduplication state of the former owner of a unit.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DedupHandover {
    pub(crate) entries: Vec<peer::DedupEntry>,
    /// Time for which requests missing from the entries may have run.
    pub(crate) blind: Duration,
}

/// Deduplication tables of all workspaces.
#[derive(Debug, Default)]
pub(crate) struct Dedup {
    tables: Mutex<HashMap<Name, Table>>,
}

impl Dedup {
    fn with_table<T>(&self, workspace: &Name, apply: impl FnOnce(&mut Table) -> T) -> T {
        let mut tables = self.tables.lock();
        let table = tables
            .entry(Arc::clone(workspace))
            .or_insert_with(|| Table::new(DedupSettings::default()));
        apply(table)
    }

    /// Returns the number of recorded requests.
    pub(crate) fn len(&self) -> usize {
        self.tables.lock().values().map(Table::len).sum()
    }

    /// Applies a new role for a unit.
    pub(crate) fn set_role(&self, now: Time, workspace: &Name, unit: UnitId, role: Role) {
        self.with_table(workspace, |table| match role {
            Role::FirstOwner => table.become_first_owner(unit),
            Role::Handover(state) => {
                let entries = entries(&state.entries, unit);
                table.become_owner(now, unit, entries, state.blind);
            }
            Role::Takeover => table.take_over(now, unit),
            Role::Split => table.split(unit),
            Role::Merge => table.merge(unit),
            Role::Standby(version) => table.become_standby(unit, version),
            Role::Nothing => table.drop_unit(unit),
        });
    }

    /// Decides whether a request may run, and records it if so.
    pub(crate) fn begin(
        &self,
        now: Time,
        workspace: &Name,
        unit: UnitId,
        id: RequestId,
    ) -> Begin<Answer> {
        self.with_table(workspace, |table| table.begin(now, id, unit))
    }

    /// Records the answer of a request.
    pub(crate) fn finish(
        &self,
        now: Time,
        workspace: &Name,
        unit: UnitId,
        id: RequestId,
        answer: Answer,
    ) {
        let bytes = answer.body.len();
        self.with_table(workspace, |table| table.finish(now, id, unit, answer, bytes));
    }

    /// Records that a request may have run and has no answer.
    pub(crate) fn unknown(&self, now: Time, workspace: &Name, unit: UnitId, id: RequestId) {
        self.with_table(workspace, |table| table.unknown(now, id, unit));
    }

    /// Records that a request did not run.
    pub(crate) fn not_run(&self, workspace: &Name, unit: UnitId, id: RequestId) {
        self.with_table(workspace, |table| table.not_run(id, unit));
    }

    /// Records a request that the owner is about to run; false if it must not run.
    pub(crate) fn intent(
        &self,
        now: Time,
        workspace: &Name,
        unit: UnitId,
        id: RequestId,
        version: Offset,
    ) -> bool {
        self.with_table(workspace, |table| table.intent(now, id, unit, version))
    }

    /// Records the result of a request that the owner ran.
    pub(crate) fn outcome(
        &self,
        now: Time,
        workspace: &Name,
        unit: UnitId,
        id: RequestId,
        answer: Option<peer::Answer>,
    ) {
        let answer = answer.map(|answer| {
            let bytes = answer.body.len();
            (Arc::new(answer), bytes)
        });
        self.with_table(workspace, |table| table.outcome(now, id, unit, answer));
    }

    /// Returns the state of units, and for how long requests missing from it may have run.
    pub(crate) fn export(
        &self,
        now: Time,
        workspace: &Name,
        units: &[UnitId],
    ) -> (Vec<peer::DedupEntry>, Duration) {
        self.with_table(workspace, |table| {
            let slots: BTreeSet<_> = units.iter().map(|unit| unit.slot).collect();
            let entries = slots.into_iter().flat_map(|slot| table.export(now, UnitId::slot(slot)));
            let entries = entries.map(|entry| to_wire(&entry)).collect();
            let blind = units.iter().map(|unit| table.gap(now, *unit)).max();
            (entries, blind.unwrap_or_default())
        })
    }

    /// Stores the owner's state; false if this member is not yet the standby of all the units.
    pub(crate) fn sync(
        &self,
        now: Time,
        workspace: &Name,
        units: &[UnitId],
        list: &[peer::DedupEntry],
        blind: Duration,
    ) -> bool {
        self.with_table(workspace, |table| {
            let mut all = true;
            for unit in units {
                all &= table.sync(now, *unit, entries(list, *unit), blind);
            }
            all
        })
    }
}

/// Returns the entries of a unit's slot.
fn entries(list: &[peer::DedupEntry], unit: UnitId) -> Vec<DedupEntry<Answer>> {
    list.iter().filter(|entry| entry.slot == unit.slot).filter_map(from_wire).collect()
}

fn to_wire(entry: &DedupEntry<Answer>) -> peer::DedupEntry {
    let (state, answer) = match &entry.state {
        RequestState::Running | RequestState::Noted => (peer::DedupState::Noted, None),
        RequestState::Done { answer, .. } => {
            (peer::DedupState::Done, Some(peer::Answer::clone(answer)))
        }
        RequestState::Unknown => (peer::DedupState::Lost, None),
    };
    peer::DedupEntry {
        slot: entry.unit.slot,
        key: entry.unit.key.map(|key| key.0),
        id: entry.id.0.to_vec(),
        state: state.into(),
        answer,
        age: wire::millis(entry.age),
    }
}

fn from_wire(entry: &peer::DedupEntry) -> Option<DedupEntry<Answer>> {
    let id = RequestId(entry.id.as_slice().try_into().ok()?);
    let request_state = match (entry.state(), &entry.answer) {
        (peer::DedupState::Noted, _) => RequestState::Noted,
        (peer::DedupState::Done, Some(answer)) => {
            RequestState::Done { answer: Arc::new(answer.clone()), bytes: answer.body.len() }
        }
        _ => RequestState::Unknown,
    };
    let unit = UnitId { slot: entry.slot, key: entry.key.map(KeyHash) };
    Some(DedupEntry {
        unit,
        id,
        state: request_state,
        age: Duration::from_millis(u64::from(entry.age)),
    })
}
