//! Settings, commands and counters of an upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::link::LOOPBACK;

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Name of the upstream in records and responses.
    pub name: String,
    /// Workspace that announcements name.
    pub workspace: String,
    /// Checks fencing tokens and refuses requests without one.
    pub fenced: bool,
    /// Checks the fencing token again after a run and reverts the run if it is no longer valid.
    pub recheck: bool,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of queued requests; further ones are shed.
    pub queue: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time that the acceptor waits after each new connection.
    pub connect: Duration,
    /// Service time of a request.
    pub service: Duration,
    /// Length of the cold start; the service time falls linearly from four times its value.
    pub cold: Duration,
    /// Address of the member that receives announcements.
    pub announce: Option<SocketAddr>,
    /// File to which the start and end of each run are appended as lines of JSON.
    pub record: Option<PathBuf>,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            name: "upstream".into(),
            workspace: "workspace".into(),
            fenced: true,
            recheck: false,
            slots: 20,
            queue: 20,
            connections: 100,
            connect: Duration::from_millis(1),
            service: Duration::from_millis(1),
            cold: Duration::ZERO,
            announce: None,
            record: None,
        }
    }
}

/// Commands to an upstream; absent fields leave the setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamControl {
    /// Address of the member that receives announcements.
    pub announce: Option<SocketAddr>,
    /// Stops announcements.
    pub quiet: Option<bool>,
    /// Announces the phase `draining`.
    pub draining: Option<bool>,
    /// Service time of a request, in milliseconds.
    pub service: Option<f64>,
    /// Service times in milliseconds by path substring; replaces the whole map.
    pub costs: Option<BTreeMap<String, f64>>,
    /// Checks fencing tokens.
    pub fenced: Option<bool>,
    /// Checks the fencing token again after a run.
    pub recheck: Option<bool>,
    /// Suspends everything except commands.
    pub frozen: Option<bool>,
    /// Sheds every request.
    pub shed: Option<bool>,
    /// Number of subsequent requests that run and get no response.
    pub lose: Option<u32>,
    /// Number of subsequent responses whose body is truncated.
    pub cut: Option<u32>,
    /// Number of subsequent responses that are delayed.
    pub late: Option<u32>,
    /// Delay of these responses, in milliseconds.
    pub lateness: Option<u64>,
    /// Age of the sample that the health endpoint reports, in milliseconds.
    pub lag: Option<u64>,
    /// False value that the health endpoint reports.
    pub lie: Option<Health>,
    /// Makes the health endpoint report true values again.
    pub honest: Option<bool>,
}

/// Response of the health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Health {
    /// Whether the upstream reports itself as healthy.
    pub healthy: bool,
    /// Queued and running requests divided by slots.
    pub load: f64,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Requests received.
    pub arrived: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests refused because of their fencing token.
    pub fence: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests refused because their deadline had passed.
    pub expired: u64,
    /// Requests cancelled before they ran.
    pub cancelled: u64,
    /// Requests whose body was incomplete or too large.
    pub broken: u64,
    /// Responses dropped.
    pub lost: u64,
    /// Requests queued or running.
    pub busy: usize,
}

/// Lifecycle phase in announcements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Phase {
    Cold,
    Ready,
    Draining,
}

/// Reply of a member to an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Id of the member.
    pub member: u64,
    /// Whether the member holds a valid lease.
    pub leased: bool,
}

/// Body of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Header `x-acaciaring-request`.
    pub request: String,
    /// Header `x-load-tag`.
    pub tag: String,
    /// Path and query.
    pub path: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Length of the request's body in bytes.
    pub length: usize,
    /// Hash of the request's body, see [`body_hash`](crate::body_hash).
    pub hash: String,
}
