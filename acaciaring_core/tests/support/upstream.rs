//! Discrete-event simulation of one upstream: seeded arrivals, a queueing discipline, slots and
//! retrying callers.

use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use acaciaring_core::admission::{Admission, AdmissionSettings, Completion, Offer, Ticket};
use acaciaring_core::refusal_cache::{RefusalCache, Slack};
use acaciaring_core::retry::{Failure, RetryBudget, RetryDecision, RetrySettings};
use acaciaring_core::route::{Rank, Repeat};
use acaciaring_core::{MemberId, Reason, Refusal, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests of one rank.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub rank: Rank,
    /// Requests per second.
    pub rate: f64,
    pub deadline: Duration,
    /// Mean of the exponential service time.
    pub service: Duration,
}

/// Queueing discipline in front of the upstream's slots.
#[derive(Debug, Clone)]
pub enum Discipline {
    Admission(AdmissionSettings),
    /// Admission behind an entry that caches refusals.
    CachedRefusals(AdmissionSettings),
    /// Unbounded first in, first out; late requests run as well.
    Fifo {
        slots: usize,
    },
}

/// Retry policy of the callers.
#[derive(Debug, Clone)]
pub enum Retries {
    Never,
    Budget(RetrySettings),
    /// Retry after the pause given by the refusal, while time is left.
    Always,
}

/// Outcome counts of the requests of one rank.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub requests: u32,
    pub attempts: u32,
    /// Answered by the deadline.
    pub on_time: u32,
    /// Answered by the deadline and before the end of the simulated span.
    pub in_span: u32,
    /// Answered after the deadline.
    pub late: u32,
    /// Given up without having run.
    pub refused: u32,
    /// Attempts forwarded to the upstream's member; the others were refused at the entry.
    pub forwarded: u32,
    /// Latencies of the answers on time.
    pub latencies: Vec<Duration>,
}

impl Tally {
    pub fn quantile(&mut self, q: f64) -> Duration {
        self.latencies.sort_unstable();
        let last = self.latencies.len().saturating_sub(1);
        let index = (q * f64::from(u32::try_from(last).unwrap())).round();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
        let index = index as usize;
        self.latencies.get(index).copied().unwrap_or_default()
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    stream: usize,
    arrived: Time,
    attempts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Attempt(u64),
    Finish(u64, Duration),
    Tick,
}

/// Member beside the upstream.
const MEMBER: MemberId = MemberId(1);

/// State of one simulation.
pub struct Simulation {
    rng: StdRng,
    streams: Vec<Stream>,
    end: Time,
    events: BinaryHeap<std::cmp::Reverse<(Time, u64, Event)>>,
    order: u64,
    requests: BTreeMap<u64, Request>,
    queue: Box<dyn Queueing>,
    /// Refusal cache of the single entry, if it has one.
    refusal_cache: Option<RefusalCache>,
    retries: Retries,
    /// One budget per stream, so that failures of one rank do not use up another's.
    budgets: Vec<RetryBudget>,
    tallies: Vec<Tally>,
    /// Highest number of concurrent requests.
    pub max_running: usize,
    running: usize,
}

/// Offers `streams` for `span` and returns the tally of each stream.
pub fn simulate(
    seed: u64,
    streams: &[Stream],
    discipline: &Discipline,
    retries: &Retries,
    span: Duration,
) -> Vec<Tally> {
    let mut simulation = Simulation::new(seed, streams, discipline, retries, span);
    simulation.run();
    simulation.tallies
}

impl Simulation {
    pub fn new(
        seed: u64,
        streams: &[Stream],
        discipline: &Discipline,
        retries: &Retries,
        span: Duration,
    ) -> Self {
        let settings = match retries {
            Retries::Budget(settings) => settings.clone(),
            Retries::Never | Retries::Always => RetrySettings::default(),
        };
        let refusal_cache =
            matches!(discipline, Discipline::CachedRefusals(_)).then(RefusalCache::default);
        let queue: Box<dyn Queueing> = match discipline {
            Discipline::Admission(settings) | Discipline::CachedRefusals(settings) => {
                Box::new(Admission::new(settings.clone()))
            }
            Discipline::Fifo { slots } => {
                Box::new(Fifo { slots: *slots, running: 0, queue: VecDeque::new() })
            }
        };
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            streams: streams.to_vec(),
            end: Time::ZERO + span,
            events: BinaryHeap::new(),
            order: 0,
            requests: BTreeMap::new(),
            queue,
            refusal_cache,
            retries: retries.clone(),
            budgets: streams
                .iter()
                .map(|_| RetryBudget::new(Time::ZERO, settings.clone()))
                .collect(),
            tallies: vec![Tally::default(); streams.len()],
            max_running: 0,
            running: 0,
        };
        for stream in 0..streams.len() {
            simulation.schedule(Time::ZERO, Event::Arrive(stream));
        }
        simulation.schedule(Time::ZERO, Event::Tick);
        simulation
    }

