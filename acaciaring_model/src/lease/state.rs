//! State and events of the lease model.

use acaciaring_core::{MemberId, Offset, Time};

use crate::interner::Handle;

/// Record in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Entry {
    /// The second set is in force.
    SecondSet,
    /// The first lessor is dead; appended at this time.
    Death(Time),
}

/// How a holder with a lease begins a change of its lessors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeMode {
    /// It proposes the second set at any time.
    Immediate,
    /// It asks the second set, and proposes it once that leaves the lease as long as it is.
    Prepared,
}

/// Progress of the change of lessors at the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Change {
    /// Nothing has been proposed.
    None,
    /// The record is on its way.
    Proposed,
    /// The record is in the log.
    Appended,
    /// The holder has read the record back.
    Installed,
}

/// Message between the holder and a lessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Renewal.
    Renew(usize, MemberId, u64, Offset),
    /// Answer to a renewal.
    Grant(usize, MemberId, u64, bool, Offset),
}

/// State of the holder, the lessors, the messages and the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseState {
    pub(super) now: Time,
    pub(super) holder: Handle,
    pub(super) lessors: Vec<Handle>,
    /// True when the first lessor's process has been replaced by one with another identity.
    pub(super) replaced: bool,
    pub(super) folded: Vec<usize>,
    pub(super) messages: Vec<Message>,
    pub(super) votes: Vec<(MemberId, MemberId, Offset)>,
    pub(super) log: Vec<Entry>,
    pub(super) change: Change,
    pub(super) rounds: u32,
    /// Request on its way to the upstream, with the end of the lease in its fence.
    pub(super) request: Option<Time>,
    /// True when the upstream ran a request after the lease was proved over.
    pub(super) late_write: bool,
}

/// Event at one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Tick,
    /// The holder sends what is due.
    Renew,
    /// A message arrives.
    Receive(Message),
    /// A lessor votes.
    Vote(usize),
    /// The holder asks the second set beforehand.
    Prepare,
    /// The holder proposes the second set.
    Propose,
    /// The log takes the record.
    Append,
    /// The holder reads it back.
    Install,
    /// A lessor reads it.
    Fold(usize),
    /// The first lessor is recorded as dead.
    RecordDeath,
    /// The process of the first lessor restarts.
    RestartLessor,
    /// The process of the holder restarts and joins anew.
    RestartHolder,
    /// The holder checks its lease for a request.
    Check,
    /// The request reaches the upstream.
    Write,
}
