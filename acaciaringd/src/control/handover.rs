//! Permits of this member, and the release of units that move to another member.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::rights::Right;
use acaciaring_core::state::Assignment;
use acaciaring_core::{MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::peer::{Release, call, reply};
use tracing::{debug, info};

use super::{Control, Event};
use crate::clock;
use crate::view::{Permit, Permits};
use crate::wire;

/// Time after which an unacknowledged release is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// Release of a unit of a workspace to its new owner, with the version of the assignment.
type UnitRelease = (Name, UnitId, Offset);

/// Units that this member has to release, and the progress of each.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// Units to release, with the version of the assignment.
    pub(super) draining: HashMap<(Name, UnitId), Offset>,
    /// When each release was last sent.
    pub(super) sent: HashMap<UnitRelease, Time>,
    /// Releases that the new owner has acknowledged.
    pub(super) acknowledged: HashSet<UnitRelease>,
    /// Releases that are not yet acknowledged.
    ///
    /// The log names a former owner until the unit moves again, so most of `draining` was released
    /// long ago; iterating over all of it in each round would be slow.
    pending: Vec<UnitRelease>,
}

impl Control {
    /// Returns the units that this member may serve, now or soon.
    pub(super) fn permits(&mut self, now: Time) -> Permits {
        let mut permits = Permits::new();
        let state = Arc::clone(&self.state);
        let settles = self.settles(now);
        let Some(identity) = &mut self.identity else { return permits };
        let me = identity.me;
        let live = identity.live(now, &state);
        for service in state.services() {
            for (unit, assignment) in service.units() {
                if assignment.owner != Some(me) && assignment.standby != Some(me) {
                    continue;
                }
                let right = identity.right(now, &live, &service.workspace, unit, assignment);
                if let Some(permit) = permit(right, settles) {
                    permits.entry(Arc::clone(&service.workspace)).or_default().insert(unit, permit);
                }
            }
        }
        permits
    }

    /// Finds the units that the log has assigned to others and that this member has to release.
    pub(super) fn find_draining(&mut self) {
        let Some(identity) = &self.identity else { return };
        let me = Some(identity.me);
        self.handover.draining.clear();
        for service in self.state.services() {
            for (unit, assignment) in service.units() {
                let owned = assignment.owner == me;
                let former = !owned && [assignment.prior, assignment.prior_standby].contains(&me);
                if former || self.closing(assignment) {
                    let unit_key = (Arc::clone(&service.workspace), unit);
                    self.handover.draining.insert(unit_key, assignment.version);
                }
            }
        }
        let draining = &self.handover.draining;
        let current = |(workspace, unit, version): &UnitRelease| {
            draining.get(&(Arc::clone(workspace), *unit)) == Some(version)
        };
        self.handover.acknowledged.retain(current);
        self.handover.sent.retain(|release, _| current(release));
        let releases = draining.iter().map(|((w, unit), version)| (Arc::clone(w), *unit, *version));
        self.handover.pending =
            releases.filter(|release| !self.handover.acknowledged.contains(release)).collect();
    }

    /// Returns true for a unit that this member releases to its standby without a `Leave` record.
    ///
    /// The upstream must not hold such a unit any longer, or it is never released.
    pub(super) fn closing(&self, assignment: &Assignment) -> bool {
        let me = self.identity.as_ref().map(|identity| identity.me);
        self.closed && assignment.owner == me && assignment.standby.is_some()
    }

    /// Returns true for a unit that no other member takes over from this leaving one.
    ///
    /// The upstream must not be granted such a unit again once nothing runs: the member ends only
    /// when its upstream holds nothing, and an upstream that comes back would hold it for good.
    pub(super) fn abandoned(&self, assignment: &Assignment) -> bool {
        let me = self.identity.as_ref().map(|identity| identity.me);
        self.leaving() && assignment.owner == me && self.context.shared.inflight.total() == 0
    }

    /// Releases units that have no requests in flight.
    ///
    /// The view without the permit is published before the requests in flight are counted, see
    /// [`crate::inflight::Inflight`].
    pub(super) fn release_units(&mut self, now: Time) {
        let releases = self.handover.pending.clone();
        let mut ready: HashMap<(Name, MemberId), Vec<UnitRelease>> = HashMap::new();
        for release in releases {
            for to in self.release(now, &release) {
                ready.entry((Arc::clone(&release.0), to)).or_default().push(release.clone());
            }
        }
        for ((workspace, to), releases) in ready {
            self.send_release(&workspace, to, &releases);
        }
    }

    /// Releases one unit if it is ready; returns the members that the release has to be sent to.
    ///
    /// Includes the standby, which takes over if the new owner fails before it serves.
    fn release(&mut self, now: Time, release: &UnitRelease) -> Vec<MemberId> {
        let (workspace, unit, _) = release;
        let sent = self.handover.sent.get(release);
        if sent.is_some_and(|sent| now.since(*sent) < RESEND_INTERVAL) {
            return Vec::new();
        }
        let Some(service) = self.state.service(workspace) else { return Vec::new() };
        let unit_of = |key| service.unit_of(key);
        let held = self.upstream_holds(now, workspace, *unit);
        if held || self.context.shared.inflight.count(workspace, *unit, unit_of) > 0 {
            return Vec::new();
        }
        let assignment = service.assignment(*unit);
        let (Some(assignment), Some(identity)) = (assignment, &mut self.identity) else {
            return Vec::new();
        };
        if !identity.rights.release(workspace, *unit, assignment) {
            return Vec::new();
        }
        debug!(%unit, ?assignment, "unit released");
        self.handover.sent.insert(release.clone(), now);
        let recipients = [assignment.owner, assignment.standby];
        recipients.into_iter().flatten().filter(|recipient| *recipient != identity.me).collect()
    }

