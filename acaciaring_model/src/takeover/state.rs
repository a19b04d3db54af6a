//! State and events of the takeover model.

use acaciaring_core::{Offset, UnitId};

use crate::interner::Handle;

/// Kind of record that a member may propose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The owner changes roles with the standby.
    Switchover,
    /// The owner or the standby leaves.
    Leave,
    /// The standby gives its role to the third member.
    Handoff,
    /// The owner splits the hot key out.
    Split,
    /// The owner gives the slot to the third member, which no record can do.
    Move,
    /// Any member evicts another one.
    Evict(usize),
}

/// Record that a member proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Proposal {
    pub(super) by: usize,
    pub(super) kind: Kind,
    /// Version of the slot, or of the evicted member's lessors.
    pub(super) version: Offset,
    /// First offset that the member had not read.
    pub(super) read: Offset,
    pub(super) target: usize,
}

/// Release on its way from one member to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Release {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) unit: UnitId,
    pub(super) version: Offset,
}

/// Process of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// Count of records folded after the base.
    pub(super) applied: usize,
    pub(super) rights: Handle,
    pub(super) leased: bool,
    /// Members of which a majority of votes has arrived here.
    pub(super) expired: [bool; 3],
}

/// State of the members, the log and the messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TakeoverState {
    pub(super) log: Vec<Proposal>,
    /// Appends on their way to the log; an outage holds them up.
    pub(super) appends: Vec<Proposal>,
    pub(super) releases: Vec<Release>,
    pub(super) processes: [Process; 3],
    pub(super) proposals: usize,
}

/// Event at one process, or at the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A member folds the next record.
    Fold(usize),
    /// A member sends a record to the log.
    Propose(Proposal),
    /// The log takes a record.
    Append(Proposal),
    /// A member releases a unit.
    Release(usize, UnitId),
    /// A release arrives.
    Receive(Release),
    /// A member loses its lease for good.
    LoseLease(usize),
    /// A member has got a majority of votes about another.
    LearnExpiry(usize, usize),
}
