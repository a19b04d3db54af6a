//! Metrics: sent to a statsd server over UDP, kept in memory to be read as text, or both.

mod page;
mod registry;

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricError, QueuingMetricSink, StatsdClient, Timed,
};
use snafu::{ResultExt, Snafu};

pub(crate) use self::page::MetricsHandler;
use self::registry::Registry;
use crate::config::Metrics as MetricsSettings;

/// Declares an enum of metrics with their names and units, and the list of all of them.
macro_rules! metrics {
    ($(#[$doc:meta])* $set:ident { $($(#[$line:meta])* $metric:ident = $name:literal, $unit:literal;)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $set {
            $($(#[$line])* $metric,)+
        }

        impl $set {
            /// All metrics of this type.
            pub const ALL: &'static [Self] = &[$(Self::$metric,)+];

            /// Returns the name, without the prefix of the settings.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$metric => $name,)+
                }
            }

            /// Returns the index in [`Self::ALL`].
            #[must_use]
            pub const fn index(self) -> usize {
                self as usize
            }

            /// Returns the unit.
            #[must_use]
            pub const fn unit(self) -> &'static str {
                match self {
                    $(Self::$metric => $unit,)+
                }
            }
        }
    };
}

metrics! {
    /// Counters of events.
    Counter {
        /// Requests of callers that got a complete answer of an upstream.
        RequestsAnswered = "requests.answered", "requests";
        /// Requests of callers that were refused as not run.
        RequestsNotRun = "requests.not_run", "requests";
        /// Requests of callers that may have run and got no complete answer.
        RequestsUnknown = "requests.unknown", "requests";
        /// Attempts after the first of a request.
        RequestsRetried = "requests.retried", "tries";
        /// Attempts at another member because the member asked before did not own the key.
        RequestsRedirected = "requests.redirected", "tries";
        /// Requests refused at the entry because members had just refused similar ones.
        RequestsFull = "requests.full", "requests";
        /// Requests of callers refused because the link of the member had no room for the answer.
        RequestsLinkFull = "requests.link_full", "requests";
        /// Requests with large answers refused because too many answer bytes were held.
        RequestsHeldUp = "requests.held_up", "requests";
        /// Request bodies given up because all bodies together took too much memory.
        BodiesRefused = "bodies.refused", "bodies";
        /// Connections of callers closed because there were too many.
        ConnectionsClosed = "connections.closed", "connections";
        /// Requests refused because upstreams crash when they run them.
        RequestsQuarantined = "requests.quarantined", "requests";
        /// Repeated requests answered from the deduplication state.
        RequestsRepeated = "requests.repeated", "requests";
        /// Requests refused because the queue for the upstream was full.
        QueueRefused = "queue.refused", "requests";
        /// Requests whose deadline passed in the queue for the upstream.
        QueueExpired = "queue.expired", "requests";
        /// Requests that the upstream shed.
        UpstreamShed = "upstream.shed", "requests";
        /// Requests that the upstream refused because of their fencing token.
        UpstreamFenced = "upstream.fenced", "requests";
        /// Crashes of the upstream with requests in flight.
        UpstreamCrashes = "upstream.crashes", "crashes";
        /// Connections to members marked as suspect for lack of an acknowledgement.
        PeerSuspects = "peer.suspects", "connections";
        /// Probes sent after a connection became suspect.
        PeerProbes = "peer.probes", "probes";
        /// Probes that proved that the request had not run.
        PeerProbesNotRun = "peer.probes_not_run", "probes";
        /// Requests whose member went silent and whose outcome was still awaited.
        PeerSilent = "peer.silent", "requests";
        /// Requests delayed in transit whose senders still waited.
        PeerHeldUp = "peer.held_up", "requests";
        /// Requests delayed in transit and refused because their senders did not respond in time.
        PeerHeldUpRefused = "peer.held_up_refused", "requests";
        /// Large answers that were not acknowledged within the time limit of their permit.
        LinkOverdue = "link.overdue", "answers";
        /// Losses of the lease of this member.
        LeaseLost = "lease.lost", "times";
        /// Votes of this member that a lease has expired.
        LeaseVotes = "lease.votes", "votes";
        /// Units that this member took over after their server was lost.
        UnitsTakenOver = "units.taken_over", "units";
        /// Units that this member received by a planned move.
        UnitsSwitched = "units.switched", "units";
        /// Hot keys that this member split out into units of their own.
        UnitsSplit = "units.split", "units";
        /// Requests to the log service that failed.
        LogFailures = "log.failures", "requests";
        /// Records that this member appended, including those of other members.
        LogAppends = "log.appends", "records";
        /// Snapshots that this member appended.
        LogSnapshots = "log.snapshots", "snapshots";
        /// Reads of the log that ended before what this member had folded.
        LogRegressed = "log.regressed", "reads";
        /// Metrics that were dropped because the queue to the statsd server was full.
        MetricsDropped = "metrics.dropped", "metrics";
    }
}

