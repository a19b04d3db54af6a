//! Benchmark of folding each kind of record and of snapshots, by number of members and slots.
//!
//! Run it with `cargo run --release -p acaciaring_core --example fold_cost`. With a number of
//! members and one of slots it prints that row alone. The memory column is valid only then, as
//! later rows reuse memory that earlier ones freed.

use std::time::{Duration, Instant};
use std::{env, fs};

use acaciaring_core::state::snapshot::{CHUNK_SIZE, chunk};
use acaciaring_core::state::{Outcome, State};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{
    Assign, Attach, DocumentKind, Evict, Exit, Field, Join, Leave, Lessors, Publish, Record,
    Switchover, Unit, Vote,
};
use acaciaring_schema::state::Snapshot;
use prost::Message;

const WORKSPACE: &str = "contracts";
const MEMBERS: [usize; 3] = [19, 100, 470];
const SLOTS: [usize; 2] = [16_384, 65_536];

/// Data centres and their regions.
const DATA_CENTRES: [(&str, &str); 5] = [
    ("bethlehem", "free-state"),
    ("kroonstad", "free-state"),
    ("welkom", "free-state"),
    ("mtl-est", "qc-centre"),
    ("laval-nord", "qc-centre"),
];

/// Repetitions of each record, of which the median is printed.
const RUNS: usize = 9;

fn main() {
    let chosen: Vec<usize> = env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    println!("{}", HEADERS.map(|header| format!("{header:>10}")).join(" "));
    let rows = match chosen[..] {
        [members, slots] => vec![(members, slots)],
        _ => SLOTS.iter().flat_map(|slots| MEMBERS.map(|members| (members, *slots))).collect(),
    };
    for (members, slots) in rows {
        println!("{}", row(members, slots).map(|cell| format!("{cell:>10}")).join(" "));
    }
    println!(
        "times in microseconds, median of {RUNS}; assign once; memory in KiB, resident growth"
    );
}

const HEADERS: [&str; 14] = [
    "members",
    "slots",
    "join",
    "attach",
    "assign",
    "switchover",
    "publish",
    "leave",
    "evict",
    "encode",
    "decode",
    "clone",
    "bytes",
    "memory",
];

fn row(members: usize, slots: usize) -> [String; 14] {
    let before = resident();
    let mut bench = Bench::new(members, slots);
    let assign = bench.fold(Body::Assign(Assign { workspace: WORKSPACE.to_owned(), slots: 0 }));
    let memory = resident().saturating_sub(before);
    let join = median(|_| bench.join_and_exit());
    let attach = median(|_| bench.attach_and_exit());
    let switchover = median(|run| bench.switch_over(run));
    let publish = median(|run| bench.publish(run));
    let (mut encode, mut decode, mut clone) = (Vec::new(), Vec::new(), Vec::new());
    let mut bytes = 0;
    for _ in 0..RUNS {
        let (time, records) = timed(|| chunk(&bench.state, [1; 16], CHUNK_SIZE));
        encode.push(time);
        drop(records);
        let encoded = bench.state.to_snapshot().encode_to_vec();
        bytes = encoded.len();
        let (time, state) = timed(|| {
            let snapshot = Snapshot::decode(&*encoded).expect("a snapshot");
            State::from_snapshot(&snapshot).expect("a state")
        });
        assert_eq!(state, bench.state);
        decode.push(time);
        clone.push(timed(|| bench.state.clone()).0);
    }
    let leave = median(|run| bench.leave(run));
    let evict = median(|run| bench.evict(run));
    let micros = |time: Duration| time.as_micros().to_string();
    [
        members.to_string(),
        slots.to_string(),
        micros(join),
        micros(attach),
        micros(assign),
        micros(switchover),
        micros(publish),
        micros(leave),
        micros(evict),
        micros(median_of(encode)),
        micros(median_of(decode)),
        micros(median_of(clone)),
        bytes.to_string(),
        memory.to_string(),
    ]
}

/// State under test and the ids of its members.
struct Bench {
    state: State,
    ids: Vec<u64>,
}

impl Bench {
    /// Builds members with lessors, all attached to one service not yet assigned.
    fn new(members: usize, slots: usize) -> Self {
        let mut bench = Self { state: State::default(), ids: Vec::new() };
        bench.fold(template(0, "interactive"));
        bench.fold(parameters(slots));
        for index in 0..members {
            bench.fold(join(index));
            let id = bench.state.next() - 1;
            bench.ids.push(id);
            bench.fold(attach(id));
        }
        for id in bench.ids.clone() {
            bench.improve_lessors(id);
        }
        bench
    }

    /// Folds a record, asserts that it is applied, and returns the time taken.
    fn fold(&mut self, body: Body) -> Duration {
        let offset = self.state.next().max(1);
        let id = u128::from(offset).to_le_bytes().to_vec();
        let entry = Record { id, body: Some(body), generation: 0 }.encode_to_vec();
        let (time, outcome) = timed(|| self.state.fold(offset, &entry));
        assert_eq!(outcome, Outcome::Applied);
        time
    }

