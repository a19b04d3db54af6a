//! What connects a process with the outside: log service, upstream, callers, operators.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Verdict;
use tokio::runtime::Handle;

use crate::declared::{CallerLimits, Declarations, Decoder};
use crate::entry::{EntryAnswer, EntryRequest};
use crate::heartbeat::Heartbeats;
use crate::platform::LogService;
use crate::router::Router;
use crate::upstream::UpstreamClient;

/// Any failure of an edge.
pub type EdgeError = Box<dyn Error + Send + Sync>;

/// Connections of a process with the outside.
pub trait Edges {
    /// Returns the client of the log service.
    fn log(&self, runtime: &Handle) -> Arc<dyn LogService>;

    /// Returns the client of the upstream.
    fn upstream_client(&self) -> Arc<dyn UpstreamClient>;

    /// Returns what reads declared configurations, `None` where the log holds the configuration.
    fn decoder(&self) -> Option<Box<dyn Decoder>>;

    /// Opens the listeners.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on.
    fn open(&self, inside: Inside) -> Result<Box<dyn Doors>, EdgeError>;
}

/// What the listeners serve.
pub struct Inside {
    /// Threads for traffic.
    pub runtime: Handle,
    /// Way of callers' requests.
    pub front: Front,
    /// Way of the upstream's reports.
    pub heartbeats: Heartbeats,
    /// Declared configurations.
    pub declarations: Arc<Declarations>,
    pub(crate) admin: Arc<dyn crate::announce::Admin>,
}

/// Open listeners.
pub trait Doors: Send {
    /// Returns the address for callers.
    fn callers(&self) -> SocketAddr;

    /// Returns the address for operators and the upstream.
    fn admin(&self) -> SocketAddr;

    /// Stops to accept and waits for the requests in hand, at most `bound`; returns how many are cut off.
    ///
    /// The upstream and operators are served further on.
    fn drain(&self, bound: Duration) -> usize;
}

/// Way of callers' requests through this process.
#[derive(Clone)]
pub struct Front {
    pub(crate) router: Arc<Router>,
    pub(crate) declarations: Arc<Declarations>,
}

impl Front {
    /// Answers a request; when the future is dropped, its work is cancelled.
    pub async fn handle(&self, request: EntryRequest) -> EntryAnswer {
        self.router.handle(request).await
    }

    /// Counts the verdict of an answer, also of one that the listener gave itself.
    pub fn told(&self, verdict: Verdict) {
        self.router.count_verdict(verdict);
    }

    /// Returns true while callers are to come to this member.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.router.shared.is_ready()
    }

    /// Returns the bounds on callers in force.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.declarations.current().map(|declared| declared.limits).unwrap_or_default()
    }
}
