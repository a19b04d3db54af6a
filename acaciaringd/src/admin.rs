//! Admin interface: answers the command-line tool and the announcements of the upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use acaciaring_core::admin::{self, OwnerReason};
use acaciaring_core::route::{DocumentField, DocumentKind};
use acaciaring_core::state::{Assignment, Member, Outcome, Phase, Published, RecordId, Rejection};
use acaciaring_core::{KeyHash, MemberId, Name, Offset, UnitId};
use acaciaring_schema::log;
use acaciaring_schema::peer::{StatusQuery, StatusReply, call, reply};
use crossbeam_channel::{Sender, bounded};
use serde::Serialize;
use serde_json::{Value, json};

use crate::announce::{Admin, AdminAnswer, AnnounceReply, Announcement};
use crate::clock;
use crate::control::{Event, PublishReply};
use crate::gate::Gate;
use crate::peer::Transport;
use crate::status;
use crate::view::{Permit, Shared, View, peer_address};

/// Longest wait until a published document is read back from the log.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest wait for the answer of another member to a status query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Path of the status of this member alone.
const STATUS_PATH: &str = "/v1/status";

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const INVALID: u16 = 422;
const INTERNAL: u16 = 500;
const UNAVAILABLE: u16 = 503;
const TIMEOUT: u16 = 504;

/// Limit on concurrent status queries.
const MAX_QUERIES: usize = 32;

/// Admin interface of a member.
pub(crate) struct MemberAdmin {
    pub(crate) events: Sender<Event>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) transport: Transport,
}

impl Admin for MemberAdmin {
    fn announce(&self, announcement: Announcement) -> AnnounceReply {
        // Control has ended only when the process is about to exit.
        let _ = self.events.send(Event::Announced(announcement));
        let view = self.shared.view();
        let leased = clock::now() < self.shared.lease.get();
        AnnounceReply { member: view.me.map_or(0, |me| me.0), leased }
    }

    fn get(&self, path: &str, query: &[(String, String)]) -> AdminAnswer {
        let view = self.shared.view();
        let find =
            |name: &str| query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str());
        match path {
            STATUS_PATH => ok(&self.own_status()),
            admin::DOCUMENTS => ok(&documents(&view)),
            admin::MEMBERS => ok(&members(&view)),
            admin::LOAD => ok(&self.load(&view)),
            admin::IN_FORCE => match find("offset").unwrap_or("0").parse() {
                Ok(offset) => ok(&self.in_force(&view, offset)),
                Err(_) => failure(BAD_REQUEST, "offset is not a number"),
            },
            admin::OWNER => match (find("workspace"), find("key")) {
                (Some(workspace), Some(key)) => owner(&view, workspace, key),
                _ => failure(BAD_REQUEST, "workspace and key are needed"),
            },
            _ => failure(NOT_FOUND, "no such path"),
        }
    }

    fn post(&self, path: &str, body: &[u8]) -> AdminAnswer {
        if path != admin::PUBLISH {
            return failure(NOT_FOUND, "no such path");
        }
        match serde_json::from_slice(body) {
            Ok(publish) => self.publish(&publish),
            Err(error) => failure(BAD_REQUEST, &error.to_string()),
        }
    }
}

impl MemberAdmin {
    fn publish(&self, publish: &admin::Publish) -> AdminAnswer {
        let Some(id) = record_id(&publish.id) else {
            return failure(BAD_REQUEST, "id is not 32 hexadecimal digits");
        };
        let (sender, answer) = bounded(1);
        if self.events.send(Event::Publish(id, record(publish), sender)).is_err() {
            return failure(UNAVAILABLE, "the member is stopping");
        }
        match answer.recv_timeout(PUBLISH_TIMEOUT) {
            Ok(PublishReply::Folded { offset, outcome }) => published(offset, &outcome),
            Ok(PublishReply::NotAppended) => failure(UNAVAILABLE, "nothing was appended"),
            Ok(PublishReply::Before) => {
                failure(TIMEOUT, "the record was folded before; see the documents in force")
            }
            Err(_) => {
                failure(TIMEOUT, "the log has not confirmed the document; it may yet take effect")
            }
        }
    }

