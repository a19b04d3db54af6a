//! Requests to the admin address of a member.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use acaciaring_core::admin::{self, Conflict, Failure, Invalid, Publish, Published};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::error::{MalformedSnafu, RefusedSnafu, ToolError, UnreachableSnafu, UsageSnafu};

/// Time in which a connection must be made; after it the next member is asked.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to read; a member that is paused must not use up the whole time of a command.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Time to publish; a member waits up to 8 s for the log before it answers 504.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(9);

/// Least time for a request, also when the time of the command is over.
const TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Asks members in order until one answers.
pub(crate) struct Client {
    members: Vec<SocketAddr>,
    deadline: Instant,
}

/// What became of a request to publish.
#[derive(Debug)]
pub(crate) enum PublishReply {
    /// It took effect.
    Published(Published),
    /// It builds on an old version.
    Conflict(Conflict),
    /// A route would not build.
    Invalid(Invalid),
    /// It may be sent again; nothing was appended by this try.
    Refused(String),
    /// It may be sent again; it is not known whether the record was appended.
    Unknown(String),
}

/// Why a member gave no answer.
enum CallError {
    /// The request was not sent.
    Connect(String),
    /// The request was sent; it may have taken effect.
    Read(String),
}

impl Client {
    /// Returns a client of these members for a command that ends at `deadline`.
    pub(crate) fn new(members: Vec<SocketAddr>, deadline: Instant) -> Self {
        Self { members, deadline }
    }

    /// Returns true when the time of the command is over.
    pub(crate) fn deadline_passed(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Reads from the first member that answers.
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

    /// Publishes through the first member to which the request can be sent.
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

    /// Returns a new agent, so that no connection is used again after it has failed.
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

/// Takes the status and the whole body of an answer.
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

/// Returns the message of a failure, or the text itself when it is none.
fn message(text: &str) -> String {
    match serde_json::from_str::<Failure>(text) {
        Ok(failure) => failure.message,
        Err(_) => text.trim().to_owned(),
    }
}
