//! The transport's public interface and the state shared by its tasks.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use quinn::{ClientConfig, Endpoint};
use snafu::ResultExt;
use tokio::runtime::Handle;
use tokio::time;
use tracing::{error, warn};

use acaciaring_schema::peer::{Answer, Datagram, Request, call, reply};
use prost::Message;

use crate::body_memory::BodyMemory;
use crate::egress::Egress;
use crate::metrics::Metrics;
use crate::peer::attempt::{RequestOutcome, RunningRequest};
use crate::peer::cancel::CancelFlag;
use crate::peer::error::{BindSnafu, CallError, ConnectError, PeerError, ThreadsSnafu};
use crate::peer::exchange::{self, millis};
use crate::peer::frame::Code;
use crate::peer::inflight::{InflightTracker, Message as Unsettled};
use crate::peer::lags::Lags;
use crate::peer::limiter::RequestLimiter;
use crate::peer::link::LinkId;
use crate::peer::outgoing::{Outgoing, PendingAttempt};
use crate::peer::pool::Pool;
use crate::peer::serve;
use crate::peer::settings::PeerSettings;
use crate::peer::stopped::StoppedProcesses;
use crate::peer::table::AttemptTable;
use crate::peer::threads::Threads;
use crate::peer::tls::{self, Configs};
use crate::peer::traffic::{Registry, Traffic};
use crate::peer::trust::{Fingerprint, Trusted};
use crate::peer::volume::{Volume, Volumes};

/// Time for closing all connections when this process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on log lines about messages that a stop cuts off; the number of all is logged as `due`.
const MAX_UNSETTLED_LINES: usize = 50;

/// Memory of requests where no other limit is given, in bytes.
const DEFAULT_BODY_BYTES: u64 = 64 << 20;

/// Interval at which a stop checks for messages in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Boxed future of a handler's result.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Handles the messages of other members.
pub trait Handler: Send + Sync + 'static {
    /// Handles a datagram; must not block, since it runs on a thread that processes packets.
    ///
    /// A reply sent to `from` uses the connection on which the datagram arrived.
    fn datagram(&self, from: SocketAddr, datagram: Datagram);

    /// Answers a call; may await, but must not block the thread.
    fn call(&self, call: call::Body) -> BoxFuture<'_, reply::Body>;

    /// Runs a request; may await, but must not block the thread.
    ///
    /// `request.left` is the remaining time in milliseconds.
    fn request<'a>(&'a self, request: Request, cancelled: &'a CancelFlag) -> BoxFuture<'a, Answer>;
}

/// State shared by the tasks of a transport.
pub(super) struct Shared {
    pub settings: PeerSettings,
    pub handler: Arc<dyn Handler>,
    /// Random id of this run of the process.
    pub process: u64,
    /// Endpoint on which this process listens and from which it connects.
    pub endpoint: Endpoint,
    pub client: ClientConfig,
    /// Digest of the self-signed certificate of this process.
    pub fingerprint: Option<Fingerprint>,
    /// Self-signed certificates that are accepted.
    pub trusted: Arc<Trusted>,
    pub runtime: Handle,
    pub pool: Pool,
    pub table: AttemptTable,
    pub limiter: RequestLimiter,
    pub lags: Lags,
    pub registry: Registry,
    /// Bytes of messages by kind.
    pub volume: Volume,
    /// Messages of other members that are being handled.
    pub inflight: Arc<InflightTracker>,
    /// Attempts of this process at other members.
    pub outgoing: Arc<Outgoing>,
    /// Processes of other members that have stopped.
    pub stopped_peers: StoppedProcesses,
    pub metrics: Metrics,
    /// Permits for large answers.
    pub egress: Egress,
    /// Memory of the requests of other members.
    pub bodies: BodyMemory,
    links: AtomicU64,
    stopped: AtomicBool,
}

