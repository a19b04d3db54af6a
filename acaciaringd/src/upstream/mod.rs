//! Client of the local upstream, over HTTP/1.1.
//!
//! A call sends at most one request. With redirects off, `ureq` never repeats a request: a dead
//! pooled connection is an error of the call. Every HTTP status is an answer, not an error.
//!
//! # Verdicts
//!
//! A failure before the first byte was written to the socket is `NotRun`; the connections track
//! that. After that only a refusal by the upstream proves that the request did not run, and any
//! other failure is `Unknown`, including a pooled connection that the upstream closed concurrently.
//!
//! # Connections
//!
//! `ureq` returns a connection to its pool only after the complete answer was read by its framing
//! with no bytes left over. A call that timed out or failed closes its connection, so a late answer
//! is never read as the answer of another request. An answer that repeats the header of an attempt
//! is read as that of no other attempt, which guards against upstreams that send an answer twice;
//! `ureq` closes a connection on which bytes arrive while it is idle. Connections idle for longer
//! than `idle` are not reused; that must be shorter than the idle timeout of the upstream.

mod answer;
mod cancel;
mod client;
pub(crate) mod transport;

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use acaciaring_core::{KeyHash, Reason, Refusal, RequestId, Slot, Token, UnitId};
use tracing::{debug, info_span};
use ureq::config::Config;
use ureq::http::{Method, Request, Uri};
use ureq::unversioned::transport::{Connector, TcpConnector};
use ureq::{Agent, RequestExt};

use crate::header::{self, Headers};
use crate::trace::{Hex, TRACEPARENT, TraceContext};
pub use crate::upstream::answer::UpstreamAnswer;
pub(crate) use crate::upstream::client::ThreadedClient;
pub use crate::upstream::client::{
    OrderCall, UpstreamClient, UpstreamNotice, UpstreamReply, UpstreamRequest,
};
use crate::upstream::transport::{NumericResolver, TrackingConnector};
use crate::web::IncompleteAnswers;

/// Settings of the client of the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Maximum number of idle connections.
    pub connections: usize,
    /// Timeout for connecting.
    pub connect: Duration,
    /// Maximum age of an idle connection; must be below the idle timeout of the upstream.
    pub idle: Duration,
    /// Maximum size of a response body, bytes; all incomplete ones together may have twice as many.
    pub body: u64,
    /// Timeout of a cancellation.
    pub cancel: Duration,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            connections: 100,
            connect: Duration::from_millis(250),
            idle: Duration::from_secs(2),
            body: 64 << 20,
            cancel: Duration::from_millis(500),
        }
    }
}

/// Proof of ownership that a fenced upstream checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// Slot or hot key; tokens are comparable only within one unit.
    pub unit: UnitId,
    /// Fencing token of the owner.
    pub token: Token,
    /// End of the lease on the upstream's clock, milliseconds.
    pub until: u64,
}

impl fmt::Display for Fence {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{};{};{}", self.unit, self.token.0, self.until)
    }
}

impl Fence {
    /// Parses a header value; `None` if it is invalid.
    #[must_use]
    pub fn parse(value: &str) -> Option<Self> {
        let mut parts = value.split(';');
        let unit = parse_unit(parts.next()?)?;
        let token = Token(parse_number(parts.next()?)?);
        let until = parse_number(parts.next()?)?;
        let complete = parts.next().is_none();
        complete.then_some(Self { unit, token, until })
    }
}

/// One attempt of a request, with borrowed contents.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCall<'a> {
    /// Announced address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Request headers of the caller.
    pub headers: &'a [(String, Vec<u8>)],
    /// Complete body.
    pub body: &'a [u8],
    /// Request id.
    pub id: RequestId,
    /// Attempt number.
    pub attempt: u64,
    /// Remaining time until the deadline.
    pub left: Duration,
    /// Proof of ownership, for services partitioned by key.
    pub fence: Option<Fence>,
    /// Trace context of this member, a `traceparent` value.
    pub trace: &'a str,
}

/// Blocking client of the upstream.
pub struct Upstream {
    agent: Agent,
    settings: UpstreamSettings,
    incomplete: IncompleteAnswers,
}

impl Upstream {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(settings: UpstreamSettings) -> Self {
        let agent = agent(&settings);
        let incomplete = IncompleteAnswers::new(settings.body.saturating_mul(2));
        Self { agent, settings, incomplete }
    }

