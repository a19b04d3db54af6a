//! Tests of locality in member selection: the local member first, then those of its data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::selector::{LocalMember, NearbyMembers, Outcome, Selector, SelectorSettings};
use acaciaring_core::{MemberId, Time};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MEMBERS: usize = 8;

/// Members in each data centre.
const CENTRE_SIZE: usize = 2;

const SLOTS: u32 = 10;

/// Members that are an entry and an upstream each, in data centres of `CENTRE_SIZE` members.
struct Mesh {
    selectors: Vec<Selector>,
    rng: StdRng,
    now: Time,
    /// Running requests of each upstream.
    busy: [u32; MEMBERS],
    /// Latency of each upstream in milliseconds.
    latencies: [u64; MEMBERS],
    /// Requests in flight: end, entry, member and duration.
    in_flight: Vec<(Time, usize, usize, Duration)>,
    /// Requests sent, by entry and member.
    sent: BTreeMap<(usize, usize), u32>,
    /// Highest number of running requests of each upstream.
    max_busy: [u32; MEMBERS],
    near: bool,
    /// Milliseconds that the rates of [`Mesh::run`] count requests of.
    span: u32,
}

impl Mesh {
    fn new() -> Self {
        Self {
            selectors: (0..MEMBERS).map(|_| Selector::new(SelectorSettings::default())).collect(),
            rng: StdRng::seed_from_u64(7),
            now: Time::ZERO,
            busy: [0; MEMBERS],
            latencies: [20; MEMBERS],
            in_flight: Vec::new(),
            sent: BTreeMap::new(),
            max_busy: [0; MEMBERS],
            near: true,
            span: 10,
        }
    }

    /// Simulates a span; `rates` are the requests per [`Mesh::span`] of each entry.
    fn run(&mut self, millis: u64, rates: [u32; MEMBERS]) {
        self.sent.clear();
        self.max_busy = self.busy;
        let mut credit = [0; MEMBERS];
        for _ in 0..millis {
            self.now = self.now + Duration::from_millis(1);
            self.complete_due();
            for entry in 0..MEMBERS {
                credit[entry] += rates[entry];
                while credit[entry] >= self.span {
                    credit[entry] -= self.span;
                    self.send(entry);
                }
            }
        }
    }

    fn complete_due(&mut self) {
        let now = self.now;
        let (completed, in_flight): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(end, ..)| *end <= now);
        self.in_flight = in_flight;
        for (_, entry, member, took) in completed {
            self.busy[member] -= 1;
            let selector = &mut self.selectors[entry];
            selector.done(now, id(member), Outcome::Answered(took));
            selector.report(now, id(member), self.busy[member], SLOTS);
        }
    }

    fn send(&mut self, entry: usize) {
        let all: Vec<_> = (0..MEMBERS).map(id).collect();
        let first = entry / CENTRE_SIZE * CENTRE_SIZE;
        let own = LocalMember { member: id(entry), busy: self.busy[entry], capacity: SLOTS };
        let near = NearbyMembers { local: Some(own), others: &all[first..first + CENTRE_SIZE] };
        let selector = &mut self.selectors[entry];
        let near = if self.near { near } else { NearbyMembers::default() };
        let target = selector.choose_near(self.now, &mut self.rng, near, &all, &[]);
        let target = target.expect("all members are open");
        selector.sent(self.now, target);
        let member = (0..MEMBERS).find(|member| id(*member) == target).unwrap();
        self.busy[member] += 1;
        self.max_busy[member] = self.max_busy[member].max(self.busy[member]);
        // A request without a free slot waits for those before it.
        let turns = u64::from(self.busy[member].div_ceil(SLOTS));
        let took = Duration::from_millis(self.latencies[member] * turns);
        self.in_flight.push((self.now + took, entry, member, took));
        *self.sent.entry((entry, member)).or_default() += 1;
    }

    /// Returns the share of requests whose entry and member satisfy the predicate.
    fn share(&self, passes: impl Fn(usize, usize) -> bool) -> f64 {
        let all: u32 = self.sent.values().sum();
        let passing = self.sent.iter().filter(|((entry, member), _)| passes(*entry, *member));
        f64::from(passing.map(|(_, count)| count).sum::<u32>()) / f64::from(all)
    }

    /// Returns the share of requests of each member.
    fn shares(&self) -> [f64; MEMBERS] {
        std::array::from_fn(|place| self.share(|_, member| member == place))
    }
}

fn id(member: usize) -> MemberId {
    MemberId(member as u64 + 1)
}

fn same_centre(entry: usize, member: usize) -> bool {
    entry / CENTRE_SIZE == member / CENTRE_SIZE
}

// Guards against requests that cross data centres while the entry's local upstream has room.
#[test]
fn a_request_stays_where_there_is_room() {
    let mut mesh = Mesh::new();
    mesh.run(10_000, [2; MEMBERS]);
    let stays = mesh.share(|entry, member| entry == member);
    assert!(stays > 0.9, "{stays}");
}

