//! Decision logic of acaciaring, without I/O or threads; the current time is passed as an argument.

pub mod admin;
pub mod admission;
pub mod attempt;
pub mod balance;
pub mod body_budget;
pub mod connection_limit;
pub mod dedup;
pub mod drain;
pub mod evacuation;
pub mod fanout;
pub mod held_limit;
pub mod holds;
mod id;
pub mod lag;
pub mod lease;
pub mod link_queue;
pub mod orders;
pub mod pace;
pub mod quarantine;
pub mod rates;
pub mod refusal_cache;
pub mod retry;
pub mod rights;
pub mod route;
pub mod selector;
pub mod state;
mod time;
pub mod vacancy;
mod verdict;

pub use crate::id::{
    Fingerprint, Generation, KeyHash, MemberId, Name, Offset, RequestId, Slot, Token, UnitId,
};
pub use crate::time::Time;
pub use crate::verdict::{Reason, Refusal, Verdict};
pub use acaciaring_schema::quantity::{QuantityError, parse_duration, parse_size};
