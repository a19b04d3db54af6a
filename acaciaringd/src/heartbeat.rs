//! What an upstream that holds units by grant reports, and what it is told to hold.

use std::time::Duration;

use acaciaring_core::Name;
use acaciaring_core::holds::{Freed, Granted, Held};
use crossbeam_channel::Sender;
use tokio::sync::oneshot;

use crate::announce::Announcement;
use crate::control::Event;

/// Report of the upstream.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// What the upstream says of itself; `instance` is set.
    pub announcement: Announcement,
    /// Number of the report, higher than that of all earlier ones of the same instance.
    pub sequence: u64,
    /// What it holds or still works on.
    pub held: Vec<Held>,
    /// What it has released since its last report that was answered.
    pub freed: Vec<Freed>,
    /// Most ranges that the reply has room for.
    pub max_ranges: usize,
}

/// What the upstream is to hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// All that it is to hold, and for how long, counted from the sending of the report;
    /// `None` renews nothing.
    pub grants: Option<(Vec<Granted>, Duration)>,
}

/// Takes the upstream's reports to the control thread.
#[derive(Debug, Clone)]
pub struct Heartbeats {
    events: Sender<Event>,
}

impl Heartbeats {
    pub(crate) const fn new(events: Sender<Event>) -> Self {
        Self { events }
    }

    /// Takes in a report; `None` when the process is about to exit.
    pub async fn report(&self, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        let (sender, reply) = oneshot::channel();
        self.events.send(Event::Heartbeat(heartbeat, sender)).ok()?;
        reply.await.ok()
    }

    /// Notes that an upstream is leaving and reports no more; `None` when the process is about to exit.
    pub async fn leaves(&self, instance: Name) -> Option<()> {
        let (sender, reply) = oneshot::channel();
        self.events.send(Event::UpstreamLeaves(instance, sender)).ok()?;
        reply.await.ok()
    }
}
