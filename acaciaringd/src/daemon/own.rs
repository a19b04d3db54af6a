//! The project's own edges: its log protocol, its upstream protocol, its entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Verdict;
use acaciaring_schema::settings::Settings;
use tokio::runtime::Handle;

use super::edges::{Doors, EdgeError, Edges, Front, Inside};
use super::options;
use crate::announce::{AdminListener, AdminSettings};
use crate::declared::Decoder;
use crate::entry::{Entry, EntryAnswer, EntryRequest, Service};
use crate::metrics::Metrics;
use crate::platform::LogService;
use crate::upstream::{ThreadedClient, Upstream, UpstreamClient, UpstreamSettings};

/// Edges by the settings alone.
pub(super) struct OwnEdges<'a> {
    pub(super) settings: &'a Settings,
    pub(super) metrics: Metrics,
}

impl Edges for OwnEdges<'_> {
    fn log(&self, _runtime: &Handle) -> Arc<dyn LogService> {
        Arc::new(options::log_client(self.settings).metered(self.metrics.clone()))
    }

    fn upstream_client(&self) -> Arc<dyn UpstreamClient> {
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

    fn open(&self, inside: Inside) -> Result<Box<dyn Doors>, EdgeError> {
        let service = Waiting { front: inside.front, runtime: inside.runtime };
        let entry = Entry::start(options::entry_settings(self.settings), Arc::new(service))?;
        let address = self.settings.listen.admin;
        let admin = AdminSettings { address, ..AdminSettings::default() };
        let admin = AdminListener::start(&admin, inside.admin)?;
        Ok(Box::new(OwnDoors { entry, admin }))
    }
}

struct OwnDoors {
    entry: Entry,
    admin: AdminListener,
}

impl Doors for OwnDoors {
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

/// Service whose threads wait for the answers.
struct Waiting {
    front: Front,
    runtime: Handle,
}

impl Service for Waiting {
    fn handle(&self, request: EntryRequest) -> EntryAnswer {
        self.runtime.block_on(self.front.handle(request))
    }

    fn record_verdict(&self, verdict: Verdict) {
        self.front.told(verdict);
    }
}
