//! Members as recorded in the log.

use acaciaring_schema::log;

use crate::id::{MemberId, Name, Offset};

/// Phase of a member's life; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Takes part in everything.
    Alive,
    /// Gets no new work and gives away what it has.
    Leaving,
    /// Evicted, or gone by its own word.
    Dead,
}

/// Workspace that a member's upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Attachment {
    /// Name of the workspace.
    pub workspace: Name,
    /// Address of the upstream, for the eyes of operators.
    pub upstream: Name,
    /// True when the upstream checks fences.
    pub fenced: bool,
    /// Identity of this start of the upstream, empty where it names none.
    pub instance: Name,
}

/// One process, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Identity, the offset of the `Join` record.
    pub id: MemberId,
    /// Name of the VM.
    pub vm: Name,
    /// Random number of the process start.
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
    /// SHA-256 of the certificate that the process made for itself, empty with an authority.
    pub fingerprint: Vec<u8>,
    /// What the member's upstream serves.
    pub attachment: Option<Attachment>,
    /// Offset of the record that set the lessors.
    pub version: Offset,
    /// Lessors, sorted.
    pub lessors: Vec<MemberId>,
    /// Phase.
    pub phase: Phase,
}

impl Attachment {
    /// Reads an attachment as recorded.
    pub(super) fn read(attach: &log::Attach) -> Self {
        Self {
            workspace: attach.workspace.as_str().into(),
            upstream: attach.upstream.as_str().into(),
            fenced: attach.fenced,
            instance: attach.instance.as_str().into(),
        }
    }
}

impl Member {
    /// Returns a member as it is when its start is recorded, without lessors.
    pub(super) fn started(offset: Offset, join: &log::Join) -> Self {
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

    /// Returns true when the member may get new work.
    #[must_use]
    pub fn alive(&self) -> bool {
        self.phase == Phase::Alive
    }
}

/// Returns how many of `count` lessors make a majority.
#[must_use]
pub const fn majority(count: usize) -> usize {
    count / 2 + 1
}
