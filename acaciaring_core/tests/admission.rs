//! Tests of admission control for one upstream, under overload and with a faulty upstream.

#[path = "support/upstream.rs"]
mod upstream;

use std::collections::HashMap;
use std::time::Duration;

use acaciaring_core::admission::{Admission, AdmissionSettings, Completion, Offer, Ticket};
use acaciaring_core::retry::RetrySettings;
use acaciaring_core::route::Rank;
use acaciaring_core::{Reason, Time, Verdict};

use self::upstream::{Discipline, Retries, Simulation, Stream, Tally, simulate};

const SPAN: Duration = Duration::from_secs(30);

/// Requests per second that 20 slots serve at 20 ms each.
const CAPACITY: f64 = 1000.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn stream(rank: Rank, share: f64, deadline: u64) -> Stream {
    Stream { rank, rate: CAPACITY * share, deadline: ms(deadline), service: ms(20) }
}

fn mixed(load: f64) -> Vec<Stream> {
    vec![
        stream(Rank::Critical, 0.1 * load, 250),
        stream(Rank::Interactive, 0.5 * load, 1_000),
        stream(Rank::Bulk, 0.3 * load, 10_000),
        stream(Rank::Background, 0.1 * load, 20_000),
    ]
}

fn default_discipline() -> Discipline {
    Discipline::Admission(AdmissionSettings::default())
}

fn goodput(tallies: &[Tally]) -> f64 {
    tallies.iter().map(|tally| f64::from(tally.in_span)).sum::<f64>() / SPAN.as_secs_f64()
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

// Guards against an unbounded queue under overload, in which every answer is late: goodput stays
// near capacity, critical requests are on time and lower ranks still run.
#[test]
fn overload_keeps_goodput_and_critical_deadlines() {
    let mut tallies = simulate(1, &mixed(2.0), &default_discipline(), &Retries::Never, SPAN);
    assert!(goodput(&tallies) > 0.9 * CAPACITY, "goodput {}", goodput(&tallies));
    let critical = &tallies[0];
    assert!(share(critical.on_time, critical.requests) > 0.99, "{critical:?}");
    assert!(tallies[0].quantile(0.99) < ms(200));
    for tally in &tallies[2..] {
        assert!(tally.on_time > 0);
    }
    let bulk = f64::from(tallies[2].on_time) / SPAN.as_secs_f64();
    assert!(bulk > 0.1 * CAPACITY, "bulk {bulk}");
    let unbounded =
        simulate(1, &mixed(2.0), &Discipline::Fifo { slots: 20 }, &Retries::Never, SPAN);
    assert!(goodput(&unbounded) < 0.7 * goodput(&tallies));
}

// Guards against starvation of lower ranks by strict priority under lasting interactive overload.
#[test]
fn a_flood_of_interactive_requests_does_not_starve_bulk() {
    let streams = [
        stream(Rank::Interactive, 2.0, 1_000),
        stream(Rank::Bulk, 0.1, 10_000),
        stream(Rank::Background, 0.04, 20_000),
    ];
    let retries = Retries::Budget(RetrySettings::default());
    let tallies = simulate(2, &streams, &default_discipline(), &retries, SPAN);
    for tally in &tallies[1..] {
        assert!(
            share(tally.on_time, tally.requests) > 0.95,
            "{} of {}",
            tally.on_time,
            tally.requests
        );
    }
}

// Guards against a retry storm: retries stay within a tenth of the requests.
#[test]
fn a_retry_budget_prevents_a_storm() {
    let streams = [stream(Rank::Interactive, 2.0, 1_000)];
    let attempt_ratio = |retries: &Retries| {
        let tallies = simulate(3, &streams, &default_discipline(), retries, SPAN);
        (share(tallies[0].attempts, tallies[0].requests), goodput(&tallies))
    };
    let (bounded, goodput) = attempt_ratio(&Retries::Budget(RetrySettings::default()));
    let (unbudgeted, _) = attempt_ratio(&Retries::Always);
    assert!(bounded < 1.12, "attempts per request {bounded}");
    assert!(unbudgeted > 2.0, "attempts per request {unbudgeted}");
    assert!(goodput > 0.9 * CAPACITY);
}

// Guards against requests queued at a slow upstream that cannot be on time, and against an estimate
// that still refuses them after it has recovered.
#[test]
fn a_slow_upstream_and_its_recovery_are_detected() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let offer = |admission: &mut Admission<u64>, now: Time, attempt: u64| {
        let ticket = ticket(Rank::Interactive, now + ms(300), attempt);
        admission.offer(now, ticket, attempt)
    };
    let mut attempt = 0;
    let mut serve = |admission: &mut Admission<u64>, now: Time, took: Duration, count: u64| {
        for _ in 0..count {
            attempt += 1;
            if let Offer::Start(started) = offer(admission, now, attempt) {
                assert!(
                    admission.finish(now + took, started, took, Completion::Answered).is_empty()
                );
            }
        }
    };
    serve(&mut admission, Time::from_millis(0), ms(2_000), 50);
    assert!(admission.service_time(Rank::Interactive) > ms(1_000));
    let now = Time::from_millis(10_000);
    let mut refused = 0;
    for attempt in 1_000..1_030 {
        match offer(&mut admission, now, attempt) {
            Offer::Refused(_, refusal) => {
                assert_eq!(refusal.verdict, Verdict::NotRun);
                assert!(refusal.retry.is_some());
                refused += 1;
            }
            Offer::Start(_) => {}
            Offer::Queued { .. } => panic!("a request that cannot be on time was queued"),
        }
    }
    assert_eq!(refused, 10);
    for attempt in 1_000..1_020 {
        admission.finish(now, attempt, ms(10), Completion::Answered);
    }
    serve(&mut admission, Time::from_millis(20_000), ms(10), 50);
    assert!(admission.service_time(Rank::Interactive) < ms(50));
}

