//! HTTP/1.1 client with persistent connections to one address at a time.
//!
//! A request is sent at most once and never repeated. A connection is reused only after a complete
//! answer, so a late answer to an abandoned request is never read as the answer to another one.
//!
//! A server may send an answer twice, the second time where the next answer is expected. What tells
//! the two apart is an [`AnswerId`], so a connection never carries the same one twice.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::Time;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response::Parts;
use hyper::http::{HeaderMap, header};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rustix::net::sockopt;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::{debug, info};

use super::answer_id::{AnswerId, CarriedIds};
use super::error::{
    ConnectSnafu, ExchangeError, NoRoomSnafu, TooLargeSnafu, UnconnectedSnafu, UnsentSnafu,
};
use super::held::HeldBytes;
use super::incomplete::IncompleteAnswers;
use super::read_limit::ReadLimit;
use super::write_limit::{AbandonGuard, LimitedStream, WriteLimit};
use crate::clock;
use crate::log_limiter::LogLimiter;

/// Divisor of the server's keep-alive timeout that gives the time for which a connection is reused.
///
/// Leaves a margin for transmission: a request that is sent while the server closes the connection
/// has an unknown outcome.
const KEEP_ALIVE_DIVISOR: u32 = 2;

/// Maximum wait for a connection to become ready after its answer was read.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2);

/// Maximum size of the head of an answer, and of its trailers, bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Limit on log lines per second about answers that were given up before they were complete.
const MAX_LOG_LINES: u32 = 5;

/// Settings of a client.
#[derive(Debug, Clone, Copy)]
pub struct ClientSettings {
    /// Maximum number of idle connections.
    pub connections: usize,
    /// Timeout for connecting.
    pub connect: Duration,
    /// Time for which an idle connection is reused if the server states no keep-alive timeout.
    pub idle: Duration,
    /// Maximum size of an answer body, bytes.
    pub body: usize,
    /// Maximum size of all incomplete answers together, bytes; one takes half of it at most.
    pub incomplete: u64,
    /// Idle time before the first TCP keep-alive probe and interval of probes, in whole seconds;
    /// `None` disables them.
    pub probe: Option<Duration>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connections: 32,
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(4),
            body: 16 << 20,
            incomplete: 32 << 20,
            probe: None,
        }
    }
}

/// Complete answer.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Number of the connection, counted by its client.
    pub connection: u64,
    /// True if the connection was reused.
    pub reused: bool,
    kept: Option<IdleConnection>,
}

/// Request without an answer, returned if it was not sent.
struct Failed {
    error: ExchangeError,
    request: Option<hyper::Request<Full<Bytes>>>,
}

