//! Reads responses of the upstream: complete answers, `NotRun` refusals, or lost answers.

use std::io::{self, Read};
use std::time::Duration;

use acaciaring_core::{Reason, Refusal};
use tracing::warn;
use ureq::Body;
use ureq::http::{HeaderMap, Response, StatusCode};

use crate::header::{self, Headers};
use crate::upstream::UpstreamCall;
use crate::web::{HeldBytes, IncompleteAnswers};

/// Value of the header by which a fenced upstream refuses.
const FENCE: &str = "fence";

/// Value of the header by which an upstream that sheds load refuses.
const SHED: &str = "shed";

/// Value of the header by which an upstream refuses a request whose deadline has passed.
const DEADLINE: &str = "deadline";

/// Value of the header by which an upstream refuses a cancelled request.
const CANCELLED: &str = "cancelled";

/// Retry delay after load shedding without `Retry-After`.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// Bytes of a body that are read before they are counted.
const PART_BYTES: u64 = 64 << 10;

/// Complete answer of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers without hop-by-hop headers and those of the acaciaring protocol.
    pub headers: Headers,
    /// Complete body.
    pub body: Vec<u8>,
    /// Length of the body, bytes.
    pub length: u64,
}

/// Reads the response to an attempt to the end of its body, at most `limit` bytes.
pub(super) fn receive(
    mut response: Response<Body>,
    call: &UpstreamCall<'_>,
    limit: u64,
    incomplete: &IncompleteAnswers,
) -> Result<UpstreamAnswer, Refusal> {
    let status = response.status();
    let head = response.headers().clone();
    if !header::repeats(&head, header::ATTEMPT, &call.attempt.to_string()) {
        warn!(attempt = call.attempt, "upstream response belongs to another attempt; answer lost");
        return Err(Refusal::unknown(Reason::LostAnswer));
    }
    let bodiless = is_bodiless(status, call.method);
    let body = read_body(&mut response, bodiless, limit, incomplete);
    // A refusal in the head is valid even if the body was truncated.
    if let Some(refusal) = parse_refusal(status, &head) {
        return Err(refusal);
    }
    // Informational statuses, such as 101, are not answers to a plain request.
    let body = body.filter(|_| !status.is_informational());
    let body = body.ok_or(Refusal::unknown(Reason::LostAnswer))?;
    let mut headers = collect(&head);
    header::strip_hop(&mut headers);
    header::strip_own(&mut headers);
    if !bodiless {
        headers.retain(|(name, _)| !header::same(name, header::CONTENT_LENGTH));
    }
    let length = body.len() as u64;
    Ok(UpstreamAnswer { status: status.as_u16(), headers, body, length })
}

/// Reads the body; `None` if it is incomplete.
fn read_body(
    response: &mut Response<Body>,
    bodiless: bool,
    limit: u64,
    incomplete: &IncompleteAnswers,
) -> Option<Vec<u8>> {
    if bodiless {
        return Some(Vec::new());
    }
    let stated = content_length(response.headers());
    if stated.is_none() && !is_chunked(response.headers()) {
        // `ureq` accepts a body delimited by the end of its connection, which may be truncated.
        warn!("upstream response has neither Content-Length nor chunked coding; answer lost");
        return None;
    }
    match read_to_end(response.body_mut().with_config().limit(limit).reader(), incomplete) {
        Ok(body) if stated.is_none_or(|length| length == body.len() as u64) => Some(body),
        Ok(body) => {
            warn!(?stated, length = body.len(), "upstream response body truncated; answer lost");
            None
        }
        Err(error) => {
            warn!(%error, "cannot read the upstream response body; answer lost");
            None
        }
    }
}

/// Reads a body in parts, and counts them as incomplete until its end.
fn read_to_end(mut reader: impl Read, incomplete: &IncompleteAnswers) -> io::Result<Vec<u8>> {
    let mut answer = incomplete.begin(&HeldBytes::default());
    let mut body = Vec::new();
    loop {
        match reader.by_ref().take(PART_BYTES).read_to_end(&mut body)? {
            0 => return Ok(body),
            count if answer.add(count) => {}
            _ => return Err(io::Error::other("no room for an answer that is not complete")),
        }
    }
}

/// Parses a refusal by which the upstream states that it has not run the request.
fn parse_refusal(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
    let value = headers.get(header::REFUSED)?.to_str().ok()?;
    match (status, value.trim()) {
        (StatusCode::CONFLICT, FENCE) => Some(Refusal::not_run(Reason::NoLease)),
        (StatusCode::SERVICE_UNAVAILABLE, SHED) => {
            Some(Refusal::not_run(Reason::Busy).after(retry_after(headers).unwrap_or(SHED_RETRY)))
        }
        (StatusCode::GATEWAY_TIMEOUT, DEADLINE) => Some(Refusal::not_run(Reason::Expired)),
        (StatusCode::SERVICE_UNAVAILABLE, CANCELLED) => Some(Refusal::not_run(Reason::Cancelled)),
        _ => None,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: u32 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds.into()))
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let coding = headers.get(header::TRANSFER_ENCODING);
    coding.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Returns `Content-Length`; `None` with a transfer coding, which overrides it (RFC 9112).
fn content_length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

fn is_bodiless(status: StatusCode, method: &str) -> bool {
    let empty = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    method == "HEAD" || empty || status.is_informational()
}

fn collect(headers: &HeaderMap) -> Headers {
    let pair = |(name, value): (&ureq::http::HeaderName, &ureq::http::HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(pair).collect()
}
