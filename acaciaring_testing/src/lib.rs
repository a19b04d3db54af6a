//! Stand-ins for the systems around acaciaring, helpers for tests that start processes, and a load
//! generator.
//!
//! Each stand-in runs in the process of a test or as a separate process (`acaciaring-standin`).

mod cluster;
pub mod demo;
mod endless;
mod error;
pub mod experiment;
pub mod harness;
mod http;
mod link;
mod load;
mod log;
mod network;
mod proxy;
mod udp;
mod upstream;

pub use crate::cluster::{
    Ask, Cluster, ClusterOptions, Reply, Vm, VmOptions, ask, ask_until_answered,
};
pub use crate::endless::{Endless, EndlessServer};
pub use crate::error::{Error, Result};
pub use crate::link::{Direction, Faults};
pub use crate::load::{
    ClassFigures, LoadClass, LoadFigures, LoadOptions, Overlap, Report, SentRequest, Verdict,
    check_records, check_tokens, read_records, run_load,
};
pub use crate::log::{LogControl, LogCounts, LogHandle, LogOptions, LogServer};
pub use crate::network::Network;
pub use crate::proxy::{
    DatagramCounts, ProxyControl, ProxyHandle, ProxyOptions, ProxyServer, Transport,
};
pub use crate::upstream::{
    Announced, Echo, Health, Run, UpstreamControl, UpstreamCounts, UpstreamHandle, UpstreamOptions,
    UpstreamServer, body_hash,
};
