//! Messages of a member's admin API, JSON over HTTP, as used by the command-line tool.

use serde::{Deserialize, Serialize};

use crate::id::{MemberId, Name, Offset};
use crate::route::{DocumentField, DocumentKind, Fault};

/// `POST`: publishes, replaces or retires a document.
///
/// Answers 200 [`Published`], 409 [`Conflict`], 422 [`Invalid`], else [`Failure`]; 503 means that
/// no record was appended, 504 that it is unknown whether one was.
pub const PUBLISH: &str = "/v1/publish";

/// `GET` with the query `offset`: members that have folded that offset; answers [`InForce`].
pub const IN_FORCE: &str = "/v1/in-force";

/// `GET`: documents in force; answers [`Documents`].
pub const DOCUMENTS: &str = "/v1/documents";

/// `GET`: members; answers [`Members`].
pub const MEMBERS: &str = "/v1/members";

/// `GET` with the queries `workspace` and `key`: owner of a key.
///
/// Answers [`Owner`] or 404 [`Failure`].
pub const OWNER: &str = "/v1/owner";

/// `GET`: load of the members, as known to the queried one; answers [`Loads`].
pub const LOAD: &str = "/v1/load";

/// Request to publish or retire a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Random id of the record, 32 hex digits; makes retries of the request idempotent.
    pub id: String,
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Name of the document.
    pub name: Name,
    /// Version that the change is based on, 0 for a new document.
    pub base: Offset,
    /// True to retire the document.
    #[serde(default)]
    pub retired: bool,
    /// Fields of the document, none when retired.
    #[serde(default)]
    pub fields: Vec<DocumentField>,
}

/// Response to a change that has taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Offset of the record: the document's new version.
    pub offset: Offset,
    /// Outcome of the record.
    pub outcome: PublishOutcome,
}

/// Outcome of a record that has taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishOutcome {
    /// The record is in force at the answering member.
    Applied,
}

/// Response to a change that is based on an outdated version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Current version, 0 when there is none.
    pub current: Offset,
}

/// Response to a change that would make a route invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invalid {
    /// All faults, at least one.
    pub faults: Vec<Fault>,
}

/// Response to a request that failed for any other reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Description of the failure.
    pub message: String,
}

/// Progress of the members in folding a log offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Members that answered, with their progress.
    pub applied: Vec<Applied>,
    /// Names of the VMs whose members have not folded the offset or could not be queried.
    pub pending: Vec<Name>,
}

/// Progress of one member in folding the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Member.
    pub member: MemberId,
    /// Name of its VM.
    pub vm: Name,
    /// Highest offset that the member has folded.
    pub applied: Offset,
}

/// Documents in force, including tombstones of retired ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Documents {
    /// Highest offset that the member has folded.
    pub applied: Offset,
    /// Documents by kind and name.
    pub documents: Vec<PublishedDocument>,
}

/// One document in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedDocument {
    /// Kind.
    pub kind: DocumentKind,
    /// Name.
    pub name: Name,
    /// Offset of the record that last changed it.
    pub version: Offset,
    /// True when it is retired.
    pub retired: bool,
    /// Fields of the document, none when retired.
    pub fields: Vec<DocumentField>,
}

/// All members in the folded state; dead ones stay for some time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members in order of joining.
    pub members: Vec<MemberEntry>,
}

/// One member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Identity.
    pub member: MemberId,
    /// Name of the VM.
    pub vm: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Region.
    pub region: Name,
    /// Phase: `alive`, `leaving` or `dead`.
    pub phase: Name,
    /// Address for callers.
    pub http: Name,
    /// Workspace that its upstream serves, if it has one.
    pub workspace: Option<Name>,
    /// Lessors.
    pub lessors: Vec<MemberId>,
    /// Number of units that it owns.
    pub owned: u64,
    /// Number of units for which it is the standby.
    pub standing_by: u64,
}

/// A member by its identity and its VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberName {
    /// Identity.
    pub member: MemberId,
    /// Name of the VM.
    pub vm: Name,
}

/// Owner of a key, and which member serves it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Workspace.
    pub workspace: Name,
    /// Slot of the key.
    pub slot: u32,
    /// True when the key is a hot key, which is a unit of its own.
    pub hot: bool,
    /// Member that owns the key according to the log.
    pub owner: Option<MemberName>,
    /// Member that takes over when the owner fails.
    pub standby: Option<MemberName>,
    /// Former owner whose release the owner may have to await.
    pub prior: Option<MemberName>,
    /// Offset of the record that last changed the assignment.
    pub version: Offset,
    /// Offset of the record that last changed the owner.
    pub token: Offset,
    /// Member that serves the key now, as far as the queried member knows.
    pub serves: Option<MemberName>,
    /// Why that member serves the key, or why none does.
    pub reason: OwnerReason,
}

/// Reason why a member serves a key, or why none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OwnerReason {
    /// The owner serves the key, by the record at `token`.
    Assigned,
    /// The owner waits for the former owner to release the key or for its lease to expire.
    AwaitsRelease,
    /// The standby serves, as the owner has released the key or its lease has expired.
    TakenOver,
    /// The key has no owner.
    Unassigned,
}

/// Load of members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// One entry per member whose load is known.
    pub members: Vec<LoadEntry>,
}

/// Load of one member's upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Member.
    pub member: MemberId,
    /// Name of its VM.
    pub vm: Name,
    /// Workspace that its upstream serves, if it has one.
    pub workspace: Option<Name>,
    /// Smoothed request rate, in thousandths of a request per second.
    pub rate: u64,
    /// Requests in flight and queued.
    pub busy: u32,
    /// Number of requests that the upstream runs concurrently.
    pub capacity: u32,
    /// Age of the report in milliseconds.
    pub age: u64,
}
