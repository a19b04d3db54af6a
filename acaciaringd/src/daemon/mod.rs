//! Start and graceful stop of the daemon.

mod edges;
mod late;
mod options;
mod own;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use acaciaring_core::selector::{Selector, SelectorSettings};
use acaciaring_schema::settings::Settings;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tracing::info;

pub use self::edges::{Doors, EdgeError, Edges, Front, Inside};
use self::late::LateHandler;
use self::own::OwnEdges;
use crate::admin::MemberAdmin;
use crate::appender::Appender;
use crate::clock;
use crate::control::{Control, ControlContext, Event};
use crate::declared::Declarations;
use crate::gate::Gate;
use crate::gauges;
use crate::handler::PeerHandler;
use crate::heartbeat::Heartbeats;
use crate::metrics::{Metrics, MetricsError, MetricsSite};
use crate::outbox::Outbox;
use crate::peer::{PeerError, Transport};
use crate::pulse::Pulse;
use crate::ration::Ration;
use crate::read_scheduler::ReadScheduler;
use crate::reader;
use crate::recent::Recent;
use crate::router::{Outages, Router, Suspects, TimeoutHistory, TrafficSplits, WaitLimit};
use crate::view::Shared;
use crate::web::{self, WebError};

/// One in this many requests in hand may wait for a takeover.
const LINGERERS: usize = 4;

/// Lines a second about requests without an answer: enough to see reasons and members, far below the
/// requests that a machine refuses in an overload.
const LINES: u32 = 20;

/// Lines a second about requests that were answered late, which cost their callers less.
const LATE_LINES: u32 = 10;

/// Longest wait until peers have the last answers, well below a lease.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// Part of the time of a stop in which callers are still taken; the rest is for their requests.
const TAKING: u32 = 2;

/// Failure to start the daemon.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The metrics cannot be sent.
    #[snafu(display("cannot start the metrics"))]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// The transport between members cannot start.
    #[snafu(display("cannot start the transport between members"))]
    Peer {
        /// Cause.
        source: PeerError,
    },
    /// The page of the metrics cannot be served.
    #[snafu(display("cannot serve the metrics"))]
    Page {
        /// Cause.
        source: WebError,
    },
    /// A listener cannot start.
    #[snafu(display("cannot open the listeners"))]
    Edge {
        /// Cause.
        source: EdgeError,
    },
}

/// A running daemon.
pub struct Daemon {
    events: Sender<Event>,
    control: JoinHandle<()>,
    /// Tells that control has nothing left to hand over.
    released: Receiver<()>,
    /// Bound on a stop.
    drain: Duration,
    doors: Box<dyn Doors>,
    transport: Transport,
    /// Page of the metrics; ends with the daemon.
    _page: Option<web::Server>,
}

