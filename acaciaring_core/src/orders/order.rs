//! Orders to an upstream and their results.

use std::time::Duration;

use super::ORDER_TIMEOUT;
use crate::holds::CLOCK_DRIFT;
use crate::id::{Name, Token};
use crate::time::Time;

/// Order to hold or to release a range of keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// First key.
    pub first: u32,
    /// Last key.
    pub last: u32,
    /// Fencing token.
    pub token: Token,
    /// Grant or release.
    pub action: Action,
}

/// Action that an upstream is to take on a range of keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Hold the keys for a time that counts from the arrival of the order.
    Grant {
        /// Duration of the grant.
        hold: Duration,
        /// Handover value of the previous holder, empty when there is none or it was passed on.
        handover: Name,
    },
    /// Accept no new requests for the keys and answer once those in flight have ended.
    Release,
}

/// Order to be sent now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Issued {
    /// Number of the order, never reused.
    pub number: u64,
    /// The order.
    pub order: Order,
    /// Time at which its connection is closed when there is no answer, so that it arrives no later.
    pub deadline: Time,
    /// True when it may be sent over a new connection.
    ///
    /// Guards against an upstream that restarts between two heartbeats: it would get the order
    /// under a token of its previous incarnation. Open connections end with an incarnation, so only
    /// a new one can lead to another.
    pub may_connect: bool,
}

impl Issued {
    /// Returns the deadline if the order is sent at `now` by the member that issued it, whose lease
    /// then lasts until `lease`.
    ///
    /// Guards against orders that always miss their deadline while the process is short of
    /// processor: under a renewed lease a grant may arrive later than it was decided for.
    #[must_use]
    pub fn deadline_at(&self, now: Time, lease: Time) -> Time {
        let full = now + ORDER_TIMEOUT;
        let latest = match &self.order.action {
            Action::Grant { hold, .. } => full.min(lease - hold.mul_f64(1.0 + CLOCK_DRIFT)),
            Action::Release => full,
        };
        self.deadline.max(latest)
    }
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The upstream has carried out the order.
    Done {
        /// Handover value for the next holder, empty when there is none.
        handover: Name,
    },
    /// The upstream has seen a higher token for at least one of the keys.
    Superseded,
    /// The upstream does not accept the order in this form.
    Rejected,
    /// The order did not arrive, or the upstream does not accept it for now.
    Unsent,
    /// The order was not sent: no connection is open and it may not use a new one.
    Unconnected,
    /// There is no answer: the order may be carried out, now or seconds later.
    Unknown,
}

/// Completed order, for logging.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Completion {
    /// The order.
    pub order: Order,
    /// Time since the order was issued.
    pub age: Duration,
    /// True when the result changes which keys the upstream serves or may hold.
    pub changed: bool,
}
