//! Tests of proposals whose outcome is late or unknown.

use std::sync::Arc;

use acaciaring_schema::log::{Batch, Leave};

use super::*;
use crate::appender::AppendOutcome;
use crate::platform::{AppendError, LogService, ReadError};
use crate::read_scheduler::ReadScheduler;

const LEAVE: record::Body = record::Body::Leave(Leave { member: 3, applied: 9 });

/// Log service that is unreachable.
struct Unreachable;

impl LogService for Unreachable {
    fn append(&self, _: &[u8]) -> Result<Offset, AppendError> {
        Err(AppendError::Unknown { cause: "unreachable".to_owned() })
    }

    fn read(&self, _: Offset, _: usize, _: Duration) -> Result<Batch, ReadError> {
        Err(ReadError::Unavailable { cause: "unreachable".to_owned() })
    }
}

fn proposals() -> Proposals {
    let relay = Box::new(|_: &[u8]| AppendOutcome::Unknown);
    Proposals::new(Appender::start(Arc::new(Unreachable), Arc::new(ReadScheduler::new(10)), relay))
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
