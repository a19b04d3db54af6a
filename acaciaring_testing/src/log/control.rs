//! Settings, commands and counters of the log service.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::link::LOOPBACK;

/// Settings of the log service.
#[derive(Debug, Clone, Copy)]
pub struct LogOptions {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Maximum number of retained records.
    pub retention: usize,
    /// Retention time of a record.
    pub age: Duration,
    /// Maximum rate of appends per second.
    pub rate: u32,
    /// Maximum number of open connections.
    pub connections: usize,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            retention: 100_000,
            age: Duration::from_hours(24),
            rate: 300,
            connections: 4096,
        }
    }
}

/// Commands to the log service; absent fields leave the setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogControl {
    /// Answers every request with status 503.
    pub outage: Option<bool>,
    /// Leaves requests unanswered; their connections are closed when this is set to false.
    pub hang: Option<bool>,
    /// Delay of each request before it is processed, in milliseconds.
    pub delay: Option<u64>,
    /// Number of subsequent appends that are stored but get no response.
    pub lose: Option<u32>,
    /// Maximum number of retained records.
    pub retention: Option<usize>,
    /// Retention time of a record, in milliseconds.
    pub age: Option<u64>,
    /// Maximum rate of appends per second.
    pub rate: Option<u32>,
    /// Number of undecodable records to append immediately.
    pub corrupt: Option<u32>,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LogCounts {
    /// Records stored.
    pub appends: u64,
    /// Appends refused by the rate limit.
    pub limited: u64,
    /// Records stored whose response was dropped.
    pub lost: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of stored records.
    pub received: u64,
    /// Bytes of batches sent.
    pub sent: u64,
    /// Requests refused during an outage.
    pub refused: u64,
    /// Offset of the oldest retained record.
    pub oldest: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
}
