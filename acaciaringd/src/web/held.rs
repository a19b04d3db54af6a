//! Count of the answer bytes that a process holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;

/// Shared count of answer bytes in memory: those that callers have not read, and those that have
/// arrived from the upstream as part of an incomplete answer.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes(Arc<AtomicU64>);

impl HeldBytes {
    /// Returns the number of bytes that are held now.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts bytes until the guard is dropped.
    pub(crate) fn hold(&self, bytes: usize) -> HeldGuard {
        let mut guard = HeldGuard { held: self.clone(), bytes: 0 };
        guard.add(bytes);
        guard
    }

    /// Counts a body until its memory is released.
    ///
    /// A connection releases it once its last byte is written, or when the connection ends.
    pub(super) fn wrap(&self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        let guard = self.hold(body.len());
        Bytes::from_owner(HeldBody { body, _guard: guard })
    }
}

/// Counts bytes as held until dropped.
#[derive(Debug)]
pub(crate) struct HeldGuard {
    held: HeldBytes,
    bytes: u64,
}

impl HeldGuard {
    /// Counts more bytes.
    pub(super) fn add(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.held.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.held.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Body with its guard; both are dropped with the last reference to the body.
struct HeldBody {
    body: Bytes,
    _guard: HeldGuard,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
