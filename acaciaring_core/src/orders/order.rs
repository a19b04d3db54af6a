//! Orders to an upstream, and what comes back.

use std::time::Duration;

use crate::id::{Name, Token};
use crate::time::Time;

/// Order to hold a range of keys, or to give it back.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// First key.
    pub first: u32,
    /// Last key.
    pub last: u32,
    /// Fencing token.
    pub token: Token,
    /// What is to be done with the keys.
    pub action: Action,
}

/// What an upstream is to do with a range of keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Hold it for a time that counts from the arrival of the order.
    Grant {
        /// Time of the grant.
        hold: Duration,
        /// What the last holder gave out, empty when it gave nothing or has no longer to be told.
        handover: Name,
    },
    /// Take no new work for it, and answer once the work on it has ended.
    Release,
}

/// Order that is to be sent now.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Issued {
    /// Number of the order, never used again.
    pub number: u64,
    /// The order.
    pub order: Order,
    /// Time at which it is given up: its connection is closed, so it arrives no later.
    pub deadline: Time,
    /// True when it may go over a new connection.
    ///
    /// Guards against an upstream that ends and starts again under its name between two reports:
    /// the order would reach it under a token that the former start had. Kept connections end with
    /// the start, so only a new one can lead to another.
    pub may_connect: bool,
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// It is carried out.
    Done {
        /// What the upstream gives to the next holder, empty where it gives nothing.
        handover: Name,
    },
    /// The upstream has seen a higher token for one of the keys.
    Superseded,
    /// The upstream does not take the order as it stands.
    Rejected,
    /// It surely has not arrived, or is not taken now.
    Unsent,
    /// It was not sent, for there is no kept connection and it may not go over a new one.
    Unconnected,
    /// There is no answer: it may be carried out, now or seconds later.
    Unknown,
}

/// Range of keys of an order whose answer has come, for the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Completion {
    /// The order.
    pub order: Order,
    /// Time since it was decided.
    pub age: Duration,
    /// True when the answer changes what the upstream serves or may hold.
    pub changed: bool,
}
