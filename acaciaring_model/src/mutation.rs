//! Guards of the protocol, each of which can be removed.

/// Guard that is removed in a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// A lessor that restarts forgets its votes and keeps its identity.
    RestartKeepsIdentity,
    /// The holder does not need a proposed set before it reads it back.
    ProposalSkipped,
    /// The holder proposes a set whose lease would end before that of the present one.
    ProposeUnready,
    /// The holder drops the old set as soon as it reads back the new one.
    OldSetDropped,
    /// Votes count whatever version they carry.
    VersionIgnored,
    /// A lessor grants again after its vote.
    GrantAfterVote,
    /// A lessor votes before its grant has run out.
    VoteEarly,
    /// The holder counts the lease from receipt of the grant.
    CountFromReceipt,
    /// The fence of a request lacks the end of the lease.
    FenceWithoutEnd,
    /// Votes about an earlier identity count about the one that follows.
    OldIdentityVotes,
    /// The recorded death of a lessor counts as its vote without a wait.
    DeathCountsAtOnce,
    /// A lessor that is dead in the log supersedes an old set.
    DeadSupersedes,
    /// The owner moves a unit to a member that is not the standby.
    MoveToNonStandby,
    /// The standby uses its role until it reads back the record that gives it away.
    RoleKept,
    /// The new owner does not wait for the former one.
    PriorIgnored,
    /// An owner that still waits for the former one passes the unit on.
    MoveBeforeServing,
    /// A member that has not read of a unit that it owns may leave.
    LeaveBeforeFold,
    /// A leaving standby renounces its role under the version that it knows only.
    RoleRegained,
    /// The owner releases a unit while its split is not settled.
    ReleaseBeforeSettled,
    /// A repeated append carries a new id.
    NewRecordId,
    /// A change counts as accepted before every member has folded it.
    AcceptedEarly,
    /// A joining member takes a state without its offset and reads on at the end of the log.
    SnapshotWithoutOffset,
    /// An order without answer counts as one that was not carried out.
    TimeoutIsUnsent,
    /// A grant's time counts from the decision, not from the latest arrival.
    HoldFromDecision,
    /// Orders go over new connections under the token that a former start may have had.
    OldTokenReconnects,
    /// A process that starts anew takes what it has not ordered for free.
    EarlierOrdersIgnored,
    /// A grant may outlast the lease.
    GrantPastLease,
}
