//! Fan-out of log records: which members read the log service, and to whom each passes records on.
//!
//! Answers the load of a wide fleet at rest: with a read per member and record, the calls to the
//! log service grow with members times records.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::id::MemberId;
use crate::pace::max_poll_wait;
use crate::state::{Member, State};
use crate::time::Time;

/// Members up to which each one reads the log service itself.
///
/// In a smaller fleet, passing records on saves little and delays each of them.
const MAX_DIRECT_FLEET: usize = 16;

/// Minimum number of readers, so that the loss of one does not stop the others.
const MIN_READERS: usize = 2;

/// Members to which one member passes records on.
const FANOUT: usize = 6;

/// Interval between two reads of a reader while records are appended.
pub const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Lease renewals in which the age of a reader's last read reaches all members.
const CONFIRMING_RENEWALS: u32 = 4;

/// Time for which a member waits for a required record to be passed on before it reads it itself.
///
/// Above the read interval and the time for two hops.
pub const PASS_TIMEOUT: Duration = Duration::from_millis(700);

/// How a member gets new records of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadMode {
    /// Reads the log service, at its part of the common rate of all members.
    #[default]
    Paced,
    /// Reads the log service at a fixed interval and passes the records on.
    Every(Duration),
    /// Other members pass records on to it.
    Passed,
}

/// Part of one member in the fan-out.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Fanout {
    /// True when some members read the log service for all others.
    pub wide: bool,
    /// True when this member reads the log service.
    pub reads: bool,
    /// Number of members that read the log service.
    pub readers: usize,
    /// Members to which this one passes records on.
    pub children: Vec<MemberId>,
}

impl Fanout {
    /// Returns the part of `me`.
    ///
    /// Each data centre has a reader, so records cross data centres only at the log service. A
    /// member's place depends on the name of its VM: a restarted process keeps it.
    #[must_use]
    pub fn new(me: MemberId, state: &State) -> Self {
        let alive: Vec<&Member> = state.members().filter(|member| member.alive()).collect();
        if alive.len() <= MAX_DIRECT_FLEET {
            let readers = alive.len();
            return Self { wide: false, reads: true, readers, children: Vec::new() };
        }
        let mut centres: Vec<&str> = alive.iter().map(|member| &*member.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let per_centre = MIN_READERS.div_ceil(centres.len());
        let readers = centres.len() * per_centre;
        let own = alive.iter().find(|member| member.id == me).map(|member| &member.data_centre);
        let near = alive.iter().filter(|member| Some(&member.data_centre) == own);
        let mut near: Vec<(u64, MemberId)> =
            near.map(|member| (xxh3::xxh3_64(member.vm.as_bytes()), member.id)).collect();
        near.sort_unstable();
        let Some(place) = near.iter().position(|(_, id)| *id == me) else {
            return Self { wide: true, reads: true, readers, children: Vec::new() };
        };
        // A reader has the children of the first place, so each record has as many ways in.
        let reads = place < per_centre;
        let place = place.saturating_sub(per_centre - 1);
        let first = place * FANOUT + per_centre;
        let children = near.iter().skip(first).take(FANOUT).map(|(_, id)| *id).collect();
        Self { wide: true, reads, readers, children }
    }

    /// Returns the age of its copy of the log from which a member reads the log service itself.
    ///
    /// Covers the longest wait of a reader's read, and the lease renewals at this interval that carry
    /// its age to all members.
    #[must_use]
    pub fn max_age(&self, renewal: Duration) -> Duration {
        max_poll_wait(self.readers) + renewal * CONFIRMING_RENEWALS
    }

    /// Returns how this member reads, given whether it has its lease and a stale copy of the log.
    ///
    /// A member without lease is in doubt about its own records or cut off from others, and one
    /// with a stale copy is passed nothing: both read the log service themselves.
    #[must_use]
    pub const fn mode(&self, leased: bool, stale: bool) -> ReadMode {
        if !leased || stale || !self.wide {
            ReadMode::Paced
        } else if self.reads {
            ReadMode::Every(READ_INTERVAL)
        } else {
            ReadMode::Passed
        }
    }
}

/// How recently this member's copy of the log was known to be complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    complete: Option<Time>,
}

impl Freshness {
    /// Records that the copy was complete at a time.
    pub fn observe(&mut self, complete: Time) {
        self.complete = self.complete.max(Some(complete));
    }

    /// Returns the time since the copy was known to be complete, `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.complete.map(|complete| now.since(complete))
    }

    /// Returns true when the copy is so old that it may lack records that others have.
    #[must_use]
    pub fn is_stale(&self, now: Time, max_age: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= max_age)
    }
}
