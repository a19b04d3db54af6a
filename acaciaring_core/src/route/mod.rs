//! Routes: templates filled with the parameters of a workspace.

mod build;
mod document;
mod fields;
mod layout;
mod lookup;
mod parse;
mod path;
mod reader;
mod value;

use std::sync::Arc;
use std::time::Duration;

pub use self::build::build;
pub use self::document::{Document, DocumentField, DocumentKind, Fault};
pub use self::fields::{IniFields, IniProblem, parse_fields};
pub use self::layout::check;
pub use self::lookup::Routes;
pub use self::parse::{parse, parse_any};
use crate::id::Name;

/// Whether a service is divided by key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Division {
    /// Each key has one owner; the service has this many slots.
    Keyed {
        /// Count of slots.
        slots: u32,
        /// Where the key stands in a request.
        key: KeySource,
    },
    /// Any member whose upstream serves the workspace may answer.
    Pooled,
}

/// Where the key stands in a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeySource {
    /// Path segment after the prefix, counted from 0.
    Segment(usize),
    /// Header, in lower case.
    Header(Name),
    /// Query parameter.
    Query(Name),
    /// Header, in lower case, whose value is the key's number below [`NUMERIC_KEYS`](crate::state::NUMERIC_KEYS).
    Number(Name),
}

/// Rank of a class of requests, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Must answer before other work proceeds, for example an internal limit check.
    Critical,
    /// A person waits.
    Interactive,
    /// Arrives in bulk, must not be lost and is never starved.
    Bulk,
    /// Can wait.
    Background,
}

/// How often a request of a class may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// May run again after an unknown verdict.
    Idempotent,
    /// Runs at most once.
    Once,
}

/// Class of requests with common limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Class {
    /// Name in the template.
    pub name: Name,
    /// Method that selects the class, any when absent.
    pub method: Option<Name>,
    /// Path prefix after the route's prefix that selects the class, any when empty; no slash at its end.
    pub path: Name,
    /// Rank in the queue beside the upstream.
    pub rank: Rank,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Time for the whole answer when the caller names none.
    pub deadline: Duration,
    /// Time within which an answer is in time; a later one is of less use. The deadline when absent.
    pub latency_target: Option<Duration>,
    /// Upstreams to which one request may be sent at most; 0 leaves it to the settings.
    pub max_tries: u32,
    /// True when a request's identity is never used again, so that nobody need remember it.
    pub single_use: bool,
}

/// A tenant's weights for moving units.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Weights {
    /// Weight of a unit that changes owner, in thousandths.
    pub churn: u32,
    /// Weight of time for which a unit cannot be served, in thousandths.
    pub downtime: u32,
}

/// Template filled with the parameters of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Route {
    /// Name of the workspace, also of the parameters document.
    pub workspace: Name,
    /// Tenant.
    pub tenant: Name,
    /// Host name that selects the route, any when absent.
    pub host: Option<Name>,
    /// Path prefix that selects the route, without a slash at its end; the empty one matches all.
    pub prefix: Name,
    /// Whether the service is divided by key.
    pub division: Division,
    /// Classes; the first that matches is taken, the last one matches all.
    pub classes: Vec<Class>,
    /// Weights for balance.
    pub weights: Weights,
    /// Largest body in bytes.
    pub max_body: u64,
    /// Where the route is shared out: each part's weight, and the route by which it is served.
    pub weighted_routes: Vec<(u32, Arc<Route>)>,
}

impl Class {
    /// Returns true when the class matches every request of its route.
    #[must_use]
    pub fn matches_all(&self) -> bool {
        self.method.is_none() && self.path.is_empty()
    }
}
