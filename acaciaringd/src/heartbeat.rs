//! Heartbeats of an upstream, which report the keys that it holds, and the grants in their replies.

use std::time::Duration;

use acaciaring_core::Name;
use acaciaring_core::holds::{Freed, Granted, Held, Room};
use crossbeam_channel::Sender;
use tokio::sync::oneshot;

use crate::announce::Announcement;
use crate::clock;
use crate::control::Event;

/// Heartbeat of the upstream.
#[derive(Debug, Clone)]
pub struct Heartbeat {
    /// Announcement of the upstream; `instance` is set.
    pub announcement: Announcement,
    /// Sequence number, which increases with each heartbeat of an instance.
    pub sequence: u64,
    /// Ranges that it holds, or for which it still runs requests.
    pub held: Vec<Held>,
    /// Ranges that it has released since its last answered heartbeat.
    pub freed: Vec<Freed>,
    /// Room for ranges in the reply.
    pub room: Room,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatReply {
    /// All ranges granted to the upstream, and the duration of the grants from the time when the
    /// heartbeat was sent; `None` renews nothing.
    pub grants: Option<(Vec<Granted>, Duration)>,
}

/// Handle that passes heartbeats of the upstream to the control thread.
#[derive(Debug, Clone)]
pub struct Heartbeats {
    events: Sender<Event>,
}

impl Heartbeats {
    pub(crate) const fn new(events: Sender<Event>) -> Self {
        Self { events }
    }

    /// Handles a heartbeat; `None` if the reply was dropped or the process is about to exit.
    ///
    /// That the upstream leaves is acknowledged only once it is recorded.
    pub async fn report(&self, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        let (sender, reply) = oneshot::channel();
        self.events.send(Event::Heartbeat(heartbeat, sender)).ok()?;
        reply.await.ok()
    }

    /// Handles the notice that an instance is leaving.
    ///
    /// Returns `None` if this could not be recorded in time, or if the process is about to exit: a
    /// process that is started again might not know of it, so it must not be acknowledged.
    pub async fn leaves(&self, instance: Name) -> Option<()> {
        let (sender, reply) = oneshot::channel();
        self.events.send(Event::UpstreamLeaves(instance, clock::now(), sender)).ok()?;
        reply.await.ok()
    }
}
