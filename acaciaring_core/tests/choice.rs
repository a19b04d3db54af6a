//! Tests of member selection for a service that is not partitioned by key.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::selector::{Outcome, Selector, SelectorSettings};
use acaciaring_core::{MemberId, Time};
use rand::SeedableRng;
use rand::rngs::StdRng;

const MEMBERS: [MemberId; 4] = [MemberId(1), MemberId(2), MemberId(3), MemberId(4)];

/// Four servers with fixed latencies, and one entry that selects among them.
struct Fleet {
    selector: Selector,
    rng: StdRng,
    now: Time,
    /// Time between two requests.
    interval_ms: u64,
    /// Whether load reports come with each answer, rather than every 100 ms.
    piggybacked: bool,
    /// Requests that each member runs concurrently.
    slots: BTreeMap<MemberId, u32>,
    /// Latency of each member in milliseconds; `None` when it fails at once.
    latencies: BTreeMap<MemberId, Option<u64>>,
    /// Requests in flight: end, member and duration.
    in_flight: Vec<(Time, MemberId, Duration)>,
    counts: BTreeMap<MemberId, u32>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            selector: Selector::new(SelectorSettings::default()),
            rng: StdRng::seed_from_u64(5),
            now: Time::ZERO,
            interval_ms: 1,
            piggybacked: false,
            slots: MEMBERS.map(|id| (id, 20)).into(),
            latencies: MEMBERS.map(|id| (id, Some(20))).into(),
            in_flight: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Sends requests at the configured interval and returns the count of each member.
    fn run(&mut self, millis: u64) -> BTreeMap<MemberId, u32> {
        self.counts.clear();
        for milli in 0..millis {
            self.now = self.now + Duration::from_millis(1);
            self.complete_due();
            if !self.piggybacked && self.now.since_start().as_millis().is_multiple_of(100) {
                for id in MEMBERS {
                    self.report(id);
                }
            }
            if milli.is_multiple_of(self.interval_ms) {
                self.send();
            }
        }
        self.counts.clone()
    }

    fn report(&mut self, id: MemberId) {
        let busy = self.in_flight.iter().filter(|(_, member, _)| *member == id).count();
        self.selector.report(self.now, id, u32::try_from(busy).unwrap(), self.slots[&id]);
    }

    fn complete_due(&mut self) {
        let now = self.now;
        let (completed, in_flight) = self.in_flight.drain(..).partition(|(end, ..)| *end <= now);
        self.in_flight = in_flight;
        let completed: Vec<_> = completed;
        for (_, member, took) in completed {
            self.selector.done(now, member, Outcome::Answered(took));
            if self.piggybacked {
                self.report(member);
            }
        }
    }

    fn send(&mut self) {
        let Some(id) = self.selector.choose(self.now, &mut self.rng, &MEMBERS, &[]) else { return };
        *self.counts.entry(id).or_default() += 1;
        self.selector.sent(self.now, id);
        match self.latencies[&id] {
            Some(millis) => {
                let took = Duration::from_millis(millis);
                self.in_flight.push((self.now + took, id, took));
            }
            None => self.selector.done(self.now, id, Outcome::Failed),
        }
    }
}

fn share(counts: &BTreeMap<MemberId, u32>, id: MemberId) -> f64 {
    let all: u32 = counts.values().sum();
    f64::from(counts.get(&id).copied().unwrap_or(0)) / f64::from(all)
}

#[test]
fn equal_members_get_equal_shares() {
    let mut fleet = Fleet::new();
    let counts = fleet.run(20_000);
    for id in MEMBERS {
        assert!((share(&counts, id) - 0.25).abs() < 0.02, "{counts:?}");
    }
}

// Guards against a slow member that keeps its share because its health looks normal, and against
// one that is never tried again after it has recovered.
#[test]
fn a_slow_member_is_avoided_and_found_again() {
    let mut fleet = Fleet::new();
    fleet.run(5_000);
    fleet.latencies.insert(MEMBERS[0], Some(200));
    fleet.run(2_000);
    let slow = share(&fleet.run(10_000), MEMBERS[0]);
    assert!(slow > 0.0 && slow < 0.1, "{slow}");
    fleet.latencies.insert(MEMBERS[0], Some(20));
    fleet.run(10_000);
    let again = share(&fleet.run(10_000), MEMBERS[0]);
    assert!(again > 0.2, "{again}");
}

