//! Exhaustive search of the ownership protocol.
//!
//! Bounded models drive the types of `acaciaring_core` through every order of events that
//! their bounds allow. Each guard of the protocol can be removed by a
//! [`Mutation`]; the search then has to find a counterexample.

pub mod config;
pub mod generations;
pub mod interner;
pub mod lease;
mod mutation;
pub mod orders;
pub mod records;
pub mod search;
pub mod takeover;

pub use crate::mutation::Mutation;
