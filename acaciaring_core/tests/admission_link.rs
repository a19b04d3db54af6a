//! Replay of a load of large answers and short calls at one VM whose link is the bottleneck.

use std::collections::{BTreeMap, VecDeque};
use std::f64::consts::TAU;
use std::time::Duration;

use acaciaring_core::admission::{
    Admission, AdmissionSettings, AnswerSizes, Completion, Offer, Ticket,
};
use acaciaring_core::route::Rank;
use acaciaring_core::{Name, Reason, Refusal, Time, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Bytes per second of a link of 10 Mbit/s.
const LINK_RATE: u64 = 1_250_000;

const SLOTS: u32 = 9;

/// Large requests per second at one of eight VMs on average, and the swing and period of the load
/// wave.
const LARGE_RATE: f64 = 121.0 / 8.0;
const SWING: f64 = 0.55;
const PERIOD_MS: u64 = 15_000;

/// Sizes in bytes are log-normal with this mean and spread of the logarithm.
const MEAN_SIZE: f64 = 90_000.0;
const SPREAD: f64 = 0.6;
const MAX_SIZE: f64 = 540_000.0;

const SHORT_RATE: f64 = 33.0;

/// Load waves that are replayed.
const WAVES: u64 = 4;

/// Seeds of the replays.
const SEEDS: [u64; 4] = [17, 18, 19, 20];

/// Interval at which the gate sweeps its queue.
const SWEEP_MS: u64 = 20;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Kind of a request, with its times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Kind {
    large: bool,
    rank: Rank,
    work: u64,
    aim: u64,
    expiry: u64,
}

const LARGE: Kind =
    Kind { large: true, rank: Rank::Interactive, work: 150, aim: 1_000, expiry: 4_000 };

const SHORT: Kind = Kind { large: false, rank: Rank::Critical, work: 55, aim: 200, expiry: 600 };

/// State of a request, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: Kind,
    arrived: u64,
    size: u64,
    started: Option<u64>,
    refusal: Option<Refusal>,
    /// Time at which the whole answer has crossed the link.
    delivered: Option<u64>,
}

/// One VM: admission in front of nine slots, and a link that sends large answers in order.
struct Replay {
    admission: Admission<u64>,
    sizes: AnswerSizes,
    class: Name,
    rng: StdRng,
    requests: BTreeMap<u64, Request>,
    /// End of the work in milliseconds, and the attempts.
    running: Vec<(u64, u64)>,
    /// Finished large answers with the bytes still to send, oldest first.
    link: VecDeque<(u64, u64)>,
    /// Milliseconds in which more was asked than fits, and those of them with an idle link.
    saturated: u64,
    idle: u64,
}

impl Replay {
    fn new(link_rate: u64, seed: u64) -> Self {
        let settings =
            AdmissionSettings { slots: SLOTS, link_rate, ..AdmissionSettings::default() };
        Self {
            admission: Admission::new(settings),
            sizes: AnswerSizes::default(),
            class: "download".into(),
            rng: StdRng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            running: Vec::new(),
            link: VecDeque::new(),
            saturated: 0,
            idle: 0,
        }
    }

    /// Plays the waves, and the time in which the last answers are sent.
    fn play(mut self) -> Self {
        let end = WAVES * PERIOD_MS;
        for now in 0..end + 10_000 {
            let rate = if now < end { large_rate(now) } else { 0.0 };
            self.send(now, rate * MEAN_SIZE > f64::from(u32::try_from(LINK_RATE).unwrap()));
            self.finish(now);
            for (kind, rate) in [(LARGE, rate), (SHORT, if now < end { SHORT_RATE } else { 0.0 })] {
                if self.rng.random_bool(rate / 1000.0) {
                    self.offer(now, kind);
                }
            }
            if now.is_multiple_of(SWEEP_MS) {
                self.sweep(now);
            }
        }
        self
    }

    /// Sends for one millisecond.
    fn send(&mut self, now: u64, saturated: bool) {
        self.saturated += u64::from(saturated);
        self.idle += u64::from(saturated && self.link.is_empty());
        let mut room = LINK_RATE / 1000;
        while let Some((attempt, left)) = self.link.front_mut() {
            let sent = room.min(*left);
            room -= sent;
            *left -= sent;
            if *left > 0 {
                return;
            }
            self.requests.get_mut(attempt).unwrap().delivered = Some(now);
            self.link.pop_front();
        }
    }

    fn finish(&mut self, now: u64) {
        while let Some(index) = self.running.iter().position(|(end, _)| *end <= now) {
            let (_, attempt) = self.running.swap_remove(index);
            let Request { kind, size, .. } = self.requests[&attempt];
            if kind.large {
                self.sizes.record(&self.class, &self.class, size);
                self.link.push_back((attempt, size));
            }
            self.report_backlog();
            let at = Time::from_millis(now);
            let started = self.admission.finish(at, attempt, ms(kind.work), Completion::Answered);
            self.start(now, started);
            self.expire(now);
        }
    }

    fn offer(&mut self, now: u64, kind: Kind) {
        let attempt = self.requests.len() as u64;
        let at = Time::from_millis(now);
        let expected = self.sizes.expected(&self.class, &self.class);
        let ticket = Ticket {
            rank: kind.rank,
            deadline: at + ms(kind.aim),
            expiry: at + ms(kind.expiry),
            attempt,
            answer: if kind.large { expected } else { 0 },
        };
        let size = self.size();
        let request =
            Request { kind, arrived: now, size, started: None, refusal: None, delivered: None };
        self.requests.insert(attempt, request);
        self.report_backlog();
        match self.admission.offer(at, ticket, attempt) {
            Offer::Start(attempt) => self.start(now, vec![attempt]),
            Offer::Queued { displaced } => self.refuse(displaced),
            Offer::Refused(attempt, refusal) => self.refuse([(attempt, refusal)]),
        }
    }

