//! Request paths: validation, segments and percent decoding.

use std::borrow::Cow;

/// Returns the path of a request target without its query.
pub(super) fn path_of(target: &str) -> &str {
    target.split(['?', '#']).next().unwrap_or_default()
}

/// Returns the query of a request target, empty if there is none.
pub(super) fn query_of(target: &str) -> &str {
    let (_, query) = target.split_once('?').unwrap_or_default();
    query.split('#').next().unwrap_or_default()
}

/// Returns true if all HTTP implementations see the same segments in the path.
///
/// Guards against an upstream that sees another key or class than the router because it merges
/// empty segments, resolves `.` and `..`, or decodes `%2F` before it splits the path. A request
/// that must run at most once could then be retried.
pub(super) fn is_unambiguous(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else { return false };
    let body = rest.strip_suffix('/').unwrap_or(rest);
    body.is_empty() || body.split('/').all(is_unambiguous_segment)
}

fn is_unambiguous_segment(segment: &str) -> bool {
    let Some(decoded) = decode(segment) else { return false };
    !matches!(&*decoded, b"" | b"." | b"..") && !decoded.contains(&b'/')
}

/// Returns the rest of a path after a prefix, or `None` unless it ends at a segment boundary.
pub(super) fn strip_prefix<'a>(path: &'a str, prefix: &str) -> Option<&'a str> {
    let rest = path.strip_prefix(prefix)?;
    (rest.is_empty() || rest.starts_with('/')).then_some(rest)
}

/// Returns the segments of a path that starts with a slash or is empty.
pub(super) fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').filter(|segment| !segment.is_empty())
}

/// Decodes percent escapes; returns `None` if one is malformed.
pub(super) fn decode(text: &str) -> Option<Cow<'_, [u8]>> {
    if !text.contains('%') {
        return Some(Cow::Borrowed(text.as_bytes()));
    }
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => decoded.push(hex(bytes.next()?)? << 4 | hex(bytes.next()?)?),
            _ => decoded.push(byte),
        }
    }
    Some(Cow::Owned(decoded))
}

fn hex(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