// Guards against a full queue of low rank that shuts out a higher one: the displaced request is
// refused as not run.
#[test]
fn an_important_request_displaces_the_least_important() {
    let settings = AdmissionSettings { slots: 1, queue: 3, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    let now = Time::ZERO;
    let ticket = |rank, attempt| ticket(rank, now + ms(10_000 + attempt), attempt);
    assert_eq!(admission.offer(now, ticket(Rank::Background, 1), 1), Offer::Start(1));
    for attempt in 2..=4 {
        let offer = admission.offer(now, ticket(Rank::Background, attempt), attempt);
        assert_eq!(offer, Offer::Queued { displaced: None });
    }
    let Offer::Queued { displaced: Some((4, refusal)) } =
        admission.offer(now, ticket(Rank::Critical, 5), 5)
    else {
        panic!("the last background request must be displaced");
    };
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Busy));
    assert!(matches!(admission.offer(now, ticket(Rank::Background, 6), 6), Offer::Refused(6, _)));
    assert_eq!(admission.finish(now, 1, ms(10), Completion::Answered), [5]);
}

// Guards against critical requests delayed by lower ranks that are due their guaranteed share.
#[test]
fn critical_requests_go_before_overdue_ones() {
    let settings = AdmissionSettings { slots: 1, ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    let deadline = Time::from_millis(60_000);
    let mut now = Time::ZERO;
    let mut running = 0;
    let offer = |admission: &mut Admission<u64>, now: Time, rank, attempt| {
        admission.offer(now, ticket(rank, deadline, attempt), attempt)
    };
    assert_eq!(offer(&mut admission, now, Rank::Interactive, 0), Offer::Start(0));
    for round in 1..200 {
        now = now + ms(10);
        for (n, rank) in [Rank::Interactive, Rank::Bulk, Rank::Background].into_iter().enumerate() {
            offer(&mut admission, now, rank, round * 10 + n as u64);
        }
        let critical = round * 10 + 9;
        let queues_critical = round % 3 == 0;
        if queues_critical {
            offer(&mut admission, now, Rank::Critical, critical);
        }
        let started = admission.finish(now, running, ms(10), Completion::Answered);
        assert_eq!(started.len(), 1);
        assert_eq!(started[0] == critical, queues_critical, "round {round}");
        running = started[0];
    }
}

// Guards against a caller that learns only at its deadline that its queued request did not run.
#[test]
fn a_request_that_must_be_late_is_refused_before_its_deadline() {
    let settings =
        AdmissionSettings { slots: 1, service_time: ms(100), ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    let ticket = |deadline, attempt| ticket(Rank::Interactive, deadline, attempt);
    admission.offer(Time::ZERO, ticket(Time::from_millis(5_000), 1), 1);
    admission.offer(Time::ZERO, ticket(Time::from_millis(400), 2), 2);
    assert!(admission.expire(Time::from_millis(150)).is_empty());
    let late = admission.expire(Time::from_millis(310));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].1.reason, Reason::Expired);
}

