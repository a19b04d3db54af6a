//! Limit on the connections of callers, at which those that wait the longest give way.

use crate::Time;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request, or for the rest of its body.
    Receiving,
    /// Waits for the rest of a head.
    Head,
    /// Has a request that is being answered, or an answer that is being written.
    Answering,
}

/// Decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission<Id> {
    /// It may be opened.
    Open,
    /// This connection is to be closed for it.
    Replace(Id),
    /// It is to be closed: all others have requests that are being answered.
    Refuse,
}

/// Decides on a new connection beside `open` ones, each with the time since when it is in its phase.
pub fn admit<Id>(
    limit: usize,
    open: impl ExactSizeIterator<Item = (Id, Phase, Time)>,
) -> Admission<Id> {
    if open.len() < limit {
        return Admission::Open;
    }
    let waiting = open.filter(|(_, phase, _)| *phase != Phase::Answering);
    match waiting.min_by_key(|(_, _, since)| *since) {
        Some((id, _, _)) => Admission::Replace(id),
        None => Admission::Refuse,
    }
}

/// Returns the connection that has waited the longest for the rest of a head, which is to be closed
/// when there are too many.
pub fn oldest_head<Id>(open: impl Iterator<Item = (Id, Phase, Time)>) -> Option<Id> {
    let heads = open.filter(|(_, phase, _)| *phase == Phase::Head);
    heads.min_by_key(|(_, _, since)| *since).map(|(id, _, _)| id)
}
