//! Errors of the commands and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use acaciaring_core::route::{DocumentKind, Fault};
use acaciaring_core::{Name, Offset};
use snafu::Snafu;

/// Error that ends a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ToolError {
    #[snafu(display("{message}; see --help"))]
    Usage { message: &'static str },
    #[snafu(display("cannot read {}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{} faults\n{}", faults.len(), join_faults(faults)))]
    Invalid { faults: Vec<Fault> },
    #[snafu(display(
        "conflict: {kind} {name} builds on version {base}, but version {current} is in force"
    ))]
    Conflict { kind: DocumentKind, name: Name, base: Offset, current: Offset },
    #[snafu(display("pending: version {offset} is not yet in force at {}", vms.join(", ")))]
    Pending { offset: Offset, vms: Vec<Name> },
    #[snafu(display(
        "timed out without a final answer: {kind} {name} may have been published ({last})"
    ))]
    Unconfirmed { kind: DocumentKind, name: Name, last: String },
    #[snafu(display("timed out, and nothing was published: {kind} {name} ({last})"))]
    NotAppended { kind: DocumentKind, name: Name, last: String },
    #[snafu(display("no member can be reached ({})", join_members(members)))]
    Unreachable { members: Vec<(SocketAddr, String)> },
    #[snafu(display("the member refused ({status}): {message}"))]
    Refused { status: u16, message: String },
    #[snafu(display("cannot parse the member's answer"))]
    Malformed { source: serde_json::Error },
    #[snafu(display("there is no document {name} in force"))]
    UnknownDocument { name: String },
}

impl ToolError {
    /// Returns the exit code that docs/CLI.md documents for this error.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Malformed { .. } | Self::UnknownDocument { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Read { .. } | Self::Invalid { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Pending { .. } | Self::Unconfirmed { .. } | Self::NotAppended { .. } => 5,
            Self::Unreachable { .. } => 6,
        }
    }
}

fn join_faults(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

fn join_members(members: &[(SocketAddr, String)]) -> String {
    let members: Vec<_> =
        members.iter().map(|(address, why)| format!("{address}: {why}")).collect();
    members.join("; ")
}
