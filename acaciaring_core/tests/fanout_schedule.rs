//! Seeded schedules of a wide fleet in which few members read the log: readers that crash, that are
//! cut off from the log service, and records that are lost on their way.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::fanout::{Fanout, Freshness, ReadMode};
use acaciaring_core::pace::{ReadPacer, poll_wait};
use acaciaring_core::state::{Replica, State};
use acaciaring_core::{MemberId, Time};
use acaciaring_schema::log::{Batch, Evict, Join, Record, record};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MEMBERS: u64 = 60;
const CENTRES: u64 = 4;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time between two lease renewals, which carry offset and age to three other members.
const RENEWAL: Duration = Duration::from_millis(700);

/// Time after which a member that has died is evicted.
const EVICTION: Duration = Duration::from_secs(4);

/// Time without a fold after which a member fetches records from one that is ahead.
const QUIET: Duration = Duration::from_millis(700);

/// Longest time of a read that waits.
const LONGEST_WAIT: Duration = Duration::from_secs(25);

/// Common rate of all members that read at their own pace.
const RATE: u32 = 200;

/// Longest time from a record to its fold everywhere while nothing fails.
const CALM_LIMIT: Duration = Duration::from_millis(1500);

/// The same under failures: an age of four seconds, a paced read, and two rounds of renewals.
const TROUBLE_LIMIT: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct Read {
    from: u64,
    until: Time,
}

struct Member {
    pacer: ReadPacer,
    freshness: Freshness,
    fanout: Fanout,
    mode: ReadMode,
    next: u64,
    reading: Option<Read>,
    folded_at: Time,
    alive: bool,
    /// True while its calls to the log service fail.
    cut: bool,
}

/// Record that is passed on: who gets it when, and up to which offset it goes.
struct Push {
    at: Time,
    to: MemberId,
    start: u64,
    next: u64,
    from: MemberId,
    complete: Option<Time>,
}

struct Fleet {
    rng: StdRng,
    now: Time,
    replica: Replica,
    members: BTreeMap<MemberId, Member>,
    pushes: Vec<Push>,
    /// Times at which the records of the test were appended; the first has offset 1.
    appended: Vec<Time>,
    deaths: Vec<(Time, MemberId)>,
    /// Share of messages between members that are lost.
    loss: f64,
    reads: usize,
}

