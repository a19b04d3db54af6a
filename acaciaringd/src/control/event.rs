//! Events that the control thread handles.

use std::net::SocketAddr;
use std::sync::Arc;

use acaciaring_core::orders::Answer;
use acaciaring_core::state::{Outcome, RecordId};
use acaciaring_core::{Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Batch, Publish, Vote};
use acaciaring_schema::peer::{Datagram, Release};
use crossbeam_channel::Sender;

use tokio::sync::oneshot;

use crate::announce::Announcement;
use crate::declared::Declared;
use crate::heartbeat::{Heartbeat, HeartbeatReply};

/// Event for the control thread.
pub(crate) enum Event {
    /// Records of the log; the sender is answered when they are folded.
    Batch(Batch, Sender<()>),
    /// Records of the log from another member.
    Relayed(Batch),
    /// Datagram of another member.
    Datagram(SocketAddr, Datagram),
    /// Vote of a lessor about a member.
    Vote(Vote),
    /// Another member has released units to this one.
    Released(Release),
    /// A member has acknowledged a release of this one.
    ReleaseDone { workspace: Name, units: Vec<(UnitId, Offset)> },
    /// A standby has acknowledged what the owner remembers of units.
    SyncDone { workspace: Name, units: Vec<UnitId>, standby: u64 },
    /// The upstream beside this member has announced itself.
    Announced(Announcement),
    /// An operator publishes a document.
    Publish(RecordId, Publish, Sender<PublishReply>),
    /// The upstream reports what it holds.
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// The upstream has refused a request for a unit that it was given.
    UnitDenied(Name, UnitId),
    /// What came of an order to the upstream.
    OrderAnswered(u64, Answer),
    /// The upstream is leaving and reports no more; it is told once nothing new is given to it.
    UpstreamLeaves(Name, oneshot::Sender<()>),
    /// A member has said in passing that it has this version of the declared configuration.
    DeclaredVersion(SocketAddr, u64),
    /// A newer configuration is declared.
    Declared(Arc<Declared>),
    /// The process was told to stop, and when.
    Stop(Time),
    /// A process that stops has no request of a caller any more, and takes none.
    CallersGone,
}

/// What became of a published document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PublishReply {
    /// The record was folded.
    Folded {
        /// Offset of the record.
        offset: Offset,
        /// How the fold dealt with it.
        outcome: Outcome,
    },
    /// The record was not appended and never will be.
    NotAppended,
    /// The record was folded before this process knew of it.
    Before,
}
