//! Parses and validates the heads of callers' requests.

use std::time::Duration;

use acaciaring_core::Time;
use bytes::Bytes;
use tiny_http::Method;

use crate::header::{self, Headers};
use crate::trace::{TRACEPARENT, TraceContext};

/// Complete request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRequest {
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// `Host` header, unmodified.
    pub host: Option<String>,
    /// Headers without hop-by-hop, protocol and trace headers.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
    /// Time within which the caller requires an answer.
    pub deadline: Option<Duration>,
    /// Idempotency key, equal in all repeats of one request.
    pub key: Option<String>,
    /// Caller's name of the request for logs, empty if it states none.
    pub label: String,
    /// Trace context of the caller, with the span of this hop.
    pub trace: TraceContext,
    /// Time at which the request was received.
    pub received: Time,
}

/// Framing of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
}

/// Invalid part of a request that is refused before its body is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Malformed {
    Path,
    Method,
    Framing,
    Deadline,
    HeaderSize,
}

/// Request without its body.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) request: EntryRequest,
    pub(crate) framing: Framing,
    /// True if the body was read together with the head.
    pub(crate) buffered: bool,
}

/// Size up to which `tiny_http` reads a body with the head, unless the caller sent `Expect`, bytes.
const MAX_BUFFERED: u64 = 1024;

/// Value of `Connection` for which `tiny_http` does not frame the body.
const UPGRADE: &[u8] = b"upgrade";

impl Head {
    /// Parses the head of a request, at most `limit` bytes.
    pub(crate) fn read(
        raw: &tiny_http::Request,
        limit: usize,
        now: Time,
    ) -> Result<Self, Malformed> {
        let mut headers = collect(raw, limit)?;
        let framing = framing(&headers)?;
        let expects_continue = header::find(&headers, header::EXPECT).is_some();
        let upgrade = is_upgrade(&headers);
        let buffered = matches!(framing, Framing::Length(n) if n <= MAX_BUFFERED);
        let request = EntryRequest {
            method: method(raw.method())?,
            path: path(raw.url())?,
            host: text(&headers, header::HOST),
            deadline: deadline(&headers)?,
            key: text(&headers, header::IDEMPOTENCY_KEY),
            label: text(&headers, header::IDEMPOTENCY_KEY).unwrap_or_default(),
            trace: TraceContext::receive(text(&headers, TRACEPARENT).as_deref()),
            headers: Vec::new(),
            body: Bytes::new(),
            received: now,
        };
        retain_forwarded(&mut headers);
        let empty = framing == Framing::Length(0);
        let buffered = empty || (buffered && !expects_continue && !upgrade);
        Ok(Self { request: EntryRequest { headers, ..request }, framing, buffered })
    }
}

/// Retains the headers that are forwarded to the upstream.
fn retain_forwarded(headers: &mut Headers) {
    const REPLACED: [&str; 3] = [header::CONTENT_LENGTH, header::EXPECT, TRACEPARENT];
    header::strip_hop(headers);
    header::strip_own(headers);
    headers.retain(|(name, _)| !REPLACED.iter().any(|other| header::same(other, name)));
}

fn collect(raw: &tiny_http::Request, limit: usize) -> Result<Headers, Malformed> {
    let mut size = raw.url().len();
    let mut headers = Vec::with_capacity(raw.headers().len());
    for found in raw.headers() {
        let name = found.field.as_str().as_str();
        let value = found.value.as_str();
        size += name.len() + value.len();
        headers.push((name.to_owned(), value.as_bytes().to_vec()));
    }
    if size > limit { Err(Malformed::HeaderSize) } else { Ok(headers) }
}

/// Returns the framing of the body; refuses ambiguous framing.
///
/// Guards against request smuggling (RFC 9112): with a repeated or malformed length, or one next to
/// a transfer coding, another server could parse the rest of the body as a request.
fn framing(headers: &Headers) -> Result<Framing, Malformed> {
    let values = |name| headers.iter().filter(move |(found, _)| header::same(found, name));
    let mut codings = values(header::TRANSFER_ENCODING);
    let mut lengths = values(header::CONTENT_LENGTH);
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::Length(0)),
        (Some((_, coding)), None) if codings.next().is_none() && !is_upgrade(headers) => {
            let chunked = coding.eq_ignore_ascii_case(b"chunked");
            if chunked { Ok(Framing::Chunked) } else { Err(Malformed::Framing) }
        }
        (None, Some((_, length))) if lengths.next().is_none() => {
            let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(length).ok().filter(|_| digits);
            let length = length.and_then(|text| text.parse().ok());
            length.map(Framing::Length).ok_or(Malformed::Framing)
        }
        _ => Err(Malformed::Framing),
    }
}

fn is_upgrade(headers: &Headers) -> bool {
    header::find(headers, header::CONNECTION).is_some_and(has_upgrade)
}

fn deadline(headers: &Headers) -> Result<Option<Duration>, Malformed> {
    let Some(value) = text(headers, header::DEADLINE) else {
        return Ok(None);
    };
    let millis: u32 = value.trim().parse().map_err(|_| Malformed::Deadline)?;
    Ok(Some(Duration::from_millis(millis.into())))
}

/// Returns the path; refuses fragments, which would be dropped before the upstream.
fn path(url: &str) -> Result<String, Malformed> {
    let plain = url.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if plain && url.starts_with('/') { Ok(url.to_owned()) } else { Err(Malformed::Path) }
}

/// Returns the method; refuses `CONNECT`, as tunnels are not supported.
fn method(method: &Method) -> Result<String, Malformed> {
    let name = method.as_str();
    let token = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphabetic());
    if token && *method != Method::Connect { Ok(name.to_owned()) } else { Err(Malformed::Method) }
}

fn text(headers: &Headers, name: &str) -> Option<String> {
    let value = header::find(headers, name)?;
    String::from_utf8(value.to_vec()).ok()
}

/// Returns true if bytes of the request may still be unread on the connection.
pub(crate) fn has_unread(raw: &tiny_http::Request) -> bool {
    const BODY_HEADERS: [&str; 2] = [header::TRANSFER_ENCODING, header::EXPECT];
    let stated = raw.body_length().is_some_and(|length| length as u64 > MAX_BUFFERED);
    let names = raw.headers().iter().map(|found| found.field.as_str().as_str());
    let announces_body =
        |name: &str| BODY_HEADERS.iter().any(|header_name| header::same(header_name, name));
    stated || is_upgrade_of(raw) || names.into_iter().any(announces_body)
}

/// Returns true if `tiny_http` has not framed the body because the request asks for an upgrade.
pub(crate) fn is_upgrade_of(raw: &tiny_http::Request) -> bool {
    let connection = |found: &&tiny_http::Header| found.field.equiv(header::CONNECTION);
    let value = raw.headers().iter().find(connection).map(|found| found.value.as_str());
    value.is_some_and(|value| has_upgrade(value.as_bytes()))
}

fn has_upgrade(value: &[u8]) -> bool {
    value.to_ascii_lowercase().windows(UPGRADE.len()).any(|word| word == UPGRADE)
}
