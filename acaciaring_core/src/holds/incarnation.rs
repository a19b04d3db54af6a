//! Starts of the upstream, as its reports tell them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::id::Name;
use crate::time::Time;

/// Former starts that are remembered.
const MAX_FORMER: usize = 32;

/// One start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Name of the upstream, which may outlast a start.
    pub instance: Name,
    /// Number that grows with each start under one name; 0 where the upstream tells none.
    pub generation: u64,
}

impl Incarnation {
    /// Returns true for a later start under the same name.
    fn follows(&self, other: &Self) -> bool {
        self.instance == other.instance && self.generation > other.generation
    }
}

impl Display for Incarnation {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.generation {
            0 => out.write_str(&self.instance),
            born => write!(out, "{} ({born})", self.instance),
        }
    }
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportOutcome {
    /// It is the newest of the present upstream.
    Current,
    /// It is the first of another start of the upstream.
    NewIncarnation,
    /// It was sent before one that came earlier, or by an upstream that has gone.
    Stale,
}

/// Start that may have taken the place of the present one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Candidate {
    incarnation: Incarnation,
    sequence: u64,
    since: Time,
}

/// The present start of the upstream, and former ones.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnations {
    current: Option<Incarnation>,
    sequence: u64,
    former: Vec<Incarnation>,
    /// Another start that has reported once, its number and when.
    candidate: Option<Candidate>,
    /// When the present start last reported, and first.
    last_report: Time,
    first_report: Time,
}

impl Incarnations {
    /// Makes a record of an upstream that has not reported.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            current: None,
            sequence: 0,
            former: Vec::new(),
            candidate: None,
            last_report: now,
            first_report: now,
        }
    }

    /// Returns the present start.
    #[must_use]
    pub const fn current(&self) -> Option<&Incarnation> {
        self.current.as_ref()
    }

    /// Returns when the present start last reported.
    pub(crate) const fn last_report(&self) -> Time {
        self.last_report
    }

    /// Returns for how long the present start has reported.
    pub(crate) fn report_span(&self) -> Duration {
        self.last_report.since(self.first_report)
    }

    /// Returns true once one start has taken the place of another.
    pub(crate) const fn was_replaced(&self) -> bool {
        !self.former.is_empty()
    }

    /// Takes in a report.
    ///
    /// Guards against a report that is delayed until its sender has gone and another one
    /// reports from the same address. Taken for a start of the upstream, it would end all that
    /// the living one holds in the eyes of this member, which would pass it on at once. So
    /// starts that were replaced are remembered, and one under another name is believed once it
    /// has reported twice while the present one was silent. Under one name the numbers tell.
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

    /// Returns true for a start that a later one has replaced.
    fn is_stale(&self, incarnation: &Incarnation) -> bool {
        let current = self.current.as_ref();
        self.former.contains(incarnation)
            || current.is_some_and(|current| current.follows(incarnation))
    }

    /// Returns true when another start has surely taken the place of the present one.
    fn confirms(&mut self, now: Time, incarnation: &Incarnation, sequence: u64) -> bool {
        if self.current.as_ref().is_some_and(|current| incarnation.follows(current)) {
            return true;
        }
        let known =
            self.candidate.as_ref().filter(|candidate| candidate.incarnation == *incarnation);
        if let Some(known) = known {
            return sequence > known.sequence && self.last_report < known.since;
        }
        self.candidate = Some(Candidate { incarnation: incarnation.clone(), sequence, since: now });
        false
    }
}