// Guards against a new upstream that gets its full concurrency with cold caches.
#[test]
fn a_cold_upstream_is_ramped_up() {
    let mut admission = Admission::<u64>::new(AdmissionSettings::default());
    let now = Time::from_millis(1_000);
    assert!(admission.ready(now, true).is_empty());
    assert_eq!(admission.capacity(now), 2);
    assert_eq!(admission.capacity(now + ms(5_000)), 11);
    assert_eq!(admission.capacity(now + ms(10_000)), 20);
}

// Guards against requests sent to an upstream that sheds load: queued ones are refused with its
// retry time, and concurrency then resumes at half.
#[test]
fn an_upstream_that_sheds_is_left_alone() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let now = Time::ZERO;
    let ticket = |attempt| ticket(Rank::Bulk, now + ms(60_000), attempt);
    for attempt in 0..25 {
        admission.offer(now, ticket(attempt), attempt);
    }
    let refused = admission.shed(now, ms(2_000));
    assert_eq!(refused.len(), 5);
    assert!(refused.iter().all(|(_, refusal)| refusal.retry >= Some(ms(2_000))));
    assert!(matches!(admission.offer(now + ms(1_999), ticket(30), 30), Offer::Refused(..)));
    for attempt in 0..20 {
        admission.finish(now, attempt, ms(20), Completion::Answered);
    }
    assert_eq!(admission.capacity(now + ms(2_000)), 10);
    assert_eq!(admission.offer(now + ms(2_000), ticket(31), 31), Offer::Start(31));
}

#[test]
fn concurrency_never_exceeds_the_slots() {
    let mut simulation =
        Simulation::new(4, &mixed(3.0), &default_discipline(), &Retries::Always, ms(5_000));
    simulation.run();
    assert_eq!(simulation.max_running, 20);
}

/// Returns the ticket of a request that expires at its deadline.
fn ticket(rank: Rank, deadline: Time, attempt: u64) -> Ticket {
    Ticket { rank, deadline, expiry: deadline, attempt, answer: 0 }
}

// Guards against an overload in which requests served in order of arrival are all late: those that
// can be on time go first.
#[test]
fn under_overload_those_in_time_go_before_those_that_are_late() {
    let settings =
        AdmissionSettings { slots: 1, service_time: ms(100), ..AdmissionSettings::default() };
    let mut admission = Admission::new(settings);
    let mut now = Time::from_millis(1000);
    let (mut running, mut ends) = (None, now);
    let (mut in_time, mut started) = (0, 0);
    let mut arrived: HashMap<u64, Time> = HashMap::new();
    for attempt in 0..400 {
        let arrival = now;
        while running.is_some() && ends <= arrival {
            let next = admission.finish(
                ends,
                running.take().expect("running"),
                ms(100),
                Completion::Answered,
            );
            admission.expire(ends);
            if let Some(id) = next.first().copied() {
                started += 1;
                in_time += u32::from(ends + ms(100) <= arrived[&id] + ms(300));
                running = Some(id);
                ends = ends + ms(100);
            }
        }
        arrived.insert(attempt, now);
        let (deadline, last) = (now + ms(300), now + ms(1200));
        let ticket = Ticket { rank: Rank::Bulk, deadline, expiry: last, attempt, answer: 0 };
        if let Offer::Start(id) = admission.offer(now, ticket, attempt) {
            started += 1;
            in_time += 1;
            running = Some(id);
            ends = now + ms(100);
        }
        now = now + ms(50);
    }
    assert!(started >= 190, "{started} of 200 started");
    assert!(in_time * 10 >= started * 8, "{in_time} of {started} in time");
}

