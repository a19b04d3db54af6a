//! Part of a fencing token that tells starts of one upstream under one assignment apart.

use std::time::Duration;

use crate::id::Token;
use crate::time::Time;

/// Bits of a token below that of the assignment; a raise every [`START`] fills them in 29 hours.
const EPOCH_BITS: u32 = 20;

/// Shortest time in which an upstream ends, starts again and takes a grant.
const MIN_RESTART_TIME: Duration = Duration::from_millis(100);

/// Count of the times at which the upstream may have started anew beside this process.
///
/// Guards against an upstream that starts again under its name while its assignment stays: a grant
/// under the token that the former start had would not be above all earlier ones. The tokens of
/// an assignment are spread, so that there is room for a count below the next one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Epoch {
    count: u64,
    raised: Option<Time>,
}

impl Epoch {
    /// Notes that the upstream may have started anew; tokens are higher from now on.
    pub fn raise(&mut self, now: Time) {
        if self.is_current(now) {
            return;
        }
        self.count = (self.count + 1).min((1 << EPOCH_BITS) - 1);
        self.raised = Some(now);
    }

    /// Returns true while the upstream cannot have started anew since the last raise.
    #[must_use]
    pub fn is_current(&self, now: Time) -> bool {
        self.raised.is_some_and(|raised| now.since(raised) < MIN_RESTART_TIME)
    }

    /// Returns the token to be told to the upstream.
    #[must_use]
    pub const fn fence(&self, token: Token) -> Token {
        Token(token.0 << EPOCH_BITS | self.count)
    }
}
