//! State and events of the lease model.

use acaciaring_core::{MemberId, Offset, Time};

use crate::interner::Handle;

/// Record in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Entry {
    /// The holder's lessor set changes to the second one.
    SecondSet,
    /// The first lessor is dead, as recorded at this time.
    Death(Time),
}

/// How a holder with a lease starts a change of its lessors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeMode {
    /// Proposes the second set at any time.
    Immediate,
    /// Requests grants from the second set first, and proposes it once that does not shorten the
    /// lease.
    Prepared,
}

/// Progress of the change of lessors at the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Change {
    /// Nothing has been proposed.
    None,
    /// The record has been sent to the log.
    Proposed,
    /// The log has appended the record.
    Appended,
    /// The holder has folded the record.
    Installed,
}

/// Message between the holder and a lessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// Renewal: lessor, holder, sequence number and version of the lessor set.
    Renew(usize, MemberId, u64, Offset),
    /// Answer to a renewal: lessor, holder, sequence number, whether granted, and version.
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
    /// Lease expiry in the fence of the request in flight to the upstream; none without a request.
    pub(super) request: Option<Time>,
    /// True when the upstream accepted a request after the lease was proved to have expired.
    pub(super) late_write: bool,
}

/// Event at a process, the log or the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time advances by one tick.
    Tick,
    /// The holder sends the renewals that are due.
    Renew,
    /// A message arrives.
    Receive(Message),
    /// A lessor votes.
    Vote(usize),
    /// The holder requests grants from the second set before it proposes it.
    Prepare,
    /// The holder proposes the second set.
    Propose,
    /// The log appends the record of the second set.
    Append,
    /// The holder folds that record.
    Install,
    /// A lessor folds that record.
    Fold(usize),
    /// The first lessor is recorded as dead.
    RecordDeath,
    /// The process of the first lessor restarts.
    RestartLessor,
    /// The process of the holder restarts and joins with a new identity.
    RestartHolder,
    /// The holder checks its lease for a request.
    Check,
    /// The request reaches the upstream.
    Write,
}