    pub fn run(&mut self) {
        while let Some(std::cmp::Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(stream) => self.arrive(now, stream),
                Event::Attempt(attempt) => self.offer(now, attempt),
                Event::Finish(attempt, took) => self.finish(now, attempt, took),
                Event::Tick => self.tick(now),
            }
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(std::cmp::Reverse((at, self.order, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-mean * (1.0 - self.rng.random::<f64>()).ln())
    }

    fn arrive(&mut self, now: Time, stream: usize) {
        let gap = self.exponential(1.0 / self.streams[stream].rate);
        if now + gap < self.end {
            self.schedule(now + gap, Event::Arrive(stream));
        }
        self.tallies[stream].requests += 1;
        self.budgets[stream].first_attempt(now);
        self.order += 1;
        let attempt = self.order;
        self.requests.insert(attempt, Request { stream, arrived: now, attempts: 0 });
        self.offer(now, attempt);
    }

    fn offer(&mut self, now: Time, attempt: u64) {
        let request = self.requests.get_mut(&attempt).unwrap();
        request.attempts += 1;
        let stream = self.streams[request.stream];
        self.tallies[request.stream].attempts += 1;
        let deadline = request.arrived + stream.deadline;
        let ticket = Ticket { rank: stream.rank, deadline, expiry: deadline, attempt, answer: 0 };
        let left = deadline.since(now);
        let slack = Slack { rank: stream.rank, aim: left, left, large: false };
        let retry = self
            .refusal_cache
            .as_ref()
            .and_then(|refusal_cache| refusal_cache.retry_after(now, MEMBER, slack));
        if let Some(retry) = retry {
            let refusal = Refusal::not_run(Reason::Busy).after(retry);
            return self.handle_refusal(now, attempt, refusal);
        }
        self.tallies[request.stream].forwarded += 1;
        let offer = self.queue.offer(now, ticket);
        if let (Offer::Refused(_, refusal), Some(refusal_cache)) = (&offer, &mut self.refusal_cache)
            && let Refusal { reason: Reason::Busy, retry: Some(retry), .. } = *refusal
        {
            refusal_cache.record(now, MEMBER, slack, retry);
        }
        match offer {
            Offer::Start(attempt) => self.start(now, attempt),
            Offer::Queued { displaced } => {
                if let Some((attempt, refusal)) = displaced {
                    self.handle_refusal(now, attempt, refusal);
                }
            }
            Offer::Refused(attempt, refusal) => self.handle_refusal(now, attempt, refusal),
        }
    }

    fn start(&mut self, now: Time, attempt: u64) {
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        let stream = self.streams[self.requests[&attempt].stream];
        let took = self.exponential(stream.service.as_secs_f64());
        self.schedule(now + took, Event::Finish(attempt, took));
    }

    fn finish(&mut self, now: Time, attempt: u64, took: Duration) {
        self.running -= 1;
        let request = self.requests.remove(&attempt).unwrap();
        let tally = &mut self.tallies[request.stream];
        let latency = now.since(request.arrived);
        if latency <= self.streams[request.stream].deadline {
            tally.on_time += 1;
            tally.in_span += u32::from(now < self.end);
            tally.latencies.push(latency);
        } else {
            tally.late += 1;
        }
        for attempt in self.queue.finish(now, attempt, took) {
            self.start(now, attempt);
        }
        self.expire(now);
    }

    fn tick(&mut self, now: Time) {
        self.expire(now);
        // Long after every deadline and any backlog, a remaining request was lost by the queue.
        let overdue = now.since(self.end) > Duration::from_mins(5);
        assert!(!overdue, "{} requests were lost", self.requests.len());
        if !self.requests.is_empty() || now < self.end {
            self.schedule(now + Duration::from_millis(10), Event::Tick);
        }
    }

    fn expire(&mut self, now: Time) {
        for (attempt, refusal) in self.queue.expire(now) {
            self.handle_refusal(now, attempt, refusal);
        }
    }

    fn handle_refusal(&mut self, now: Time, attempt: u64, refusal: Refusal) {
        let request = self.requests[&attempt];
        let deadline = request.arrived + self.streams[request.stream].deadline;
        let left = deadline.since(now);
        let failure = Failure {
            refusal,
            repeat: Repeat::Once,
            time_left: left,
            attempts: request.attempts,
            redirects: 0,
            reached_upstream: true,
            has_alternative: false,
            max_attempts: 0,
        };
        let decision = match self.retries {
            Retries::Never => RetryDecision::GiveUp,
            Retries::Budget(_) => self.budgets[request.stream].decide(now, &mut self.rng, &failure),
            Retries::Always => {
                let after = refusal.retry.unwrap_or(Duration::from_millis(50));
                let expired = refusal.reason == Reason::Expired || after >= left;
                if expired { RetryDecision::GiveUp } else { RetryDecision::Retry { after } }
            }
        };
        match decision {
            RetryDecision::Retry { after } => self.schedule(now + after, Event::Attempt(attempt)),
            RetryDecision::GiveUp => {
                self.requests.remove(&attempt);
                self.tallies[request.stream].refused += 1;
            }
        }
    }
}

/// Queueing discipline as used by the event loop.
trait Queueing {
    fn offer(&mut self, now: Time, ticket: Ticket) -> Offer<u64>;
    fn finish(&mut self, now: Time, attempt: u64, took: Duration) -> Vec<u64>;
    fn expire(&mut self, now: Time) -> Vec<(u64, Refusal)>;
}

impl Queueing for Admission<u64> {
    fn offer(&mut self, now: Time, ticket: Ticket) -> Offer<u64> {
        self.offer(now, ticket, ticket.attempt)
    }

    fn finish(&mut self, now: Time, attempt: u64, took: Duration) -> Vec<u64> {
        self.finish(now, attempt, took, Completion::Answered)
    }

    fn expire(&mut self, now: Time) -> Vec<(u64, Refusal)> {
        self.expire(now)
    }
}

struct Fifo {
    slots: usize,
    running: usize,
    queue: VecDeque<u64>,
}

impl Queueing for Fifo {
    fn offer(&mut self, _now: Time, ticket: Ticket) -> Offer<u64> {
        if self.running < self.slots {
            self.running += 1;
            return Offer::Start(ticket.attempt);
        }
        self.queue.push_back(ticket.attempt);
        Offer::Queued { displaced: None }
    }

    fn finish(&mut self, _now: Time, _attempt: u64, _took: Duration) -> Vec<u64> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next.into_iter().collect()
    }

    fn expire(&mut self, _now: Time) -> Vec<(u64, Refusal)> {
        Vec::new()
    }
}
