//! Listener for the upstream beside this member and for operators: announcements, and JSON.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
    /// Limit of a body, bytes.
    pub body: usize,
    /// Time after which a connection on which nothing moves is closed.
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

/// Failure to start the listener.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Started, not yet at its full speed.
    Cold,
    /// Ready for its full load.
    Ready,
    /// Leaving; takes no new work.
    Draining,
}

/// What an upstream says of itself, every 500 ms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Workspace and service that it serves.
    pub workspace: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// True when it checks fences.
    pub fenced: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// Reading of its own monotonic clock, milliseconds.
    pub clock: u64,
    /// Phase.
    pub phase: Phase,
    /// Identity of this start of the upstream, where it names one.
    #[serde(default)]
    pub instance: String,
    /// Number that grows with each start under one identity, 0 where the upstream tells none.
    #[serde(default)]
    pub born: u64,
}

/// Answer to an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Id of the member; 0 when it has none yet.
    pub member: u64,
    /// True when the member holds its lease.
    pub leased: bool,
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub json: Value,
}

/// Handler of announcements and of operators' requests.
pub trait Admin: Send + Sync + 'static {
    /// Takes an announcement of the upstream.
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

/// Serves requests one by one.
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
    // Chunks begin at 32 KiB unless told otherwise; a length is simpler to check.
    let response = response.with_chunked_threshold(usize::MAX);
    if let Err(error) = raw.respond(response) {
        debug!(%error, "peer has gone away before its answer");
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
            info!(remote = ?raw.remote_addr(), %error, "announcement that does not parse");
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

/// Splits a query into names and values; values are not escaped on this listener.
fn parse_query(query: &str) -> Vec<(String, String)> {
    let parts = query.split('&').filter(|part| !part.is_empty());
    let pair = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        (name.to_owned(), value.to_owned())
    };
    parts.map(pair).collect()
}
