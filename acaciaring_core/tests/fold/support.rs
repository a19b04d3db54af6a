//! In-memory log with the state folded from it, and builders of records.

use acaciaring_core::state::{Assignment, Outcome, Rejection, Service, State};
use acaciaring_core::{MemberId, Offset};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{
    Assign, Attach, Batch, DocumentKind, Evict, Field, Join, Lessors, Publish, Record, Unit, Vote,
};
use prost::Message;

/// Data centres of the tests and their regions.
pub const DATA_CENTRES: [(&str, &str); 7] = [
    ("bethlehem", "free-state"),
    ("kroonstad", "free-state"),
    ("welkom", "free-state"),
    ("bloem-a", "free-state"),
    ("laval-nord", "qc-centre"),
    ("trois-rivieres", "qc-centre"),
    ("montreal-sud", "qc-centre"),
];

/// Workspace of the tests.
pub const CONTRACTS: &str = "contracts";

/// Log entries and the state after the last one.
#[derive(Debug, Default)]
pub struct Log {
    pub entries: Vec<Vec<u8>>,
    pub state: State,
}

impl Log {
    /// Returns a log with one template and `count` members, spread over the first four data
    /// centres.
    pub fn with_members(count: usize) -> Self {
        let mut log = Self::default();
        log.applied(template(0));
        for index in 0..count {
            log.join(index % 4);
        }
        log
    }

    /// Returns a log with members that are all attached to an assigned service of `slots` slots.
    pub fn with_service(count: usize, slots: u32) -> Self {
        let mut log = Self::with_members(count);
        log.applied(parameters(CONTRACTS, "contracts", slots, 0));
        let members: Vec<_> = log.state.members().map(|member| member.id).collect();
        for member in members {
            log.attach(member);
            log.improve_lessors(member);
        }
        log.applied(Body::Assign(Assign { workspace: CONTRACTS.to_owned(), slots: 0 }));
        log
    }

    pub fn append_entry(&mut self, entry: Vec<u8>) -> Outcome {
        self.entries.push(entry);
        let offset = self.state.next().max(1);
        self.state.fold(offset, self.entries.last().expect("just pushed"))
    }

    /// Appends a record with a unique id.
    pub fn append(&mut self, body: Body) -> Outcome {
        let id = u128::try_from(self.entries.len()).expect("a small count").to_le_bytes();
        self.append_entry(encode(id, body))
    }

    /// Appends a record, asserts that it is applied, and returns its offset.
    pub fn applied(&mut self, body: Body) -> Offset {
        assert_eq!(self.append(body), Outcome::Applied);
        self.state.next() - 1
    }

    /// Appends a record and asserts that it is rejected and leaves the state unchanged.
    pub fn rejected(&mut self, body: Body) -> Rejection {
        let before = self.state.to_snapshot();
        let Outcome::Rejected(rejection) = self.append(body) else { panic!("not rejected") };
        let after = self.state.to_snapshot();
        assert_eq!(after.members, before.members);
        assert_eq!(after.services, before.services);
        assert_eq!(after.documents, before.documents);
        rejection
    }

    pub fn join(&mut self, centre: usize) -> MemberId {
        MemberId(self.applied(join(centre)))
    }

    pub fn attach(&mut self, member: MemberId) {
        self.applied(attach(member));
    }

    /// Proposes better lessors for a member if there are any, as its process does.
    pub fn improve_lessors(&mut self, member: MemberId) {
        let member = self.state.member(member).expect("a known member");
        if let Some(lessors) = self.state.better_lessors(member) {
            let (lessors, base) = (lessors.iter().map(|id| id.0).collect(), member.version);
            self.applied(Body::Lessors(Lessors { member: member.id.0, base, lessors }));
        }
    }

    /// Returns an eviction record with the votes of all lessors.
    pub fn evict(&self, member: MemberId) -> Body {
        let member = self.state.member(member).expect("a known member");
        let vote = |lessor: &MemberId| Vote {
            lessor: lessor.0,
            member: member.id.0,
            version: member.version,
            newest: 0,
        };
        let votes = member.lessors.iter().map(vote).collect();
        Body::Evict(Evict {
            member: member.id.0,
            version: member.version,
            votes,
            ..Evict::default()
        })
    }

    pub fn service(&self) -> &Service {
        self.state.service(CONTRACTS).expect("the service is in force")
    }

    pub fn slot(&self, slot: usize) -> Assignment {
        self.service().slots[slot]
    }

    pub fn unit(&self, slot: u32) -> Unit {
        let index = usize::try_from(slot).expect("a small slot");
        Unit { slot, key: None, version: self.slot(index).version }
    }

    /// Returns a batch of records as the log service does, with `oldest` the oldest one retained.
    pub fn batch(&self, oldest: Offset, start: Offset, count: usize) -> Batch {
        let skip = usize::try_from(start - 1).expect("a small offset");
        let entries = self.entries.iter().skip(skip).take(count).cloned().collect();
        Batch { oldest, next: self.next(), start, entries, generation: 0 }
    }

    pub fn next(&self) -> Offset {
        Offset::try_from(self.entries.len()).expect("a small count") + 1
    }
}

pub fn encode(id: [u8; 16], body: Body) -> Vec<u8> {
    Record { id: id.to_vec(), body: Some(body), generation: 0 }.encode_to_vec()
}

pub fn join(centre: usize) -> Body {
    let (data_centre, region) = DATA_CENTRES[centre];
    Body::Join(Join {
        vm: format!("vm-{data_centre}"),
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
        ..Join::default()
    })
}

pub fn attach(member: MemberId) -> Body {
    Body::Attach(Attach { member: member.0, workspace: CONTRACTS.to_owned(), ..Attach::default() })
}

pub fn template(base: Offset) -> Body {
    let fields = [
        ("template", "name", "keyed"),
        ("route", "prefix", "/${prefix}"),
        ("division", "kind", "keyed"),
        ("division", "slots", "${slots}"),
        ("division", "key", "segment:0"),
        ("class any", "rank", "interactive"),
        ("class any", "repeat", "idempotent"),
        ("class any", "deadline", "1s"),
    ];
    publish(DocumentKind::Template, "keyed", base, &fields)
}

pub fn parameters(workspace: &str, prefix: &str, slots: u32, base: Offset) -> Body {
    let slots = slots.to_string();
    let fields = [
        ("workspace", "name", workspace),
        ("workspace", "tenant", "korenveld"),
        ("workspace", "template", "keyed"),
        ("parameters", "prefix", prefix),
        ("parameters", "slots", &slots),
    ];
    publish(DocumentKind::Parameters, workspace, base, &fields)
}

pub fn publish(
    kind: DocumentKind,
    name: &str,
    base: Offset,
    fields: &[(&str, &str, &str)],
) -> Body {
    let field = |(section, key, value): &(&str, &str, &str)| Field {
        section: (*section).to_owned(),
        key: (*key).to_owned(),
        value: (*value).to_owned(),
        line: 1,
    };
    Body::Publish(Publish {
        kind: kind.into(),
        name: name.to_owned(),
        base,
        fields: fields.iter().map(field).collect(),
        retired: false,
    })
}

pub fn retire(kind: DocumentKind, name: &str, base: Offset) -> Body {
    let (name, kind) = (name.to_owned(), kind.into());
    Body::Publish(Publish { kind, name, base, retired: true, ..Publish::default() })
}
