//! Start and graceful stop of the daemon.

mod adapters;
mod builtin;
mod deferred;
mod options;
mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use acaciaring_core::drain::Drain;
use acaciaring_core::selector::{Selector, SelectorSettings};
use acaciaring_schema::settings::Settings;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use tracing::info;

pub use self::adapters::{AdapterError, Adapters, Frontend, ListenerContext, Listeners};
use self::builtin::BuiltinAdapters;
use self::deferred::DeferredHandler;
use crate::admin::MemberAdmin;
use crate::appender::Appender;
use crate::body_memory::BodyMemory;
use crate::clock;
use crate::control::{Control, ControlContext, Event};
use crate::declared::Declarations;
use crate::egress::Egress;
use crate::gate::{Gate, GateContext};
use crate::gauges;
use crate::handler::PeerHandler;
use crate::heartbeat::Heartbeats;
use crate::lag_monitor::LagMonitor;
use crate::log_limiter::LogLimiter;
use crate::metrics::{Metrics, MetricsError, MetricsHandler};
use crate::outbox::Outbox;
use crate::peer::{PeerError, Transport};
use crate::poll_wait::PollWait;
use crate::quarantine::Quarantine;
use crate::read_scheduler::ReadScheduler;
use crate::reader;
use crate::recent_records::RecentRecords;
use crate::router::{
    HeldAnswers, Outages, PendingRequests, Router, Suspects, TimeoutHistory, TrafficSplits,
    WaitLimit,
};
use crate::view::Shared;
use crate::web::{self, WebError};

/// Part of the entry workers whose requests may wait for a takeover: one in this many.
const WAITER_DIVISOR: usize = 4;

/// Limit on log lines per second about requests without an answer.
///
/// Enough to see reasons and members, and far below the requests that a VM refuses in an overload.
const MAX_LOG_LINES: u32 = 20;

/// Limit on log lines per second about requests that were answered late.
const MAX_LATE_LOG_LINES: u32 = 10;

/// Longest wait for peers to acknowledge the last answers at a stop; must be below a lease term.
const FINAL_ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of the drain time in which callers are still accepted: one in this many.
const ACCEPT_DIVISOR: u32 = 2;

/// Longest time of a stop in which callers are still accepted.
///
/// Callers have left after two failed readiness checks, one second apart. What is taken later has
/// less time to be answered, however long the drain is.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2600);

/// Failure to start the daemon.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The metrics cannot be set up.
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
    /// The metrics listener cannot start.
    #[snafu(display("cannot start the metrics listener"))]
    Page {
        /// Cause.
        source: WebError,
    },
    /// A listener cannot start.
    #[snafu(display("cannot open the listeners"))]
    Listener {
        /// Cause.
        source: AdapterError,
    },
}

/// A running daemon.
pub struct Daemon {
    events: Sender<Event>,
    control: JoinHandle<()>,
    /// Receives a message once control has handed over all units.
    released: Receiver<()>,
    /// Longest duration of a stop.
    drain: Duration,
    front: Frontend,
    listeners: Box<dyn Listeners>,
    transport: Transport,
    /// Metrics listener; stops when dropped.
    _page: Option<web::Server>,
}

