//! HTTP client for the admin addresses of members, with failover from one to the next.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use acaciaring_core::admin::{self, Conflict, Failure, Invalid, Publish, Published};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::error::{MalformedSnafu, RefusedSnafu, ToolError, UnreachableSnafu, UsageSnafu};

/// Timeout to connect to a member; the next member is tried after it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a read request, so that an unresponsive member does not use up the time of a command.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a publish request; exceeds the member's own wait for the log, after which it
/// answers 504.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(9);

/// Minimum timeout of a request, even past the command's deadline.
const TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Client that tries the members in order until one answers.
pub(crate) struct Client {
    members: Vec<SocketAddr>,
    deadline: Instant,
}

/// Result of one publish request.
#[derive(Debug)]
pub(crate) enum PublishReply {
    /// The change took effect.
    Published(Published),
    /// The change is based on an outdated version.
    Conflict(Conflict),
    /// The change would leave a route that cannot be built.
    Invalid(Invalid),
    /// This attempt appended nothing; it may be retried.
    Refused(String),
    /// The record may or may not have been appended; the same record id may be retried.
    Unknown(String),
}

/// Failure of an HTTP call.
enum CallError {
    /// No connection was made, so the request was not sent.
    Connect(String),
    /// The request may have been sent and taken effect, but no whole response was read.
    Read(String),
}

impl Client {
    /// Creates a client for a command that must end at `deadline`.
    pub(crate) fn new(members: Vec<SocketAddr>, deadline: Instant) -> Self {
        Self { members, deadline }
    }

    /// Returns true once the command's deadline has passed.
    pub(crate) fn deadline_passed(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Sends a GET request to each member in order and parses the first answer below status 500.
    ///
    /// # Errors
    ///
    /// Fails when no member answers, the answer is a refusal, or its body is not the expected JSON.
    pub(crate) fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, ToolError> {
        self.ensure_members()?;
        let mut tried = Vec::new();
        for member in &self.members {
            let request =
                self.agent(READ_TIMEOUT).get(url(*member, path)).query_pairs(query.iter().copied());
            match read_response(request.call()) {
                Ok((200, text)) => return serde_json::from_str(&text).context(MalformedSnafu),
                Ok((status, text)) if status < 500 => return refused(status, &text),
                Ok((status, text)) => tried.push((*member, format!("{status} {}", message(&text)))),
                Err(CallError::Connect(why) | CallError::Read(why)) => tried.push((*member, why)),
            }
        }
        UnreachableSnafu { members: tried }.fail()
    }

    /// Publishes through the first member that accepts a connection.
    ///
    /// Once the request may have been sent, no other member is tried: the caller must first find
    /// out whether the change took effect.
    pub(crate) fn publish(&self, request: &Publish) -> Result<PublishReply, ToolError> {
        self.ensure_members()?;
        let body = serde_json::to_string(request).context(MalformedSnafu)?;
        let mut tried = Vec::new();
        for member in &self.members {
            let post = self.agent(PUBLISH_TIMEOUT).post(url(*member, admin::PUBLISH));
            let post = post.header("content-type", "application/json");
            match read_response(post.send(&body)) {
                Ok((status, text)) => return publish_reply(status, &text),
                Err(CallError::Read(why)) => {
                    return Ok(PublishReply::Unknown(format!("{member}: {why}")));
                }
                Err(CallError::Connect(why)) => tried.push((*member, why)),
            }
        }
        UnreachableSnafu { members: tried }.fail()
    }

    fn ensure_members(&self) -> Result<(), ToolError> {
        ensure!(!self.members.is_empty(), UsageSnafu { message: "--member ADDRESS is required" });
        Ok(())
    }

    /// Returns an agent without pooled connections, so that a failed connection is never reused.
    fn agent(&self, timeout: Duration) -> Agent {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT.min(remaining.max(TIMEOUT_MIN))))
            .timeout_global(Some(timeout.min(remaining.max(TIMEOUT_MIN))))
            .max_idle_connections(0)
            .proxy(None)
            .build();
        config.into()
    }
}

fn url(member: SocketAddr, path: &str) -> String {
    format!("http://{member}{path}")
}

/// Reads the status and the whole body of a response.
fn read_response(result: Result<Response<Body>, ureq::Error>) -> Result<(u16, String), CallError> {
    let response = result.map_err(|error| call_error(&error))?;
    let status = response.status().as_u16();
    let text = response.into_body().read_to_string();
    let text = text.map_err(|error| CallError::Read(error.to_string()))?;
    Ok((status, text))
}

fn call_error(error: &ureq::Error) -> CallError {
    let sent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => false,
        ureq::Error::Timeout(timeout) => *timeout != ureq::Timeout::Connect,
        ureq::Error::Io(error) => error.kind() != io::ErrorKind::ConnectionRefused,
        _ => true,
    };
    if sent { CallError::Read(error.to_string()) } else { CallError::Connect(error.to_string()) }
}

fn publish_reply(status: u16, text: &str) -> Result<PublishReply, ToolError> {
    let reply = match status {
        200 => PublishReply::Published(serde_json::from_str(text).context(MalformedSnafu)?),
        409 => PublishReply::Conflict(serde_json::from_str(text).context(MalformedSnafu)?),
        422 => PublishReply::Invalid(serde_json::from_str(text).context(MalformedSnafu)?),
        503 => PublishReply::Refused(message(text)),
        500.. => PublishReply::Unknown(format!("{status} {}", message(text))),
        _ => return refused(status, text),
    };
    Ok(reply)
}

fn refused<T>(status: u16, text: &str) -> Result<T, ToolError> {
    RefusedSnafu { status, message: message(text) }.fail()
}

/// Extracts the message of a JSON [`Failure`]; any other body is returned trimmed.
fn message(text: &str) -> String {
    match serde_json::from_str::<Failure>(text) {
        Ok(failure) => failure.message,
        Err(_) => text.trim().to_owned(),
    }
}
