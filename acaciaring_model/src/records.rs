//! Builders of log records for the models.

use acaciaring_core::{Generation, MemberId, Offset};
use acaciaring_schema::log::record::Body;
use acaciaring_schema::log::{
    Assign, Attach, DocumentKind, Evict, Field, Handoff, Join, Leave, Lessors, Publish, Record,
    Split, Switchover, Unit, Vote,
};
use prost::Message;

/// Name of the workspace in all models.
pub const WORKSPACE: &str = "contracts";
/// Name of the template in all models.
pub const TEMPLATE: &str = "keyed";

/// Encodes a record, with its id derived from a number.
#[must_use]
pub fn record(id: u64, body: Body) -> Vec<u8> {
    record_in(Generation::default(), id, body)
}

/// Encodes a record of a generation of the log.
#[must_use]
pub fn record_in(generation: Generation, id: u64, body: Body) -> Vec<u8> {
    let mut bytes = vec![0; 8];
    bytes.extend(id.to_be_bytes());
    Record { id: bytes, body: Some(body), generation: generation.0 }.encode_to_vec()
}

/// Publishes, or retires, the template of a service with one slot.
#[must_use]
pub fn template(base: Offset, retired: bool) -> Body {
    let fields = [
        ("template", "name", TEMPLATE),
        ("route", "prefix", "/contracts"),
        ("division", "kind", "keyed"),
        ("division", "slots", "1"),
        ("division", "key", "segment:0"),
        ("class any", "rank", "interactive"),
        ("class any", "repeat", "once"),
        ("class any", "deadline", "1s"),
    ];
    publish(DocumentKind::Template, TEMPLATE, base, retired, &fields)
}

/// Publishes the parameters of the workspace.
#[must_use]
pub fn parameters() -> Body {
    let fields = [
        ("workspace", "name", WORKSPACE),
        ("workspace", "template", TEMPLATE),
        ("workspace", "tenant", "korenveld"),
    ];
    publish(DocumentKind::Parameters, WORKSPACE, 0, false, &fields)
}

fn publish(
    kind: DocumentKind,
    name: &str,
    base: Offset,
    retired: bool,
    fields: &[(&str, &str, &str)],
) -> Body {
    let field = |(section, key, value): &(&str, &str, &str)| Field {
        section: (*section).to_owned(),
        key: (*key).to_owned(),
        value: (*value).to_owned(),
        line: 0,
    };
    Body::Publish(Publish {
        kind: kind.into(),
        name: name.to_owned(),
        base,
        fields: fields.iter().map(field).collect(),
        retired,
    })
}

/// A process joins, in a data centre of its own.
#[must_use]
pub fn join(number: u64) -> Body {
    Body::Join(Join {
        vm: format!("vm{number}"),
        nonce: number,
        data_centre: format!("dc{number}"),
        region: "free-state".to_owned(),
        rack: String::new(),
        peer: format!("127.0.0.1:{}", 7000 + number),
        http: format!("127.0.0.1:{}", 8000 + number),
        fingerprint: Vec::new(),
    })
}

/// A member changes its lessor set.
#[must_use]
pub fn lessors(member: MemberId, base: Offset, lessors: &[MemberId]) -> Body {
    let lessors = lessors.iter().map(|id| id.0).collect();
    Body::Lessors(Lessors { member: member.0, base, lessors })
}

/// Attaches an upstream of the workspace to a member.
#[must_use]
pub fn attach(member: MemberId) -> Body {
    let upstream = "127.0.0.1:9000".to_owned();
    Body::Attach(Attach {
        member: member.0,
        workspace: WORKSPACE.to_owned(),
        upstream,
        fenced: true,
        instance: String::new(),
        born: 0,
    })
}

/// Assigns the units of the workspace for the first time.
#[must_use]
pub fn assign() -> Body {
    Body::Assign(Assign { workspace: WORKSPACE.to_owned(), slots: 0 })
}

fn slot(version: Offset) -> Vec<Unit> {
    vec![Unit { slot: 0, key: None, version }]
}

/// Owner and standby of the slot swap roles.
#[must_use]
pub fn switchover(member: MemberId, version: Offset) -> Body {
    let workspace = WORKSPACE.to_owned();
    Body::Switchover(Switchover { member: member.0, workspace, units: slot(version) })
}

/// The standby of the slot hands its role to another member.
#[must_use]
pub fn handoff(member: MemberId, target: MemberId, version: Offset) -> Body {
    let workspace = WORKSPACE.to_owned();
    let units = slot(version);
    Body::Handoff(Handoff { member: member.0, workspace, units, target: target.0 })
}

/// A hot key is split out into a unit of its own.
#[must_use]
pub fn split(member: MemberId, version: Offset, key: u64) -> Body {
    let workspace = WORKSPACE.to_owned();
    let units = vec![Unit { slot: 0, key: Some(key), version }];
    Body::Split(Split { member: member.0, workspace, units })
}

/// A member leaves that has folded all records before `applied`.
#[must_use]
pub fn leave(member: MemberId, applied: Offset) -> Body {
    Body::Leave(Leave { member: member.0, applied })
}

/// Evicts a member whose lease has expired, with votes of these lessors.
#[must_use]
pub fn evict(member: MemberId, version: Offset, lessors: &[MemberId]) -> Body {
    let vote = |lessor: &MemberId| Vote { lessor: lessor.0, member: member.0, version, newest: 0 };
    let votes = lessors.iter().map(vote).collect();
    Body::Evict(Evict { member: member.0, version, votes, ..Evict::default() })
}