impl Daemon {
    /// Starts the daemon with the built-in adapters.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the TLS files are not usable.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        let metrics = Metrics::new(&settings.metrics).context(MetricsSnafu)?;
        let adapters = BuiltinAdapters { settings, metrics: metrics.clone() };
        Self::start_with(settings, metrics, &adapters)
    }

    /// Starts the daemon with the given adapters.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the TLS files are not usable.
    pub fn start_with(
        settings: &Settings,
        metrics: Metrics,
        adapters: &dyn Adapters,
    ) -> Result<Self, StartError> {
        let address = settings.listen.metrics;
        let metrics = if address.is_some() { metrics.readable() } else { metrics };
        let decoder = adapters.decoder();
        let shared = Arc::new(Shared::new(decoder.is_some()));
        let recent = Arc::new(RecentRecords::default());
        let (events, inbox) = unbounded();
        let declarations = Arc::new(Declarations::new(decoder, events.clone()));

        let deferred = Arc::new(DeferredHandler::default());
        let bodies = BodyMemory::new(options::body_memory(settings), metrics.clone());
        let transport = transport(settings, deferred.clone(), &metrics, bodies.clone())?;
        let page = address.map(|address| page(address, &metrics, &transport)).transpose()?;
        let log = adapters.log(transport.runtime());
        let outbox = Outbox::new(&transport);
        let upstream_client = adapters.upstream_client(&shared.held);
        let quarantine =
            Arc::new(Quarantine::new(Arc::clone(&shared), transport.clone(), metrics.clone()));
        quarantine.start();
        let gate_context = GateContext {
            shared: Arc::clone(&shared),
            upstream_client: Arc::clone(&upstream_client),
            quarantine: Arc::clone(&quarantine),
            transport: transport.clone(),
            outbox: outbox.clone(),
            metrics: metrics.clone(),
            events: events.clone(),
            backlog: transport.egress().backlog_counter(),
        };
        let gate = Arc::new(Gate::new(options::gate_settings(settings), gate_context));
        deferred.set(PeerHandler {
            events: events.clone(),
            gate: Arc::clone(&gate),
            shared: Arc::clone(&shared),
            recent: Arc::clone(&recent),
            log: Arc::clone(&log),
            declarations: Arc::clone(&declarations),
            quarantine: Arc::clone(&quarantine),
        });

        let router =
            router(settings, &shared, &gate, &transport, &metrics, &declarations, quarantine);
        let front = Frontend { router, declarations: Arc::clone(&declarations) };
        let admin = MemberAdmin {
            events: events.clone(),
            shared: Arc::clone(&shared),
            gate: Arc::clone(&gate),
            transport: transport.clone(),
        };
        let polls = PollWait::new(Arc::clone(&shared), settings.log.wait);
        let held = shared.held.clone();
        let callers = options::caller_limits(settings, bodies.clone(), held, metrics.clone());
        let listener_context = ListenerContext {
            callers,
            runtime: transport.runtime().clone(),
            front: front.clone(),
            heartbeats: Heartbeats::new(events.clone()),
            declarations: Arc::clone(&declarations),
            polls: polls.clone(),
            admin: Arc::new(admin),
        };
        let listeners = adapters.open(listener_context).context(ListenerSnafu)?;

        let read_scheduler = read_scheduler(settings, &transport);
        let (reads, appends) = relay::relays(&shared, &transport);
        let (drained, released) = bounded(1);
        let context = ControlContext {
            location: options::location(
                settings,
                settings.listen.advertised.unwrap_or(transport.local_addr()),
                listeners.callers(),
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
        gauges::start(&context.shared, &context.gate, transport.egress().clone(), bodies, metrics);
        reader::start(log, polls, reads, read_scheduler, events.clone());
        let control = Control::start(context, inbox);
        info!(http = %listeners.callers(), peer = %transport.local_addr(),
            admin = %listeners.admin(), "daemon started");
        let drain = settings.limits.drain;
        Ok(Self { events, control, released, drain, front, listeners, transport, _page: page })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.listeners.callers()
    }

    /// Returns the address that other members connect to.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.transport.local_addr()
    }

    /// Returns the address for announcements and the command-line tool.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.listeners.admin()
    }

    /// Hands over all units, drains the requests in flight and stops; returns how many requests
    /// were cut off.
    ///
    /// All steps share the drain timeout, which starts with this call.
    #[must_use]
    pub fn stop(self) -> usize {
        let start = clock::now();
        let accepted = MAX_ACCEPT_TIME.min(self.drain / ACCEPT_DIVISOR);
        let drain = Drain { accepted: start + accepted, end: start + self.drain };
        // Set once, as a daemon stops once.
        let _ = self.front.router.shared.drain.set(drain);
        // Control is still running: it ends only after this event.
        let _ = self.events.send(Event::Stop(start));
        // Waits for the handover or until callers must no longer be accepted.
        let _ = self.released.recv_timeout(accepted);
        let remaining = || self.drain.saturating_sub(clock::now().since(start));
        let cut = self.listeners.drain(remaining());
        self.front.router.log_cut(clock::now());
        // Fails only if control has already ended.
        let _ = self.events.send(Event::CallersGone);
        let _ = self.control.join();
        // The lease is no longer renewed, so this wait must end before it expires.
        let due = self.transport.stop_within(remaining().min(FINAL_ACK_TIMEOUT));
        info!(cut, due, "daemon stopped");
        cut
    }
}

/// Starts the transport between members, with the permits for large answers on the link of this VM.
fn transport(
    settings: &Settings,
    handler: Arc<DeferredHandler>,
    metrics: &Metrics,
    bodies: BodyMemory,
) -> Result<Transport, StartError> {
    let settings = options::peer_settings(settings);
    let egress = Egress::metered(settings.link_rate, metrics.clone());
    Transport::limited(settings, handler, metrics.clone(), egress, bodies).context(PeerSnafu)
}

/// Starts the metrics listener.
fn page(
    address: SocketAddr,
    metrics: &Metrics,
    transport: &Transport,
) -> Result<web::Server, StartError> {
    let handler = Arc::new(MetricsHandler(metrics.clone()));
    web::Server::start(transport.runtime(), address, handler).context(PageSnafu)
}

/// Creates the router of callers' requests.
fn router(
    settings: &Settings,
    shared: &Arc<Shared>,
    gate: &Arc<Gate>,
    transport: &Transport,
    metrics: &Metrics,
    declarations: &Arc<Declarations>,
    quarantine: Arc<Quarantine>,
) -> Arc<Router> {
    Arc::new(Router {
        shared: Arc::clone(shared),
        gate: Arc::clone(gate),
        transport: transport.clone(),
        egress: transport.egress().clone(),
        selector: Mutex::new(Selector::new(SelectorSettings::default())),
        budgets: options::retry_budgets(settings),
        suspects: Suspects::default(),
        refusals: Mutex::default(),
        quarantine,
        outages: Outages::default(),
        pending: PendingRequests::default(),
        metrics: metrics.clone(),
        wait_limit: WaitLimit::new(settings.entry.workers as usize / WAITER_DIVISOR),
        splits: TrafficSplits::default(),
        timeouts: TimeoutHistory::default(),
        declarations: Arc::clone(declarations),
        log_limit: LogLimiter::new(MAX_LOG_LINES),
        late_limit: LogLimiter::new(MAX_LATE_LOG_LINES),
        held: HeldAnswers::new(shared.held.clone(), options::held_limit(settings)),
        lag_monitor: LagMonitor::start(transport.runtime()),
    })
}

/// Returns the scheduler of log reads, limited to the configured rate.
fn read_scheduler(settings: &Settings, transport: &Transport) -> Arc<ReadScheduler> {
    let scheduler = Arc::new(ReadScheduler::new(settings.log.rate.min(settings.log.reads)));
    // An untrusted peer may have joined by a record that this process has not read yet.
    let trigger = Arc::clone(&scheduler);
    transport.on_untrusted(move || trigger.request_read());
    scheduler
}