#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    number: u64,
    sender: SendRequest<Full<Bytes>>,
    limit: Arc<WriteLimit>,
    received: Arc<ReadLimit>,
    reused: bool,
    carried: CarriedIds,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// HTTP client; its connections close when it is dropped.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    idle: Mutex<Vec<IdleConnection>>,
    /// Number of connections so far.
    connected: AtomicU64,
    held: HeldBytes,
    incomplete: IncompleteAnswers,
    log_limit: LogLimiter,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            idle: Mutex::default(),
            connected: AtomicU64::default(),
            held: HeldBytes::default(),
            incomplete: IncompleteAnswers::new(settings.incomplete),
            log_limit: LogLimiter::new(MAX_LOG_LINES),
        }
    }

    /// Counts the bytes of incomplete answers as held.
    #[must_use]
    pub fn counted(self, held: HeldBytes) -> Self {
        Self { held, ..self }
    }

    /// Sends a request once, over an existing or a new connection, and reads its complete answer.
    ///
    /// The caller limits the time by dropping the future, which resets the connection.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::may_have_arrived`] tells whether the server may have received the request.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<Exchange, ExchangeError> {
        self.exchange_once(address, request, None).await
    }

    /// Sends a request like [`Self::exchange`], over a connection that has not carried its id.
    ///
    /// The caller must check that the answer has the id. Guards against an extra copy of the answer
    /// to an earlier try of the same request, which has it as well.
    ///
    /// # Errors
    ///
    /// As [`Self::exchange`].
    pub async fn exchange_identified(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        id: AnswerId,
    ) -> Result<Exchange, ExchangeError> {
        self.exchange_once(address, request, Some(id)).await
    }

    async fn exchange_once(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        id: Option<AnswerId>,
    ) -> Result<Exchange, ExchangeError> {
        let request = match self.send_kept(address, request, id, None).await {
            Ok(exchange) => return Ok(exchange),
            Err(Failed { request: Some(request), .. }) => request,
            Err(Failed { error, .. }) => return Err(error),
        };
        let connection = self.connect(address).await?;
        self.send(connection, request, id, None).await.map_err(|failed| failed.error)
    }

    /// Sends a request like [`Self::exchange`] and waits for its answer until a deadline, after
    /// which nothing of it is written.
    ///
    /// Its connection has not carried its id, if it has one. Connects only if `may_connect` allows it.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::may_have_arrived`] tells whether the server may have received the request;
    /// [`ExchangeError::Unconnected`] is returned if it needs a new connection.
    pub async fn exchange_until(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        id: Option<AnswerId>,
        deadline: Time,
        may_connect: bool,
    ) -> Result<Exchange, ExchangeError> {
        let request = match self.send_kept(address, request, id, Some(deadline)).await {
            Ok(exchange) => return Ok(exchange),
            Err(Failed { request: Some(request), .. }) => request,
            Err(Failed { error, .. }) => return Err(error),
        };
        if !may_connect {
            return UnconnectedSnafu { address }.fail();
        }
        let connecting = timeout(deadline.since(clock::now()), self.connect(address));
        let timed_out =
            |_| Err(io::Error::from(io::ErrorKind::TimedOut)).context(ConnectSnafu { address });
        let connection = connecting.await.unwrap_or_else(timed_out)?;
        self.send(connection, request, id, Some(deadline)).await.map_err(|failed| failed.error)
    }

    /// Sends a request over an existing connection, if there is one.
    async fn send_kept(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        id: Option<AnswerId>,
        deadline: Option<Time>,
    ) -> Result<Exchange, Failed> {
        match self.take(address, id) {
            Some(connection) => self.send(connection, request, id, deadline).await,
            None => Err(Failed {
                error: ExchangeError::Unconnected { address },
                request: Some(request),
            }),
        }
    }

    /// Sends a request over a connection and reads its complete answer, until the deadline.
    async fn send(
        &self,
        mut connection: Connection,
        request: hyper::Request<Full<Bytes>>,
        id: Option<AnswerId>,
        deadline: Option<Time>,
    ) -> Result<Exchange, Failed> {
        if let Some(id) = id {
            connection.carried.add(clock::now(), id);
        }
        let address = connection.address;
        let limit = Arc::clone(&connection.limit);
        limit.begin(deadline);
        connection.received.begin();
        let answer = self.send_unlimited(connection, request);
        let Some(deadline) = deadline else { return answer.await };
        let Ok(answered) = timeout(deadline.since(clock::now()), answer).await else {
            let written = limit.stop();
            let error = if written {
                ExchangeError::Expired { address }
            } else {
                ExchangeError::Unwritten { address }
            };
            return Err(Failed { error, request: None });
        };
        answered.map_err(|failed| match failed.error {
            ExchangeError::Lost { .. } if !limit.stop() => {
                Failed { error: ExchangeError::Unwritten { address }, ..failed }
            }
            _ => failed,
        })
    }

    async fn send_unlimited(
        &self,
        connection: Connection,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<Exchange, Failed> {
        let limit = Arc::clone(&connection.limit);
        let mut given_up = GivenUpLog {
            client: self,
            address: connection.address,
            connection: connection.number,
            received: Arc::clone(&connection.received),
            armed: true,
        };
        let mut exchange = pin!(self.exchange_on(connection, request));
        // Declared last to be dropped first: once the exchange is dropped, the task of the
        // connection may close it at any moment.
        let guard = AbandonGuard::new(limit);
        let (ended, answered) = exchange.as_mut().await;
        given_up.armed = false;
        if answered {
            guard.answered();
        }
        ended
    }

    /// Sends a request and receives its answer; also returns true if there was an answer.
    async fn exchange_on(
        &self,
        mut connection: Connection,
        request: hyper::Request<Full<Bytes>>,
    ) -> (Result<Exchange, Failed>, bool) {
        let address = connection.address;
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let exchange = self.receive(connection, response).await;
                (exchange.map_err(|error| Failed { error, request: None }), true)
            }
            Err(mut error) => {
                let request = error.take_message();
                let source = error.into_error();
                let error = match request {
                    // Closed while idle.
                    Some(_) => ExchangeError::Unsent { address, source },
                    None => ExchangeError::Lost { address, source },
                };
                (Err(Failed { error, request }), false)
            }
        }
    }

    /// Returns the connection of an exchange to the pool.
    ///
    /// Must be called only after the answer was verified to belong to the request.
    pub async fn release(&self, exchange: &mut Exchange) {
        let Some(mut kept) = exchange.kept.take() else { return };
        // The connection is not ready if the answer came before the request was completely sent.
        let ready = timeout(RELEASE_TIMEOUT, kept.connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle.lock();
        if idle.len() < self.settings.connections {
            idle.push(kept);
        }
    }

    /// Takes the most recently used connection that has not carried an id.
    fn take(&self, address: SocketAddr, id: Option<AnswerId>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|IdleConnection { connection, until }| {
            connection.address == address && now < *until && connection.sender.is_ready()
        });
        let fits =
            |kept: &IdleConnection| id.is_none_or(|id| !kept.connection.carried.contains(id));
        let index = idle.iter().rposition(fits)?;
        let IdleConnection { connection, .. } = idle.remove(index);
        Some(Connection { reused: true, ..connection })
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ExchangeError> {
        let connected = timeout(self.settings.connect, TcpStream::connect(address)).await;
        let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.context(ConnectSnafu { address })?;
        self.set_socket_options(&stream).context(ConnectSnafu { address })?;
        let limit = Arc::new(WriteLimit::default());
        let received = Arc::new(ReadLimit::default());
        let stream = LimitedStream::new(stream, Arc::clone(&limit), Arc::clone(&received));
        let mut builder = http1::Builder::new();
        builder.max_header_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(UnsentSnafu { address })?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(%address, error = &error as &dyn Error, "client connection failed");
            }
        });
        let number = self.connected.fetch_add(1, Ordering::Relaxed) + 1;
        let carried = CarriedIds::default();
        Ok(Connection { address, number, sender, limit, received, reused: false, carried })
    }

    /// Sets `TCP_NODELAY` and, if configured, TCP keep-alive and the user timeout (RFC 5482).
    ///
    /// Guards against half-open connections, such as those dropped by a middlebox, on which a
    /// request would wait forever.
    fn set_socket_options(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let Some(probe) = self.settings.probe else { return Ok(()) };
        sockopt::set_socket_keepalive(stream, true)?;
        sockopt::set_tcp_keepidle(stream, probe)?;
        sockopt::set_tcp_keepintvl(stream, probe)?;
        sockopt::set_tcp_keepcnt(stream, 1)?;
        let bound = u32::try_from((probe * 2).as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(stream, bound)?;
        Ok(())
    }

    async fn receive(
        &self,
        connection: Connection,
        response: hyper::Response<Incoming>,
    ) -> Result<Exchange, ExchangeError> {
        let (head, body) = response.into_parts();
        let body = self.read(&connection, body).await?;
        let until = Instant::now() + keep_alive(&head.headers).unwrap_or(self.settings.idle);
        let Connection { number, reused, .. } = connection;
        let kept = (!closes(&head.headers)).then_some(IdleConnection { connection, until });
        Ok(Exchange { head, body, connection: number, reused, kept })
    }

    async fn read(
        &self,
        Connection { address, received, .. }: &Connection,
        mut body: Incoming,
    ) -> Result<Bytes, ExchangeError> {
        let (address, limit) = (*address, self.settings.body);
        let mut buffer = BytesMut::new();
        let mut incomplete = self.incomplete.begin(&self.held);
        while let Some(frame) = body.frame().await {
            let Ok(data) =
                frame.map_err(|source| ExchangeError::Lost { address, source })?.into_data()
            else {
                continue;
            };
            received.add_body(data.len());
            let size = buffer.len() + data.len();
            if size > limit {
                return TooLargeSnafu { address, limit }.fail();
            }
            if !incomplete.add(data.len()) {
                return NoRoomSnafu { address, size }.fail();
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }
}

/// Logs on drop that an exchange was given up after a part of its answer had arrived.
struct GivenUpLog<'a> {
    client: &'a Client,
    address: SocketAddr,
    connection: u64,
    received: Arc<ReadLimit>,
    armed: bool,
}

impl Drop for GivenUpLog<'_> {
    fn drop(&mut self) {
        let Self { client, address, connection, received, armed } = self;
        let received = received.received();
        if !*armed || received == 0 {
            return;
        }
        let Some(left_out) = client.log_limit.admit(clock::now()) else { return };
        info!(
            %address, connection, received, left_out,
            "gave up an answer that was not complete in time, closing its connection"
        );
    }
}

/// Returns how long an idle connection may be reused, from the server's `Keep-Alive` header.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = stated.parse().ok()?;
    Some(Duration::from_secs(seconds.into()) / KEEP_ALIVE_DIVISOR)
}

fn closes(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(header::CONNECTION).iter();
    values.any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
