//! Daemon of acaciaring as a library, so that tests and other binaries can use its modules.

mod admin;
pub mod announce;
mod appender;
pub mod backoff;
mod body_memory;
pub mod cli;
pub mod clock;
pub mod config;
mod control;
mod critical_thread;
mod daemon;
pub mod declared;
pub mod egress;
pub mod entry;
mod fingerprint;
mod gate;
mod gauges;
mod handler;
mod header;
pub mod heartbeat;
mod inflight;
mod lag_monitor;
mod log_limiter;
mod outbox;
pub mod peer;
pub mod platform;
mod poll_wait;
mod quarantine;
mod read_scheduler;
mod reader;
mod recent_records;
mod router;
mod status;
pub mod trace;
pub mod upstream;
mod view;
pub mod web;
mod wire;

pub use crate::daemon::{
    AdapterError, Adapters, Daemon, Frontend, ListenerContext, Listeners, StartError,
};
pub use crate::header::Headers;
pub use crate::poll_wait::PollWait;
pub mod logging;
pub mod metrics;
