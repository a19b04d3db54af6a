//! Conversions between protobuf messages and the types of the core.

use std::time::Duration;

use acaciaring_core::route::Rank;
use acaciaring_core::{KeyHash, Reason, Refusal, UnitId, Verdict};
use acaciaring_schema::{log, peer};

use crate::upstream::UpstreamAnswer;

/// Timeout of a background call to another member.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Converts headers from their message form.
pub(crate) fn headers(list: &[peer::Header]) -> Vec<(String, Vec<u8>)> {
    list.iter().map(|header| (header.name.clone(), header.value.clone())).collect()
}

/// Converts headers to their message form.
pub(crate) fn header_list(headers: &[(String, Vec<u8>)]) -> Vec<peer::Header> {
    headers
        .iter()
        .map(|(name, value)| peer::Header { name: name.clone(), value: value.clone() })
        .collect()
}

/// Converts a complete answer of an upstream.
pub(crate) fn answer(answer: UpstreamAnswer) -> peer::Answer {
    peer::Answer {
        verdict: peer::Verdict::Answered.into(),
        status: u32::from(answer.status),
        headers: header_list(&answer.headers),
        length: answer.body.len() as u64,
        body: answer.body,
        ..peer::Answer::default()
    }
}

/// Converts a refusal to an answer.
pub(crate) fn refusal(refusal: Refusal) -> peer::Answer {
    peer::Answer {
        verdict: verdict_to(refusal.verdict).into(),
        reason: reason_to(refusal.reason).into(),
        retry: refusal.retry.map_or(0, millis),
        ..peer::Answer::default()
    }
}

/// Returns the refusal of an answer, `None` if the answer is complete.
pub(crate) fn refused(answer: &peer::Answer) -> Option<Refusal> {
    let verdict = match answer.verdict() {
        peer::Verdict::Answered => return None,
        peer::Verdict::NotRun => Verdict::NotRun,
        peer::Verdict::Unknown | peer::Verdict::Unspecified => Verdict::Unknown,
    };
    let retry = (answer.retry > 0).then(|| Duration::from_millis(u64::from(answer.retry)));
    Some(Refusal { verdict, reason: reason_from(answer.reason()), retry })
}

/// Returns true if the reply says that the call was accepted.
pub(crate) fn accepted(reply: Option<&peer::reply::Body>) -> bool {
    matches!(reply, Some(peer::reply::Body::Done(peer::Done { accepted: true })))
}

/// Returns the number of a rank, 0 for the most important.
pub(crate) const fn rank_number(rank: Rank) -> u32 {
    rank as u32
}

/// Returns the rank of a number; an unknown number has the lowest priority.
pub(crate) const fn rank(number: u32) -> Rank {
    match number {
        0 => Rank::Critical,
        1 => Rank::Interactive,
        2 => Rank::Bulk,
        _ => Rank::Background,
    }
}

/// Returns a duration in whole milliseconds, saturating.
pub(crate) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a unit to its message form.
pub(crate) fn unit(unit: UnitId, version: u64) -> log::Unit {
    log::Unit { slot: unit.slot, key: unit.key.map(|key| key.0), version }
}

/// Converts a unit from its message form.
pub(crate) fn unit_id(unit: &log::Unit) -> UnitId {
    UnitId { slot: unit.slot, key: unit.key.map(KeyHash) }
}

fn verdict_to(verdict: Verdict) -> peer::Verdict {
    match verdict {
        Verdict::NotRun => peer::Verdict::NotRun,
        Verdict::Answered => peer::Verdict::Answered,
        Verdict::Unknown => peer::Verdict::Unknown,
    }
}

fn reason_to(reason: Reason) -> peer::Reason {
    match reason {
        Reason::NotOwner => peer::Reason::NotOwner,
        Reason::NoLease => peer::Reason::NoLease,
        Reason::Busy => peer::Reason::Busy,
        Reason::Shed => peer::Reason::Shed,
        Reason::Expired => peer::Reason::Expired,
        Reason::StandbyLost => peer::Reason::StandbyLost,
        Reason::Draining => peer::Reason::Draining,
        Reason::UpstreamDown => peer::Reason::UpstreamDown,
        Reason::Superseded => peer::Reason::Superseded,
        Reason::NoRoute => peer::Reason::NoRoute,
        Reason::Cancelled => peer::Reason::Cancelled,
        Reason::DedupLost => peer::Reason::DedupLost,
        Reason::LostAnswer => peer::Reason::LostAnswer,
        Reason::BadRequest => peer::Reason::BadRequest,
        Reason::Unreachable => peer::Reason::Unreachable,
        Reason::Quarantined => peer::Reason::Quarantined,
        Reason::LinkFull => peer::Reason::LinkFull,
    }
}

fn reason_from(reason: peer::Reason) -> Reason {
    match reason {
        peer::Reason::NotOwner => Reason::NotOwner,
        peer::Reason::NoLease => Reason::NoLease,
        peer::Reason::Busy => Reason::Busy,
        peer::Reason::Shed => Reason::Shed,
        peer::Reason::Expired => Reason::Expired,
        peer::Reason::StandbyLost => Reason::StandbyLost,
        peer::Reason::Draining => Reason::Draining,
        peer::Reason::UpstreamDown => Reason::UpstreamDown,
        peer::Reason::Superseded => Reason::Superseded,
        peer::Reason::NoRoute => Reason::NoRoute,
        peer::Reason::Cancelled => Reason::Cancelled,
        peer::Reason::DedupLost => Reason::DedupLost,
        peer::Reason::BadRequest => Reason::BadRequest,
        peer::Reason::Unreachable => Reason::Unreachable,
        peer::Reason::Quarantined => Reason::Quarantined,
        peer::Reason::LinkFull => Reason::LinkFull,
        // An answer whose reason is missing or unknown is treated as lost.
        peer::Reason::LostAnswer | peer::Reason::None => Reason::LostAnswer,
    }
}