impl Daemon {
    /// Starts all threads of the daemon with the project's own edges.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on or the TLS files are not usable.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        let metrics = Metrics::new(&settings.metrics).context(MetricsSnafu)?;
        let edges = OwnEdges { settings, metrics: metrics.clone() };
        Self::start_with(settings, metrics, &edges)
    }

    /// Starts all threads of the daemon with other edges.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be listened on or the TLS files are not usable.
    pub fn start_with(
        settings: &Settings,
        metrics: Metrics,
        edges: &dyn Edges,
    ) -> Result<Self, StartError> {
        let address = settings.listen.metrics;
        let metrics = if address.is_some() { metrics.readable() } else { metrics };
        let decoder = edges.decoder();
        let shared = Arc::new(Shared::new(decoder.is_some()));
        let recent = Arc::new(Recent::default());
        let (events, inbox) = unbounded();
        let declarations = Arc::new(Declarations::new(decoder, events.clone()));

        let late = Arc::new(LateHandler::default());
        let transport =
            Transport::metered(options::peer_settings(settings), late.clone(), metrics.clone())
                .context(PeerSnafu)?;
        let page = address.map(|address| page(address, &metrics, &transport)).transpose()?;
        let log = edges.log(transport.runtime());
        let outbox = Outbox::new(&transport);
        let upstream_client = edges.upstream_client();
        let gate = Arc::new(Gate::new(
            Arc::clone(&shared),
            Arc::clone(&upstream_client),
            options::gate_settings(settings),
            transport.clone(),
            outbox.clone(),
            metrics.clone(),
            events.clone(),
        ));
        late.set(PeerHandler {
            events: events.clone(),
            gate: Arc::clone(&gate),
            shared: Arc::clone(&shared),
            recent: Arc::clone(&recent),
            log: Arc::clone(&log),
            declarations: Arc::clone(&declarations),
        });

        let router = Router {
            shared: Arc::clone(&shared),
            gate: Arc::clone(&gate),
            transport: transport.clone(),
            choice: Mutex::new(Selector::new(SelectorSettings::default())),
            budgets: options::budgets(settings),
            suspects: Suspects::default(),
            full_queues: Mutex::default(),
            outages: Outages::default(),
            metrics: metrics.clone(),
            wait_limit: WaitLimit::new(settings.entry.workers as usize / LINGERERS),
            splits: TrafficSplits::default(),
            timeouts: TimeoutHistory::default(),
            declarations: Arc::clone(&declarations),
            log_limit: Ration::new(LINES),
            late_limit: Ration::new(LATE_LINES),
            pulse: Pulse::start(transport.runtime()),
        };
        let admin = MemberAdmin {
            events: events.clone(),
            shared: Arc::clone(&shared),
            gate: Arc::clone(&gate),
            transport: transport.clone(),
        };
        let inside = Inside {
            runtime: transport.runtime().clone(),
            front: Front { router: Arc::new(router), declarations: Arc::clone(&declarations) },
            heartbeats: Heartbeats::new(events.clone()),
            declarations: Arc::clone(&declarations),
            admin: Arc::new(admin),
        };
        let doors = edges.open(inside).context(EdgeSnafu)?;

        let read_scheduler = read_scheduler(settings, &transport);
        let (reads, appends) = relay::relays(&shared, &transport);
        let (drained, released) = bounded(1);
        let context = ControlContext {
            location: options::location(
                settings,
                settings.listen.advertised.unwrap_or(transport.local_addr()),
                doors.callers(),
            ),
            lease: options::lease_settings(&settings.lease, settings.upstream.grants),
            drain_timeout: settings.limits.drain,
            drained,
            balance_interval: settings.balance.interval,
            balance: options::balance_settings(settings),
            snapshot_records: u64::from(settings.snapshot.records),
            shared: Arc::clone(&shared),
            gate,
            transport: transport.clone(),
            outbox,
            appender: Appender::start(Arc::clone(&log), Arc::clone(&read_scheduler), appends),
            recent,
            read_scheduler: Arc::clone(&read_scheduler),
            events: events.clone(),
            metrics: metrics.clone(),
            log: Arc::clone(&log),
            declarations,
            upstream_client,
            upstream: settings.upstream.clone(),
        };
        gauges::start(&context.shared, &context.gate, metrics);
        reader::start(log, settings.log.wait, reads, read_scheduler, events.clone());
        let control = Control::start(context, inbox);
        info!(http = %doors.callers(), peer = %transport.local_addr(), admin = %doors.admin(), "started");
        let drain = settings.limits.drain;
        Ok(Self { events, control, released, drain, doors, transport, _page: page })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.doors.callers()
    }

    /// Returns the address for other members.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.transport.local_addr()
    }

    /// Returns the address for announcements and the command-line tool.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.doors.admin()
    }

    /// Hands everything over, finishes what is in flight and ends; returns how many requests were cut off.
    ///
    /// All of it shares one bound, counted from here.
    #[must_use]
    pub fn stop(self) -> usize {
        let start = clock::now();
        // Control ends by itself only after a stop.
        let _ = self.events.send(Event::Stop(start));
        // Control has ended, or callers have had their part of the time.
        let _ = self.released.recv_timeout(self.drain / TAKING);
        let left = || self.drain.saturating_sub(clock::now().since(start));
        let cut = self.doors.drain(left());
        // Control may have ended.
        let _ = self.events.send(Event::CallersGone);
        let _ = self.control.join();
        // Nothing renews the lease from here on.
        let due = self.transport.stop_within(left().min(LAST_ANSWERS));
        info!(cut, due, "stopped");
        cut
    }
}

/// Serves the page of the metrics.
fn page(
    address: SocketAddr,
    metrics: &Metrics,
    transport: &Transport,
) -> Result<web::Server, StartError> {
    let site = Arc::new(MetricsSite(metrics.clone()));
    web::Server::start(transport.runtime(), address, site).context(PageSnafu)
}

/// Returns what is wanted of the log, with the pace of reads.
fn read_scheduler(settings: &Settings, transport: &Transport) -> Arc<ReadScheduler> {
    let pacer = Arc::new(ReadScheduler::new(settings.log.rate.min(settings.log.reads)));
    // Who is refused may have joined by a record that was not read here yet.
    let asked = Arc::clone(&pacer);
    transport.on_untrusted(move || asked.request_read());
    pacer
}
