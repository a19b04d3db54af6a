//! Table of attempts at the receiving member of a hop, by which each attempt runs at most once.
//!
//! A sender that got no answer to an attempt probes whether it has arrived. An attempt that has not
//! is refused from then on, so the sender may safely send the request to another member.

use std::collections::hash_map::Entry as MapEntry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use acaciaring_schema::peer::{Answer, Header};

use crate::time::Time;

/// Identity of one attempt of a request over one hop, drawn at random by the sender.
pub type AttemptId = u64;

/// Limits of a table of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long a refused or finished attempt is kept; longer than a message can be delayed.
    pub retention: Duration,
    /// How long the answer of a finished attempt is kept.
    pub answer_retention: Duration,
    /// Maximum bytes of kept answers.
    pub max_bytes: usize,
    /// Maximum number of attempts; further ones are refused.
    pub max_attempts: usize,
    /// Maximum number of attempts refused before their arrival, in addition to `max_attempts`.
    pub max_refusals: usize,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(30),
            answer_retention: Duration::from_secs(3),
            max_bytes: 16 << 20,
            max_attempts: 600_000,
            max_refusals: 100_000,
        }
    }
}

/// Decision on an attempt that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The attempt is new: run it, then call [`Attempts::finish`].
    Run,
    /// The sender was informed that it had not arrived, or cancelled it: do not run it.
    Superseded,
    /// The attempt arrived before and may have run: do not run it again.
    Repeated,
    /// The table is full: do not run it.
    Full,
}

/// State of an attempt's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fetched<'a> {
    /// The attempt is running.
    Running,
    /// The attempt has finished with this answer.
    Ready(&'a Answer),
    /// The attempt is unknown or refused, or its answer is no longer kept.
    Absent,
}

/// State of one attempt.
#[derive(Debug)]
enum AttemptState {
    Refused,
    Running,
    Finished(Option<Box<Answer>>),
}

/// Attempts that have arrived or were refused.
#[derive(Debug, Default)]
pub struct Attempts {
    settings: AttemptSettings,
    states: HashMap<AttemptId, AttemptState>,
    /// Refused and finished attempts by the time at which they are removed.
    expiry: VecDeque<(Time, AttemptId)>,
    /// Kept answers by the time at which they are dropped, with their sizes in bytes.
    kept_answers: VecDeque<(Time, AttemptId, usize)>,
    /// Total size of kept answers.
    bytes: usize,
}

impl Attempts {
    /// Creates an empty table with the limits in `settings`.
    #[must_use]
    pub fn new(settings: AttemptSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records the arrival of an attempt and decides whether it runs.
    pub fn arrive(&mut self, now: Time, attempt: AttemptId) -> Arrival {
        self.expire(now);
        let full = self.states.len() >= self.settings.max_attempts;
        match self.states.entry(attempt) {
            MapEntry::Occupied(entry) if matches!(entry.get(), AttemptState::Refused) => {
                Arrival::Superseded
            }
            MapEntry::Occupied(_) => Arrival::Repeated,
            MapEntry::Vacant(_) if full => Arrival::Full,
            MapEntry::Vacant(entry) => {
                entry.insert(AttemptState::Running);
                Arrival::Run
            }
        }
    }

    /// Returns whether an attempt has arrived; if it has not, it is refused from now on.
    ///
    /// Returns true when the table has no room for the refusal: the sender then finds no answer and
    /// treats the request as one that may have run, which is safe.
    pub fn probe(&mut self, now: Time, attempt: AttemptId) -> bool {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Refused) => false,
            Some(AttemptState::Running | AttemptState::Finished(_)) => true,
            None => !self.refuse(now, attempt),
        }
    }

    /// Cancels an attempt: refuses it if it has not arrived, and returns whether it is running.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) -> bool {
        self.probe(now, attempt) && matches!(self.states.get(&attempt), Some(AttemptState::Running))
    }

    /// Records the answer of a running attempt; has no effect on any other attempt.
    pub fn finish(&mut self, now: Time, attempt: AttemptId, answer: Answer) {
        self.expire(now);
        let Some(state @ AttemptState::Running) = self.states.get_mut(&attempt) else {
            return;
        };
        self.expiry.push_back((now + self.settings.retention, attempt));
        let size = size_of_answer(&answer);
        if size > self.settings.max_bytes {
            *state = AttemptState::Finished(None);
            return;
        }
        *state = AttemptState::Finished(Some(Box::new(answer)));
        self.kept_answers.push_back((now + self.settings.answer_retention, attempt, size));
        self.bytes += size;
        while self.bytes > self.settings.max_bytes {
            self.drop_answer();
        }
    }

    /// Returns the state of an attempt's answer.
    pub fn fetch(&mut self, now: Time, attempt: AttemptId) -> Fetched<'_> {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Running) => Fetched::Running,
            Some(AttemptState::Finished(Some(answer))) => Fetched::Ready(answer),
            Some(AttemptState::Refused | AttemptState::Finished(None)) | None => Fetched::Absent,
        }
    }

    /// Returns the number of attempts in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns true when the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the total size of kept answers in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Refuses an unknown attempt from now on; returns false when the table has no room for it.
    fn refuse(&mut self, now: Time, attempt: AttemptId) -> bool {
        if self.states.len() >= self.settings.max_attempts + self.settings.max_refusals {
            return false;
        }
        self.states.insert(attempt, AttemptState::Refused);
        self.expiry.push_back((now + self.settings.retention, attempt));
        true
    }

    /// Drops expired answers and attempts.
    fn expire(&mut self, now: Time) {
        while self.kept_answers.front().is_some_and(|(until, ..)| *until <= now) {
            self.drop_answer();
        }
        while let Some((_, attempt)) = self.expiry.pop_front_if(|(until, _)| *until <= now) {
            self.states.remove(&attempt);
        }
    }

    /// Drops the oldest kept answer; its attempt stays in the table.
    fn drop_answer(&mut self) {
        let Some((_, attempt, size)) = self.kept_answers.pop_front() else {
            return;
        };
        self.bytes -= size;
        if let Some(state @ AttemptState::Finished(_)) = self.states.get_mut(&attempt) {
            *state = AttemptState::Finished(None);
        }
    }
}

/// Returns the size of an answer in memory, in bytes.
fn size_of_answer(answer: &Answer) -> usize {
    let header = |header: &Header| size_of::<Header>() + header.name.len() + header.value.len();
    let headers = answer.headers.iter().map(header).sum::<usize>();
    size_of::<Answer>() + headers + answer.body.len()
}
