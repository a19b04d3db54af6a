//! Daemon of acaciaring as a library, so that its parts can be tested alone.

mod admin;
pub mod announce;
mod appender;
pub mod backoff;
pub mod cli;
pub mod clock;
pub mod config;
mod control;
mod daemon;
pub mod declared;
pub mod entry;
mod gate;
mod gauges;
mod handler;
mod header;
pub mod heartbeat;
mod inflight;
mod outbox;
pub mod peer;
pub mod platform;
mod pulse;
mod ration;
mod reader;
mod recent;
mod router;
mod status;
pub mod trace;
pub mod upstream;
mod view;
mod vital;
pub mod web;
mod wire;

pub use crate::daemon::{Daemon, Doors, EdgeError, Edges, Front, Inside, StartError};
pub use crate::header::Headers;
pub mod logging;
pub mod metrics;
