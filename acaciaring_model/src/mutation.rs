//! Mutations of the protocol, each of which removes one guard.

/// Guard that a search removes; the search must then find a counterexample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A lessor that restarts loses its grants and votes but keeps its identity.
    RestartKeepsIdentity,
    /// The holder does not require grants of a proposed set until it has folded the record.
    ProposalSkipped,
    /// The holder proposes a set whose lease would end before that of the current set.
    ProposeUnready,
    /// The holder drops the old set as soon as it has folded the record of the new one.
    OldSetDropped,
    /// Votes count regardless of the version that they carry.
    VersionIgnored,
    /// A lessor grants again after its vote.
    GrantAfterVote,
    /// A lessor votes before its grant has expired.
    VoteEarly,
    /// The holder counts the lease from receipt of the grant, not from sending the renewal.
    CountFromReceipt,
    /// The fence of a request lacks the end of the lease.
    FenceWithoutEnd,
    /// Votes about an earlier identity of the holder count for the identity after its restart.
    OldIdentityVotes,
    /// The recorded death of a lessor counts as its vote without the delay.
    DeathCountsAtOnce,
    /// Grants of lessors that the log records as dead supersede older sets.
    DeadSupersedes,
    /// The owner moves a unit to a member that is not the standby.
    MoveToNonStandby,
    /// The standby uses its role until it has folded its own handoff.
    RoleKept,
    /// The new owner does not wait for the former one.
    PriorIgnored,
    /// An owner that still waits for the former one moves the unit on.
    MoveBeforeServing,
    /// A member that has not folded the assignment of a unit to itself may leave.
    LeaveBeforeFold,
    /// A leaving standby renounces its role only under the version that it has folded.
    RoleRegained,
    /// The owner releases a unit before the outcome of its split is known.
    ReleaseBeforeSettled,
    /// A retried append carries a new record id.
    NewRecordId,
    /// A change is reported as accepted before every member has folded it.
    AcceptedEarly,
    /// A joining member restores a snapshot without its offset and reads from the end of the log.
    SnapshotWithoutOffset,
    /// An order that was not answered counts as not sent.
    TimeoutIsUnsent,
    /// The hold of a grant counts from the decision, not from the latest possible arrival.
    HoldFromDecision,
    /// Orders may open a new connection under a token that an earlier incarnation may have used.
    OldTokenReconnects,
    /// A restarted process assumes that no orders of its predecessor are outstanding.
    EarlierOrdersIgnored,
    /// A grant may outlast the owner's lease.
    GrantPastLease,
    /// An order may be written, and arrive, after its deadline.
    WriteAfterDeadline,
    /// A member goes on with a state whose last records the log has lost.
    LostStateContinued,
    /// Members begin to serve before a generation of the log has settled.
    ServeUnsettled,
    /// A member that has heard of a generation begins to serve before it has read how that begins.
    ServeUnread,
    /// Votes do not name the generation of the log that their lessors have heard of.
    VoteWithoutGeneration,
    /// Tokens after the beginning of a generation derive from earlier offsets alone.
    TokenWithoutFloor,
    /// A record of an earlier generation has effect.
    LateRecordApplies,
}