    fn sweep(&mut self, now: u64) {
        self.report_backlog();
        let started = self.admission.start_due(Time::from_millis(now));
        self.start(now, started);
        self.expire(now);
    }

    fn expire(&mut self, now: u64) {
        let refused = self.admission.expire(Time::from_millis(now));
        self.refuse(refused);
    }

    fn report_backlog(&mut self) {
        self.admission.set_backlog(self.link.iter().map(|(_, left)| left).sum());
    }

    fn start(&mut self, now: u64, attempts: Vec<u64>) {
        for attempt in attempts {
            let request = self.requests.get_mut(&attempt).unwrap();
            assert!(request.started.is_none() && request.refusal.is_none(), "{request:?}");
            request.started = Some(now);
            self.running.push((now + request.kind.work, attempt));
        }
    }

    fn refuse(&mut self, refused: impl IntoIterator<Item = (u64, Refusal)>) {
        for (attempt, refusal) in refused {
            let request = self.requests.get_mut(&attempt).unwrap();
            assert!(request.started.is_none() && request.refusal.is_none(), "{request:?}");
            assert_eq!(refusal.verdict, Verdict::NotRun);
            request.refusal = Some(refusal);
        }
    }

    /// Draws a size by the Box-Muller method.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a size is small and not negative"
    )]
    fn size(&mut self) -> u64 {
        let radius = (-2.0 * self.rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
        let normal = radius * (TAU * self.rng.random::<f64>()).cos();
        let median = MEAN_SIZE.ln() - SPREAD * SPREAD / 2.0;
        (median + SPREAD * normal).exp().min(MAX_SIZE) as u64
    }

    /// Returns how the large requests ended.
    fn result(&self) -> Ended {
        let all = || self.requests.values().filter(|request| request.kind.large);
        let took = |request: &Request| Some(request.delivered? - request.arrived);
        let within = |limit| all().filter(|r| took(r).is_some_and(|t| t <= limit)).count();
        let ended = Ended {
            asked: all().count(),
            started: all().filter(|request| request.started.is_some()).count(),
            in_aim: within(LARGE.aim),
            in_expiry: within(LARGE.expiry),
            link_full: all()
                .filter(|r| r.refusal.is_some_and(|refusal| refusal.reason == Reason::LinkFull))
                .count(),
            slowest: all().filter_map(took).max().unwrap_or(0),
            busy: 1.0 - share(self.idle, self.saturated),
        };
        println!(
            "{} of {} large requests start, {} answers within the aim, {} within expiry, the slowest \
             after {} ms, {} refused for the link, which is busy for {:.3}",
            ended.started,
            ended.asked,
            ended.in_aim,
            ended.in_expiry,
            ended.slowest,
            ended.link_full,
            ended.busy
        );
        ended
    }

    /// Returns the waits of the short calls for their start in milliseconds; all must start.
    fn short_waits(&self) -> Vec<u64> {
        let short = self.requests.values().filter(|request| !request.kind.large);
        short.map(|request| request.started.expect("starts") - request.arrived).collect()
    }
}

/// How the large requests of a replay ended.
struct Ended {
    asked: usize,
    started: usize,
    in_aim: usize,
    in_expiry: usize,
    link_full: usize,
    /// Longest time to an answer in milliseconds.
    slowest: u64,
    /// Share of the time with a busy link while more is asked than fits.
    busy: f64,
}

/// Returns the large requests per second at a time of the wave.
fn large_rate(now: u64) -> f64 {
    let phase = TAU * share(now % PERIOD_MS, PERIOD_MS);
    LARGE_RATE * (1.0 + SWING * phase.sin())
}

fn share(part: u64, whole: u64) -> f64 {
    let number = |value: u64| f64::from(u32::try_from(value).expect("small"));
    number(part) / number(whole.max(1))
}

fn ratio(part: usize, whole: usize) -> f64 {
    share(part as u64, whole as u64)
}

/// Guards against answers that are produced and then arrive late, since the link has no room, and
/// against an idle link while requests are refused.
#[test]
fn large_answers_arrive_in_time_or_are_refused_before_they_run() {
    for seed in SEEDS {
        let ended = Replay::new(LINK_RATE, seed).play().result();
        let refused = ended.asked - ended.started;
        assert_eq!(ended.in_expiry, ended.started, "each answer arrives before its caller leaves");
        assert!(ratio(ended.in_aim, ended.started) >= 0.95, "answers arrive when they are wanted");
        assert!(ended.busy >= 0.95, "the link is busy while more is asked than fits");
        assert!(ratio(ended.link_full, refused) >= 0.95, "refusals name the bottleneck");
    }
}

/// Guards against short calls that wait behind large requests.
#[test]
fn short_calls_are_not_delayed() {
    for seed in SEEDS {
        let waits = Replay::new(LINK_RATE, seed).play().short_waits();
        let at_once = waits.iter().filter(|wait| **wait == 0).count();
        let longest = waits.iter().max().expect("some");
        println!("{at_once} of {} short calls start at once, all in {longest} ms", waits.len());
        assert!(ratio(at_once, waits.len()) >= 0.99, "{at_once} of {} at once", waits.len());
        assert!(longest + SHORT.work <= SHORT.aim, "one waits for {longest} ms");
    }
}

/// Shows what the decision without the link does with the same load.
#[test]
fn without_the_link_most_answers_are_late() {
    for seed in SEEDS {
        let ended = Replay::new(0, seed).play().result();
        assert!(ratio(ended.in_aim, ended.asked) < 0.5, "most miss their aim");
        assert_eq!(ended.link_full, 0);
    }
}
