//! Names of HTTP headers, and removal of those that must not be forwarded.

use ureq::http::HeaderMap;

/// Prefix of all headers that this project defines.
pub(crate) const PREFIX: &str = "x-acaciaring-";

pub(crate) const ATTEMPT: &str = "x-acaciaring-attempt";
pub(crate) const CALL: &str = "x-acaciaring-call";
pub(crate) const DEADLINE: &str = "x-acaciaring-deadline";
pub(crate) const FENCE: &str = "x-acaciaring-fence";
pub(crate) const OWNER: &str = "x-acaciaring-owner";
pub(crate) const REASON: &str = "x-acaciaring-reason";
pub(crate) const REFUSED: &str = "x-acaciaring-refused";
pub(crate) const REQUEST: &str = "x-acaciaring-request";
pub(crate) const RETRY_MS: &str = "x-acaciaring-retry-ms";
pub(crate) const VERDICT: &str = "x-acaciaring-verdict";

pub(crate) const CONNECTION: &str = "connection";
pub(crate) const CONTENT_LENGTH: &str = "content-length";
pub(crate) const CONTENT_TYPE: &str = "content-type";
pub(crate) const EXPECT: &str = "expect";
pub(crate) const HOST: &str = "host";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub(crate) const RETRY_AFTER: &str = "retry-after";
pub(crate) const TRANSFER_ENCODING: &str = "transfer-encoding";

/// Hop-by-hop headers, RFC 9110, section 7.6.1.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header names with raw values, which need not be ASCII.
pub type Headers = Vec<(String, Vec<u8>)>;

/// Returns the first value of a header; names are compared without case.
pub(crate) fn find<'a>(headers: &'a [(String, Vec<u8>)], name: &str) -> Option<&'a [u8]> {
    let header = headers.iter().find(|(found, _)| found.eq_ignore_ascii_case(name))?;
    Some(&header.1)
}

/// Returns true unless a response repeats another value of a request header.
pub(crate) fn repeats(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers.get_all(name).iter().all(|repeated| repeated.as_bytes() == value.as_bytes())
}

/// Removes the hop-by-hop headers, including those that `connection` nominates.
pub(crate) fn strip_hop(headers: &mut Headers) {
    let nominated = nominated(headers);
    headers.retain(|(name, _)| !is_hop(name) && !nominated.iter().any(|n| same(n, name)));
}

/// Removes the headers of this project, so that neither callers nor upstreams can forge them.
pub(crate) fn strip_own(headers: &mut Headers) {
    headers.retain(|(name, _)| !has_prefix(name));
}

fn nominated(headers: &Headers) -> Vec<String> {
    let values = headers.iter().filter(|(name, _)| same(name, CONNECTION));
    let mut names = Vec::new();
    for (_, value) in values {
        let value = String::from_utf8_lossy(value);
        names.extend(value.split(',').map(|name| name.trim().to_owned()));
    }
    names
}

fn is_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| same(hop, name))
}

fn has_prefix(name: &str) -> bool {
    name.get(..PREFIX.len()).is_some_and(|start| same(start, PREFIX))
}

pub(crate) const fn same(one: &str, other: &str) -> bool {
    one.eq_ignore_ascii_case(other)
}