fn join(number: u64) -> Vec<u8> {
    let join = Join {
        vm: format!("vm-{number}"),
        nonce: number,
        data_centre: format!("centre-{}", number % CENTRES),
        region: "region".into(),
        ..Join::default()
    };
    let mut id = vec![0; 16];
    id[..8].copy_from_slice(&(number + 1).to_be_bytes());
    Record { id, body: Some(record::Body::Join(join)), generation: 0 }.encode_to_vec()
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let entries = (0..MEMBERS).map(join).collect();
        let mut replica = Replica::default();
        let batch = Batch { oldest: 1, next: MEMBERS + 1, start: 1, entries, generation: 0 };
        replica.apply_batch(&batch).expect("the records fold");
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Time::from_millis(1000),
            replica,
            members: BTreeMap::new(),
            pushes: Vec::new(),
            appended: Vec::new(),
            deaths: Vec::new(),
            loss: 0.0,
            reads: 0,
        };
        let now = fleet.now;
        for number in 1..=MEMBERS {
            let mut freshness = Freshness::default();
            freshness.observe(now);
            let member = Member {
                pacer: ReadPacer::new(),
                freshness,
                fanout: Fanout::default(),
                mode: ReadMode::Paced,
                next: 1,
                reading: None,
                folded_at: now,
                alive: true,
                cut: false,
            };
            fleet.members.insert(MemberId(number), member);
        }
        fleet.see_members();
        fleet
    }

    fn end(&self) -> u64 {
        self.appended.len() as u64 + 1
    }

    fn state(&self) -> &State {
        self.replica.state()
    }

    /// Lets all members fold the present set of members.
    fn see_members(&mut self) {
        let state = self.replica.state().clone();
        let alive = state.members().filter(|member| member.alive()).count();
        for (id, member) in &mut self.members {
            member.fanout = Fanout::new(*id, &state);
            member.pacer.set_rate(alive, RATE);
        }
    }

    fn append(&mut self) {
        self.appended.push(self.now);
    }

    fn kill(&mut self, id: MemberId) {
        self.members.get_mut(&id).expect("a member").alive = false;
        self.deaths.push((self.now, id));
    }

    fn readers(&self) -> Vec<MemberId> {
        let reads = |(_, member): &(&MemberId, &Member)| member.alive && member.fanout.reads;
        self.members.iter().filter(reads).map(|(id, _)| *id).collect()
    }

    fn evict(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.deaths.drain(..).partition(|(at, _)| now.since(*at) >= EVICTION);
        self.deaths = rest;
        for (_, id) in due {
            let next = self.state().next();
            // A later process on the VM stands in for votes; it is dropped at once.
            let number = id.0 - 1;
            let mut again = Record::decode(join(number).as_slice()).expect("a record");
            again.id[8..].copy_from_slice(&next.to_be_bytes());
            let evict = Evict { member: id.0, successor: next, version: id.0, ..Evict::default() };
            let mut own = vec![7; 16];
            own[..8].copy_from_slice(&next.to_be_bytes());
            let leave = record::Body::Exit(acaciaring_schema::log::Exit { member: next });
            let mut exit = vec![8; 16];
            exit[..8].copy_from_slice(&next.to_be_bytes());
            let entries = vec![
                again.encode_to_vec(),
                Record { id: own, body: Some(record::Body::Evict(evict)), generation: 0 }
                    .encode_to_vec(),
                Record { id: exit, body: Some(leave), generation: 0 }.encode_to_vec(),
            ];
            let batch = Batch { oldest: 1, next: next + 3, start: next, entries, generation: 0 };
            self.replica.apply_batch(&batch).expect("the records fold");
            self.see_members();
            let evicted = [id, MemberId(next)];
            let mut alive = self.state().members().filter(|member| member.alive());
            assert!(alive.all(|member| !evicted.contains(&member.id)));
        }
    }

    /// Folds records up to `next` at a member, which passes them on.
    fn fold(&mut self, id: MemberId, next: u64, complete: Option<Time>) {
        let now = self.now;
        let (start, children) = {
            let member = self.members.get_mut(&id).expect("a member");
            let start = member.next;
            if next > start {
                member.next = next;
                member.folded_at = now;
            }
            if let Some(complete) = complete.filter(|_| next >= member.next) {
                member.freshness.observe(complete);
            }
            member.pacer.folded_until(member.next, next);
            member.pacer.track_missing(now);
            (start, member.fanout.children.clone())
        };
        if next <= start {
            return;
        }
        for to in children {
            let at = now + Duration::from_millis(self.rng.random_range(1..30));
            self.pushes.push(Push { at, to, start, next, from: id, complete });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.pushes.drain(..).partition(|push| push.at <= now);
        self.pushes = rest;
        for push in due {
            if self.rng.random_bool(self.loss) || !self.members[&push.to].alive {
                continue;
            }
            if push.start > self.members[&push.to].next {
                // A gap: the records between are requested from the sender.
                if self.members[&push.from].alive {
                    let next = self.members[&push.from].next;
                    self.fold(push.to, next, push.complete);
                }
            } else {
                self.fold(push.to, push.next, push.complete);
            }
        }
    }

    fn read(&mut self, id: MemberId) {
        let (now, end) = (self.now, self.end());
        let random = self.rng.random();
        let member = self.members.get_mut(&id).expect("a member");
        let stale = member.freshness.is_stale(now, member.fanout.max_age(RENEWAL));
        let mode = member.fanout.mode(true, stale);
        member.mode = mode;
        member.pacer.set_mode(mode);
        match member.reading {
            Some(read) if end > read.from || now >= read.until => {
                member.reading = None;
                if member.cut {
                    return;
                }
                member.pacer.answered(now);
                self.fold(id, end, Some(now));
            }
            None if member.pacer.remaining(now).is_zero() => {
                let wait = poll_wait(member.fanout.readers, LONGEST_WAIT, random);
                member.pacer.begin();
                member.reading = Some(Read { from: member.next, until: now + wait });
                self.reads += 1;
            }
            _ => {}
        }
    }

    /// Sends offset and age of a member to three others, as lease renewals and grants do.
    fn renew(&mut self, id: MemberId) {
        let now = self.now;
        for step in [7, 22, 41] {
            let other = MemberId((id.0 + step) % MEMBERS + 1);
            if self.rng.random_bool(self.loss) || !self.members[&other].alive {
                continue;
            }
            let (next, age) = (self.members[&id].next, self.members[&id].freshness.age(now));
            let member = &self.members[&other];
            if next > member.next && now.since(member.folded_at) >= QUIET {
                self.fold(other, next, None);
            }
            let member = self.members.get_mut(&other).expect("a member");
            if let Some(age) = age.filter(|_| next <= member.next) {
                member.freshness.observe(now - age);
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.evict();
        self.deliver();
        let live: Vec<MemberId> =
            self.members.iter().filter(|(_, member)| member.alive).map(|(id, _)| *id).collect();
        for id in live {
            self.read(id);
            let millis = u64::try_from(self.now.since_start().as_millis()).expect("short");
            let renewal = u64::try_from(RENEWAL.as_millis()).expect("short");
            if (millis + id.0 * 10) % renewal < 10 {
                self.renew(id);
            }
        }
    }

    /// Checks that each live member has folded all records that are older than `limit`.
    fn check(&self, seed: u64, limit: Duration) {
        let old = self.appended.iter().filter(|at| self.now.since(**at) > limit).count() as u64;
        for (id, member) in self.members.iter().filter(|(_, member)| member.alive) {
            let (next, mode, now) = (member.next, member.mode, self.now);
            assert!(next > old, "seed {seed}, {now:?}: {id} has {next} of {old}, {mode:?}");
        }
    }
}

/// Guards against calls to the log service that grow with the members while nothing fails, and
/// against records that come late then.
#[test]
fn few_members_read_while_nothing_fails() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(seed);
        (0..500).for_each(|_| fleet.step());
        let before = fleet.reads;
        for step in 0..2000 {
            if step % 20 == 0 {
                fleet.append();
            }
            fleet.step();
            fleet.check(seed, CALM_LIMIT);
        }
        let rate = (fleet.reads - before) / 20;
        assert!(rate <= 12, "seed {seed}: {rate} reads a second");
    }
}

