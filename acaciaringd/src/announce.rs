//! HTTP listener for announcements of the local upstream and for operators, with JSON bodies.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Name;
use acaciaring_core::holds::Incarnation;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use snafu::{ResultExt, Snafu};
use tiny_http::{Header, Method, Request, Response};
use tracing::{debug, info};

use crate::entry::listener::{Handler, Listener, ListenerSettings};

const ANNOUNCE: &str = "/v1/announce";
const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_ALLOWED: u16 = 405;
const TOO_LARGE: u16 = 413;

/// Settings of the listener.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Threads that handle requests.
    pub workers: usize,
    /// Maximum size of a request body, bytes.
    pub body: usize,
    /// Time after which an inactive connection is closed.
    pub idle: Duration,
}

impl Default for AdminSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            workers: 4,
            body: 1 << 20,
            idle: Duration::from_secs(10),
        }
    }
}

/// Error from starting the listener.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// Configured address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Lifecycle phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Started and still warming up.
    Cold,
    /// Ready for its full load.
    Ready,
    /// Leaving; accepts no new requests.
    Draining,
}

/// Periodic announcement of an upstream to its member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Workspace that it serves.
    pub workspace: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// True when it checks fences.
    pub fenced: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Reading of its monotonic clock, milliseconds.
    pub clock: u64,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Identifier of this instance of the upstream, empty if it has none.
    #[serde(default)]
    pub instance: String,
    /// Number that increases with each start of the instance, 0 if the upstream has none.
    #[serde(default)]
    pub born: u64,
    /// Time for which it stays cold, milliseconds; 0 for a warm one.
    #[serde(default)]
    pub cold: u64,
}

impl Announcement {
    /// Returns the incarnation of the upstream.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation { instance: Name::from(self.instance.as_str()), generation: self.born }
    }
}

/// Reply to an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Id of the member; 0 when it has none yet.
    pub member: u64,
    /// True while the member holds its lease.
    pub leased: bool,
}

/// Response to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminAnswer {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub json: Value,
}

/// Handler of announcements and of operators' requests.
pub trait Admin: Send + Sync + 'static {
    /// Handles an announcement of the upstream.
    fn announce(&self, announcement: Announcement) -> AnnounceReply;

    /// Answers a `GET`.
    fn get(&self, path: &str, query: &[(String, String)]) -> AdminAnswer;

    /// Answers a `POST`.
    fn post(&self, path: &str, body: &[u8]) -> AdminAnswer;
}

/// Running listener; stops when it is dropped.
#[derive(Debug)]
pub struct AdminListener(Listener);

impl AdminListener {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub fn start(settings: &AdminSettings, admin: Arc<dyn Admin>) -> Result<Self, AdminError> {
        let AdminSettings { address, workers, body, idle } = *settings;
        let listen = ListenerSettings { address, workers, idle };
        let listener = Listener::start(&listen, AdminHandler { admin, body })
            .context(ListenSnafu { address })?;
        Ok(Self(listener))
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.0.local_addr()
    }
}

/// Request handler of the listener.
struct AdminHandler {
    admin: Arc<dyn Admin>,
    body: usize,
}

impl Handler for AdminHandler {
    fn enter(&self, raw: Request) -> Option<Request> {
        Some(raw)
    }

    fn serve(&self, raw: Request) {
        serve(raw, &*self.admin, self.body);
    }
}

fn serve(mut raw: Request, admin: &dyn Admin, limit: usize) {
    let answer = match body(&mut raw, limit) {
        Ok(body) => dispatch(&raw, &body, admin),
        Err(status) => problem(status, "body"),
    };
    let json = answer.json.to_string();
    let kind = Header::from_bytes("content-type", "application/json").expect("a valid header");
    let response = Response::from_data(json).with_header(kind).with_status_code(answer.status);
    // Send a Content-Length for large bodies too, instead of the default chunked encoding.
    let response = response.with_chunked_threshold(usize::MAX);
    if let Err(error) = raw.respond(response) {
        debug!(%error, "client disconnected before the response was sent");
    }
}

fn dispatch(raw: &Request, body: &[u8], admin: &dyn Admin) -> AdminAnswer {
    let (path, query) = raw.url().split_once('?').unwrap_or((raw.url(), ""));
    match (raw.method(), path) {
        (Method::Post, ANNOUNCE) => announce(raw, body, admin),
        (Method::Get, _) => admin.get(path, &parse_query(query)),
        (Method::Post, _) => admin.post(path, body),
        _ => problem(NOT_ALLOWED, "method"),
    }
}

fn announce(raw: &Request, body: &[u8], admin: &dyn Admin) -> AdminAnswer {
    match serde_json::from_slice(body) {
        Ok(announcement) => AdminAnswer { status: OK, json: json!(admin.announce(announcement)) },
        Err(error) => {
            info!(remote = ?raw.remote_addr(), %error, "rejecting a malformed announcement");
            problem(BAD_REQUEST, &error.to_string())
        }
    }
}

/// Reads the body, or returns the status of the refusal.
fn body(raw: &mut Request, limit: usize) -> Result<Vec<u8>, u16> {
    if raw.body_length().is_some_and(|length| length > limit) {
        return Err(TOO_LARGE);
    }
    let mut body = Vec::new();
    let bound = limit as u64 + 1;
    raw.as_reader().take(bound).read_to_end(&mut body).map_err(|_| BAD_REQUEST)?;
    if body.len() > limit { Err(TOO_LARGE) } else { Ok(body) }
}

fn problem(status: u16, cause: &str) -> AdminAnswer {
    AdminAnswer { status, json: json!({ "error": cause }) }
}

/// Splits a query into names and values, which are not percent-decoded.
fn parse_query(query: &str) -> Vec<(String, String)> {
    let parts = query.split('&').filter(|part| !part.is_empty());
    let pair = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        (name.to_owned(), value.to_owned())
    };
    parts.map(pair).collect()
}