/// Simulates a load at an upstream behind an entry with or without a refusal cache.
fn overload(load: f64, caches: bool) -> Vec<Tally> {
    let streams = [
        stream(Rank::Critical, 0.1 * load, 250),
        stream(Rank::Interactive, 0.5 * load, 1_000),
        stream(Rank::Bulk, 0.2 * load, 10_000),
        stream(Rank::Background, 0.2 * load, 4_000),
    ];
    let settings = AdmissionSettings::default();
    let discipline =
        if caches { Discipline::CachedRefusals(settings) } else { Discipline::Admission(settings) };
    simulate(7, &streams, &discipline, &Retries::Always, SPAN)
}

fn sum(tallies: &[Tally], of: impl Fn(&Tally) -> u32) -> f64 {
    tallies.iter().map(|tally| f64::from(of(tally))).sum()
}

// Guards against a full member that spends its processor on refusals: most retries are refused at
// the entry, with the same goodput and rank order.
#[test]
fn refusals_of_a_flood_end_at_the_entry() {
    let (without, with) = (overload(3.0, false), overload(3.0, true));
    let refused =
        |tallies: &[Tally]| sum(tallies, |tally| tally.forwarded - tally.on_time - tally.late);
    println!("refused by the member: {} without, {} with", refused(&without), refused(&with));
    let goodput = |tallies: &[Tally]| sum(tallies, |tally| tally.in_span);
    println!("answered in time: {} without, {} with", goodput(&without), goodput(&with));
    for (without, with) in without.iter().zip(&with) {
        println!(
            "{} of {} and {} of {}",
            without.on_time, without.requests, with.on_time, with.requests
        );
    }
    assert!(refused(&with) < 0.4 * refused(&without));
    assert!(goodput(&with) > 0.98 * goodput(&without));
    assert!(with[0].on_time >= without[0].on_time, "critical requests");
}

#[test]
fn below_capacity_nothing_is_refused_at_the_entry() {
    let tallies = overload(0.8, true);
    assert!(sum(&tallies, |tally| tally.attempts - tally.forwarded) < 1.0);
}

/// Returns what starts when the first of two running reads of duration `read` ends, with another
/// read and a late call of duration `call` queued, or `refused` if the call is not queued.
fn next_after_a_late_call(call: Duration, read: Duration) -> Vec<&'static str> {
    let mut admission =
        Admission::new(AdmissionSettings { slots: 2, ..AdmissionSettings::default() });
    let start = Time::from_millis(1_000);
    let far = start + ms(60_000);
    for (attempt, rank, took) in
        [(1, Rank::Interactive, call), (2, Rank::Bulk, read), (3, Rank::Bulk, read)]
    {
        let offered = admission.offer(start, ticket(rank, far, attempt), "warms up");
        assert!(matches!(offered, Offer::Start(_)));
        admission.finish(start, attempt, took, Completion::Answered);
    }
    for attempt in [4, 5] {
        let offered = admission.offer(start, ticket(Rank::Bulk, far, attempt), "read");
        assert!(matches!(offered, Offer::Start(_)));
    }
    let queued = admission.offer(start, ticket(Rank::Bulk, far, 6), "read");
    assert!(matches!(queued, Offer::Queued { .. }));
    let aim = start + ms(5);
    let late = Ticket { expiry: start + ms(2_000), ..ticket(Rank::Interactive, aim, 7) };
    let offered = admission.offer(start, late, "call");
    if matches!(offered, Offer::Refused(..)) {
        return vec!["refused"];
    }
    admission.finish(start + ms(20), 4, read, Completion::Answered)
}

// Guards against a short late call that waits for long reads while its caller fails without it.
// Among requests of similar length, one on time goes first.
#[test]
fn a_short_call_passes_long_reads_though_it_is_late() {
    assert_eq!(next_after_a_late_call(ms(50), ms(500)), ["call"]);
    assert_eq!(next_after_a_late_call(ms(50), ms(60)), ["read"]);
}
