//! HTTP/1.1 listener.
//!
//! Requests are read completely before they are handled, and answers are written with their length.
//! When a caller closes its connection, the future that answers its request is dropped. An answer is
//! written before the next request of its connection is handled, so a connection holds one answer.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use acaciaring_core::connection_limit::Phase as ConnectionPhase;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::http::{HeaderValue, StatusCode, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::{debug, warn};

use crate::body_memory::{BodyMemory, Charge};
use crate::clock;
use crate::declared::CallerLimits;
use crate::metrics::Metrics;
use crate::peer::BoxFuture;
use crate::web::body;
use crate::web::connections::{Activity, Connections, OpenConnection};
use crate::web::held::HeldBytes;
use crate::web::io::TimedConnection;

/// Answer to a caller.
pub type Response = hyper::Response<Full<Bytes>>;

/// Delay after a failed accept, which is usually due to a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a drain checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum buffer size for a head that `hyper` accepts, bytes.
const MIN_HEAD_BUFFER: usize = 8192;

/// Receive buffer of a connection, bytes; the kernel holds as much for a caller that is not read.
const RECEIVE_BUFFER: usize = 64 << 10;

/// Size of a head up to which its memory is that of its connection, bytes.
const SMALL_HEAD: usize = 2 << 10;

/// Copies of a head that are made while its request is answered.
const HEAD_COPIES: usize = 5;

/// Retry delay of a request for whose body there is no room, seconds.
const RETRY_AFTER: &str = "1";

/// Error of starting a listener.
#[derive(Debug, Snafu)]
pub enum WebError {
    /// Cannot bind the address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Configured address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Cause of an incomplete request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The body exceeds the limit.
    TooLarge,
    /// The body was not received in time.
    Slow,
    /// The body is malformed or truncated.
    Malformed,
    /// The bodies of all requests take too much memory.
    NoRoom,
}

impl Fault {
    /// Returns the default answer.
    #[must_use]
    pub fn answer(self) -> Response {
        let status = match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = text(status, "");
        if self == Self::NoRoom {
            let retry = HeaderValue::from_static(RETRY_AFTER);
            response.headers_mut().insert(header::RETRY_AFTER, retry);
        }
        response
    }
}

/// Limits of a listener, and the counts that it keeps.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum number of connections; one that waits gives way to a new one.
    pub connections: usize,
    /// Memory of request bodies.
    pub bodies: BodyMemory,
    /// Count of answer bytes, which includes an answer until it is written.
    pub held: HeldBytes,
    /// Counters of bodies and connections that were given up.
    pub metrics: Metrics,
}

impl Default for ServerLimits {
    fn default() -> Self {
        let metrics = Metrics::none();
        Self {
            connections: 64,
            bodies: BodyMemory::new(16 << 20, metrics.clone()),
            held: HeldBytes::default(),
            metrics,
        }
    }
}

/// Handler of HTTP requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Returns the current limits on callers.
    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    /// Answers a complete request.
    fn answer(&self, head: Parts, body: Bytes) -> BoxFuture<'_, Response>;

    /// Answers an incomplete request, which does not run; its connection is closed.
    fn refuse(&self, fault: Fault) -> Response {
        fault.answer()
    }
}

/// Returns a response with a status and a text body.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Phase of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Accepts connections.
    Open,
    /// Connections close after the current request.
    Closing,
}

/// Running listener; stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    requests: Arc<AtomicUsize>,
    connections: Arc<Connections>,
}

impl Server {
    /// Binds the address and serves connections on a runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        runtime: &Handle,
        address: SocketAddr,
        handler: Arc<dyn HttpHandler>,
    ) -> Result<Self, WebError> {
        Self::start_limited(runtime, address, handler, ServerLimits::default())
    }

    /// Starts a listener like [`Self::start`] with other limits.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start_limited(
        runtime: &Handle,
        address: SocketAddr,
        handler: Arc<dyn HttpHandler>,
        limits: ServerLimits,
    ) -> Result<Self, WebError> {
        let failed = |source| WebError::Listen { address, source };
        let socket = std::net::TcpListener::bind(address).map_err(failed)?;
        // Connections inherit it.
        sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER)
            .map_err(|error| failed(error.into()))?;
        socket.set_nonblocking(true).map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(socket).map_err(failed)?;
        let (phase, receiver) = watch::channel(Phase::Open);
        let ServerLimits { connections, bodies, held, metrics } = limits;
        let requests = Arc::default();
        let connections = Arc::new(Connections::new(connections, metrics));
        let dispatcher = Arc::new(Dispatcher {
            handler,
            requests: Arc::clone(&requests),
            connections: Arc::clone(&connections),
            bodies,
            held,
        });
        runtime.spawn(accept(listener, dispatcher, receiver));
        Ok(Self { address, phase, requests, connections })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits for connections to close, at most `bound`.
    ///
    /// Connections close after the current request, idle ones at once. Waiting for their end
    /// ensures that answers are written before the process exits. Returns the number of unfinished
    /// requests.
    #[must_use]
    pub fn drain(&self, bound: Duration) -> usize {
        self.phase.send_replace(Phase::Closing);
        let start = std::time::Instant::now();
        loop {
            std::thread::sleep(POLL_INTERVAL);
            let connections = self.connections.count();
            if connections > 0 && start.elapsed() < bound {
                continue;
            }
            let requests = self.requests.load(Ordering::Acquire);
            if connections > 0 {
                warn!(connections, requests, "listener closes connections at the end of its drain");
            }
            return requests;
        }
    }
}

