//! Tests of proposals whose outcome is late or unknown.

use std::sync::Arc;

use acaciaring_core::state::Rejection;
use acaciaring_schema::log::{Batch, Handoff, Leave};

use super::*;
use crate::appender::AppendOutcome;
use crate::platform::{AppendError, LogService, ReadError};
use crate::read_scheduler::ReadScheduler;

const UNIT: UnitId = UnitId::slot(7);
const LEAVE: record::Body = record::Body::Leave(Leave { member: 3, applied: 9 });

/// Log service that is unreachable.
struct Unreachable;

impl LogService for Unreachable {
    fn append(&self, _: &[u8]) -> Result<Offset, AppendError> {
        Err(AppendError::Unknown { cause: "unreachable".to_owned() })
    }

    fn read(&self, _: Generation, _: Offset, _: usize, _: Duration) -> Result<Batch, ReadError> {
        Err(ReadError::Unavailable { cause: "unreachable".to_owned() })
    }
}

fn proposals() -> Proposals {
    let relay = Box::new(|_: &[u8]| AppendOutcome::Unknown);
    Proposals::new(Appender::start(Arc::new(Unreachable), Arc::new(ReadScheduler::new(10)), relay))
}

fn renouncing(purpose: Purpose) -> Proposal {
    let renounced = vec![(Name::from("books"), UNIT, 5)];
    Proposal { purpose, since: Time::ZERO, renounced, changed: Vec::new(), reply: None }
}

/// Guards against two upstreams that hold one unit: while a leave that was given up may still be
/// appended, the rejection of a second one would let its member take units over.
#[test]
fn a_leave_stays_open_until_its_outcome_is_known() {
    let mut proposals = proposals();
    proposals.propose(Time::ZERO, Purpose::Leave, LEAVE);
    proposals.propose(Time::ZERO, Purpose::Attach, LEAVE);
    proposals.expire(Time::from_millis(60_000));
    assert!(!proposals.pending(&Purpose::Attach));
    assert!(proposals.pending(&Purpose::Leave));
}

/// Guards against two upstreams that hold one unit: a role that two records give away may be used
/// again only when both are rejected.
#[test]
fn a_rejected_leave_restores_no_role_that_a_handoff_may_give_away() {
    let mut proposals = proposals();
    let (first, second) = ([1; 16], [2; 16]);
    let handoff = Purpose::Handoff(Name::from("books"), MemberId(8));
    let body = record::Body::Handoff(Handoff::default());
    assert!(proposals.submit_as(first, renouncing(handoff), body));
    assert!(proposals.submit_as(second, renouncing(Purpose::Leave), LEAVE));
    let rejected = Outcome::Rejected(Rejection::Assigned);
    let leave = proposals.settle(&second, &rejected).expect("open");
    assert_eq!(proposals.without_renounced(&leave.renounced), []);
    let handoff = proposals.settle(&first, &rejected).expect("open");
    assert_eq!(proposals.without_renounced(&handoff.renounced), handoff.renounced);
}
