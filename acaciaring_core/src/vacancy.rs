//! When slots without owner are assigned.
//!
//! Answers the load of a start: hundreds of servers attach within seconds, and one that attaches
//! after the first assignment owns nothing until others give it units, while those are overloaded.

use std::time::Duration;

use crate::time::Time;

/// Time for which slots stay without owner before they are assigned, so that more members can join.
const ASSIGN_DELAY: Duration = Duration::from_secs(1);

/// Heartbeats of a server without a further server, after which a new service is assigned.
///
/// A server attaches with its first heartbeat after the process beside it has a lease.
const SETTLE_HEARTBEATS: u32 = 2;

/// Heartbeats for which a new service waits for further servers at most.
const MAX_SETTLE_HEARTBEATS: u32 = 5;

/// Slots of one service without owner, and the servers that may own them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vacancy {
    /// When slots were first seen without owner.
    since: Time,
    servers: usize,
    /// When the number of servers last changed.
    changed: Time,
}

impl Vacancy {
    /// Creates the state of a service whose slots have just been seen without owner.
    #[must_use]
    pub const fn new(now: Time, servers: usize) -> Self {
        Self { since: now, servers, changed: now }
    }

    /// Records the number of servers.
    pub fn observe(&mut self, now: Time, servers: usize) {
        if self.servers != servers {
            self.servers = servers;
            self.changed = now;
        }
    }

    /// Returns true when the slots are to be assigned, given the interval of servers' heartbeats.
    ///
    /// A service that has never been assigned waits until no further servers attach; slots that
    /// have lost their owner do not, as callers wait for them.
    #[must_use]
    pub fn is_due(&self, now: Time, first: bool, heartbeat: Duration) -> bool {
        let settled = now.since(self.changed) >= heartbeat * SETTLE_HEARTBEATS;
        let longest = heartbeat * MAX_SETTLE_HEARTBEATS;
        let waits = first && !settled && now.since(self.since) < longest;
        now.since(self.since) >= ASSIGN_DELAY && !waits
    }
}
