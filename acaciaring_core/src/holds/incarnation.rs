//! Incarnations of the upstream, identified by its heartbeats.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::id::Name;
use crate::time::Time;

/// Maximum number of former incarnations kept, and of departed ones.
const MAX_FORMER: usize = 32;

/// Time between two heartbeats of an upstream, unless its settings state another.
const DEFAULT_BEAT: Duration = Duration::from_millis(500);

/// Beats after which an upstream counts as silent; a running one sends them slightly unevenly.
const SILENT_BEATS: f64 = 1.1;

/// Incarnation of an upstream: one run of it from start to exit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Name of the upstream, which may stay the same across restarts.
    pub instance: Name,
    /// Number that grows with each restart under one name; 0 when the upstream sends none.
    pub generation: u64,
}

impl Incarnation {
    /// Returns true when this is a later incarnation under the same name.
    fn follows(&self, other: &Self) -> bool {
        self.instance == other.instance && self.generation > other.generation
    }

    /// Returns true if the departure of this incarnation is also the end of another one.
    pub(crate) fn ends(&self, other: &Self) -> bool {
        self == other || self.follows(other)
    }
}

impl Display for Incarnation {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.generation {
            0 => out.write_str(&self.instance),
            generation => write!(out, "{} ({generation})", self.instance),
        }
    }
}

/// Classification of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportOutcome {
    /// It is the newest one of the current incarnation.
    Current,
    /// It is the first accepted one of a new incarnation.
    NewIncarnation,
    /// It is out of order or not from the current incarnation, and is ignored.
    Stale,
}

/// Incarnation that may have replaced the current one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Candidate {
    incarnation: Incarnation,
    sequence: u64,
    since: Time,
}

/// Current incarnation of the upstream and former ones.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnations {
    /// Time between two heartbeats.
    beat: Duration,
    current: Option<Incarnation>,
    sequence: u64,
    former: Vec<Incarnation>,
    /// Incarnations that have announced that they leave, oldest first.
    departed: Vec<Incarnation>,
    /// Other incarnation that has reported once.
    candidate: Option<Candidate>,
    /// When the current incarnation last reported.
    last_report: Time,
    /// When it first reported.
    first_report: Time,
}

impl Incarnations {
    /// Creates the state for an upstream that has not reported.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            beat: DEFAULT_BEAT,
            current: None,
            sequence: 0,
            former: Vec::new(),
            departed: Vec::new(),
            candidate: None,
            last_report: now,
            first_report: now,
        }
    }

    /// Sets the time between two heartbeats.
    pub(crate) const fn set_beat(&mut self, beat: Duration) {
        self.beat = beat;
    }

    /// Returns the current incarnation.
    #[must_use]
    pub const fn current(&self) -> Option<&Incarnation> {
        self.current.as_ref()
    }

    /// Records that an incarnation leaves.
    ///
    /// This is final, so it also holds against heartbeats that were sent before and arrive later.
    pub fn depart(&mut self, incarnation: &Incarnation) {
        if self.has_departed(incarnation) {
            return;
        }
        self.departed.push(incarnation.clone());
        let excess = self.departed.len().saturating_sub(MAX_FORMER);
        self.departed.drain(..excess);
    }

    /// Returns true for an incarnation that has announced that it leaves.
    #[must_use]
    pub fn has_departed(&self, incarnation: &Incarnation) -> bool {
        self.departed.iter().any(|departed| departed.ends(incarnation))
    }

    /// Returns true while the current incarnation leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.current.as_ref().is_some_and(|current| self.has_departed(current))
    }

    /// Returns the incarnation of an instance of which a word sent at `sent` tells; `None` if it is
    /// of an earlier one under the same name, or if no heartbeat of the instance has arrived.
    #[must_use]
    pub fn of_instance(&self, sent: Time, instance: &Name) -> Option<&Incarnation> {
        let current = self.current.as_ref().filter(|current| current.instance == *instance)?;
        let replaced = self.former.iter().any(|former| former.instance == *instance);
        (!replaced || sent >= self.first_report).then_some(current)
    }

    /// Returns when the current incarnation last reported.
    pub(crate) const fn last_report(&self) -> Time {
        self.last_report
    }

    /// Returns the time between the first and the last report of the current incarnation.
    pub(crate) fn report_span(&self) -> Duration {
        self.last_report.since(self.first_report)
    }

    /// Returns true once one incarnation has replaced another.
    pub(crate) const fn was_replaced(&self) -> bool {
        !self.former.is_empty()
    }

    /// Handles a heartbeat.
    ///
    /// Guards against delayed heartbeats of an earlier incarnation at the same address. Taken for a
    /// restart, one would clear the grants of the running incarnation, and this member would pass
    /// on units that are still held. So replaced incarnations are kept, and one under another name
    /// is accepted only after two heartbeats while the current one was silent for longer than
    /// between two of its own: delayed ones arrive together. Under the same name, the generation
    /// decides.
    pub fn report(&mut self, now: Time, incarnation: &Incarnation, sequence: u64) -> ReportOutcome {
        let same = self.current.as_ref() == Some(incarnation);
        if self.is_stale(incarnation) || (same && sequence <= self.sequence) {
            return ReportOutcome::Stale;
        }
        let report = if same || self.current.is_none() {
            ReportOutcome::Current
        } else {
            ReportOutcome::NewIncarnation
        };
        if report == ReportOutcome::NewIncarnation {
            if !self.confirms(now, incarnation, sequence) {
                return ReportOutcome::Stale;
            }
            self.former.extend(self.current.take());
            let excess = self.former.len().saturating_sub(MAX_FORMER);
            self.former.drain(..excess);
        }
        self.candidate = None;
        self.last_report = now;
        if !same {
            self.first_report = now;
        }
        self.current = Some(incarnation.clone());
        self.sequence = sequence;
        report
    }

    /// Returns true for an incarnation that a later one has replaced, also one that was never seen.
    fn is_stale(&self, incarnation: &Incarnation) -> bool {
        let later = |known: &Incarnation| known.follows(incarnation);
        self.former.contains(incarnation) || self.former.iter().chain(&self.current).any(later)
    }

    /// Returns true when another incarnation is known to have replaced the current one.
    fn confirms(&mut self, now: Time, incarnation: &Incarnation, sequence: u64) -> bool {
        if self.current.as_ref().is_some_and(|current| incarnation.follows(current)) {
            return true;
        }
        let known =
            self.candidate.as_ref().filter(|candidate| candidate.incarnation == *incarnation);
        if let Some(known) = known {
            let silent = now.since(self.last_report) > self.beat.mul_f64(SILENT_BEATS);
            return sequence > known.sequence && self.last_report < known.since && silent;
        }
        self.candidate = Some(Candidate { incarnation: incarnation.clone(), sequence, since: now });
        false
    }
}
