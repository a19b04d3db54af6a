//! Tests of admission control for an upstream that limits the requests per second.

use std::time::Duration;

use acaciaring_core::admission::{Admission, AdmissionSettings, Completion, Offer, Ticket};
use acaciaring_core::route::Rank;
use acaciaring_core::{Time, Verdict};

/// Requests per second that the upstream states.
const RATE: f64 = 20.0;

/// Time for which a request is offered each millisecond, and over which starts are counted.
const OFFERED_MS: u64 = 8000;
const SPAN_MS: u64 = 4000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What became of the requests of a test.
#[derive(Default)]
struct Ended {
    /// Start times in milliseconds, and ranks.
    started: Vec<(u64, Rank)>,
    /// Retry delays of refused requests.
    retries: Vec<Duration>,
}

/// Offers a request each millisecond, each of which takes a millisecond.
fn offer_all(admission: &mut Admission<u64>, rank: impl Fn(u64) -> Rank) -> Ended {
    let mut ended = Ended::default();
    for now in 0..OFFERED_MS {
        let at = Time::from_millis(now);
        let (deadline, expiry) = (at + ms(250), at + ms(1000));
        let ticket = Ticket { rank: rank(now), deadline, expiry, attempt: now, answer: 0 };
        let mut starts = admission.start_due(at);
        match admission.offer(at, ticket, now) {
            Offer::Start(attempt) => starts.push(attempt),
            Offer::Queued { displaced } => {
                ended.retries.extend(displaced.and_then(|(_, refusal)| refusal.retry));
            }
            Offer::Refused(_, refusal) => {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                ended.retries.extend(refusal.retry);
            }
        }
        for attempt in starts {
            ended.started.push((now, rank(attempt)));
            let more = admission.finish(at, attempt, ms(1), Completion::Answered);
            assert_eq!(more, Vec::<u64>::new(), "the rate allows one start at a time");
        }
        let expired = admission.expire(at).into_iter();
        ended.retries.extend(expired.filter_map(|(_, refusal)| refusal.retry));
    }
    ended
}

fn admission() -> Admission<u64> {
    Admission::new(AdmissionSettings { slots: 16, ..AdmissionSettings::default() })
}

/// Returns the largest number of starts in any span.
fn most_in_span(started: &[(u64, Rank)]) -> usize {
    let in_span =
        |first: u64| started.iter().filter(|(at, _)| (first..first + SPAN_MS).contains(at)).count();
    started.iter().map(|(at, _)| in_span(*at)).max().unwrap_or(0)
}

/// Guards against an upstream in need that gets as many requests as its slots allow.
#[test]
fn starts_keep_to_the_stated_rate_and_use_it() {
    let mut admission = admission();
    admission.limit_rate(Time::ZERO, Some(RATE));
    let ended = offer_all(&mut admission, |_| Rank::Interactive);
    let most = most_in_span(&ended.started);
    assert!(most <= 85, "{most} starts in 4 s");
    assert!(ended.started.len() >= 150, "{} starts in 8 s", ended.started.len());
    let longest = ended.retries.iter().max().expect("most are refused");
    assert!(*longest < ms(2500), "{longest:?}: the time in which the queue is served");
}

/// Guards against less important requests that use up a rate which is too low for all.
#[test]
fn critical_requests_go_first_where_a_part_fits() {
    let mut admission = admission();
    admission.limit_rate(Time::ZERO, Some(RATE));
    // One in a hundred is critical: ten a second, half of what fits.
    let rank = |number: u64| {
        if number.is_multiple_of(100) { Rank::Critical } else { Rank::Interactive }
    };
    let ended = offer_all(&mut admission, rank);
    let critical = ended.started.iter().filter(|(_, rank)| *rank == Rank::Critical).count();
    assert!(critical >= 75, "{critical} of 80 critical requests");
}

/// Guards against a limit that lasts longer than the upstream states it, and against one of zero
/// that could never end.
#[test]
fn a_limit_ends_and_zero_still_asks() {
    let mut admission = admission();
    admission.limit_rate(Time::ZERO, Some(0.0));
    let ended = offer_all(&mut admission, |_| Rank::Interactive);
    assert!((1..=5).contains(&ended.started.len()), "{} starts", ended.started.len());
    assert_eq!(admission.usable_slots(Time::from_millis(OFFERED_MS)), 1);
    let later = Time::from_millis(OFFERED_MS);
    let mut waiting = admission.limit_rate(later, None);
    while let Some(attempt) = waiting.pop() {
        waiting.extend(admission.finish(later, attempt, ms(1), Completion::Answered));
    }
    assert_eq!(admission.usable_slots(later), 16);
    let ticket = |attempt| Ticket {
        rank: Rank::Interactive,
        deadline: later + ms(250),
        expiry: later + ms(1000),
        attempt,
        answer: 0,
    };
    for attempt in 0..16 {
        let offer = admission.offer(later, ticket(OFFERED_MS + attempt), attempt);
        assert!(matches!(offer, Offer::Start(_)), "{offer:?}");
    }
}
