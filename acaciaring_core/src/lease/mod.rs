//! Majority leases: a member serves requests only while a majority of its lessors grant it a lease.
//!
//! [`Holder`] renews the lease, [`Lessor`] grants it to others and votes once a grant has expired,
//! [`Tally`] counts those votes to prove that another member's lease has expired.

mod holder;
mod lessor;
mod tally;

use std::time::Duration;

pub use self::holder::Holder;
pub use self::lessor::Lessor;
pub use self::tally::Tally;
use crate::id::{MemberId, Offset};

/// Durations of the lease protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Interval between renewals.
    pub interval: Duration,
    /// Time without an answer after which a renewal is resent.
    pub resend: Duration,
    /// Duration of a grant, which the lessor counts from receipt of the renewal.
    pub term: Duration,
    /// Part of the term that the holder leaves unused, to allow for clock drift.
    pub margin: Duration,
    /// Time without a lease after which a member abandons its identity.
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
    /// Returns how long the holder relies on a grant, counted from sending the renewal.
    #[must_use]
    pub fn usable(&self) -> Duration {
        self.term.saturating_sub(self.margin)
    }

    /// Returns the time after which a lessor's recorded death counts as its vote.
    ///
    /// A lessor that is recorded as dead but only partitioned still grants until it abandons its
    /// identity, and its last grant runs for one more term. The sum is scaled by the clock drift
    /// that `margin` allows for.
    #[must_use]
    pub fn dead_vote_delay(&self) -> Duration {
        let ratio = self.term.as_secs_f64() / self.usable().as_secs_f64();
        (self.abandon + self.term).mul_f64(ratio)
    }
}

/// Renewal request to be sent to a lessor now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Lessor that the renewal is sent to.
    pub lessor: MemberId,
    /// Sequence number, echoed by the grant.
    pub seq: u64,
    /// Version of the newest lessor set that the holder has read from the log.
    pub version: Offset,
    /// True when the previous renewal was lost and a new connection must be used.
    pub reconnect: bool,
}

/// Answer of a lessor to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Grant {
    /// False when the lessor refuses and will never grant to this holder again.
    pub granted: bool,
    /// Highest version of the holder's lessor set that the lessor has recorded.
    pub version: Offset,
}

/// Vote of a lessor that its grant to a member has expired and that it will not grant again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vote {
    /// Member whose grant has expired.
    pub member: MemberId,
    /// Highest version of the member's lessor set that the lessor has recorded.
    pub version: Offset,
}

/// Proof that a member's lease has expired and cannot be renewed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proof {
    /// Version of the lessor set that the votes are counted against.
    pub version: Offset,
    /// Lessors that voted with this version.
    pub votes: Vec<MemberId>,
    /// Lessors whose recorded death counts as a vote.
    pub lapsed: Vec<MemberId>,
}
