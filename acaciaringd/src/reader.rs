//! Thread that reads the control log.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use acaciaring_core::{Generation, Offset, Time};
use acaciaring_schema::log::Batch;
use crossbeam_channel::{Receiver, Sender, bounded};
use tracing::{info, warn};

use crate::backoff::Backoff;
use crate::clock;
use crate::control::Event;
use crate::critical_thread;
use crate::platform::LogService;
use crate::poll_wait::PollWait;
use crate::read_scheduler::ReadScheduler;

/// Maximum number of records in one read of the log service.
const READ_LIMIT: usize = 512;

/// Maximum number of records requested from another member.
const RELAY_LIMIT: u32 = 512;

/// Initial pause after a failed read; doubles up to the maximum.
const INITIAL_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after failed reads.
///
/// The log service counts failed reads too, and its recovery is to be detected quickly.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Reads records from another member when the log service cannot be reached.
pub(crate) type Relay = Box<dyn Fn(u64, u32) -> Option<Batch> + Send>;

/// Where a batch of records was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// At the log service, which answered at this time.
    Service(Time),
    /// At another member, which may lack records of the log.
    Member,
}

/// Starts the thread; it sends each batch as an event and ends with the receiver.
pub(crate) fn start(
    log: Arc<dyn LogService>,
    polls: PollWait,
    relay: Relay,
    read_scheduler: Arc<ReadScheduler>,
    events: Sender<Event>,
) {
    let backoff = Backoff::new(INITIAL_PAUSE, MAX_PAUSE);
    let reader = Reader {
        log,
        polls,
        relay,
        read_scheduler,
        events,
        failing: false,
        has_read: false,
        backoff,
    };
    critical_thread::spawn("log-reader", move || reader.run());
}

struct Reader {
    log: Arc<dyn LogService>,
    /// Durations for which reads block until there is a new record.
    polls: PollWait,
    relay: Relay,
    read_scheduler: Arc<ReadScheduler>,
    events: Sender<Event>,
    failing: bool,
    /// True once a read of the log service has succeeded.
    has_read: bool,
    /// Pauses after failed reads.
    backoff: Backoff,
}

impl Reader {
    fn run(mut self) {
        loop {
            let (generation, from) = self.read_scheduler.wait();
            let Some((batch, origin)) = self.read(generation, from) else {
                thread::sleep(self.backoff.pause());
                continue;
            };
            match origin {
                Origin::Service(at) => self.read_scheduler.answered(at),
                Origin::Member => self.read_scheduler.answered_by_member(clock::now()),
            }
            if !self.deliver(batch, origin) {
                return;
            }
        }
    }

    /// Reads from the log service, else from another member.
    fn read(&mut self, generation: Generation, from: Offset) -> Option<(Batch, Origin)> {
        // The first read must not block: the start would be delayed until there is a new record.
        let wait = if self.has_read { self.polls.next_log_read() } else { Duration::ZERO };
        match self.log.read(generation, from, READ_LIMIT, wait) {
            Ok(batch) => {
                self.has_read = true;
                self.backoff.reset();
                if self.failing {
                    info!("log service can be read again");
                }
                self.failing = false;
                Some((batch, Origin::Service(clock::now())))
            }
            Err(error) => {
                if !self.failing {
                    warn!(%error, "cannot read from the log service, reading from other members");
                }
                self.failing = true;
                (self.relay)(from, RELAY_LIMIT).map(|batch| (batch, Origin::Member))
            }
        }
    }

    /// Sends a batch to the control thread and waits until it is folded, so that the next read
    /// starts after it; returns false when the control thread has ended.
    fn deliver(&self, batch: Batch, origin: Origin) -> bool {
        let (done, folded): (Sender<()>, Receiver<()>) = bounded(1);
        if self.events.send(Event::Batch(batch, origin, done)).is_err() {
            return false;
        }
        folded.recv().is_ok()
    }
}

#[cfg(test)]
mod tests;
