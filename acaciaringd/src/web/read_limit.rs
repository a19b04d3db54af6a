//! Limits on what a server sends in place of an answer.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of an answer that may arrive beyond its body: heads, informational responses and framing.
///
/// Covers what the connection reads ahead of the body that is counted, up to 400 KB at a time.
const MAX_OVERHEAD_BYTES: u64 = 2 << 20;

/// Factor of the body that may arrive as the framing of its chunks, in addition.
const FRAMING_FACTOR: u64 = 2;

/// Limit on the bytes of one answer that are not its body.
///
/// Guards against bytes without end that never become an answer, such as informational responses or
/// chunks of one byte: they cost little memory, but processor time until the deadline.
#[derive(Debug, Default)]
pub(super) struct ReadLimit {
    received: AtomicU64,
    body: AtomicU64,
}

impl ReadLimit {
    /// Resets the counts for the next answer.
    pub(super) fn begin(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.body.store(0, Ordering::Relaxed);
    }

    /// Counts bytes of the body.
    pub(super) fn add_body(&self, bytes: usize) {
        self.body.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of bytes that have arrived.
    pub(super) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Counts bytes that have arrived on the connection.
    ///
    /// # Errors
    ///
    /// Fails once too many of them are not part of the body.
    pub(super) fn add(&self, bytes: usize) -> io::Result<()> {
        let received = self.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let body = self.body.load(Ordering::Relaxed);
        if received <= MAX_OVERHEAD_BYTES + FRAMING_FACTOR * body {
            return Ok(());
        }
        let cause = format!("{received} bytes arrived, of which {body} are the body of the answer");
        Err(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

#[cfg(test)]
mod tests;
