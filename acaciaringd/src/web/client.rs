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
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tracing::debug;

use super::answer_id::{AnswerId, CarriedIds};
use super::held::HeldBytes;
use super::write_limit::{AbandonGuard, LimitedStream, WriteLimit};
use crate::clock;

/// Divisor of the server's keep-alive timeout that gives the time for which a connection is reused.
///
/// Leaves a margin for transmission: a request that is sent while the server closes the connection
/// has an unknown outcome.
const KEEP_ALIVE_DIVISOR: u32 = 2;

/// Maximum wait for a connection to become ready after its answer was read.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2);

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
            body: 64 << 20,
            probe: None,
        }
    }
}

/// Error of an exchange.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// Cannot connect; nothing was sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection is unusable; nothing was sent.
    #[snafu(display("connection to {address} closed before the request was sent"))]
    Unsent {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The request may have been sent, and no complete answer was received.
    #[snafu(display("no complete answer from {address}"))]
    Lost {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The request may have been sent, and no complete answer was received before the deadline.
    #[snafu(display("no complete answer from {address} in time"))]
    Expired {
        /// Address.
        address: SocketAddr,
    },
    /// Nothing of the request was written before the deadline.
    #[snafu(display("the request to {address} was not written in time"))]
    Unwritten {
        /// Address.
        address: SocketAddr,
    },
    /// The request needs a new connection, which it may not open; nothing was sent.
    #[snafu(display("no connection to {address} is open"))]
    Unconnected {
        /// Address.
        address: SocketAddr,
    },
    /// The answer body exceeds the limit.
    #[snafu(display("answer body from {address} exceeds {limit} bytes"))]
    TooLarge {
        /// Address.
        address: SocketAddr,
        /// Limit, bytes.
        limit: usize,
    },
}

impl ExchangeError {
    /// Returns true if the server may have received the request.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Expired { .. } | Self::TooLarge { .. })
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
        let mut exchange = pin!(self.exchange_on(connection, request));
        // Declared last to be dropped first: once the exchange is dropped, the task of the
        // connection may close it at any moment.
        let guard = AbandonGuard::new(limit);
        let (ended, answered) = exchange.as_mut().await;
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
                    None => lost(address, source),
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
        let stream = LimitedStream::new(stream, Arc::clone(&limit));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.context(UnsentSnafu { address })?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!(%address, error = &error as &dyn Error, "client connection failed");
            }
        });
        let number = self.connected.fetch_add(1, Ordering::Relaxed) + 1;
        let carried = CarriedIds::default();
        Ok(Connection { address, number, sender, limit, reused: false, carried })
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
        let body = self.read(connection.address, body).await?;
        let until = Instant::now() + keep_alive(&head.headers).unwrap_or(self.settings.idle);
        let Connection { number, reused, .. } = connection;
        let kept = (!closes(&head.headers)).then_some(IdleConnection { connection, until });
        Ok(Exchange { head, body, connection: number, reused, kept })
    }

    async fn read(&self, address: SocketAddr, mut body: Incoming) -> Result<Bytes, ExchangeError> {
        let limit = self.settings.body;
        let mut buffer = BytesMut::new();
        let mut held = self.held.hold(0);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|source| lost(address, source))?.into_data() else {
                continue;
            };
            if buffer.len() + data.len() > limit {
                return TooLargeSnafu { address, limit }.fail();
            }
            held.add(data.len());
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }
}

const fn lost(address: SocketAddr, source: hyper::Error) -> ExchangeError {
    ExchangeError::Lost { address, source }
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
