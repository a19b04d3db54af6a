//! State and events of the takeover model.

use acaciaring_core::{Offset, UnitId};

use crate::interner::Handle;

/// Kind of record that a member may propose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The owner swaps roles with the standby.
    Switchover,
    /// The owner or the standby leaves.
    Leave,
    /// The standby hands its role to the third member.
    Handoff,
    /// The owner splits the hot key out.
    Split,
    /// The owner moves the slot to the third member; the protocol has no such record.
    Move,
    /// A member evicts the member of this index.
    Evict(usize),
}

/// Record that a member proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Proposal {
    pub(super) by: usize,
    pub(super) kind: Kind,
    /// Version of the slot, or of the evicted member's lessors.
    pub(super) version: Offset,
    /// First offset that the proposing member had not folded.
    pub(super) read: Offset,
    pub(super) target: usize,
}

/// Release message from one member to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Release {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) unit: UnitId,
    pub(super) version: Offset,
}

/// State of one member's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// Count of records folded after the base.
    pub(super) applied: usize,
    pub(super) rights: Handle,
    pub(super) leased: bool,
    /// Members whose lease is known here to have expired, by a majority of votes.
    pub(super) expired: [bool; 3],
}

/// State of the members, the log and the messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TakeoverState {
    pub(super) log: Vec<Proposal>,
    /// Records sent to the log but not yet appended, for instance during an outage of the log.
    pub(super) appends: Vec<Proposal>,
    pub(super) releases: Vec<Release>,
    pub(super) processes: [Process; 3],
    pub(super) proposals: usize,
}

/// Event at a process or the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A member folds the next record.
    Fold(usize),
    /// A member sends a record to the log.
    Propose(Proposal),
    /// The log appends a record.
    Append(Proposal),
    /// A member releases a unit.
    Release(usize, UnitId),
    /// A release arrives.
    Receive(Release),
    /// A member loses its lease permanently.
    LoseLease(usize),
    /// A member receives a majority of votes that another member's lease has expired.
    LearnExpiry(usize, usize),
}
