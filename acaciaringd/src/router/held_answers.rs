//! Refuses requests with large answers while the process holds too many answer bytes.

use std::sync::atomic::{AtomicBool, Ordering};

use acaciaring_core::held_limit::HeldLimit;
use acaciaring_core::route::Class;
use acaciaring_core::{Refusal, Time};
use tracing::warn;

use crate::log_limiter::LogLimiter;
use crate::metrics::{Counter, Metrics};
use crate::web::HeldBytes;

/// Limit on log lines per second about the beginning of refusals.
const MAX_LOG_LINES: u32 = 1;

/// Answer bytes that the process holds, and the limit on them.
pub(crate) struct HeldAnswers {
    pub(crate) bytes: HeldBytes,
    limit: HeldLimit,
    /// True if the last request with a large answer was refused.
    refusing: AtomicBool,
    log_limit: LogLimiter,
}

impl HeldAnswers {
    /// Creates a limit of `limit` bytes.
    pub(crate) fn new(bytes: HeldBytes, limit: u64) -> Self {
        Self {
            bytes,
            limit: HeldLimit::new(limit),
            refusing: AtomicBool::new(false),
            log_limit: LogLimiter::new(MAX_LOG_LINES),
        }
    }

    /// Refuses a request of a class with large answers if too many bytes are held.
    pub(crate) fn check(&self, now: Time, class: &Class, metrics: &Metrics) -> Result<(), Refusal> {
        if !class.large_answer {
            return Ok(());
        }
        let held = self.bytes.get();
        let checked = self.limit.check(held);
        let refused = checked.is_err();
        let refused_before = self.refusing.swap(refused, Ordering::Relaxed);
        if refused {
            metrics.count(Counter::RequestsHeldUp, 1);
        }
        if refused && !refused_before {
            self.log(now, held);
        }
        checked
    }

    fn log(&self, now: Time, held: u64) {
        let Some(left_out) = self.log_limit.admit(now) else { return };
        warn!(
            limit = self.limit.bytes(),
            held, left_out, "answers held exceed limits.held, refusing requests with large answers"
        );
    }
}

#[cfg(test)]
mod tests;