/// Handler with the limits and counters of its listener.
struct Dispatcher {
    handler: Arc<dyn HttpHandler>,
    requests: Arc<AtomicUsize>,
    connections: Arc<Connections>,
    bodies: BodyMemory,
    held: HeldBytes,
}

async fn accept(
    listener: TcpListener,
    dispatcher: Arc<Dispatcher>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut number = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                number += 1;
                // Counted before its task starts, so that a drain misses none.
                let Some(open) = dispatcher.connections.open(number).await else { continue };
                let OpenConnection { activity, closed, guard } = open;
                let served = serve(stream, Arc::clone(&dispatcher), activity, phase.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        // Checked first: a request that is read now must not run.
                        biased;
                        _ = closed => {}
                        () = served => {}
                    }
                    drop(guard);
                });
            }
            Err(error) => {
                warn!(%error, "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends.
async fn serve(
    stream: TcpStream,
    dispatcher: Arc<Dispatcher>,
    activity: Arc<Activity>,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(%error, "connection closed before it was served");
        return;
    }
    let CallerLimits { head, arrival, idle, .. } = dispatcher.handler.limits();
    let closed = Arc::new(AtomicBool::new(false));
    let timed =
        TimedConnection::new(stream, arrival, idle, Arc::clone(&activity), Arc::clone(&closed));
    let io = TokioIo::new(timed);
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let guard = RequestGuard::new(&dispatcher.requests, &activity);
        let (dispatcher, closed) = (Arc::clone(&dispatcher), Arc::clone(&closed));
        async move {
            let response = dispatcher.answer(request, &guard.activity, &closed).await;
            let response = count_body(response, &dispatcher.held).await;
            drop(guard);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head.max(MIN_HEAD_BUFFER)).half_close(false);
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = phase.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(error = &error as &dyn std::error::Error, "caller connection closed with an error");
    }
}

/// Counts a request as in progress until dropped.
struct RequestGuard {
    requests: Arc<AtomicUsize>,
    activity: Arc<Activity>,
}

impl RequestGuard {
    fn new(requests: &Arc<AtomicUsize>, activity: &Arc<Activity>) -> Self {
        requests.fetch_add(1, Ordering::AcqRel);
        activity.set_busy(true);
        Self { requests: Arc::clone(requests), activity: Arc::clone(activity) }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.set_busy(false);
        self.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Dispatcher {
    /// Answers a request unless its caller closed the connection before the body was complete.
    async fn answer(
        &self,
        request: hyper::Request<Incoming>,
        activity: &Activity,
        closed: &AtomicBool,
    ) -> Response {
        let (head, body) = request.into_parts();
        let body = body::read(body, self.handler.limits(), &self.bodies).await;
        let charge = self.charge(&head);
        let body = body.and_then(|body| charge.as_ref().map(|_| body).map_err(|fault| *fault));
        if closed.load(Ordering::Acquire) || !activity.enter(ConnectionPhase::Answering) {
            // Dropped with the connection, whose next read returns the end of the stream.
            return pending().await;
        }
        match body {
            Ok(body) => self.handler.answer(head, body).await,
            Err(fault) => {
                debug!(?fault, path = head.uri.path(), "request rejected: incomplete body");
                let mut response = self.handler.refuse(fault);
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
                response
            }
        }
    }
}

impl Dispatcher {
    /// Takes memory for a large head and its copies, as for a body.
    fn charge(&self, head: &Parts) -> Result<Option<Charge>, Fault> {
        let headers = head.headers.iter();
        let fields: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
        let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
        let size = fields + path;
        if size <= SMALL_HEAD {
            return Ok(None);
        }
        let charge = self.bodies.take(clock::now(), size * HEAD_COPIES);
        charge.map(Some).ok_or(Fault::NoRoom)
    }
}

/// Counts the body of a response as held.
async fn count_body(response: Response, held: &HeldBytes) -> Response {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    Response::from_parts(parts, Full::new(held.wrap(body.to_bytes())))
}
