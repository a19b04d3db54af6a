//! Encoding of a state as a snapshot message.

use acaciaring_schema::{log, state as wire};

use crate::id::MemberId;
use crate::route::{DocumentField, DocumentKind};
use crate::state::{Assignment, Departure, Member, Phase, Published, Service, State};

impl State {
    /// Returns the state as a message; equal states give equal messages.
    ///
    /// Members that are not dead come first in join order, then dead ones in order of death.
    #[must_use]
    pub fn to_snapshot(&self) -> wire::Snapshot {
        let present = self.members.values().filter(|member| member.phase != Phase::Dead);
        let dead = self.dead.iter().filter_map(|id| self.members.get(id));
        wire::Snapshot {
            next: self.next,
            documents: self.documents().map(document).collect(),
            members: present.chain(dead).map(member).collect(),
            services: self.services.values().map(service).collect(),
            recent: self.recent.iter().map(|id| id.to_vec()).collect(),
            skipped: self.skipped,
            generation: self.generation.0,
            floor: self.floor,
            settling: self.settling,
            departures: self.departures.iter().map(Departure::to_record).collect(),
        }
    }
}

fn document(published: &Published) -> wire::Document {
    let kind = match published.document.kind {
        DocumentKind::Template => log::DocumentKind::Template,
        DocumentKind::Parameters => log::DocumentKind::Parameters,
    };
    wire::Document {
        kind: kind.into(),
        name: published.document.name.to_string(),
        version: published.version,
        fields: published.document.fields.iter().map(field).collect(),
        retired: published.retired,
    }
}

fn field(field: &DocumentField) -> log::Field {
    log::Field {
        section: field.section.to_string(),
        key: field.key.to_string(),
        value: field.value.to_string(),
        line: field.line,
    }
}

fn member(member: &Member) -> wire::Member {
    let join = log::Join {
        vm: member.vm.to_string(),
        nonce: member.nonce,
        data_centre: member.data_centre.to_string(),
        region: member.region.to_string(),
        rack: member.rack.to_string(),
        peer: member.peer.to_string(),
        http: member.http.to_string(),
        fingerprint: member.fingerprint.clone(),
    };
    let attach = member.attachment.as_ref().map(|attachment| log::Attach {
        member: member.id.0,
        workspace: attachment.workspace.to_string(),
        upstream: attachment.upstream.to_string(),
        fenced: attachment.fenced,
        instance: attachment.instance.to_string(),
        born: attachment.born,
    });
    let phase = match member.phase {
        Phase::Alive => wire::MemberPhase::Alive,
        Phase::Leaving => wire::MemberPhase::Leaving,
        Phase::Dead => wire::MemberPhase::Dead,
    };
    wire::Member {
        id: member.id.0,
        join: Some(join),
        attach,
        version: member.version,
        lessors: member.lessors.iter().map(|lessor| lessor.0).collect(),
        phase: phase.into(),
    }
}

fn service(service: &Service) -> wire::Service {
    let hot = service.hot.iter().map(|(key, hot)| wire::HotKey {
        key: key.0,
        slot: hot.slot,
        assignment: Some(assignment(&hot.assignment)),
    });
    wire::Service {
        workspace: service.workspace.to_string(),
        slots: service.slots.iter().map(assignment).collect(),
        hot: hot.collect(),
        founded: service.numeric,
    }
}

fn assignment(assignment: &Assignment) -> wire::Assignment {
    wire::Assignment {
        owner: MemberId::to_wire(assignment.owner),
        standby: MemberId::to_wire(assignment.standby),
        prior: MemberId::to_wire(assignment.prior),
        rival: MemberId::to_wire(assignment.prior_standby),
        version: assignment.version,
        token: assignment.token,
    }
}