impl Shared {
    /// Returns the id of a new connection.
    pub fn next_link(&self) -> LinkId {
        self.links.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether the transport is stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

/// Connections to and from other members; clones share them.
///
/// The blocking methods must not be called from [`Handler::datagram`].
#[derive(Clone)]
pub struct Transport {
    inner: Arc<Inner>,
}

struct Inner {
    shared: Arc<Shared>,
    address: SocketAddr,
    _threads: Threads,
}

impl Transport {
    /// Listens and starts the threads of the transport.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key is unusable, the address cannot be bound or a thread cannot be
    /// started.
    pub fn start(settings: PeerSettings, handler: Arc<dyn Handler>) -> Result<Self, PeerError> {
        let egress = Egress::new(settings.link_rate);
        Self::metered(settings, handler, Metrics::none(), egress)
    }

    /// Like [`Transport::start`], with metrics of the connections and permits for large answers,
    /// which are shared with all others that use the link of this VM.
    ///
    /// # Errors
    ///
    /// As for [`Transport::start`].
    pub fn metered(
        settings: PeerSettings,
        handler: Arc<dyn Handler>,
        metrics: Metrics,
        egress: Egress,
    ) -> Result<Self, PeerError> {
        let bodies = BodyMemory::new(DEFAULT_BODY_BYTES, Metrics::none());
        Self::limited(settings, handler, metrics, egress, bodies)
    }

    /// Like [`Transport::metered`], with the memory of requests, which is shared with the listener
    /// for callers.
    ///
    /// # Errors
    ///
    /// As for [`Transport::start`].
    pub fn limited(
        settings: PeerSettings,
        handler: Arc<dyn Handler>,
        metrics: Metrics,
        egress: Egress,
        bodies: BodyMemory,
    ) -> Result<Self, PeerError> {
        let Configs { fingerprint, trusted, server, client } = tls::configs(&settings)?;
        let runtime = Threads::start(settings.threads).context(ThreadsSnafu)?;
        let limiter = RequestLimiter::new(settings.workers);
        let address = settings.address;
        let entered = runtime.handle.enter();
        let endpoint = Endpoint::server(server, address).context(BindSnafu { address })?;
        let address = endpoint.local_addr().context(BindSnafu { address })?;
        drop(entered);
        let shared = Arc::new(Shared {
            settings,
            handler,
            process: rand::random(),
            endpoint,
            client,
            fingerprint,
            trusted,
            runtime: runtime.handle.clone(),
            pool: Pool::default(),
            table: AttemptTable::default(),
            limiter,
            lags: Lags::default(),
            registry: Registry::default(),
            volume: Volume::default(),
            inflight: Arc::default(),
            outgoing: Arc::default(),
            stopped_peers: StoppedProcesses::default(),
            metrics,
            egress,
            bodies,
            links: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        runtime.handle.spawn(serve::accept(Arc::clone(&shared)));
        Ok(Self { inner: Arc::new(Inner { shared, address, _threads: runtime }) })
    }

    /// Returns the address on which the transport listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sends a datagram without waiting; it is lost if no connection can be opened.
    ///
    /// With `reconnect` it is sent on a new connection that replaces the present one, for a peer
    /// that has not answered the last datagrams.
    pub fn send(&self, to: SocketAddr, datagram: &Datagram, reconnect: bool) {
        let shared = &self.inner.shared;
        if !shared.is_stopped() {
            shared.pool.send(shared, to, datagram.encode_to_vec().into(), reconnect);
        }
    }

    /// Returns the handle of the runtime that processes packets.
    #[must_use]
    pub fn runtime(&self) -> &Handle {
        &self.inner.shared.runtime
    }

    /// Makes a call and waits for its reply, at most for `timeout`.
    ///
    /// Requests use [`Transport::request`] instead.
    ///
    /// # Errors
    ///
    /// Fails without a reply; [`CallError::may_have_run`] returns whether the member may have
    /// handled the call.
    pub async fn call(
        &self,
        to: SocketAddr,
        call: call::Body,
        timeout: Duration,
    ) -> Result<reply::Body, CallError> {
        let shared = &self.inner.shared;
        if shared.is_stopped() {
            return Err(CallError::Unreachable { peer: to, source: ConnectError::Stopped });
        }
        exchange::call(shared, to, call, timeout).await
    }

    /// Like [`Transport::call`], for a thread that may block.
    ///
    /// # Errors
    ///
    /// As for [`Transport::call`].
    pub fn blocking_call(
        &self,
        to: SocketAddr,
        call: call::Body,
        timeout: Duration,
    ) -> Result<reply::Body, CallError> {
        self.runtime().block_on(self.call(to, call, timeout))
    }

    /// Sends a request, whose outcome is known within `left`.
    ///
    /// `request.attempt` must be a new random number for each attempt; zero is reserved.
    /// `request.left` is set here.
    #[must_use]
    pub fn start_request(
        &self,
        to: SocketAddr,
        request: Request,
        left: Duration,
    ) -> RunningRequest {
        RunningRequest::start(Arc::clone(&self.inner.shared), to, request, left)
    }

    /// Like [`Transport::start_request`], and waits for the outcome.
    ///
    /// Dropping the future before it is ready cancels the request at the member.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: Request,
        left: Duration,
    ) -> RequestOutcome {
        self.start_request(to, request, left).outcome().await
    }

    /// Like [`Transport::request`], for a thread that may block.
    #[must_use]
    pub fn blocking_request(
        &self,
        to: SocketAddr,
        request: Request,
        left: Duration,
    ) -> RequestOutcome {
        self.runtime().block_on(self.request(to, request, left))
    }

    /// Cancels an attempt at a member, without waiting.
    pub fn cancel(&self, to: SocketAddr, attempt: u64) {
        let shared = &self.inner.shared;
        if !shared.is_stopped() {
            exchange::cancel(shared, to, attempt);
        }
    }

    /// Returns true if a datagram to `to` needs no new connection.
    #[must_use]
    pub fn connected(&self, to: SocketAddr) -> bool {
        self.inner.shared.pool.connected(to)
    }

    /// Returns the digest of the self-signed certificate of this process, empty if a CA is used.
    #[must_use]
    pub fn fingerprint(&self) -> &[u8] {
        self.inner.shared.fingerprint.as_ref().map_or(&[], |fingerprint| fingerprint.as_slice())
    }

    /// Replaces the digests of the accepted certificates; has no effect if a CA is used.
    pub fn trust<'a>(&self, fingerprints: impl Iterator<Item = &'a [u8]>) {
        self.inner.shared.trusted.set(fingerprints);
    }

    /// Sets the callback for a certificate that is not accepted at a handshake; only the first call
    /// counts.
    pub fn on_untrusted(&self, callback: impl Fn() + Send + Sync + 'static) {
        self.inner.shared.trusted.on_untrusted(Box::new(callback));
    }

    /// Returns the permits for large answers on the link of this VM.
    #[must_use]
    pub fn egress(&self) -> &Egress {
        &self.inner.shared.egress
    }

    /// Returns the bytes and packets transferred so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.inner.shared.registry.traffic()
    }

    /// Returns the bytes of messages sent and received so far, by kind.
    #[must_use]
    pub(crate) fn volumes(&self) -> Volumes {
        self.inner.shared.volume.totals()
    }

    /// Returns the shared state, for tests.
    #[cfg(test)]
    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.inner.shared
    }

