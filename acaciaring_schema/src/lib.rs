//! Protobuf messages and settings of acaciaring, generated from `proto` and `settings.ini`.

pub mod quantity;
pub mod setting;

/// Records of the control log, and the responses of the log service.
#[allow(clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/acaciaring.log.rs"]
pub mod log;

/// Messages between members.
#[allow(clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/acaciaring.peer.rs"]
pub mod peer;

/// Snapshots of the folded state.
#[allow(clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/acaciaring.state.rs"]
pub mod state;

/// Settings of the daemon.
#[allow(clippy::pedantic, clippy::derivable_impls)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;