    fn send_release(&self, workspace: &Name, to: MemberId, releases: &[UnitRelease]) {
        let Some(identity) = &self.identity else { return };
        let Some(address) = self.address(to) else { return };
        let units: Vec<(UnitId, Offset)> =
            releases.iter().map(|(_, unit, version)| (*unit, *version)).collect();
        let now = clock::now();
        let (dedup, blind) = self.context.gate.dedup.export(now, workspace, &unit_ids(&units));
        let release = Release {
            member: identity.me.0,
            workspace: workspace.to_string(),
            units: units.iter().map(|(unit, version)| wire::unit(*unit, *version)).collect(),
            dedup,
            blind: wire::millis(blind),
            handovers: self.handovers(workspace, &units),
        };
        debug!(%workspace, %to, units = units.len(), "sending a release of units");
        let events = self.context.events.clone();
        let units = self.next_served(workspace, to, units);
        let workspace = Arc::clone(workspace);
        let done = move |reply: Option<reply::Body>| {
            if wire::accepted(reply.as_ref()) {
                // The control thread may have ended.
                let _ = events.send(Event::ReleaseDone { workspace, units });
            }
        };
        self.context.outbox.call(
            address,
            call::Body::Release(release),
            wire::CALL_TIMEOUT,
            Box::new(done),
        );
    }

    /// Returns the handover data that the upstream returned for each unit, empty if none.
    fn handovers(&self, workspace: &Name, units: &[(UnitId, Offset)]) -> Vec<String> {
        let Some(service) = self.state.service(workspace).filter(|service| service.numeric) else {
            return Vec::new();
        };
        let handover = |unit| self.upstream.mode.handover(&service.key_ranges(unit)).to_string();
        units.iter().map(|(unit, _)| handover(*unit)).collect()
    }

    /// Returns the units that a member serves next: as owner, or as standby of this closed member.
    ///
    /// A message also carries units for which the member is only the standby. Its reply completes
    /// only the units returned here; otherwise a mixed message would be resent forever.
    fn next_served(
        &self,
        workspace: &Name,
        member: MemberId,
        units: Vec<(UnitId, Offset)>,
    ) -> Vec<(UnitId, Offset)> {
        let me = self.identity.as_ref().map(|identity| identity.me);
        let service = self.state.service(workspace);
        let serves_next = |(unit, _): &(UnitId, Offset)| {
            let assignment = service.and_then(|service| service.assignment(*unit));
            assignment.is_some_and(|a| a.owner == Some(member) || a.owner == me)
        };
        units.into_iter().filter(serves_next).collect()
    }

    /// Records that the new owner has acknowledged the release of units.
    pub(super) fn on_release_done(&mut self, workspace: &Name, units: &[(UnitId, Offset)]) {
        for (unit, version) in units {
            self.handover.acknowledged.insert((Arc::clone(workspace), *unit, *version));
        }
        let acknowledged = &self.handover.acknowledged;
        self.handover.pending.retain(|release| !acknowledged.contains(release));
    }

    /// Handles a release by another member, with the deduplication state of the units.
    pub(super) fn on_release(&mut self, release: &Release) {
        self.require_record(release.units.iter().map(|unit| unit.version).max().unwrap_or(0));
        let Some(identity) = &mut self.identity else { return };
        let from = MemberId(release.member);
        let workspace = Name::from(release.workspace.as_str());
        info!(%from, %workspace, units = release.units.len(), "units were released to this member");
        for unit in &release.units {
            identity.rights.record_release(from, &workspace, wire::unit_id(unit), unit.version);
        }
        self.store_release(from, &workspace, release);
        let handovers = release.units.iter().zip(&release.handovers);
        for (unit, handover) in handovers.filter(|(_, handover)| !handover.is_empty()) {
            let unit_key = (Arc::clone(&workspace), wire::unit_id(unit));
            self.roles.handovers.insert(unit_key, Name::from(handover.as_str()));
        }
        self.dirty = true;
    }

    /// Returns the peer address of a member.
    pub(super) fn address(&self, member: MemberId) -> Option<std::net::SocketAddr> {
        self.state.member(member).and_then(crate::view::peer_address)
    }
}

fn permit(right: Right, settles: Time) -> Option<Permit> {
    match right {
        Right::Serve { token, version, .. } => Some(Permit::Serve { token, version }),
        Right::Wait => Some(Permit::Wait),
        Right::Withheld => Some(Permit::Withheld { until: settles }),
        Right::Elsewhere { .. } => None,
    }
}

fn unit_ids(units: &[(UnitId, Offset)]) -> Vec<UnitId> {
    units.iter().map(|(unit, _)| *unit).collect()
}
