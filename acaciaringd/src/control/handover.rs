//! Rights of this member, and the release of units that pass to another one.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::rights::Right;
use acaciaring_core::{MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::peer::{Release, call, reply};
use tracing::{debug, info};

use super::{Control, Event};
use crate::clock;
use crate::view::{Permit, Permits};
use crate::wire;

/// Time after which a release that was not acknowledged is sent again.
const AGAIN: Duration = Duration::from_millis(300);

/// A unit of a workspace that goes to a new server, with the version of the release.
type Parcel = (Name, UnitId, Offset);

/// Units that this member is to release, and how far it has come.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// Units to release, with the version under which they are released.
    pub(super) draining: HashMap<(Name, UnitId), Offset>,
    /// Releases that were sent and when.
    pub(super) sent: HashMap<Parcel, Time>,
    /// Releases that the next server has acknowledged.
    pub(super) done: HashSet<Parcel>,
    /// Releases that are still to be made.
    ///
    /// The log names a former owner until the unit moves again, so most of what is to be released
    /// was released long ago. Looking through all of it in each round took a member with many
    /// moves a fiftieth of its processor.
    open: Vec<Parcel>,
}

impl Control {
    /// Computes what this member may serve.
    pub(super) fn permits(&mut self, now: Time) -> Permits {
        let mut permits = Permits::new();
        let state = Arc::clone(&self.state);
        let Some(identity) = &mut self.identity else { return permits };
        let me = identity.me;
        let live = identity.live(now, &state);
        for service in state.services() {
            for (unit, assignment) in service.units() {
                if assignment.owner != Some(me) && assignment.standby != Some(me) {
                    continue;
                }
                let right = identity.right(now, &live, &service.workspace, unit, assignment);
                if let Some(permit) = permit(right) {
                    permits.entry(Arc::clone(&service.workspace)).or_default().insert(unit, permit);
                }
            }
        }
        permits
    }

    /// Finds the units that the log has given to others and that this member is to release.
    pub(super) fn find_draining(&mut self) {
        let Some(identity) = &self.identity else { return };
        let me = Some(identity.me);
        self.handover.draining.clear();
        for service in self.state.services() {
            for (unit, assignment) in service.units() {
                let owned = assignment.owner == me;
                let former = !owned && [assignment.prior, assignment.prior_standby].contains(&me);
                let closing = self.closed && assignment.owner == me && assignment.standby.is_some();
                if former || closing {
                    let place = (Arc::clone(&service.workspace), unit);
                    self.handover.draining.insert(place, assignment.version);
                }
            }
        }
        let draining = &self.handover.draining;
        let current = |(workspace, unit, version): &Parcel| {
            draining.get(&(Arc::clone(workspace), *unit)) == Some(version)
        };
        self.handover.done.retain(current);
        self.handover.sent.retain(|parcel, _| current(parcel));
        let parcels = draining.iter().map(|((w, unit), version)| (Arc::clone(w), *unit, *version));
        self.handover.open =
            parcels.filter(|parcel| !self.handover.done.contains(parcel)).collect();
    }

    /// Releases units that have nothing in flight any more.
    ///
    /// The view without the permit is published before the requests in flight
    /// are counted, see [`crate::inflight::Inflight`].
    pub(super) fn hand_over(&mut self, now: Time) {
        let parcels = self.handover.open.clone();
        let mut ready: HashMap<(Name, MemberId), Vec<Parcel>> = HashMap::new();
        for parcel in parcels {
            for to in self.release(now, &parcel) {
                ready.entry((Arc::clone(&parcel.0), to)).or_default().push(parcel.clone());
            }
        }
        for ((workspace, to), parcels) in ready {
            self.send_release(&workspace, to, &parcels);
        }
    }

    /// Releases one unit; returns to whom the release is to be sent now.
    ///
    /// The standby of the new owner is told too: it may have to take over from
    /// one that dies before it serves.
    fn release(&mut self, now: Time, parcel: &Parcel) -> Vec<MemberId> {
        let (workspace, unit, _) = parcel;
        let sent = self.handover.sent.get(parcel);
        if sent.is_some_and(|sent| now.since(*sent) < AGAIN) {
            return Vec::new();
        }
        let Some(service) = self.state.service(workspace) else { return Vec::new() };
        let unit_of = |key| service.unit_of(key);
        let held = self.upstream_holds(now, workspace, *unit);
        if held || self.parts.shared.inflight.count(workspace, *unit, unit_of) > 0 {
            return Vec::new();
        }
        let assignment = service.assignment(*unit);
        let (Some(assignment), Some(identity)) = (assignment, &mut self.identity) else {
            return Vec::new();
        };
        if !identity.rights.release(workspace, *unit, assignment) {
            return Vec::new();
        }
        debug!(%unit, ?assignment, "unit is released");
        self.handover.sent.insert(parcel.clone(), now);
        let heirs = [assignment.owner, assignment.standby];
        heirs.into_iter().flatten().filter(|heir| *heir != identity.me).collect()
    }

