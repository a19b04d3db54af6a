//! Tests of the state folded from the control log, its snapshots and its replica.

mod documents;
mod members;
mod properties;
mod replica;
mod resume;
mod snapshots;
mod support;
mod units;