metrics! {
    /// Gauges, sampled when they are reported.
    Gauge {
        /// Requests in flight at the upstream.
        UpstreamBusy = "upstream.busy", "requests";
        /// Requests that wait for the upstream.
        UpstreamQueue = "upstream.queue", "requests";
        /// Bytes of large answers that wait for the link or are being transmitted.
        LinkBacklog = "link.backlog", "bytes";
        /// 1 while this member holds its lease, else 0.
        LeaseHeld = "lease.held", "0 or 1";
        /// Units that this member owns.
        UnitsOwned = "units.owned", "units";
        /// Units for which this member is the standby.
        UnitsStandby = "units.standby", "units";
        /// Highest offset of the log that this member has folded.
        LogApplied = "log.applied", "offset";
        /// Generation of the log, which rises when the log service comes back from an older copy.
        LogGeneration = "log.generation", "generation";
        /// Records without effect: undecodable, repeated or rejected.
        LogSkipped = "log.skipped", "records";
        /// 1 while this member reads the log service, 0 while others pass records on to it.
        LogReader = "log.reader", "0 or 1";
        /// Load of this member relative to the mean of the loads that it knows, in thousandths.
        BalanceImbalance = "balance.imbalance", "thousandths";
        /// Requests in the deduplication state of this member.
        DedupEntries = "dedup.entries", "requests";
        /// Answer bytes in memory: not yet read by callers, or part of an incomplete answer.
        WebHeld = "web.held", "bytes";
        /// Bytes that request bodies take in memory.
        BodiesHeld = "bodies.held", "bytes";
    }
}

metrics! {
    /// Timers.
    Timer {
        /// Time from a caller's request to its answer.
        Requests = "requests.time", "ms";
        /// Time of a hop to another member.
        Peer = "peer.time", "ms";
        /// Time of a hop to the upstream.
        Upstream = "upstream.time", "ms";
        /// Time in the queue for the upstream.
        Queue = "queue.time", "ms";
        /// Time for which a large answer waits for its permit on the link.
        LinkWait = "link.wait", "ms";
        /// Time from the first attempt that found no server of a unit to its next answer.
        UnitsUnavailable = "units.unavailable", "ms";
        /// Time of an append to the log service.
        LogAppend = "log.append_time", "ms";
    }
}

/// Failure to set up the metrics.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket cannot be opened.
    #[snafu(display("cannot open the UDP socket for metrics"))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The address of the statsd server is invalid.
    #[snafu(display("cannot send metrics to the statsd server at {address}"))]
    Sink {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the library.
        source: MetricError,
    },
}

/// Recorder of metrics that never blocks: metrics that cannot be sent are dropped and counted.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Client of the statsd server, if one is configured.
    client: Option<Arc<StatsdClient>>,
    /// Values that can be read as text, if enabled.
    registry: Option<Arc<Registry>>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Creates metrics that are sent to the configured statsd server, or nowhere without one.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened or the address is invalid.
    pub fn new(settings: &MetricsSettings) -> Result<Self, MetricsError> {
        let Some(address) = settings.address else { return Ok(Self::none()) };
        let socket = socket(address).context(SocketSnafu)?;
        let sink = BufferedUdpMetricSink::from(address, socket).context(SinkSnafu { address })?;
        let queue = usize::try_from(settings.queue).unwrap_or(usize::MAX);
        let sink = QueuingMetricSink::with_capacity(sink, queue);
        let client = Arc::new(StatsdClient::from_sink(&settings.prefix, sink));
        Ok(Self { client: Some(client), ..Self::none() })
    }

    /// Creates metrics that are discarded.
    #[must_use]
    pub fn none() -> Self {
        Self { client: None, registry: None, dropped: Arc::default() }
    }

    /// Also keeps metrics in memory, so that they can be read as text.
    #[must_use]
    pub fn readable(self) -> Self {
        Self { registry: Some(Arc::default()), ..self }
    }

    /// Returns the metrics in memory as text, empty if none are kept.
    #[must_use]
    pub fn text(&self) -> String {
        self.registry.as_ref().map(|registry| registry.text()).unwrap_or_default()
    }

    /// Adds `count` to a counter.
    pub fn count(&self, counter: Counter, count: u64) {
        if let Some(registry) = &self.registry {
            registry.count(counter, count);
        }
        self.send(|client| client.count(counter.name(), count).is_ok());
    }

    /// Sets the value of a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        if let Some(registry) = &self.registry {
            registry.gauge(gauge, value);
        }
        self.send(|client| client.gauge(gauge.name(), value).is_ok());
    }

    /// Records a duration, which is sent in whole milliseconds.
    pub fn time(&self, timer: Timer, time: Duration) {
        if let Some(registry) = &self.registry {
            registry.time(timer, time);
        }
        self.send(|client| client.time(timer.name(), time).is_ok());
    }

    /// Sends buffered metrics and the number of dropped ones; must be called once per second.
    pub fn flush(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.count(Counter::MetricsDropped, dropped);
        }
        if let Some(client) = &self.client {
            // The server may be unavailable; the next flush retries.
            let _ = client.flush();
        }
    }

    fn send(&self, send: impl FnOnce(&StatsdClient) -> bool) {
        if self.client.as_ref().is_some_and(|client| !send(client)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Opens a non-blocking socket of the address family of `address`.
fn socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any: IpAddr = match address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