    fn improve_lessors(&mut self, id: u64) {
        let member = self.state.members().find(|member| member.id.0 == id).expect("known");
        if let Some(lessors) = self.state.better_lessors(member) {
            let (base, lessors) = (member.version, lessors.iter().map(|l| l.0).collect());
            self.fold(Body::Lessors(Lessors { member: id, base, lessors }));
        }
    }

    fn join_and_exit(&mut self) -> Duration {
        let time = self.fold(join(0));
        self.fold(Body::Exit(Exit { member: self.state.next() - 1 }));
        time
    }

    fn attach_and_exit(&mut self) -> Duration {
        self.fold(join(0));
        let member = self.state.next() - 1;
        let time = self.fold(attach(member));
        self.fold(Body::Exit(Exit { member }));
        time
    }

    fn switch_over(&mut self, run: usize) -> Duration {
        let assignment = self.state.service(WORKSPACE).expect("in force").slots[run];
        let slot = u32::try_from(run).expect("a small count");
        let unit = Unit { slot, key: None, version: assignment.version };
        let member = assignment.owner.expect("owned").0;
        let workspace = WORKSPACE.to_owned();
        self.fold(Body::Switchover(Switchover { member, workspace, units: vec![unit] }))
    }

    fn publish(&mut self, run: usize) -> Duration {
        let kind = acaciaring_core::route::DocumentKind::Template;
        let base = self.state.document(kind, "keyed").expect("published").version;
        let rank = ["interactive", "bulk"][run % 2];
        self.fold(template(base, rank))
    }

    fn leave(&mut self, run: usize) -> Duration {
        let member = self.ids[self.ids.len() - 1 - run];
        let time = self.fold(Body::Leave(Leave { member, applied: self.state.next() }));
        self.fold(Body::Exit(Exit { member }));
        time
    }

    fn evict(&mut self, run: usize) -> Duration {
        let id = self.ids[run];
        // An earlier run may have evicted its lessors.
        self.improve_lessors(id);
        let member = self.state.members().find(|member| member.id.0 == id).expect("known");
        let version = member.version;
        let vote = |lessor: u64| Vote { lessor, member: id, version, newest: 0 };
        let votes = member.lessors.iter().map(|lessor| vote(lessor.0)).collect();
        self.fold(Body::Evict(Evict { member: id, version, votes, ..Evict::default() }))
    }
}

fn timed<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let start = Instant::now();
    let result = work();
    (start.elapsed(), result)
}

fn median(run: impl FnMut(usize) -> Duration) -> Duration {
    median_of((0..RUNS).map(run).collect())
}

fn median_of(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// Returns the resident memory of this process in KiB, 0 where it cannot be read.
fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

fn join(index: usize) -> Body {
    let (data_centre, region) = DATA_CENTRES[index % DATA_CENTRES.len()];
    Body::Join(Join {
        vm: format!("vm-{index}"),
        nonce: 0x0123_4567_89ab_cdef,
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
        rack: format!("rack-{}", index % 7),
        peer: "10.0.0.1:7000".to_owned(),
        http: "10.0.0.1:8080".to_owned(),
        fingerprint: vec![7; 32],
    })
}

fn attach(member: u64) -> Body {
    let (workspace, upstream) = (WORKSPACE.to_owned(), "10.0.0.1:9000".to_owned());
    Body::Attach(Attach { member, workspace, upstream, fenced: true, ..Attach::default() })
}

fn template(base: u64, rank: &str) -> Body {
    let fields = [
        ("template", "name", "keyed"),
        ("route", "prefix", "/contracts"),
        ("division", "kind", "keyed"),
        ("division", "slots", "${slots}"),
        ("division", "key", "segment:0"),
        ("class any", "rank", rank),
        ("class any", "repeat", "idempotent"),
        ("class any", "deadline", "1s"),
    ];
    publish(DocumentKind::Template, "keyed", base, &fields)
}

fn parameters(slots: usize) -> Body {
    let slots = slots.to_string();
    let fields = [
        ("workspace", "name", WORKSPACE),
        ("workspace", "tenant", "korenveld"),
        ("workspace", "template", "keyed"),
        ("parameters", "slots", &slots),
    ];
    publish(DocumentKind::Parameters, WORKSPACE, 0, &fields)
}

fn publish(kind: DocumentKind, name: &str, base: u64, fields: &[(&str, &str, &str)]) -> Body {
    let field = |(section, key, value): &(&str, &str, &str)| Field {
        section: (*section).to_owned(),
        key: (*key).to_owned(),
        value: (*value).to_owned(),
        line: 0,
    };
    let fields = fields.iter().map(field).collect();
    Body::Publish(Publish {
        kind: kind.into(),
        name: name.to_owned(),
        base,
        fields,
        retired: false,
    })
}