    /// Queries all members that are not dead for the offset up to which they have folded the log.
    fn in_force(&self, view: &View, offset: Offset) -> admin::InForce {
        let mut applied = Vec::new();
        let mut pending = Vec::new();
        for (member, status) in self.statuses(view) {
            match status {
                Some(status) if status.applied > offset => applied.push(admin::Applied {
                    member: member.id,
                    vm: Arc::clone(&member.vm),
                    applied: status.applied - 1,
                }),
                _ => pending.push(Arc::clone(&member.vm)),
            }
        }
        admin::InForce { applied, pending }
    }

    fn own_status(&self) -> Value {
        let status = status::reply(&self.shared, &self.gate);
        let traffic = self.transport.traffic();
        json!({
            "member": status.member, "vm": status.vm, "applied": status.applied, "leased": status.leased,
            "busy": status.busy, "capacity": status.capacity, "owned": status.owned, "rate": status.rate,
            "sent": traffic.sent, "received": traffic.received, "sent_packets": traffic.sent_packets,
            "received_packets": traffic.received_packets, "connections": traffic.connections,
        })
    }

    fn load(&self, view: &View) -> admin::Loads {
        let entry = |(member, status): (&Member, Option<StatusReply>)| {
            let status = status?;
            Some(admin::LoadEntry {
                member: member.id,
                vm: Arc::clone(&member.vm),
                workspace: workspace(member),
                rate: status.rate,
                busy: status.busy,
                capacity: status.capacity,
                age: 0,
            })
        };
        admin::Loads { members: self.statuses(view).into_iter().filter_map(entry).collect() }
    }

    fn statuses<'a>(&self, view: &'a View) -> Vec<(&'a Member, Option<StatusReply>)> {
        let live: Vec<&Member> =
            view.state.members().filter(|member| member.phase != Phase::Dead).collect();
        let mut found = Vec::new();
        for group in live.chunks(MAX_QUERIES) {
            thread::scope(|scope| {
                let ask = |member| scope.spawn(move || self.status_of(view, member));
                let threads: Vec<_> = group.iter().copied().map(ask).collect();
                let answers = threads.into_iter().map(|thread| thread.join().ok().flatten());
                found.extend(group.iter().copied().zip(answers));
            });
        }
        found
    }

    fn status_of(&self, view: &View, member: &Member) -> Option<StatusReply> {
        if view.me == Some(member.id) {
            return Some(status::reply(&self.shared, &self.gate));
        }
        let to: SocketAddr = peer_address(member)?;
        let reply =
            self.transport.blocking_call(to, call::Body::Status(StatusQuery {}), QUERY_TIMEOUT);
        match reply {
            // The address may belong to another process by now, whose status is not this member's.
            Ok(reply::Body::Status(status)) if status.member == member.id.0 => Some(status),
            _ => None,
        }
    }
}

fn ok(answer: &impl Serialize) -> AdminAnswer {
    AdminAnswer { status: OK, json: json!(answer) }
}

fn failure(status: u16, message: &str) -> AdminAnswer {
    AdminAnswer { status, json: json!(admin::Failure { message: message.to_owned() }) }
}

fn record_id(hex: &str) -> Option<RecordId> {
    let digits = hex.len() == 32 && hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    let value = u128::from_str_radix(hex, 16).ok().filter(|_| digits)?;
    Some(value.to_be_bytes())
}

fn record(publish: &admin::Publish) -> log::Publish {
    let kind = match publish.kind {
        DocumentKind::Template => log::DocumentKind::Template,
        DocumentKind::Parameters => log::DocumentKind::Parameters,
    };
    let field = |field: &DocumentField| log::Field {
        section: field.section.to_string(),
        key: field.key.to_string(),
        value: field.value.to_string(),
        line: field.line,
    };
    log::Publish {
        kind: kind.into(),
        name: publish.name.to_string(),
        base: publish.base,
        fields: publish.fields.iter().map(field).collect(),
        retired: publish.retired,
    }
}