    /// Closes all connections; later calls fail at once.
    ///
    /// Answers in flight have half a second to reach their peers.
    pub fn stop(&self) {
        // Answers that are still in flight are lost.
        let _ = self.stop_within(CLOSE_TIMEOUT);
    }

    /// Like [`Transport::stop`], with a given time for answers in flight; returns how many remain.
    ///
    /// New messages are refused. An answer is in flight until its peer has acknowledged it, because
    /// closing a connection drops the data in its buffers, or no longer waits for it.
    #[must_use]
    pub fn stop_within(&self, bound: Duration) -> usize {
        let shared = &self.inner.shared;
        shared.inflight.close();
        let start = Instant::now();
        while !shared.inflight.awaited(Instant::now()).is_empty() && start.elapsed() < bound {
            thread::sleep(POLL_INTERVAL);
        }
        let now = Instant::now();
        let remaining = shared.inflight.awaited(now);
        for message in remaining.iter().take(MAX_UNSETTLED_LINES) {
            log_unsettled(now, message);
        }
        // The close code tells senders whether unanswered messages were refused or may have run.
        self.close(if shared.inflight.is_settled() { Code::Settled } else { Code::Stopping });
        remaining.len()
    }

    /// Refuses further requests and returns how many earlier ones have not delivered their answers.
    ///
    /// Calls are still taken.
    #[must_use]
    pub fn refuse_requests(&self) -> usize {
        let inflight = &self.inner.shared.inflight;
        inflight.close_requests();
        inflight.awaited_requests(Instant::now())
    }

    /// Returns the requests to other members whose outcome is not known yet.
    #[must_use]
    pub fn pending(&self) -> Vec<PendingAttempt> {
        self.inner.shared.outgoing.pending()
    }

    fn close(&self, code: Code) {
        let shared = &self.inner.shared;
        if shared.stopped.swap(true, Ordering::AcqRel) {
            return;
        }
        let code = code.into();
        for conn in shared.registry.connections() {
            conn.close(code, b"stopping");
        }
        shared.endpoint.close(code, b"stopping");
        // Comes last, since dropping a link closes its connection without the stop code.
        shared.pool.clear();
        let idle = shared.endpoint.wait_idle();
        let closing = async { time::timeout(CLOSE_TIMEOUT, idle).await };
        if shared.runtime.block_on(closing).is_err() {
            error!("not all peer connections closed in time; stopping anyway");
        }
    }
}

/// Logs a message that a stop cuts off.
fn log_unsettled(now: Instant, message: &Unsettled) {
    let Unsettled { kind, attempt, from, stage, since, changed, .. } = message;
    warn!(
        kind = kind.as_str(),
        attempt,
        %from,
        stage = stage.as_str(),
        age_ms = millis(now.duration_since(*since)),
        stage_ms = millis(now.duration_since(*changed)),
        "stopped before the sender of a message had its answer"
    );
}
