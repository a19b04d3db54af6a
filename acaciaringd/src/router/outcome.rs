//! Outcome of one attempt, and the answer or refusal that the client gets for it.

use acaciaring_core::{MemberId, Reason, Refusal, Verdict};
use acaciaring_schema::peer::Answer;

use super::RETRY_AFTER;
use crate::entry::EntryAnswer;
use crate::peer::RequestOutcome;
use crate::wire;

/// Refusal of a request that an upstream may have run.
pub(super) const LOST_ANSWER: Refusal = Refusal::unknown(Reason::LostAnswer);

/// Load that a member reports with its answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub(super) busy: u32,
    /// Requests that may run concurrently; zero while the upstream accepts none.
    pub(super) capacity: u32,
}

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// The upstream answered.
    Answered(Answer),
    /// The member refused.
    Refused { refusal: Refusal, owner: Option<MemberId>, load: Load },
    /// The request did not arrive and cannot arrive later.
    Undelivered,
    /// The request may have run, but its answer is lost.
    Lost,
}

impl AttemptOutcome {
    /// Returns the answer, or the refusal that the client gets without a retry.
    pub(super) fn result(self) -> Result<Answer, Refusal> {
        match self {
            Self::Answered(answer) => Ok(answer),
            Self::Refused { refusal, .. } => Err(refusal),
            Self::Undelivered => Err(Refusal::not_run(Reason::Unreachable).after(RETRY_AFTER)),
            Self::Lost => Err(LOST_ANSWER),
        }
    }
}

/// Returns true if an upstream has received the request, or may have.
pub(super) fn reached_upstream(refusal: Refusal) -> bool {
    refusal.verdict == Verdict::Unknown || refusal.reason == Reason::Shed
}

pub(super) fn classify(outcome: RequestOutcome) -> AttemptOutcome {
    match outcome {
        RequestOutcome::NotDelivered => AttemptOutcome::Undelivered,
        RequestOutcome::Lost => AttemptOutcome::Lost,
        RequestOutcome::Answer(answer) => match wire::refused(&answer) {
            Some(refusal) => {
                let load = Load { busy: answer.busy, capacity: answer.capacity };
                AttemptOutcome::Refused { refusal, owner: MemberId::from_wire(answer.owner), load }
            }
            None if answer.length != answer.body.len() as u64 => AttemptOutcome::Lost,
            None => AttemptOutcome::Answered(answer),
        },
    }
}

/// Adds a retry delay to a temporary refusal that has none.
pub(super) fn with_retry_after(refusal: Refusal) -> Refusal {
    let lasting = matches!(refusal.reason, Reason::NoRoute | Reason::BadRequest);
    if refusal.verdict != Verdict::NotRun || lasting {
        return refusal;
    }
    refusal.after(refusal.retry.unwrap_or(RETRY_AFTER))
}

pub(super) fn entry_answer(answer: Answer) -> EntryAnswer {
    EntryAnswer {
        verdict: Verdict::Answered,
        reason: None,
        status: u16::try_from(answer.status).unwrap_or(502),
        headers: wire::headers(&answer.headers),
        body: answer.body,
        retry: None,
        owner: MemberId::from_wire(answer.owner).map(|owner| owner.to_string()),
    }
}
