//! Thread that appends proposals to the control log.

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
use crate::platform::{AppendError, LogService};
use crate::read_pacer::ReadPacer;
use crate::vital;

/// Identity of a record, the same over all tries of its append.
pub(crate) type RecordId = [u8; 16];

/// Pause before a refused append is tried again, at first; it doubles up to the longest.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Tries of one record before another has its turn.
const ATTEMPTS_PER_TURN: u32 = 20;

/// Proposals that may wait; more are dropped and proposed anew by control.
const QUEUE_CAPACITY: usize = 1024;

/// What came of an append, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record is in the log, at this offset.
    Appended(Offset),
    /// The record was surely not appended.
    NotAppended,
    /// The record may have been appended.
    Unknown,
}

/// Appends through another member when the log service cannot be reached.
pub(crate) type Relay = Box<dyn Fn(&[u8]) -> AppendOutcome + Send>;

/// Tries of an open record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// None may have appended it.
    Refused,
    /// One is under way, and none before may have appended it.
    InProgress,
    /// One may have appended it.
    InDoubt,
}

type OpenRecords = Arc<Mutex<HashMap<RecordId, AttemptState>>>;

/// Handle to the appending thread.
///
/// A record is tried until control has seen it folded and settles it. The log
/// service may lose an answer after the append took effect; since each try
/// carries the same id, the fold gives a repeated record no effect.
#[derive(Debug, Clone)]
pub(crate) struct Appender {
    queue: Sender<Record>,
    open: OpenRecords,
}

impl Appender {
    /// Starts the thread.
    pub(crate) fn start(
        log: Arc<dyn LogService>,
        read_pacer: Arc<ReadPacer>,
        relay: Relay,
    ) -> Self {
        let (queue, records) = bounded(QUEUE_CAPACITY);
        let open = OpenRecords::default();
        let worker = Worker {
            queue: queue.clone(),
            log,
            read_pacer,
            relay,
            records,
            open: Arc::clone(&open),
        };
        vital::spawn("appender", move || worker.run());
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

    /// Returns true while a try is under way whose outcome decides whether the record may have been appended.
    pub(crate) fn attempt_in_progress(&self, id: &RecordId) -> bool {
        self.open.lock().get(id) == Some(&AttemptState::InProgress)
    }

    /// Ends the tries of a record that was folded, or is no longer wanted.
    ///
    /// Returns true when it may have been appended; false is certain, for no try begins any more.
    pub(crate) fn settle(&self, id: &RecordId) -> bool {
        self.open.lock().remove(id) != Some(AttemptState::Refused)
    }
}

struct Worker {
    queue: Sender<Record>,
    log: Arc<dyn LogService>,
    /// Reader of the log, which is to bring back at once what was appended.
    read_pacer: Arc<ReadPacer>,
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

    /// Tries until the record is appended or settled, or makes way for others.
    ///
    /// A record that the log service refuses for good must not hold up the rest.
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
                    return self.read_pacer.request_before(offset + 1);
                }
                AppendOutcome::Unknown => self.read_pacer.request_read(),
                AppendOutcome::NotAppended => {}
            }
            thread::sleep(backoff.pause());
        }
        if self.queue.try_send(record.clone()).is_err() {
            warn!("too many records wait for the log, dropping one");
        }
    }

    /// Makes one try, through another member when the log service refuses.
    fn attempt(&self, bytes: &[u8]) -> AppendOutcome {
        match self.log.append(bytes) {
            Ok(offset) => {
                debug!(offset, "record appended");
                AppendOutcome::Appended(offset)
            }
            Err(AppendError::Unknown { .. }) => {
                debug!("append without answer, trying again with the same id");
                AppendOutcome::Unknown
            }
            Err(error) => {
                warn!(%error, "append refused");
                (self.relay)(bytes)
            }
        }
    }

    /// Begins a try of a record, unless it is no longer wanted.
    ///
    /// The try is noted under the lock by which the record is settled: a record that is settled
    /// as refused was not appended and never will be.
    fn begin(&self, record: &Record) -> bool {
        self.set_state(record, AttemptState::InProgress)
    }

    /// Notes a try, one in doubt stays so; returns false when the record is settled.
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