    /// Sends a request and waits for its complete answer, at most `left`.
    ///
    /// # Errors
    ///
    /// `NotRun` if the upstream never received the request or refused it without running it,
    /// otherwise `Unknown`.
    pub fn send(&self, call: &UpstreamCall<'_>) -> Result<UpstreamAnswer, Refusal> {
        let context = TraceContext::receive(Some(call.trace));
        let span = info_span!(
            "upstream",
            trace = %context.trace_id(),
            span = %context.span_id(),
            address = %call.address,
            attempt = call.attempt,
        );
        let _entered = span.enter();
        if call.left < Duration::from_millis(1) {
            return Err(Refusal::not_run(Reason::Expired));
        }
        let request = build(call, &context).ok_or(Refusal::not_run(Reason::BadRequest))?;
        transport::begin(self.settings.body);
        let request = request
            .with_agent(&self.agent)
            .configure()
            .timeout_global(Some(call.left))
            .timeout_connect(Some(self.settings.connect.min(call.left)))
            .build();
        let response = request.run().map_err(|error| failure(&error))?;
        answer::receive(response, call, self.settings.body, &self.incomplete)
    }

    /// Asks the upstream to cancel an attempt, best effort.
    pub fn cancel(&self, address: SocketAddr, attempt: u64) {
        transport::begin(0);
        let url = format!("http://{address}/acaciaring/cancel/{attempt}");
        let request = self.agent.post(url).config().timeout_global(Some(self.settings.cancel));
        if let Err(error) = request.build().send_empty() {
            debug!(%address, attempt, %error, "cannot cancel an attempt at the upstream");
        }
    }
}

impl Debug for Upstream {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("Upstream").field("settings", &self.settings).finish_non_exhaustive()
    }
}

fn agent(settings: &UpstreamSettings) -> Agent {
    let connector = TcpConnector::default().chain(TrackingConnector);
    Agent::with_parts(config(settings), connector, NumericResolver)
}

/// Returns a configuration in which `ureq` adds no headers, follows no redirects and uses no proxy.
fn config(settings: &UpstreamSettings) -> Config {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .allow_non_standard_methods(true)
        .no_delay(true)
        .max_idle_connections(settings.connections)
        .max_idle_connections_per_host(settings.connections)
        .max_idle_age(settings.idle)
        .build()
}

/// Builds the request with the protocol headers; `None` if it is not valid HTTP.
fn build<'a>(call: &UpstreamCall<'a>, context: &TraceContext) -> Option<Request<&'a [u8]>> {
    let method = Method::from_bytes(call.method.as_bytes()).ok()?;
    let uri: Uri = format!("http://{}{}", call.address, call.path).parse().ok()?;
    let unchanged = uri.path_and_query()?.as_str() == call.path;
    let mut headers: Headers = call.headers.to_vec();
    header::strip_hop(&mut headers);
    header::strip_own(&mut headers);
    headers.retain(|(name, _)| !is_replaced(name));
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in &headers {
        request = request.header(name, value.as_slice());
    }
    for (name, value) in protocol_headers(call, context) {
        request = request.header(name, value);
    }
    let request = request.body(call.body).ok()?;
    unchanged.then_some(request)
}

/// Returns true for a header that the client sets itself.
fn is_replaced(name: &str) -> bool {
    const REPLACED: [&str; 3] = [header::CONTENT_LENGTH, header::EXPECT, TRACEPARENT];
    REPLACED.iter().any(|other| header::same(other, name))
}

fn protocol_headers(
    call: &UpstreamCall<'_>,
    context: &TraceContext,
) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        (header::REQUEST, Hex(&call.id.0).to_string()),
        (header::ATTEMPT, call.attempt.to_string()),
        (header::DEADLINE, call.left.as_millis().to_string()),
        (TRACEPARENT, context.to_string()),
    ];
    if let Some(fence) = call.fence {
        headers.push((header::FENCE, fence.to_string()));
    }
    if !call.body.is_empty() {
        headers.push((header::CONTENT_LENGTH, call.body.len().to_string()));
    }
    headers
}

/// Maps an error to `NotRun` if nothing was sent to the upstream, otherwise to `Unknown`.
fn failure(error: &ureq::Error) -> Refusal {
    debug!(%error, "request to the upstream failed");
    match (transport::has_sent(), error) {
        (true, _) => Refusal::unknown(Reason::LostAnswer),
        (false, ureq::Error::Timeout(ureq::Timeout::Global)) => Refusal::not_run(Reason::Expired),
        (false, ureq::Error::Http(_) | ureq::Error::BadUri(_) | ureq::Error::Protocol(_)) => {
            Refusal::not_run(Reason::BadRequest)
        }
        (false, _) => Refusal::not_run(Reason::UpstreamDown),
    }
}

/// Parses `SLOT` or `SLOT.KEY`, the key hash as 16 hexadecimal digits.
fn parse_unit(text: &str) -> Option<UnitId> {
    let (slot, key) = match text.split_once('.') {
        Some((slot, key)) => (slot, Some(parse_key_hash(key)?)),
        None => (text, None),
    };
    Some(UnitId { slot: Slot::try_from(parse_number(slot)?).ok()?, key })
}

fn parse_key_hash(text: &str) -> Option<KeyHash> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let value = u64::from_str_radix(text, 16).ok().filter(|_| digits)?;
    Some(KeyHash(value))
}

/// Parses an unsigned decimal number.
fn parse_number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if digits { text.parse().ok() } else { None }
}
