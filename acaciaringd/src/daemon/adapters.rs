//! Adapters between a process and its environment: log service, upstream, callers and operators.

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
use crate::poll_wait::PollWait;
use crate::router::Router;
use crate::upstream::UpstreamClient;
use crate::web::{HeldBytes, ServerLimits};

/// Failure of an adapter.
pub type AdapterError = Box<dyn Error + Send + Sync>;

/// Protocols by which a process talks to its environment.
pub trait Adapters {
    /// Returns the client of the log service.
    fn log(&self, runtime: &Handle) -> Arc<dyn LogService>;

    /// Returns the client of the upstream, which counts the bytes of incomplete answers.
    fn upstream_client(&self, held: &HeldBytes) -> Arc<dyn UpstreamClient>;

    /// Returns the decoder of declared configurations, `None` if the configuration is in the log.
    fn decoder(&self) -> Option<Box<dyn Decoder>>;

    /// Opens the listeners for callers, operators and the upstream.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    fn open(&self, context: ListenerContext) -> Result<Box<dyn Listeners>, AdapterError>;
}

/// Services that the listeners expose.
pub struct ListenerContext {
    /// Runtime that serves the requests.
    pub runtime: Handle,
    /// Handler of callers' requests.
    pub front: Frontend,
    /// Limits of the listener for callers.
    pub callers: ServerLimits,
    /// Receiver of the upstream's heartbeats.
    pub heartbeats: Heartbeats,
    /// Declared configurations, received from the environment.
    pub declarations: Arc<Declarations>,
    /// Durations of reads that wait for something new.
    pub polls: PollWait,
    pub(crate) admin: Arc<dyn crate::announce::Admin>,
}

/// Open listeners.
pub trait Listeners: Send {
    /// Returns the address that callers connect to.
    fn callers(&self) -> SocketAddr;

    /// Returns the address that operators and the upstream connect to.
    fn admin(&self) -> SocketAddr;

    /// Stops accepting requests and waits at most `bound` for those in flight; returns how many
    /// were cut off.
    ///
    /// The listener for the upstream and operators stays open.
    fn drain(&self, bound: Duration) -> usize;
}

/// Handler of callers' requests: routes each to a member that may serve it.
#[derive(Clone)]
pub struct Frontend {
    pub(crate) router: Arc<Router>,
    pub(crate) declarations: Arc<Declarations>,
}

impl Frontend {
    /// Routes a request and returns its answer; dropping the future cancels the request.
    pub async fn handle(&self, request: EntryRequest) -> EntryAnswer {
        self.router.handle(request).await
    }

    /// Counts the verdict of an answer, including answers that the listener produced itself.
    pub fn record_verdict(&self, verdict: Verdict) {
        self.router.count_verdict(verdict);
    }

    /// Returns the count of held answer bytes, which listeners for callers must keep up to date.
    #[must_use]
    pub fn held(&self) -> &HeldBytes {
        &self.router.held.bytes
    }

    /// Returns true while this member is ready for callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.router.shared.is_ready()
    }

    /// Returns the limits on callers from the current configuration, or the defaults.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.declarations.current().map(|declared| declared.limits).unwrap_or_default()
    }
}
