//! Built-in adapters: the project's own protocols for the log, the upstream and callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Verdict;
use acaciaring_schema::settings::Settings;
use tokio::runtime::Handle;

use super::adapters::{AdapterError, Adapters, Frontend, ListenerContext, Listeners};
use super::options;
use crate::announce::{AdminListener, AdminSettings};
use crate::declared::Decoder;
use crate::entry::{Entry, EntryAnswer, EntryRequest, Service};
use crate::metrics::Metrics;
use crate::platform::LogService;
use crate::upstream::{ThreadedClient, Upstream, UpstreamClient, UpstreamSettings};
use crate::web::HeldBytes;

/// Adapters that are configured by the settings file alone.
pub(super) struct BuiltinAdapters<'a> {
    pub(super) settings: &'a Settings,
    pub(super) metrics: Metrics,
}

impl Adapters for BuiltinAdapters<'_> {
    fn log(&self, _runtime: &Handle) -> Arc<dyn LogService> {
        Arc::new(options::log_client(self.settings).metered(self.metrics.clone()))
    }

    fn upstream_client(&self, _held: &HeldBytes) -> Arc<dyn UpstreamClient> {
        let limits = &self.settings.limits;
        Arc::new(ThreadedClient::new(Upstream::new(UpstreamSettings {
            connections: limits.connections as usize,
            body: limits.body,
            ..UpstreamSettings::default()
        })))
    }

    fn decoder(&self) -> Option<Box<dyn Decoder>> {
        None
    }

    fn open(&self, context: ListenerContext) -> Result<Box<dyn Listeners>, AdapterError> {
        let service = BlockingService { front: context.front, runtime: context.runtime };
        let entry = Entry::start(options::entry_settings(self.settings), Arc::new(service))?;
        let address = self.settings.listen.admin;
        let admin = AdminSettings { address, ..AdminSettings::default() };
        let admin = AdminListener::start(&admin, context.admin)?;
        Ok(Box::new(BuiltinListeners { entry, admin }))
    }
}

struct BuiltinListeners {
    entry: Entry,
    admin: AdminListener,
}

impl Listeners for BuiltinListeners {
    fn callers(&self) -> SocketAddr {
        self.entry.local_addr()
    }

    fn admin(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    fn drain(&self, bound: Duration) -> usize {
        self.entry.drain(bound)
    }
}

/// Service for a thread pool: each thread blocks until its request is answered.
struct BlockingService {
    front: Frontend,
    runtime: Handle,
}

impl Service for BlockingService {
    fn handle(&self, request: EntryRequest) -> EntryAnswer {
        self.runtime.block_on(self.front.handle(request))
    }

    fn record_verdict(&self, verdict: Verdict) {
        self.front.record_verdict(verdict);
    }

    fn held(&self) -> HeldBytes {
        self.front.held().clone()
    }
}
