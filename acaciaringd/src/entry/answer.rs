//! Answers to callers.

use std::io::{Cursor, Write};
use std::time::Duration;

use acaciaring_core::{Reason, Refusal, Verdict};
use serde_json::json;
use tiny_http::{Header, Response};

use crate::header::{self, Headers};

const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const BAD_GATEWAY: u16 = 502;
const UNAVAILABLE: u16 = 503;
const GATEWAY_TIMEOUT: u16 = 504;

const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAnswer {
    /// Verdict on whether the request may have run.
    pub verdict: Verdict,
    /// Reason of a refusal; `None` for an answer of an upstream.
    pub reason: Option<Reason>,
    /// HTTP status.
    pub status: u16,
    /// Headers of the upstream without hop-by-hop headers.
    pub headers: Headers,
    /// Complete body.
    pub body: Vec<u8>,
    /// Delay after which the caller may retry.
    pub retry: Option<Duration>,
    /// Hint: the member that owns the key.
    pub owner: Option<String>,
}

impl From<Refusal> for EntryAnswer {
    fn from(refusal: Refusal) -> Self {
        Self::refusal(refusal)
    }
}

impl EntryAnswer {
    /// Creates the answer for a refusal, with the status for its verdict and reason.
    #[must_use]
    pub fn refusal(refusal: Refusal) -> Self {
        Self::refusal_with(refusal, status(refusal))
    }

    /// Creates the answer for a refusal with a given status.
    pub(crate) fn refusal_with(refusal: Refusal, status: u16) -> Self {
        let body = json!({
            "verdict": refusal.verdict,
            "reason": refusal.reason,
            "retry_ms": refusal.retry.map(millis),
        });
        Self {
            verdict: refusal.verdict,
            reason: Some(refusal.reason),
            status,
            headers: vec![(header::CONTENT_TYPE.into(), b"application/json".into())],
            body: body.to_string().into_bytes(),
            retry: refusal.retry,
            owner: None,
        }
    }

    /// Encodes the answer as HTTP/1.1.
    ///
    /// `tiny_http::Response` would alter an answer of the upstream: it accepts only ASCII values,
    /// merges repeated content types, adds headers and may use chunked coding.
    pub(crate) fn encode(&self, head: bool, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 512);
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            if !header::same(name, header::CONTENT_LENGTH) && !self.replaces(name) {
                write_header(&mut out, name, value);
            }
        }
        for (name, value) in self.protocol_headers() {
            write_header(&mut out, name, value.as_bytes());
        }
        if let Some(length) = self.length(head) {
            write_header(&mut out, header::CONTENT_LENGTH, length.to_string().as_bytes());
        }
        if close {
            write_header(&mut out, header::CONNECTION, b"close");
        }
        out.extend_from_slice(b"\r\n");
        if !head && !self.is_bodiless() {
            out.extend_from_slice(&self.body);
        }
        out
    }

    /// Returns true for an upstream header that is replaced by the answer's own retry delay.
    fn replaces(&self, name: &str) -> bool {
        self.retry.is_some() && header::same(name, header::RETRY_AFTER)
    }

    /// Returns the protocol headers.
    fn protocol_headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![(header::VERDICT, self.verdict.as_str().to_owned())];
        if let Some(reason) = self.reason {
            headers.push((header::REASON, reason.as_str().to_owned()));
        }
        if let Some(owner) = &self.owner {
            headers.push((header::OWNER, owner.clone()));
        }
        if let Some(retry) = self.retry {
            let seconds = retry.as_millis().div_ceil(1000);
            headers.push((header::RETRY_AFTER, seconds.to_string()));
            headers.push((header::RETRY_MS, millis(retry).to_string()));
        }
        headers
    }

    /// Converts a refusal to a `tiny_http` response.
    pub(crate) fn response(&self) -> Response<Cursor<Vec<u8>>> {
        let mut response = Response::from_data(self.body.clone()).with_status_code(self.status);
        let own = self.protocol_headers();
        let own = own.iter().map(|(name, value)| (*name, value.as_bytes()));
        let headers = self.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice()));
        for (name, value) in headers.chain(own) {
            if let Ok(header) = Header::from_bytes(name, value) {
                response.add_header(header);
            }
        }
        response
    }

    /// Returns the value of `Content-Length`; for `HEAD` and 304 that of the upstream.
    fn length(&self, head: bool) -> Option<u64> {
        let own = Some(self.body.len() as u64);
        let stated = || parse_number(header::find(&self.headers, header::CONTENT_LENGTH)?);
        match self.status {
            NO_CONTENT => None,
            NOT_MODIFIED => stated(),
            _ if head && self.body.is_empty() => stated(),
            _ => own,
        }
    }

    const fn is_bodiless(&self) -> bool {
        matches!(self.status, NO_CONTENT | NOT_MODIFIED)
    }
}

/// Returns the HTTP status of a refusal.
const fn status(refusal: Refusal) -> u16 {
    match refusal.verdict {
        Verdict::Unknown | Verdict::Answered => BAD_GATEWAY,
        Verdict::NotRun => not_run_status(refusal.reason),
    }
}

const fn not_run_status(reason: Reason) -> u16 {
    match reason {
        Reason::BadRequest => BAD_REQUEST,
        Reason::NoRoute => NOT_FOUND,
        Reason::Expired => GATEWAY_TIMEOUT,
        Reason::NotOwner
        | Reason::NoLease
        | Reason::Busy
        | Reason::Shed
        | Reason::StandbyLost
        | Reason::Draining
        | Reason::UpstreamDown
        | Reason::Superseded
        | Reason::Cancelled
        | Reason::DedupLost
        | Reason::LostAnswer
        | Reason::Unreachable
        | Reason::Quarantined
        | Reason::LinkFull => UNAVAILABLE,
    }
}

/// Writes a header; omits one with line breaks, which would allow header injection.
fn write_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    let breaks = |bytes: &[u8]| bytes.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
    if breaks(name.as_bytes()) || breaks(value) {
        return;
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn reason_phrase(status: u16) -> &'static str {
    tiny_http::StatusCode(status).default_reason_phrase()
}