// Guards against an overloaded local upstream when all callers use one entry: the excess spreads
// about as evenly as without locality.
#[test]
fn callers_of_one_entry_spread_over_all() {
    let mut rates = [0; MEMBERS];
    rates[0] = 30;
    let mut most = [0; 2];
    for near in [false, true] {
        let mut mesh = Mesh { near, ..Mesh::new() };
        mesh.run(1_000, rates);
        mesh.run(10_000, rates);
        let shares = mesh.shares();
        println!("near {near}: {shares:?}, most {:?}", mesh.max_busy);
        assert!(shares.iter().all(|share| *share > 0.08 && *share < 0.2), "{shares:?}");
        most[usize::from(near)] = mesh.max_busy.into_iter().max().unwrap();
    }
    assert!(most[1] <= most[0] + 3, "{most:?}");
}

// Guards against a slow local upstream that keeps its share because it has room, and against one
// that stays avoided after it has recovered.
#[test]
fn a_slow_own_upstream_gets_less() {
    let mut mesh = Mesh::new();
    mesh.run(5_000, [2; MEMBERS]);
    mesh.latencies[0] = 200;
    mesh.run(3_000, [2; MEMBERS]);
    mesh.run(10_000, [2; MEMBERS]);
    let slow = mesh.share(|_, member| member == 0);
    assert!(slow > 0.0 && slow < 0.06, "{slow}");
    mesh.latencies[0] = 20;
    mesh.run(20_000, [2; MEMBERS]);
    mesh.run(5_000, [2; MEMBERS]);
    let again = mesh.share(|_, member| member == 0);
    assert!(again > 0.1, "{again}");
}

/// Guards against a slow local upstream whose own answers make up the mean that it is compared with,
/// where waits for the processor leave it about four times, not ten times, as slow as the others.
#[test]
fn a_slow_own_upstream_gets_less_where_all_wait() {
    for span in [20, 80] {
        let mut mesh = Mesh { latencies: [70; MEMBERS], span, ..Mesh::new() };
        mesh.run(20_000, [1; MEMBERS]);
        mesh.latencies[0] = 250;
        mesh.run(2_000, [1; MEMBERS]);
        mesh.run(10_000, [1; MEMBERS]);
        let slow = mesh.share(|_, member| member == 0);
        println!("a request each {span} ms at each entry: {slow}");
        assert!(slow > 0.0 && slow < 0.05, "{slow}");
        mesh.latencies[0] = 70;
        mesh.run(20_000, [1; MEMBERS]);
        mesh.run(10_000, [1; MEMBERS]);
        let again = mesh.share(|_, member| member == 0);
        assert!(again > 0.1, "{again}");
    }
}

// Guards against a nearby member chosen although it fails, sheds load, is full or is much busier
// than a remote one.
#[test]
fn an_unavailable_near_member_is_skipped() {
    let mut rng = StdRng::seed_from_u64(3);
    let all = [id(0), id(1), id(2)];
    let own = |busy, capacity| Some(LocalMember { member: id(0), busy, capacity });
    let mut selector = Selector::new(SelectorSettings::default());
    let mut choose = |selector: &Selector, own, exclude: &[MemberId]| {
        let near = NearbyMembers { local: own, others: &all[..2] };
        selector.choose_near(Time::ZERO, &mut rng, near, &all, exclude).unwrap()
    };
    assert_eq!(choose(&selector, own(0, SLOTS), &[]), id(0));
    assert_eq!(choose(&selector, own(0, SLOTS), &[id(0)]), id(1));
    assert_eq!(choose(&selector, own(0, 0), &[id(0)]), id(1));
    selector.sent(Time::ZERO, id(0));
    selector.done(Time::ZERO, id(0), Outcome::Failed);
    assert_eq!(choose(&selector, own(0, SLOTS), &[]), id(1));
    selector.report(Time::ZERO, id(1), 7, SLOTS);
    selector.report(Time::ZERO, id(2), 8, SLOTS);
    assert_eq!(choose(&selector, own(0, SLOTS), &[]), id(1));
    selector.report(Time::ZERO, id(2), 2, SLOTS);
    assert_eq!(choose(&selector, own(0, SLOTS), &[]), id(2));
    selector.report(Time::ZERO, id(1), SLOTS, SLOTS);
    selector.report(Time::ZERO, id(2), SLOTS - 1, SLOTS);
    assert_eq!(choose(&selector, own(0, SLOTS), &[]), id(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against an upstream overloaded by locality at half of the total capacity; locality
    /// must also raise the share that stays in its data centre.
    #[test]
    fn uneven_callers_overload_no_upstream(weights in proptest::array::uniform8(0_u32..20)) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        // 20 requests per 10 ms are half the capacity of 80 slots at 20 ms each.
        let rates = weights.map(|weight| weight * 20 / total);
        prop_assume!(rates.iter().sum::<u32>() > 10);
        let mut stay = [0.0; 2];
        for near in [false, true] {
            let mut mesh = Mesh { near, ..Mesh::new() };
            mesh.run(2_000, rates);
            mesh.run(4_000, rates);
            prop_assert!(mesh.max_busy.iter().all(|max| *max <= SLOTS * 2), "{:?}", mesh.max_busy);
            stay[usize::from(near)] = mesh.share(same_centre);
        }
        prop_assert!(stay[1] > stay[0], "{stay:?}");
    }
}
