//! Tests of the reader of the log.

use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_channel::unbounded;

use super::*;
use crate::platform::{AppendError, ReadError};
use crate::view::Shared;

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Log service with one record, which fails on demand.
#[derive(Debug, Default)]
struct Log {
    fails: AtomicBool,
}

impl LogService for Log {
    fn append(&self, _record: &[u8]) -> Result<Offset, AppendError> {
        Err(AppendError::Refused { cause: "read only".into() })
    }

    fn read(
        &self,
        _generation: Generation,
        from: Offset,
        _max: usize,
        wait: Duration,
    ) -> Result<Batch, ReadError> {
        if self.fails.load(Ordering::SeqCst) {
            return Err(ReadError::Unavailable { cause: "cut off".into() });
        }
        thread::sleep(wait.min(Duration::from_millis(10)));
        Ok(batch(from))
    }

    fn trim(&self, _generation: Generation, _before: Offset) {}
}

fn batch(from: Offset) -> Batch {
    Batch { oldest: 1, next: from + 1, start: from, entries: vec![Vec::new()], generation: 0 }
}

/// Returns the origin of the next batch.
fn origin(events: &Receiver<Event>) -> Origin {
    let Ok(Event::Batch(_, origin, done)) = events.recv_timeout(WAIT_TIMEOUT) else {
        panic!("no batch");
    };
    done.send(()).expect("the reader waits");
    origin
}

/// Guards against a reader that is cut off from the log service and confirms the copies of others:
/// what another member knows says nothing about the end of the log.
#[test]
fn records_of_another_member_do_not_count_as_read_at_the_log_service() {
    let log = Arc::new(Log::default());
    let (events, inbox) = unbounded();
    let polls = PollWait::new(Arc::new(Shared::new(false)), Duration::from_secs(1));
    let relay: Relay = Box::new(|from, _| Some(batch(from)));
    let scheduler = Arc::new(ReadScheduler::new(1_000_000));
    start(Arc::clone(&log) as Arc<dyn LogService>, polls, relay, scheduler, events);
    assert!(matches!(origin(&inbox), Origin::Service(_)));
    log.fails.store(true, Ordering::SeqCst);
    // A read may have been answered before the failure.
    let origins: Vec<Origin> = (0..4).map(|_| origin(&inbox)).collect();
    assert_eq!(origins[1..], [Origin::Member; 3]);
}