    fn send_release(&self, workspace: &Name, to: MemberId, parcels: &[Parcel]) {
        let Some(identity) = &self.identity else { return };
        let Some(address) = self.address(to) else { return };
        let units: Vec<(UnitId, Offset)> =
            parcels.iter().map(|(_, unit, version)| (*unit, *version)).collect();
        let now = clock::now();
        let (dedup, blind) = self.parts.gate.dedup.export(now, workspace, &ids(&units));
        let release = Release {
            member: identity.me.0,
            workspace: workspace.to_string(),
            units: units.iter().map(|(unit, version)| wire::unit(*unit, *version)).collect(),
            dedup,
            blind: wire::millis(blind),
            handovers: self.handovers(workspace, &units),
        };
        debug!(%workspace, %to, units = units.len(), "releasing");
        let events = self.parts.events.clone();
        let units = self.inherited(workspace, to, units);
        let workspace = Arc::clone(workspace);
        let done = move |reply: Option<reply::Body>| {
            if wire::accepted(reply.as_ref()) {
                // Control may have ended in the meantime.
                let _ = events.send(Event::ReleaseDone { workspace, units });
            }
        };
        self.parts.outbox.call(address, call::Body::Release(release), wire::CALL, Box::new(done));
    }

    /// Returns what the upstream gave out for the next holder of each unit.
    fn handovers(&self, workspace: &Name, units: &[(UnitId, Offset)]) -> Vec<String> {
        let Some(service) = self.state.service(workspace).filter(|service| service.numeric) else {
            return Vec::new();
        };
        let handover = |unit| self.holding.way.handover(&service.key_ranges(unit)).to_string();
        units.iter().map(|(unit, _)| handover(*unit)).collect()
    }

    /// Returns the units that a member is to serve next: as owner, or as standby of a closed owner.
    ///
    /// A message carries units of both kinds, those that the member serves next
    /// and those for which it stands by. Only the first are done with its reply;
    /// were the message judged as a whole, a mixed one would be sent for ever.
    fn inherited(
        &self,
        workspace: &Name,
        member: MemberId,
        units: Vec<(UnitId, Offset)>,
    ) -> Vec<(UnitId, Offset)> {
        let me = self.identity.as_ref().map(|identity| identity.me);
        let service = self.state.service(workspace);
        let inherits = |(unit, _): &(UnitId, Offset)| {
            let assignment = service.and_then(|service| service.assignment(*unit));
            assignment.is_some_and(|a| a.owner == Some(member) || a.owner == me)
        };
        units.into_iter().filter(inherits).collect()
    }

    /// Notes that the new server of units knows of their release.
    pub(super) fn on_release_done(&mut self, workspace: &Name, units: &[(UnitId, Offset)]) {
        for (unit, version) in units {
            self.handover.done.insert((Arc::clone(workspace), *unit, *version));
        }
        let done = &self.handover.done;
        self.handover.open.retain(|parcel| !done.contains(parcel));
    }

    /// Takes in a release by another member, with what it remembers of the units.
    pub(super) fn on_release(&mut self, release: &Release) {
        self.depend(release.units.iter().map(|unit| unit.version).max().unwrap_or(0));
        let Some(identity) = &mut self.identity else { return };
        let from = MemberId(release.member);
        let workspace = Name::from(release.workspace.as_str());
        info!(%from, %workspace, units = release.units.len(), "units were released to this member");
        for unit in &release.units {
            identity.rights.released(from, &workspace, wire::unit_id(unit), unit.version);
        }
        self.inherit(from, &workspace, release);
        let handovers = release.units.iter().zip(&release.handovers);
        for (unit, handover) in handovers.filter(|(_, handover)| !handover.is_empty()) {
            let place = (Arc::clone(&workspace), wire::unit_id(unit));
            self.roles.handovers.insert(place, Name::from(handover.as_str()));
        }
        self.dirty = true;
    }

    /// Returns the address of a member for other members.
    pub(super) fn address(&self, member: MemberId) -> Option<std::net::SocketAddr> {
        self.state.member(member).and_then(crate::view::peer_address)
    }
}

fn permit(right: Right) -> Option<Permit> {
    match right {
        Right::Serve { token, version, .. } => Some(Permit::Serve { token, version }),
        Right::Wait => Some(Permit::Wait),
        Right::Elsewhere { .. } => None,
    }
}

fn ids(units: &[(UnitId, Offset)]) -> Vec<UnitId> {
    units.iter().map(|(unit, _)| *unit).collect()
}