fn published(offset: Offset, outcome: &Outcome) -> AdminAnswer {
    match outcome {
        Outcome::Applied => {
            ok(&admin::Published { offset, outcome: admin::PublishOutcome::Applied })
        }
        Outcome::Rejected(Rejection::Conflict { current }) => {
            AdminAnswer { status: CONFLICT, json: json!(admin::Conflict { current: *current }) }
        }
        Outcome::Rejected(Rejection::Invalid { faults }) => {
            AdminAnswer { status: INVALID, json: json!(admin::Invalid { faults: faults.clone() }) }
        }
        Outcome::Rejected(rejection) => failure(BAD_REQUEST, &rejection.to_string()),
        Outcome::Duplicate | Outcome::Undecodable | Outcome::Gap { .. } => {
            failure(INTERNAL, "the record was skipped")
        }
    }
}

fn documents(view: &View) -> admin::Documents {
    let entry = |published: &Published| admin::PublishedDocument {
        kind: published.document.kind,
        name: Arc::clone(&published.document.name),
        version: published.version,
        retired: published.retired,
        fields: published.document.fields.clone(),
    };
    let applied = view.state.next().saturating_sub(1);
    admin::Documents { applied, documents: view.state.documents().map(entry).collect() }
}

fn members(view: &View) -> admin::Members {
    let entry = |member: &Member| admin::MemberEntry {
        member: member.id,
        vm: Arc::clone(&member.vm),
        data_centre: Arc::clone(&member.data_centre),
        region: Arc::clone(&member.region),
        phase: phase(member.phase).into(),
        http: Arc::clone(&member.http),
        workspace: workspace(member),
        lessors: member.lessors.clone(),
        owned: view.state.owned_count(member.id) as u64,
        standing_by: view.state.standby_count(member.id) as u64,
    };
    admin::Members { members: view.state.members().map(entry).collect() }
}

const fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Alive => "alive",
        Phase::Leaving => "leaving",
        Phase::Dead => "dead",
    }
}

fn workspace(member: &Member) -> Option<Name> {
    member.attachment.as_ref().map(|attachment| Arc::clone(&attachment.workspace))
}

fn owner(view: &View, workspace: &str, key: &str) -> AdminAnswer {
    let hash = KeyHash::of(key.as_bytes());
    let Some(unit) = view.unit(workspace, hash) else {
        return failure(NOT_FOUND, "no such workspace, or its service is not divided by key");
    };
    let assignment = view.assignment(workspace, unit).copied().unwrap_or_default();
    let name = |id: Option<MemberId>| {
        let member = view.state.member(id?)?;
        Some(admin::MemberName { member: member.id, vm: Arc::clone(&member.vm) })
    };
    let (server, reason) = server(view, workspace, unit, &assignment);
    ok(&admin::Owner {
        workspace: workspace.into(),
        slot: unit.slot,
        hot: unit.key.is_some(),
        owner: name(assignment.owner),
        standby: name(assignment.standby),
        prior: name(assignment.prior),
        version: assignment.version,
        token: assignment.token,
        serves: name(server),
        reason,
    })
}

/// Returns the member that serves a unit, and why, as far as this member knows.
///
/// A takeover by another member is seen only once its record is in the log.
fn server(
    view: &View,
    workspace: &str,
    unit: UnitId,
    assignment: &Assignment,
) -> (Option<MemberId>, OwnerReason) {
    let mine = matches!(view.permit(workspace, unit), Some(Permit::Serve { .. }));
    match assignment.owner {
        None => (None, OwnerReason::Unassigned),
        owner if mine && owner != view.me => (view.me, OwnerReason::TakenOver),
        // The log does not record whether another owner has received its release.
        owner if owner == view.me && !mine => (None, OwnerReason::AwaitsRelease),
        owner => (owner, OwnerReason::Assigned),
    }
}
