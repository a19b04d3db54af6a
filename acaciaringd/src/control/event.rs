//! Events handled by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use acaciaring_core::evacuation::Evacuations;
use acaciaring_core::orders::Answer;
use acaciaring_core::state::{Departure, Outcome, RecordId};
use acaciaring_core::{Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Batch, Publish, Vote};
use acaciaring_schema::peer::{Datagram, Feed, Release};
use crossbeam_channel::Sender;

use tokio::sync::oneshot;

use crate::announce::Announcement;
use crate::declared::{Declared, KnownVersions};
use crate::heartbeat::{Heartbeat, HeartbeatReply};
use crate::reader::Origin;

/// Event for the control thread.
pub(crate) enum Event {
    /// Records that were read; the sender is notified once they are folded.
    Batch(Batch, Origin, Sender<()>),
    /// Records of the log, fetched from another member.
    Relayed(Batch),
    /// Records of the log, passed on by another member.
    Feed(Feed),
    /// Datagram from another member.
    Datagram(SocketAddr, Datagram),
    /// Vote of a lessor about a member.
    Vote(Vote),
    /// Another member has released units to this one.
    Released(Release),
    /// A member has acknowledged a release of this one.
    ReleaseDone { workspace: Name, units: Vec<(UnitId, Offset)> },
    /// A standby has acknowledged the deduplication state of units.
    SyncDone { workspace: Name, units: Vec<UnitId>, standby: u64 },
    /// The local upstream has announced itself.
    Announced(Announcement),
    /// An operator publishes a document.
    Publish(RecordId, Publish, Sender<PublishReply>),
    /// The upstream reports the keys that it holds.
    Heartbeat(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// The upstream has refused a request for a unit that was granted to it.
    UnitDenied(Name, UnitId),
    /// Answer to the order with this number.
    OrderAnswered(u64, Answer),
    /// The upstream instance has stated at this time that it leaves; acknowledged once recorded.
    UpstreamLeaves(Name, Time, oneshot::Sender<()>),
    /// An upstream of another member leaves, and the log has not recorded it yet.
    Departed(Departure),
    /// Another member keeps a departure until the log has recorded it.
    DepartureKept(Departure),
    /// A member has these versions of the declarations.
    DeclaredVersion(SocketAddr, KnownVersions),
    /// The known evacuations of data centres have changed.
    Evacuations(Evacuations),
    /// A newer declared configuration is in force.
    Declared(Arc<Declared>),
    /// A stop of the process was requested at this time.
    Stop(Time),
    /// The stopping process has no caller requests left and accepts none.
    CallersGone,
}

/// Result of publishing a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PublishReply {
    /// The record was folded.
    Folded {
        /// Offset of the record.
        offset: Offset,
        /// Outcome of its fold.
        outcome: Outcome,
    },
    /// The record was not appended and never will be.
    NotAppended,
    /// The record was already folded; its outcome is no longer known to this process.
    Before,
}
