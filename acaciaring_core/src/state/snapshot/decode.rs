//! Decoding of a snapshot message into a state, with validation.

use std::collections::BTreeMap;
use std::sync::Arc;

use acaciaring_schema::state as wire;
use snafu::{OptionExt, Snafu, ensure};

use crate::id::{Generation, KeyHash, MemberId, Name, Offset, UnitId};
use crate::route::Document;
use crate::state::documents::{document_field, document_kind, slot_count};
use crate::state::{
    Assignment, Attachment, DEPARTURES_MAX, HOT_MAX, HotKey, LESSORS_MAX, Member, Phase, Published,
    RECENT_MAX, Rejection, Service, State,
};

/// Exclusive upper bound of valid offsets; leaves room for tokens, which are twice an offset.
const OFFSET_END: Offset = 1 << 62;

/// Reason why a snapshot is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SnapshotError {
    /// The bytes are not a snapshot message.
    #[snafu(display("snapshot message cannot be decoded"))]
    Undecodable,
    /// The offset is out of range or differs from that of the commit record.
    #[snafu(display("snapshot has invalid end offset {next}"))]
    Next {
        /// Offset in the snapshot.
        next: Offset,
    },
    /// A document is malformed or duplicated.
    #[snafu(display("document {name:?} in snapshot is malformed or duplicated"))]
    Document {
        /// Name of the document.
        name: String,
    },
    /// The documents do not yield valid routes.
    #[snafu(display("routes in snapshot cannot be built: {reason}"))]
    Routes {
        /// Rejection of the documents.
        reason: Rejection,
    },
    /// A member is malformed, duplicated, or has an unknown lessor.
    #[snafu(display("member {member} in snapshot is malformed or inconsistent"))]
    Member {
        /// Id of the member.
        member: Offset,
    },
    /// A service is malformed or duplicated, does not match its route, or has ineligible members.
    #[snafu(display(
        "service of workspace {workspace:?} in snapshot is malformed or inconsistent"
    ))]
    Service {
        /// Name of the workspace.
        workspace: String,
    },
    /// The ids of recent records are malformed, too many or not unique.
    #[snafu(display("ids of recent records in snapshot are malformed, too many or not unique"))]
    Recent,
    /// The departures of upstreams are malformed, too many or not unique.
    #[snafu(display("departures in snapshot are malformed, too many or not unique"))]
    Departures,
}

impl State {
    /// Restores the state from which the snapshot was taken.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot violates an invariant of the fold. Only invariants that are cheap to
    /// check are checked, and nothing is repaired.
    pub fn from_snapshot(snapshot: &wire::Snapshot) -> Result<Self, SnapshotError> {
        let next = snapshot.next;
        ensure!(next < OFFSET_END, NextSnafu { next });
        let mut state = Self {
            next,
            skipped: snapshot.skipped,
            generation: Generation(snapshot.generation),
            floor: snapshot.floor,
            settling: snapshot.settling,
            ..Self::default()
        };
        for member in &snapshot.members {
            state.restore_member(member)?;
        }
        state.check_lessors()?;
        for service in &snapshot.services {
            state.restore_service(service)?;
        }
        for document in &snapshot.documents {
            state.restore_document(document)?;
        }
        state.restore_routes()?;
        ensure!(snapshot.recent.len() <= RECENT_MAX, RecentSnafu);
        for id in &snapshot.recent {
            let id = id.as_slice().try_into().ok().context(RecentSnafu)?;
            ensure!(state.recent.insert(id), RecentSnafu);
        }
        ensure!(snapshot.departures.len() <= DEPARTURES_MAX, DeparturesSnafu);
        for depart in &snapshot.departures {
            ensure!(state.depart(depart).is_ok(), DeparturesSnafu);
        }
        Ok(state)
    }

    fn restore_member(&mut self, wire: &wire::Member) -> Result<(), SnapshotError> {
        let fault = MemberSnafu { member: wire.id };
        let member = member(wire).context(fault)?;
        let offsets =
            (1..self.next).contains(&wire.id) && (wire.id..self.next).contains(&wire.version);
        ensure!(offsets && !self.members.contains_key(&member.id), fault);
        if member.phase == Phase::Dead {
            self.dead.push_back(member.id);
        } else {
            self.counts.add_lessors(&member.lessors);
            self.counts.add_candidate(&member);
        }
        self.members.insert(member.id, member);
        Ok(())
    }

    /// Checks that the lessors of all members that are not dead are in the snapshot.
    fn check_lessors(&self) -> Result<(), SnapshotError> {
        for member in self.members.values().filter(|member| member.phase != Phase::Dead) {
            let known = member.lessors.iter().all(|lessor| self.members.contains_key(lessor));
            ensure!(known, MemberSnafu { member: member.id.0 });
        }
        Ok(())
    }

