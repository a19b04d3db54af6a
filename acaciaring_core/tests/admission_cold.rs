//! Tests of admission control for an upstream that is cold.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::admission::{
    Admission, AdmissionSettings, ColdLimit, Completion, Offer, Ticket,
};
use acaciaring_core::route::Rank;
use proptest::prelude::{Strategy, proptest};
use proptest::{collection, prop_assert};

/// Starts per second that the cold upstream tolerates, and how many fit into one second with a
/// burst.
const RATE: f64 = 16.0;
const MOST: usize = 20;

/// Requests offered per second: what a busy upstream gets while it is warm.
const OFFERED: u64 = 100;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Admission to one upstream, with the times of the starts in milliseconds.
struct Replay {
    admission: Admission<u64>,
    /// Ends of running requests in milliseconds, and the attempts.
    running: Vec<(u64, u64)>,
    started: Vec<u64>,
    refused: usize,
}

impl Replay {
    fn new() -> Self {
        let settings = AdmissionSettings { slots: 15, ..AdmissionSettings::default() };
        Self {
            admission: Admission::new(settings),
            running: Vec::new(),
            started: Vec::new(),
            refused: 0,
        }
    }

    fn limit(&mut self, now: u64, limit: Option<ColdLimit>) {
        let started = self.admission.limit_cold(Time::from_millis(now), limit);
        self.start(now, started);
    }

    fn start(&mut self, now: u64, attempts: Vec<u64>) {
        for attempt in attempts {
            self.started.push(now);
            self.running.push((now + 40, attempt));
        }
    }

    /// Plays the time from `from` to `until`, with a request each ten milliseconds.
    fn play(&mut self, from: u64, until: u64) {
        for now in from..until {
            let at = Time::from_millis(now);
            let (ended, running): (Vec<_>, Vec<_>) =
                self.running.iter().partition(|(end, _)| *end <= now);
            self.running = running;
            for (_, attempt) in ended {
                let more = self.admission.finish(at, attempt, ms(40), Completion::Answered);
                self.start(now, more);
            }
            let due = self.admission.start_due(at);
            self.start(now, due);
            if now.is_multiple_of(1000 / OFFERED) {
                let ticket = Ticket {
                    rank: Rank::Interactive,
                    deadline: at + ms(600),
                    expiry: at + ms(2500),
                    attempt: now,
                    answer: 0,
                };
                match self.admission.offer(at, ticket, now) {
                    Offer::Start(attempt) => self.start(now, vec![attempt]),
                    Offer::Queued { displaced } => self.refused += usize::from(displaced.is_some()),
                    Offer::Refused(..) => self.refused += 1,
                }
            }
            self.refused += self.admission.expire(at).len();
        }
    }

    /// Returns the largest number of starts in a second that begins at `from` or later.
    fn most(&self, from: u64) -> usize {
        let within: Vec<u64> = self.started.iter().copied().filter(|at| *at >= from).collect();
        let count =
            |start: &u64| within.iter().filter(|at| (*start..*start + 1000).contains(*at)).count();
        within.iter().map(count).max().unwrap_or(0)
    }
}

fn cold(until: u64) -> ColdLimit {
    ColdLimit { rate: RATE, until: Time::from_millis(until) }
}

/// Guards against a server that crashes after its start, since it gets all that its slots allow.
#[test]
fn a_cold_upstream_gets_what_it_tolerates_and_then_all() {
    let mut replay = Replay::new();
    replay.limit(0, Some(cold(3000)));
    replay.play(0, 3000);
    assert!(replay.most(0) <= MOST, "{} starts in a second", replay.most(0));
    assert!(replay.started.len() >= 44, "{} starts in 3 s", replay.started.len());
    assert!(replay.refused > 100, "what does not fit is refused at once");
    let before = replay.started.len();
    replay.play(3000, 5000);
    let after = replay.started.len() - before;
    assert!(after >= 180, "{after} starts in 2 s once it is warm");
}

/// Guards against an upstream that turns cold and gets its limit on top of what it just got.
#[test]
fn what_an_upstream_got_before_it_turned_cold_counts() {
    let mut replay = Replay::new();
    replay.play(0, 1000);
    assert!(replay.started.len() > 90, "{} starts while it is warm", replay.started.len());
    replay.limit(1000, Some(cold(4000)));
    replay.play(1000, 1900);
    let more = replay.started.iter().filter(|at| **at >= 1000).count();
    let in_window = replay.started.iter().filter(|at| (900..1900).contains(*at)).count();
    assert!(in_window <= MOST, "{in_window} starts around the turn, {more} of them cold");
    replay.play(1900, 4000);
    assert!(replay.most(1000) <= MOST, "{} starts in a second", replay.most(1000));
}

proptest! {
    /// Guards against a limit that changes often and each time allows another burst.
    #[test]
    fn no_second_has_more_starts_whenever_word_of_the_cold_arrives(
        words in collection::vec((0..400_u64, 1..3000_u64).prop_map(|(at, left)| (at * 10, left)), 1..12),
    ) {
        let mut replay = Replay::new();
        replay.limit(0, Some(cold(4000)));
        let mut words: Vec<(u64, u64)> = words;
        words.sort_unstable();
        let mut now = 0;
        for (at, left) in words {
            replay.play(now, at);
            replay.limit(at, Some(cold((at + left).max(4000))));
            now = at;
        }
        replay.play(now, 4000);
        prop_assert!(replay.most(0) <= MOST, "{} starts in a second", replay.most(0));
    }
}