/// Guards against members that learn nothing more: readers crash or lose the log service, and one
/// in five messages between members is lost, while records come at random.
#[test]
fn all_learn_of_each_record_while_readers_fail() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        (0..500).for_each(|_| fleet.step());
        fleet.loss = 0.2;
        for step in 0..4000 {
            if fleet.rng.random_bool(0.02) {
                fleet.append();
            }
            // At most two readers fail in each span of ten seconds, each in one of two ways.
            if step % 1000 == 100 {
                for id in fleet.readers().into_iter().take(2) {
                    if fleet.rng.random_bool(0.5) {
                        fleet.kill(id);
                    } else {
                        fleet.members.get_mut(&id).expect("a member").cut = true;
                    }
                }
            }
            fleet.step();
            fleet.check(seed, TROUBLE_LIMIT);
        }
    }
}

/// Guards against a fleet whose readers are all cut off from the log service at once.
#[test]
fn others_read_while_all_readers_are_cut_off() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        (0..500).for_each(|_| fleet.step());
        for id in fleet.readers() {
            fleet.members.get_mut(&id).expect("a member").cut = true;
        }
        for step in 0..2000 {
            if step % 50 == 0 {
                fleet.append();
            }
            fleet.step();
            fleet.check(seed, TROUBLE_LIMIT);
        }
    }
}
