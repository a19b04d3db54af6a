//! Thread that appends proposed records to the control log.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use acaciaring_core::Offset;
use acaciaring_schema::log::Record;
use crossbeam_channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;
use prost::Message;
use tracing::{debug, warn};

use crate::backoff::Backoff;
use crate::critical_thread;
use crate::platform::{AppendError, LogService};
use crate::read_scheduler::ReadScheduler;

/// Id of a record, the same for all attempts to append it.
pub(crate) type RecordId = [u8; 16];

/// Initial pause between attempts to append a record; doubles up to the maximum.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause between attempts to append a record.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Attempts for one record before it goes to the back of the queue.
const ATTEMPTS_PER_TURN: u32 = 20;

/// Capacity of the queue; the control thread proposes records that do not fit again.
const QUEUE_CAPACITY: usize = 1024;

/// Outcome of an attempt to append a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record is in the log at this offset.
    Appended(Offset),
    /// The record was certainly not appended.
    NotAppended,
    /// The record may have been appended.
    Unknown,
}

/// Appends through another member when the log service did not append the record.
pub(crate) type Relay = Box<dyn Fn(&[u8]) -> AppendOutcome + Send>;

/// State of the attempts to append an open record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// No attempt can have appended it.
    Refused,
    /// An attempt is in progress, and no earlier one can have appended it.
    InProgress,
    /// An attempt may have appended it.
    InDoubt,
}

type OpenRecords = Arc<Mutex<HashMap<RecordId, AttemptState>>>;

/// Handle to the appender thread.
///
/// A record is retried until the control thread sees it folded and settles it. The log service may
/// lose a response after the append took effect; all attempts carry the same id, so the fold
/// ignores duplicates.
#[derive(Debug, Clone)]
pub(crate) struct Appender {
    queue: Sender<Record>,
    open: OpenRecords,
}

impl Appender {
    /// Starts the thread.
    pub(crate) fn start(
        log: Arc<dyn LogService>,
        read_scheduler: Arc<ReadScheduler>,
        relay: Relay,
    ) -> Self {
        let (queue, records) = bounded(QUEUE_CAPACITY);
        let open = OpenRecords::default();
        let worker = Worker {
            queue: queue.clone(),
            log,
            read_scheduler,
            relay,
            records,
            open: Arc::clone(&open),
        };
        critical_thread::spawn("appender", move || worker.run());
        Self { queue, open }
    }

    /// Queues a record; returns false when the queue is full.
    pub(crate) fn propose(&self, id: RecordId, record: Record) -> bool {
        self.open.lock().insert(id, AttemptState::Refused);
        if self.queue.try_send(record).is_ok() {
            return true;
        }
        self.open.lock().remove(&id);
        false
    }

    /// Returns true while an attempt in progress decides whether the record may have been appended.
    pub(crate) fn attempt_in_progress(&self, id: &RecordId) -> bool {
        self.open.lock().get(id) == Some(&AttemptState::InProgress)
    }

    /// Ends the attempts for a record that was folded or is abandoned.
    ///
    /// Returns true if it may have been appended; false is certain, since no new attempt begins.
    pub(crate) fn settle(&self, id: &RecordId) -> bool {
        self.open.lock().remove(id) != Some(AttemptState::Refused)
    }
}

struct Worker {
    queue: Sender<Record>,
    log: Arc<dyn LogService>,
    /// Pacer of the log reader, to read appended records at once.
    read_scheduler: Arc<ReadScheduler>,
    relay: Relay,
    records: Receiver<Record>,
    open: OpenRecords,
}

impl Worker {
    fn run(self) {
        while let Ok(record) = self.records.recv() {
            self.append(&record);
        }
    }

    /// Attempts to append a record until it is appended or settled, or its attempts are used up.
    ///
    /// It then goes to the back of the queue, so that a rejected record does not block the others.
    fn append(&self, record: &Record) {
        let bytes = record.encode_to_vec();
        let mut backoff = Backoff::new(INITIAL_PAUSE, MAX_PAUSE);
        for _ in 0..ATTEMPTS_PER_TURN {
            if !self.begin(record) {
                return;
            }
            let appended = self.attempt(&bytes);
            let refused = appended == AppendOutcome::NotAppended;
            self.set_state(
                record,
                if refused { AttemptState::Refused } else { AttemptState::InDoubt },
            );
            match appended {
                AppendOutcome::Appended(offset) => {
                    return self.read_scheduler.request_before(offset + 1);
                }
                AppendOutcome::Unknown => self.read_scheduler.request_read(),
                AppendOutcome::NotAppended => {}
            }
            thread::sleep(backoff.pause());
        }
        if self.queue.try_send(record.clone()).is_err() {
            warn!("append queue is full, dropping a record after repeated attempts");
        }
    }

    /// Makes one attempt; falls back to another member if the log service did not append.
    fn attempt(&self, bytes: &[u8]) -> AppendOutcome {
        match self.log.append(bytes) {
            Ok(offset) => {
                debug!(offset, "record appended");
                AppendOutcome::Appended(offset)
            }
            Err(AppendError::Unknown { .. }) => {
                debug!("append has an unknown outcome, retrying with the same id");
                AppendOutcome::Unknown
            }
            Err(error) => {
                warn!(%error, "record was not appended, trying through another member");
                (self.relay)(bytes)
            }
        }
    }

    /// Begins an attempt, unless the record is settled.
    ///
    /// The state changes under the lock that also settles records, so a record settled as refused
    /// was not appended and never will be.
    fn begin(&self, record: &Record) -> bool {
        self.set_state(record, AttemptState::InProgress)
    }

    /// Sets the state of a record, unless it is in doubt; returns false if the record is settled.
    fn set_state(&self, record: &Record, now: AttemptState) -> bool {
        let Ok(id) = RecordId::try_from(record.id.as_slice()) else { return false };
        let mut open = self.open.lock();
        let Some(state) = open.get_mut(&id) else { return false };
        if *state != AttemptState::InDoubt {
            *state = now;
        }
        true
    }
}
