//! Limit on the answer bytes that a process holds, mostly for callers that read slowly.

use std::time::Duration;

use crate::{Reason, Refusal};

/// Retry delay of a refused request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limit on held answer bytes, above which requests with large answers are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLimit {
    bytes: u64,
}

impl HeldLimit {
    /// Creates a limit in bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self { bytes }
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.bytes
    }

    /// Decides whether a request with a large answer is taken while `held` bytes are held.
    ///
    /// # Errors
    ///
    /// Refuses it as not run if more bytes are held than the limit allows.
    pub const fn check(self, held: u64) -> Result<(), Refusal> {
        if held <= self.bytes {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Busy).after(RETRY_AFTER))
    }
}