// Guards against a member excluded for good by one slow answer: it gets no requests to correct the
// estimate, so the estimate must decay.
#[test]
fn an_old_latency_decays() {
    let mut fleet = Fleet::new();
    fleet.selector.sent(Time::ZERO, MEMBERS[0]);
    fleet.selector.done(Time::ZERO, MEMBERS[0], Outcome::Answered(Duration::from_secs(100)));
    fleet.run(2_000);
    assert_eq!(fleet.run(1_000).get(&MEMBERS[0]), None);
    fleet.run(120_000);
    assert!(share(&fleet.run(5_000), MEMBERS[0]) > 0.2);
}

// Guards against a member that attracts requests by failing fast: it is backed off, and used again
// once it answers.
#[test]
fn a_member_that_fails_fast_does_not_draw_requests() {
    let mut fleet = Fleet::new();
    fleet.latencies.insert(MEMBERS[0], None);
    fleet.run(2_000);
    let down = share(&fleet.run(20_000), MEMBERS[0]);
    assert!(down < 0.005, "{down}");
    fleet.latencies.insert(MEMBERS[0], Some(20));
    fleet.run(10_000);
    assert!(share(&fleet.run(10_000), MEMBERS[0]) > 0.2);
}

// Guards against a new member that gets its full share with cold caches.
#[test]
fn a_cold_member_is_ramped_up() {
    let mut fleet = Fleet::new();
    fleet.selector.join(Time::ZERO, MEMBERS[0], true);
    let early = share(&fleet.run(1_000), MEMBERS[0]);
    fleet.run(10_000);
    let warm = share(&fleet.run(5_000), MEMBERS[0]);
    assert!(early < 0.1, "{early}");
    assert!((warm - 0.25).abs() < 0.03, "{warm}");
}

// Guards against a new member that stays unused because it was slow while cold: it is probed,
// seldom enough that few callers wait for it.
#[test]
fn a_newcomer_that_was_slow_while_cold_is_used_soon() {
    let mut fleet = Fleet { interval_ms: 4, piggybacked: true, ..Fleet::new() };
    fleet.latencies.insert(MEMBERS[0], Some(200));
    fleet.slots.insert(MEMBERS[0], 2);
    fleet.run(1_000);
    let cold = share(&fleet.run(3_000), MEMBERS[0]);
    fleet.latencies.insert(MEMBERS[0], Some(20));
    fleet.slots.insert(MEMBERS[0], 20);
    fleet.run(4_000);
    let warm = share(&fleet.run(2_000), MEMBERS[0]);
    println!("share {cold} while cold, {warm} from the fourth second on");
    assert!(cold < 0.05, "{cold}");
    assert!(warm > 0.15, "{warm}");
}

// Guards against requests to a member that sheds load before its retry time, even when all others
// fail.
#[test]
fn a_member_that_sheds_is_left_alone_until_its_time() {
    let mut fleet = Fleet::new();
    fleet.selector.shed(Time::ZERO, MEMBERS[0], Duration::from_secs(2));
    let counts = fleet.run(1_999);
    assert_eq!(counts.get(&MEMBERS[0]), None);
    let now = Time::from_millis(1_999);
    assert_eq!(fleet.selector.choose(now, &mut fleet.rng, &MEMBERS, &MEMBERS[1..]), None);
    assert!(share(&fleet.run(2_000), MEMBERS[0]) > 0.2);
}

// Guards against an outage of the whole service when the local network makes every member seem to
// fail.
#[test]
fn failures_of_all_members_leave_some_choice() {
    let mut fleet = Fleet::new();
    for id in MEMBERS {
        fleet.selector.sent(Time::ZERO, id);
        fleet.selector.done(Time::ZERO, id, Outcome::Failed);
    }
    assert!(fleet.selector.choose(Time::ZERO, &mut fleet.rng, &MEMBERS, &[]).is_some());
    assert_eq!(fleet.selector.choose(Time::ZERO, &mut fleet.rng, &MEMBERS, &MEMBERS), None);
}
