//! Outcomes of folding one record.

use snafu::Snafu;

use crate::id::{Generation, MemberId, Name, Offset, Slot};
use crate::route::Fault;

/// Effect of one record on the state, the same at every member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record took effect.
    Applied,
    /// A record with this id was folded before.
    Duplicate,
    /// The bytes are not a known record.
    Undecodable,
    /// The record fails validation against the state and has no effect.
    Rejected(Rejection),
    /// The offset is not the next one; the state is unchanged.
    Gap {
        /// Offset of the next record to fold.
        expected: Offset,
    },
}

impl Outcome {
    /// Returns true if the record took effect.
    #[must_use]
    pub const fn applied(&self) -> bool {
        matches!(self, Self::Applied)
    }
}

/// Reason why a valid record has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The record's base version is outdated.
    #[snafu(display("conflict: version {current} is in force"))]
    Conflict {
        /// Current version, 0 when there is none.
        current: Offset,
    },
    /// The documents do not yield valid routes.
    #[snafu(display("invalid: {}", list(faults)))]
    Invalid {
        /// Validation errors, at least one.
        faults: Vec<Fault>,
    },
    /// The template is used by a workspace.
    #[snafu(display("the template is in use by workspace {workspace}"))]
    InUse {
        /// First workspace that uses it.
        workspace: Name,
    },
    /// The document to retire does not exist or is already retired.
    #[snafu(display("there is no such document in force"))]
    UnknownDocument,
    /// The member never joined, or died and is no longer retained.
    #[snafu(display("member {member} is not known"))]
    UnknownMember {
        /// Member that the record names.
        member: Offset,
    },
    /// The member is dead, or leaving where it must be alive.
    #[snafu(display("member {member} is dead or leaving"))]
    Gone {
        /// Member that the record names.
        member: MemberId,
    },
    /// The workspace has no active service that is partitioned by key.
    #[snafu(display("workspace {workspace} has no service that is divided by key"))]
    UnknownService {
        /// Workspace that the record names.
        workspace: Name,
    },
    /// The record names no unit, a unit twice, or a unit that does not exist.
    #[snafu(display("a unit of slot {slot} is missing, unknown or named twice"))]
    UnknownUnit {
        /// Slot of the unit, 0 when the record names none.
        slot: Slot,
    },
    /// The assignment has changed since the proposer read it.
    #[snafu(display("a unit of slot {slot} is at version {current}"))]
    Stale {
        /// Slot of the unit.
        slot: Slot,
        /// Current version of the assignment.
        current: Offset,
    },
    /// The proposer does not own the unit.
    #[snafu(display("the proposer does not own a unit of slot {slot}"))]
    NotOwner {
        /// Slot of the unit.
        slot: Slot,
    },
    /// The proposer of a handoff is not the unit's standby, or a switchover finds no alive standby.
    #[snafu(display("a unit of slot {slot} lacks the standby that the record needs"))]
    NotStandby {
        /// Slot of the unit.
        slot: Slot,
    },
    /// The target of a handoff is not eligible as the unit's standby.
    #[snafu(display("member {target} cannot stand by for a unit of slot {slot}"))]
    Target {
        /// Slot of the unit.
        slot: Slot,
        /// Member that the record names.
        target: Offset,
    },
    /// The split would exceed the maximum number of hot keys.
    #[snafu(display("the service may have {limit} hot keys"))]
    HotKeys {
        /// Maximum number of hot keys of one service.
        limit: usize,
    },
    /// The hot key's assignment is incompatible with that of its slot, so they cannot be merged.
    #[snafu(display("a hot key of slot {slot} differs from its slot"))]
    Differs {
        /// Slot of the hot key.
        slot: Slot,
    },
    /// The member is attached to another workspace or to none, or the record names none.
    #[snafu(display("the member is not attached as the record says"))]
    Attachment,
    /// The upstream has left and is not attached again.
    #[snafu(display("upstream {instance:?} has left"))]
    Departed {
        /// Instance that the record names.
        instance: Name,
    },
    /// The member still owns units.
    #[snafu(display("the member owns {count} units"))]
    Owns {
        /// Number of units.
        count: usize,
    },
    /// The lessor set is empty, too large, or names an ineligible member.
    #[snafu(display("the lessors are not one to three other members that are alive"))]
    Lessors,
    /// The votes are not a majority of the lessor set, or one of them is invalid.
    #[snafu(display("the votes are not a majority of the lessors"))]
    Votes,
    /// All units already have an owner.
    #[snafu(display("every unit has an owner"))]
    Assigned,
    /// The proposer's state was of another generation of the log.
    #[snafu(display("the record is of generation {generation} of the log"))]
    Generation {
        /// Generation that the record names.
        generation: Generation,
    },
    /// The generation of the log has settled already.
    #[snafu(display("the generation of the log has settled already"))]
    Settled,
    /// No member is eligible to own units of the workspace.
    #[snafu(display("no member may own units of the workspace"))]
    NoCandidate,
}

fn list(faults: &[Fault]) -> String {
    let text = |fault: &Fault| {
        let Fault { document, line, section, key, message } = fault;
        format!("{document}:{line}: {section}.{key}: {message}")
    };
    faults.iter().map(text).collect::<Vec<_>>().join("; ")
}
