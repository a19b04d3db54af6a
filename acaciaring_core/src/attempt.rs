//! Table of attempts at the receiver of a hop: each attempt runs at most once.
//!
//! A sender that has lost track of an attempt asks whether it has arrived. An
//! attempt that has not is refused from then on, so the sender may give the
//! request to another member.

use std::collections::hash_map::Entry as MapEntry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use acaciaring_schema::peer::{Answer, Header};

use crate::time::Time;

/// One try of a request over one hop, drawn at random by the sender.
pub type AttemptId = u64;

/// Bounds of a table of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long a refused or finished attempt is known; longer than a message can be late.
    pub retention: Duration,
    /// How long an answer can be fetched.
    pub answer_retention: Duration,
    /// Most bytes of answers that can be fetched.
    pub max_bytes: usize,
    /// Most attempts known; further ones are refused.
    pub max_attempts: usize,
    /// Most attempts refused ahead of their arrival, in addition to `attempts`.
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

/// What to do with an attempt that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is new; run it, then call [`Attempts::finish`].
    Run,
    /// The sender has been told that it never arrived, or has cancelled it: it does not run.
    Superseded,
    /// It arrived before and may have run; it does not run again.
    Repeated,
    /// The table is full: it does not run.
    Full,
}

/// What the table has of an attempt's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fetched<'a> {
    /// The attempt is running.
    Running,
    /// The attempt has finished with this answer.
    Ready(&'a Answer),
    /// The attempt is not known, was refused, or its answer is no longer kept.
    Absent,
}

/// What is known of one attempt.
#[derive(Debug)]
enum AttemptState {
    Refused,
    Running,
    Finished(Option<Box<Answer>>),
}

/// Attempts that have arrived or are refused.
#[derive(Debug, Default)]
pub struct Attempts {
    settings: AttemptSettings,
    states: HashMap<AttemptId, AttemptState>,
    /// Refused and finished attempts by the time at which they are forgotten.
    expiry: VecDeque<(Time, AttemptId)>,
    /// Kept answers by the time at which they are dropped, with their size.
    kept_answers: VecDeque<(Time, AttemptId, usize)>,
    /// Bytes of kept answers.
    bytes: usize,
}

impl Attempts {
    /// Returns an empty table with the bounds in `settings`.
    #[must_use]
    pub fn new(settings: AttemptSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that an attempt has arrived and returns what to do with it.
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
    /// When the table has no room to remember the refusal the answer is `true`: the sender then
    /// finds no answer and takes the request for one that may have run, which is safe.
    pub fn probe(&mut self, now: Time, attempt: AttemptId) -> bool {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Refused) => false,
            Some(AttemptState::Running | AttemptState::Finished(_)) => true,
            None => !self.refuse(now, attempt),
        }
    }

    /// Cancels an attempt and returns whether it is running; one that has not arrived is refused from now on.
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

    /// Returns what is known of an attempt's answer.
    pub fn fetch(&mut self, now: Time, attempt: AttemptId) -> Fetched<'_> {
        self.expire(now);
        match self.states.get(&attempt) {
            Some(AttemptState::Running) => Fetched::Running,
            Some(AttemptState::Finished(Some(answer))) => Fetched::Ready(answer),
            Some(AttemptState::Refused | AttemptState::Finished(None)) | None => Fetched::Absent,
        }
    }

    /// Returns the count of attempts known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no attempt is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the bytes of answers that are kept.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Refuses an unknown attempt from now on and returns whether there was room for that.
    fn refuse(&mut self, now: Time, attempt: AttemptId) -> bool {
        if self.states.len() >= self.settings.max_attempts + self.settings.max_refusals {
            return false;
        }
        self.states.insert(attempt, AttemptState::Refused);
        self.expiry.push_back((now + self.settings.retention, attempt));
        true
    }

    /// Drops answers and attempts whose time has come.
    fn expire(&mut self, now: Time) {
        while self.kept_answers.front().is_some_and(|(until, ..)| *until <= now) {
            self.drop_answer();
        }
        while let Some((_, attempt)) = self.expiry.pop_front_if(|(until, _)| *until <= now) {
            self.states.remove(&attempt);
        }
    }

    /// Drops the oldest kept answer; its attempt stays known.
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

/// Returns the bytes that an answer takes in memory.
fn size_of_answer(answer: &Answer) -> usize {
    let header = |header: &Header| size_of::<Header>() + header.name.len() + header.value.len();
    let headers = answer.headers.iter().map(header).sum::<usize>();
    size_of::<Answer>() + headers + answer.body.len()
}
