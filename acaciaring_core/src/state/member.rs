//! Cluster members as recorded in the log.

use acaciaring_schema::log;

use crate::holds::Incarnation;
use crate::id::{MemberId, Name, Offset};

/// Lifecycle phase of a member; it only advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Eligible for all roles.
    Alive,
    /// Gets no new roles and hands over those it has.
    Leaving,
    /// Evicted, replaced by a later process, or exited.
    Dead,
}

/// Workspace that a member's upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attachment {
    /// Name of the workspace.
    pub workspace: Name,
    /// Address of the upstream.
    pub upstream: Name,
    /// True if the upstream checks fencing tokens.
    pub fenced: bool,
    /// Instance id of the upstream process, empty when it reports none.
    pub instance: Name,
    /// Number that grows with each start of the instance, 0 when it reports none.
    pub born: u64,
}

/// Cluster member: one run of a router process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Id: the offset of the `Join` record.
    pub id: MemberId,
    /// Name of the VM.
    pub vm: Name,
    /// Random number drawn at the start of the process.
    pub nonce: u64,
    /// Data centre.
    pub data_centre: Name,
    /// Region.
    pub region: Name,
    /// Rack or switch, empty when unknown.
    pub rack: Name,
    /// Address for other members.
    pub peer: Name,
    /// Address for callers.
    pub http: Name,
    /// SHA-256 of the self-signed certificate, empty when a certificate authority is used.
    pub fingerprint: Vec<u8>,
    /// Workspace and upstream that the member is attached to.
    pub attachment: Option<Attachment>,
    /// Version of the lessor set: the offset of the record that set it.
    pub version: Offset,
    /// Lessors, sorted.
    pub lessors: Vec<MemberId>,
    /// Lifecycle phase.
    pub phase: Phase,
}

impl Attachment {
    /// Converts an `Attach` record.
    pub(super) fn from_record(attach: &log::Attach) -> Self {
        Self {
            workspace: attach.workspace.as_str().into(),
            upstream: attach.upstream.as_str().into(),
            fenced: attach.fenced,
            instance: attach.instance.as_str().into(),
            born: attach.born,
        }
    }
}

impl Attachment {
    /// Returns the incarnation of the upstream that was attached.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { instance: Name::clone(&self.instance), generation: self.born }
    }
}

impl Member {
    /// Returns the member that a `Join` record at `offset` creates, without lessors.
    pub(super) fn from_join(offset: Offset, join: &log::Join) -> Self {
        Self {
            id: MemberId(offset),
            vm: join.vm.as_str().into(),
            nonce: join.nonce,
            data_centre: join.data_centre.as_str().into(),
            region: join.region.as_str().into(),
            rack: join.rack.as_str().into(),
            peer: join.peer.as_str().into(),
            http: join.http.as_str().into(),
            fingerprint: join.fingerprint.clone(),
            attachment: None,
            version: offset,
            lessors: Vec::new(),
            phase: Phase::Alive,
        }
    }

    /// Returns true if the member may get new roles.
    #[must_use]
    pub fn alive(&self) -> bool {
        self.phase == Phase::Alive
    }
}

/// Returns the size of a majority of `count` lessors.
#[must_use]
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}
