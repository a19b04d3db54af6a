//! What came of one try, and what the caller is told of it.

use acaciaring_core::{MemberId, Reason, Refusal, Verdict};
use acaciaring_schema::peer::Answer;

use super::RETRY_AFTER;
use crate::entry::EntryAnswer;
use crate::peer::RequestOutcome;
use crate::wire;

/// What a caller is told of a request that may have run.
pub(super) const LOST_ANSWER: Refusal = Refusal::unknown(Reason::LostAnswer);

/// What a member reports on its answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    pub(super) busy: u32,
    /// Requests that may run at once; 0 while the upstream asks to be left alone.
    pub(super) capacity: u32,
}

/// What came of one try.
pub(super) enum AttemptOutcome {
    /// The upstream answered.
    Answered(Answer),
    /// The member refused.
    Refused { refusal: Refusal, owner: Option<MemberId>, load: Load },
    /// The request did not arrive and never will.
    Undelivered,
    /// The request may have run.
    Lost,
}

impl AttemptOutcome {
    /// Returns the answer, or what the caller is told without a further try.
    pub(super) fn result(self) -> Result<Answer, Refusal> {
        match self {
            Self::Answered(answer) => Ok(answer),
            Self::Refused { refusal, .. } => Err(refusal),
            Self::Undelivered => Err(Refusal::not_run(Reason::Unreachable).after(RETRY_AFTER)),
            Self::Lost => Err(LOST_ANSWER),
        }
    }
}

/// Returns true when an upstream has seen a try, or may have.
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

/// Adds when to come back to a refusal that does not say it and may end by itself.
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
