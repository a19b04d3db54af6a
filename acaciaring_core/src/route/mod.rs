//! Routes, built from templates and the parameters of workspaces.

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

/// Partitioning of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Division {
    /// Partitioned by key: keys are mapped to slots, each of which has one owner.
    Keyed {
        /// Number of slots.
        slots: u32,
        /// Location of the key in a request.
        key: KeySource,
    },
    /// Not partitioned: any member whose upstream serves the workspace may handle a request.
    Pooled,
}

/// Location of the key in a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeySource {
    /// Path segment after the route's prefix, counted from 0.
    Segment(usize),
    /// Header with this lower-case name.
    Header(Name),
    /// Query parameter with this name.
    Query(Name),
    /// Header with this lower-case name whose value is a numeric key.
    ///
    /// Such a key is below [`NUMERIC_KEYS`](crate::state::NUMERIC_KEYS) and is not hashed.
    Number(Name),
}

/// Priority of a class of requests, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Blocks other work until it is answered, for example an internal limit check.
    Critical,
    /// A user is waiting for the answer.
    Interactive,
    /// Arrives in bulk; must not be dropped or starved.
    Bulk,
    /// Can be delayed.
    Background,
}

/// Execution semantics of a class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// May be retried when its outcome is unknown.
    Idempotent,
    /// Is executed at most once.
    Once,
}

/// Class of requests with the same priority, execution semantics and limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Class {
    /// Name of the class in the template.
    pub name: Name,
    /// HTTP method that selects the class, any if absent.
    pub method: Option<Name>,
    /// Path prefix, after the route's prefix, that selects the class, any if empty.
    ///
    /// It has no trailing slash.
    pub path: Name,
    /// Priority in the queue of the upstream.
    pub rank: Rank,
    /// Execution semantics.
    pub repeat: Repeat,
    /// Time limit for the complete answer if the caller sets none.
    pub deadline: Duration,
    /// Latency after which an answer is of less use to the caller; the deadline if absent.
    pub latency_target: Option<Duration>,
    /// Maximum number of upstreams to which a request is sent, 0 for the value of the settings.
    pub max_tries: u32,
    /// True if request ids are never reused, so that no deduplication entry is needed.
    pub single_use: bool,
    /// True if answers are so large that the link of a VM bounds how many are sent per second.
    pub large_answer: bool,
}

/// Weights of the costs of moving units, for the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Weights {
    /// Weight of a change of owner, in thousandths.
    pub churn: u32,
    /// Weight of the time during which a unit is unavailable, in thousandths.
    pub downtime: u32,
}

/// Route of a workspace: its template with the parameters substituted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Route {
    /// Name of the workspace and of its parameters document.
    pub workspace: Name,
    /// Tenant.
    pub tenant: Name,
    /// Host name that selects the route, any if absent.
    pub host: Option<Name>,
    /// Path prefix that selects the route, without trailing slash; any if empty.
    pub prefix: Name,
    /// Partitioning of the service.
    pub division: Division,
    /// Classes; the first match applies, and the last one matches all requests.
    pub classes: Vec<Class>,
    /// Weights for the balancer.
    pub weights: Weights,
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// Weights and target routes of a traffic split, empty if the route serves all requests itself.
    pub weighted_routes: Vec<(u32, Arc<Route>)>,
}

impl Class {
    /// Returns true if the class matches every request of its route.
    #[must_use]
    pub fn matches_all(&self) -> bool {
        self.method.is_none() && self.path.is_empty()
    }
}