    fn restore_service(&mut self, wire: &wire::Service) -> Result<(), SnapshotError> {
        let service = service(wire).context(ServiceSnafu { workspace: &wire.workspace })?;
        let valid = service.units().all(|(_, assignment)| self.has_valid_roles(assignment));
        let unique = !self.services.contains_key(&service.workspace);
        ensure!(valid && unique, ServiceSnafu { workspace: &wire.workspace });
        for (_, assignment) in service.units() {
            self.counts.add(assignment);
        }
        self.services.insert(Name::clone(&service.workspace), service);
        Ok(())
    }

    /// Returns true if the members of an assignment are eligible for their roles.
    fn has_valid_roles(&self, assignment: &Assignment) -> bool {
        let Assignment { owner, standby, prior, prior_standby, version, token } = *assignment;
        let present = |id: MemberId| self.require_present(id.0).is_ok();
        let members = owner.is_none_or(present)
            && prior.is_none_or(present)
            && prior_standby.is_none_or(present)
            && standby.is_none_or(|standby| self.require_alive(standby.0).is_ok());
        let distinct =
            owner.is_none() || (owner != standby && owner != prior && owner != prior_standby);
        let ordered = token <= version && version < self.next.max(1);
        members && distinct && ordered && (owner.is_some() || standby.is_none())
    }

    fn restore_document(&mut self, wire: &wire::Document) -> Result<(), SnapshotError> {
        let fault = DocumentSnafu { name: &wire.name };
        let kind = document_kind(wire.kind).context(fault)?;
        let unique = self.document(kind, &wire.name).is_none();
        let version = (1..self.next).contains(&wire.version);
        ensure!(unique && version && !wire.name.is_empty(), fault);
        let fields = wire.fields.iter().map(document_field).collect();
        let document = Document { name: wire.name.as_str().into(), kind, fields };
        self.store(Published { document, version: wire.version, retired: wire.retired });
        Ok(())
    }

    /// Rebuilds the routes from the documents and checks that each service matches its route.
    fn restore_routes(&mut self) -> Result<(), SnapshotError> {
        let mut routes = Vec::new();
        for parameters in self.parameters.values().filter(|parameters| !parameters.retired) {
            let built = self.build_affected(parameters);
            routes.extend(built.map_err(|reason| SnapshotError::Routes { reason })?);
        }
        self.check_routes(&routes).map_err(|reason| SnapshotError::Routes { reason })?;
        for route in routes {
            let workspace = Name::clone(&route.workspace);
            let count = self.services.get(&workspace).map_or(0, |service| service.slots.len());
            ensure!(count == slot_count(&route), ServiceSnafu { workspace: workspace.to_string() });
            self.routes.insert(workspace, Arc::new(route));
        }
        Ok(())
    }
}

fn member(wire: &wire::Member) -> Option<Member> {
    let join = wire.join.as_ref()?;
    let phase = match wire::MemberPhase::try_from(wire.phase).ok()? {
        wire::MemberPhase::Alive => Phase::Alive,
        wire::MemberPhase::Leaving => Phase::Leaving,
        wire::MemberPhase::Dead => Phase::Dead,
        wire::MemberPhase::Unspecified => return None,
    };
    let lessors: Vec<_> = wire.lessors.iter().copied().map(MemberId).collect();
    let sorted = lessors.is_sorted_by(|one, next| one < next);
    let id = MemberId(wire.id);
    if !sorted || lessors.len() > LESSORS_MAX || lessors.contains(&id) {
        return None;
    }
    let attachment = wire.attach.as_ref().map(Attachment::from_record);
    let valid = |attachment: &Attachment| !attachment.workspace.is_empty() && phase != Phase::Dead;
    if !attachment.as_ref().is_none_or(valid) {
        return None;
    }
    let started = Member::from_join(wire.id, join);
    Some(Member { attachment, version: wire.version, lessors, phase, ..started })
}

fn service(wire: &wire::Service) -> Option<Service> {
    let mut service = Service {
        workspace: wire.workspace.as_str().into(),
        slots: wire.slots.iter().map(assignment).collect(),
        hot: BTreeMap::new(),
        numeric: wire.founded,
    };
    let sized = !service.slots.is_empty() && u32::try_from(service.slots.len()).is_ok();
    if !sized || wire.hot.len() > HOT_MAX {
        return None;
    }
    for hot in &wire.hot {
        let key = KeyHash(hot.key);
        let assignment = assignment(hot.assignment.as_ref()?);
        let matches = service.unit_of(key) == UnitId::slot(hot.slot);
        if !matches {
            return None;
        }
        service.hot.insert(key, HotKey { slot: hot.slot, assignment });
    }
    Some(service)
}

fn assignment(wire: &wire::Assignment) -> Assignment {
    Assignment {
        owner: MemberId::from_wire(wire.owner),
        standby: MemberId::from_wire(wire.standby),
        prior: MemberId::from_wire(wire.prior),
        prior_standby: MemberId::from_wire(wire.rival),
        version: wire.version,
        token: wire.token,
    }
}
