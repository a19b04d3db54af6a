//! Reads request bodies within limits of size and time.

use std::io::{ErrorKind, Read};
use std::time::Duration;

use acaciaring_core::Time;

use crate::clock;
use crate::entry::request::Framing;

/// Maximum size up to which a body that is too large is still read to its end, bytes.
///
/// `tiny_http` allocates the rest of a body when it drops the request; above this size a failed
/// allocation could abort the process.
pub(crate) const MAX_DISCARD: u64 = 64 << 20;

/// Size of the read buffer, bytes.
const CHUNK_SIZE: usize = 64 << 10;

/// Maximum capacity reserved for the length stated by the caller, bytes.
const MAX_RESERVE: u64 = 1 << 20;

/// Limits of a body: size in bytes and time to arrive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    pub(crate) size: u64,
    pub(crate) time: Duration,
}

/// Error of reading a complete body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// Above the size limit; read to its end, so the connection stays usable.
    TooLarge,
    /// Above [`MAX_DISCARD`]; not read to its end.
    Huge,
    /// Incomplete at the time limit.
    Slow,
    /// The caller has closed the connection.
    Cut,
    /// Invalid chunked coding.
    Malformed,
}

/// Reads a complete body that began to arrive at `start`.
pub(crate) fn read(
    raw: &mut tiny_http::Request,
    framing: Framing,
    limits: BodyLimits,
    start: Time,
) -> Result<Vec<u8>, BodyError> {
    let stated = match framing {
        Framing::Length(length) if length > MAX_DISCARD => return Err(BodyError::Huge),
        Framing::Length(length) => Some(length),
        Framing::Chunked => None,
    };
    let mut source = raw.as_reader().take(stated.unwrap_or(MAX_DISCARD + 1));
    let mut body = Vec::new();
    if let Some(length) = stated.filter(|&length| length <= limits.size) {
        body.reserve(usize::try_from(length.min(MAX_RESERVE)).unwrap_or(0));
    }
    let size = stated.and_then(|length| usize::try_from(length).ok());
    let mut chunk = vec![0; size.map_or(CHUNK_SIZE, |size| size.clamp(1, CHUNK_SIZE))];
    let mut size = 0;
    loop {
        let read = match source.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(classify(error.kind(), stated)),
        };
        size += read as u64;
        if size <= limits.size {
            body.extend_from_slice(&chunk[..read]);
        }
        if stated != Some(size) && clock::now().since(start) > limits.time {
            return Err(BodyError::Slow);
        }
    }
    match stated {
        Some(length) if size < length => Err(BodyError::Cut),
        None if size > MAX_DISCARD => Err(BodyError::Huge),
        _ if size > limits.size => Err(BodyError::TooLarge),
        _ => Ok(body),
    }
}

/// Maps a read error to a socket timeout, invalid chunked coding or a lost connection.
const fn classify(kind: ErrorKind, stated: Option<u64>) -> BodyError {
    match (kind, stated) {
        (ErrorKind::WouldBlock | ErrorKind::TimedOut, _) => BodyError::Slow,
        (ErrorKind::InvalidInput | ErrorKind::InvalidData, None) => BodyError::Malformed,
        _ => BodyError::Cut,
    }
}
