//! Leases: a member serves only while a majority of its lessors vouch for it.
//!
//! [`Holder`] asks for grants, [`Lessor`] gives them and votes once they have
//! run out, [`Tally`] counts the votes about others.

mod holder;
mod lessor;
mod tally;

use std::time::Duration;

pub use self::holder::Holder;
pub use self::lessor::Lessor;
pub use self::tally::Tally;
use crate::id::{MemberId, Offset};

/// Times that govern leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Time between two renewals.
    pub interval: Duration,
    /// Time without an answer after which a renewal is sent again.
    pub resend: Duration,
    /// Time for which a lessor grants, counted from receipt of the renewal.
    pub term: Duration,
    /// Part of the term that the holder does not use, against drift of clock rates.
    pub margin: Duration,
    /// Time without a lease after which a member gives up its identity.
    pub abandon: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            resend: Duration::from_millis(150),
            term: Duration::from_millis(1400),
            margin: Duration::from_millis(100),
            abandon: Duration::from_secs(30),
        }
    }
}

impl LeaseSettings {
    /// Returns the time for which the holder counts on a grant, from the sending of the renewal.
    #[must_use]
    pub fn usable(&self) -> Duration {
        self.term.saturating_sub(self.margin)
    }

    /// Returns the time after which the recorded death of a lessor stands in for its vote.
    ///
    /// A dead lessor that is only cut off grants until it abandons its
    /// identity, and its last grant lasts one more term. Its clock may be
    /// slower than the reader's by the ratio that `margin` allows for one term,
    /// which over `abandon` is more than one `margin`.
    #[must_use]
    pub fn dead_vote_delay(&self) -> Duration {
        let ratio = self.term.as_secs_f64() / self.usable().as_secs_f64();
        (self.abandon + self.term).mul_f64(ratio)
    }
}

/// Renewal that is to be sent to a lessor now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Lessor to ask.
    pub lessor: MemberId,
    /// Number that the grant repeats.
    pub seq: u64,
    /// Version of the lessor set in force.
    pub version: Offset,
    /// True when the last renewal was not answered: a new connection is to be used.
    pub reconnect: bool,
}

/// Lessor's answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    /// False when the lessor will never grant to this holder again.
    pub granted: bool,
    /// Highest version of the holder's lessor set that the lessor has recorded.
    pub version: Offset,
}

/// Lessor's statement that its grant has run out and that it grants nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    /// Member that the vote is about.
    pub member: MemberId,
    /// Highest version of the member's lessor set that the lessor has recorded.
    pub version: Offset,
}

/// Proof that a member's lease is over for good.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proof {
    /// Version of the lessor set by which the votes are counted.
    pub version: Offset,
    /// Lessors that have voted, each with `version`.
    pub votes: Vec<MemberId>,
    /// Lessors whose recorded death stands in for a vote.
    pub lapsed: Vec<MemberId>,
}
