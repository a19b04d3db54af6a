//! Metrics: sent to a statsd server over UDP, kept to be read as text, or both.

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

pub(crate) use self::page::MetricsSite;
use self::registry::Registry;
use crate::config::Metrics as MetricsSettings;

/// Declares a closed set of metrics with name and unit, so that no list of them can lack one.
macro_rules! metrics {
    ($(#[$doc:meta])* $set:ident { $($(#[$line:meta])* $metric:ident = $name:literal, $unit:literal;)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $set {
            $($(#[$line])* $metric,)+
        }

        impl $set {
            /// Every metric of this type.
            pub const ALL: &'static [Self] = &[$(Self::$metric,)+];

            /// Returns the name, without the prefix of the settings.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$metric => $name,)+
                }
            }

            /// Returns the place among all of this type.
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
    /// What happens, counted.
    Counter {
        /// Requests of callers that got a whole answer of an upstream.
        RequestsAnswered = "requests.answered", "requests";
        /// Requests of callers that were refused as not run.
        RequestsNotRun = "requests.not_run", "requests";
        /// Requests of callers that may have run and have no whole answer.
        RequestsUnknown = "requests.unknown", "requests";
        /// Further tries of requests.
        RequestsRetried = "requests.retried", "tries";
        /// Tries that went to another member because the first did not own the key.
        RequestsRedirected = "requests.redirected", "tries";
        /// Requests refused at the entry because the member had just refused such a one.
        RequestsFull = "requests.full", "requests";
        /// Requests that were answered from the memory of requests that ran before.
        RequestsRepeated = "requests.repeated", "requests";
        /// Requests that the queue beside the upstream refused, being full.
        QueueRefused = "queue.refused", "requests";
        /// Requests whose deadline passed in the queue beside the upstream.
        QueueExpired = "queue.expired", "requests";
        /// Answers by which the upstream shed a request.
        UpstreamShed = "upstream.shed", "requests";
        /// Requests that the upstream refused by their fence.
        UpstreamFenced = "upstream.fenced", "requests";
        /// Connections to members that were given up for want of an acknowledgement.
        PeerSuspects = "peer.suspects", "connections";
        /// Probes after a connection became suspect.
        PeerProbes = "peer.probes", "probes";
        /// Probes after which the request was known as not run.
        PeerProbesNotRun = "peer.probes_not_run", "probes";
        /// Requests at members that had gone silent, which went on.
        PeerSilent = "peer.silent", "requests";
        /// Requests held up on their way whose senders still waited.
        PeerHeldUp = "peer.held_up", "requests";
        /// Requests held up on their way that were refused, for their senders did not answer in time.
        PeerHeldUpRefused = "peer.held_up_refused", "requests";
        /// Times that this member lost its lease.
        LeaseLost = "lease.lost", "times";
        /// Votes of this member that a lease is over.
        LeaseVotes = "lease.votes", "votes";
        /// Units that this member took over after the loss of their server.
        UnitsTakenOver = "units.taken_over", "units";
        /// Units that this member took over after their release by a planned move.
        UnitsSwitched = "units.switched", "units";
        /// Hot keys that this member made units of their own.
        UnitsSplit = "units.split", "units";
        /// Requests to the log service that failed.
        LogFailures = "log.failures", "requests";
        /// Records that this member appended, also for others.
        LogAppends = "log.appends", "records";
        /// Snapshots that this member appended.
        LogSnapshots = "log.snapshots", "snapshots";
        /// Metrics that were dropped because the queue to the statsd server was full.
        MetricsDropped = "metrics.dropped", "metrics";
    }
}

metrics! {
    /// What is the case, at the time of sending.
    Gauge {
        /// Requests in flight at the upstream.
        UpstreamBusy = "upstream.busy", "requests";
        /// Requests that wait for the upstream.
        UpstreamQueue = "upstream.queue", "requests";
        /// 1 while this member holds its lease, else 0.
        LeaseHeld = "lease.held", "0 or 1";
        /// Units that this member owns.
        UnitsOwned = "units.owned", "units";
        /// Units for which this member stands by.
        UnitsStandby = "units.standby", "units";
        /// Highest offset of the log that this member has folded.
        LogApplied = "log.applied", "offset";
        /// Records without effect: undecodable, repeated or rejected.
        LogSkipped = "log.skipped", "records";
        /// Load of this member over the mean of the loads that it knows, in thousandths.
        BalanceImbalance = "balance.imbalance", "thousandths";
        /// Requests that this member remembers against a second run.
        DedupEntries = "dedup.entries", "requests";
    }
}

metrics! {
    /// How long something takes.
    Timer {
        /// Time from a caller's request to its answer.
        Requests = "requests.time", "ms";
        /// Time of a hop to another member.
        Peer = "peer.time", "ms";
        /// Time of a hop to the upstream.
        Upstream = "upstream.time", "ms";
        /// Time in the queue beside the upstream.
        Queue = "queue.time", "ms";
        /// Time from the first try for a unit that found no server to the next answer, as this entry saw it.
        UnitsUnavailable = "units.unavailable", "ms";
        /// Time of an append to the log service.
        LogAppend = "log.append_time", "ms";
    }
}

/// Failure to set up the metrics.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// There is no socket.
    #[snafu(display("cannot open a socket for metrics"))]
    Socket {
        /// What the system says.
        source: io::Error,
    },
    /// The server's address is not valid.
    #[snafu(display("cannot send metrics to {address}"))]
    Sink {
        /// Address of the settings.
        address: SocketAddr,
        /// What the library says.
        source: MetricError,
    },
}

/// Takes in metrics; one that cannot be sent is dropped and never blocks.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Sender to a server, if there is one.
    client: Option<Arc<StatsdClient>>,
    /// What is read as text, if anybody may.
    registry: Option<Arc<Registry>>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Returns a sender to the server of the settings, or one that sends nothing.
    ///
    /// # Errors
    ///
    /// Fails when the socket cannot be opened.
    pub fn new(settings: &MetricsSettings) -> Result<Self, MetricsError> {
        let Some(address) = settings.address else { return Ok(Self::none()) };
        let socket = socket(address).context(SocketSnafu)?;
        let sink = BufferedUdpMetricSink::from(address, socket).context(SinkSnafu { address })?;
        let queue = usize::try_from(settings.queue).unwrap_or(usize::MAX);
        let sink = QueuingMetricSink::with_capacity(sink, queue);
        let client = Arc::new(StatsdClient::from_sink(&settings.prefix, sink));
        Ok(Self { client: Some(client), ..Self::none() })
    }

    /// Returns metrics that go nowhere.
    #[must_use]
    pub fn none() -> Self {
        Self { client: None, registry: None, dropped: Arc::default() }
    }

    /// Keeps metrics from now on so that they can be read as text.
    #[must_use]
    pub fn readable(self) -> Self {
        Self { registry: Some(Arc::default()), ..self }
    }

    /// Returns what is kept as text, empty when nothing is.
    #[must_use]
    pub fn text(&self) -> String {
        self.registry.as_ref().map(|registry| registry.text()).unwrap_or_default()
    }

    /// Counts `count` more.
    pub fn count(&self, counter: Counter, count: u64) {
        if let Some(registry) = &self.registry {
            registry.count(counter, count);
        }
        self.send(|client| client.count(counter.name(), count).is_ok());
    }

    /// Takes in the present value.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        if let Some(registry) = &self.registry {
            registry.gauge(gauge, value);
        }
        self.send(|client| client.gauge(gauge.name(), value).is_ok());
    }

    /// Takes in a time; what is sent has whole milliseconds.
    pub fn time(&self, timer: Timer, time: Duration) {
        if let Some(registry) = &self.registry {
            registry.time(timer, time);
        }
        self.send(|client| client.time(timer.name(), time).is_ok());
    }

    /// Sends what is buffered, and the count of metrics that were dropped; due once a second.
    pub fn flush(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.count(Counter::MetricsDropped, dropped);
        }
        if let Some(client) = &self.client {
            // The server may be down; the next flush tries again.
            let _ = client.flush();
        }
    }

    fn send(&self, send: impl FnOnce(&StatsdClient) -> bool) {
        if self.client.as_ref().is_some_and(|client| !send(client)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Opens a socket that reaches `address`; it never blocks.
fn socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any: IpAddr = match address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
