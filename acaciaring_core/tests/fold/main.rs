//! Tests of the state folded from the control log, and of its snapshots and replicas.

mod documents;
mod generations;
mod members;
mod properties;
mod replica;
mod resume;
mod snapshots;
mod support;
mod units;
