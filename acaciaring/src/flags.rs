//! Command-line syntax and parsing of its arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use acaciaring_core::route::DocumentKind;
use acaciaring_core::{Offset, QuantityError, parse_duration};
use snafu::Snafu;

xflags::xflags! {
    /// Checks, publishes and retires templates and parameters, and shows what is in force.
    ///
    /// Exit codes: 0 done, 1 other failure, 2 usage, 3 invalid file, 4 conflict, 5 not in force
    /// in time, 6 member unreachable.
    cmd acaciaring {
        /// Admin address of a member, IP:PORT; the next is asked when one does not answer.
        repeated -m, --member address: SocketAddr
        /// Form of the output: table (default) or json.
        optional --format format: Format
        /// Time for the whole command, for example 10s (default).
        optional --timeout time: Timeout
        /// Print the version and exit.
        optional --version

        /// Check files without a member; fill each template with the parameters beside it.
        cmd check {
            /// Files with templates or parameters.
            repeated files: PathBuf
        }
        /// Publish files and wait until they are in force everywhere.
        cmd publish {
            /// Version that the change is based on, for one file only; default: the one in force.
            optional --base version: Offset
            /// Files with templates or parameters.
            repeated files: PathBuf
        }
        /// Retire a document and wait until this is in force everywhere.
        cmd retire {
            /// Version that the change is based on; default: the one in force.
            optional --base version: Offset
            /// Kind of the document: template or parameters.
            required kind: Kind
            /// Name of the document.
            required name: String
        }
        /// Show which documents are in force, and at which members.
        cmd in-force {
            /// Wait until they are in force everywhere, and show for how long.
            optional --wait
            /// Name of the documents to show, with their values.
            optional name: String
        }
        /// Show who owns a key, and why.
        cmd owner {
            /// Name of the workspace.
            required workspace: String
            /// Key, as in a request after decoding.
            required key: String
        }
        /// Show the members.
        cmd members {}
        /// Show the load of the members.
        cmd load {}
        /// Print the version.
        cmd version {}
        default cmd missing {}
    }
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Format {
    /// Text in aligned columns.
    #[default]
    Table,
    /// JSON on one line.
    Json,
}

/// Argument that is none of the accepted words.
#[derive(Debug, Snafu)]
#[snafu(display("expected {expected}"))]
pub(crate) struct ArgumentError {
    expected: &'static str,
}

impl FromStr for Format {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Self, ArgumentError> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => ArgumentSnafu { expected: "table or json" }.fail(),
        }
    }
}

/// Timeout of a whole command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Timeout(pub(crate) Duration);

impl Default for Timeout {
    fn default() -> Self {
        Self(Duration::from_secs(10))
    }
}

impl FromStr for Timeout {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        parse_duration(text).map(Self)
    }
}

/// Document kind given on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Kind(pub(crate) DocumentKind);

impl FromStr for Kind {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Self, ArgumentError> {
        let kind = DocumentKind::from_text(text).map(Self);
        kind.ok_or(ArgumentError { expected: "template or parameters" })
    }
}
