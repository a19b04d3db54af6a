//! Part of a fencing token that distinguishes incarnations of an upstream under one assignment.

use std::time::Duration;

use crate::id::Token;
use crate::time::Time;

/// Bits of a token below those of the assignment.
///
/// One raise per [`MIN_RESTART_TIME`] uses them up in 29 hours.
const EPOCH_BITS: u32 = 20;

/// Minimum time for an upstream to exit, restart and accept a grant.
const MIN_RESTART_TIME: Duration = Duration::from_millis(100);

/// Counter of possible restarts of the upstream during the life of this process.
///
/// An upstream may restart under the same name while its assignment stays. The counter forms the
/// low bits of the token, so that a grant to the new incarnation is above all earlier ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Epoch {
    count: u64,
    raised: Option<Time>,
}

impl Epoch {
    /// Records that the upstream may have restarted; later tokens are higher.
    pub fn raise(&mut self, now: Time) {
        if self.is_current(now) {
            return;
        }
        self.count = (self.count + 1).min((1 << EPOCH_BITS) - 1);
        self.raised = Some(now);
    }

    /// Returns true while the upstream cannot have restarted since the last raise.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.raised.is_some_and(|raised| now.since(raised) < MIN_RESTART_TIME)
    }

    /// Returns the fencing token to send to the upstream for an assignment's token.
    #[must_use]
    pub const fn fence(&self, token: Token) -> Token {
        Token(token.0 << EPOCH_BITS | self.count)
    }
}
