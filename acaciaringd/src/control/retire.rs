//! Retirement of an identity: stop of the process, lost upstream, lost lease.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::state::{Attachment, Member, Phase};
use acaciaring_core::{Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Exit, Leave, record};
use tracing::{info, warn};

use super::Control;
use super::handover::Handover;
use super::identity::EndReason;
use super::proposal::{Proposal, Purpose};
use super::replication::Replication;

/// Time without announcement after which the upstream is considered lost.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The same after the upstream has refused a connection, which means that its process is gone.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a retiring member stops waiting for its `Leave` record and releases its units.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

impl Control {
    /// Advances the retirement of this identity, if it has begun.
    pub(super) fn retire(&mut self, now: Time) {
        self.watch_upstream(now);
        self.watch_lease(now);
        let Some(identity) = &self.identity else { return };
        let me = identity.me;
        let Some(retiring) = identity.retiring else { return };
        match self.state.member(me).map(|member| member.phase) {
            Some(Phase::Alive) if retiring == EndReason::Lease && self.reattaches() => {
                self.replace_identity();
            }
            Some(Phase::Alive) if retiring == EndReason::Lease => self.exit(now),
            Some(Phase::Alive) => self.leave(now),
            // What the upstream is granted depends on the requests in flight.
            Some(Phase::Leaving) if self.releasing(now) || self.has_live_grants(now) => {
                self.dirty = true;
            }
            Some(Phase::Leaving) => self.exit(now),
            Some(Phase::Dead) | None => self.end_identity(),
        }
    }

    /// Returns true when the attachment of this process's next identity replaces this one.
    ///
    /// An identity that was never attached is not replaced, so it must propose `Exit`: members that
    /// chose it as lessor would otherwise have no lease until it is evicted.
    fn reattaches(&self) -> bool {
        self.upstream.has_reported && self.attachment().is_some()
    }

    fn watch_upstream(&mut self, now: Time) {
        let Some(announced) = &self.announced else { return };
        let refused = self.context.shared.upstream_refused.get() > announced.at;
        let beat = self.context.upstream.beat;
        let timeout =
            if refused { REFUSED_TIMEOUT.max(beat * 2) } else { ANNOUNCE_TIMEOUT.max(beat * 4) };
        if now.since(announced.at) < timeout {
            return;
        }
        warn!(refused, "upstream is lost, leaving to join again without it");
        self.announced = None;
        self.detach(now);
    }

    /// Detaches the upstream: its units move to others and this process joins again without it.
    pub(super) fn detach(&mut self, now: Time) {
        let attached = self.attachment().is_some();
        let identity = self.identity.as_mut().filter(|_| attached);
        if identity.is_some_and(|identity| identity.retire(now, EndReason::Upstream)) {
            self.report_leaving();
        }
    }

    /// Retires the identity when its lease is lost for too long or cannot be regained.
    ///
    /// An evicted member finds `Dead` in the log; one that cannot read the log is refused by its
    /// lessors. In both cases the lease has expired and nothing is served.
    fn watch_lease(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        let dead = !self.state.is_present(identity.me);
        let alive = |id| self.state.is_present(id);
        let holder = &identity.holder;
        let lost = holder.refused(now) || holder.abandoned(now) || holder.quorum_lost(now, alive);
        if identity.retiring.is_none() && (dead || lost) {
            warn!(member = %identity.me, dead, "lease is lost, retiring identity to join again");
            identity.retire(now, EndReason::Lease);
            identity.lessor.stop();
        }
    }

    /// Proposes `Leave` once this member serves all units that it owns.
    ///
    /// While it still waits for a former owner to release a unit, the record would make it that
    /// unit's `prior`, and nobody would wait for the former owner. Units that it serves already are
    /// switched over meanwhile.
    fn leave(&mut self, now: Time) {
        if self.proposals.pending(&Purpose::Leave) {
            return;
        }
        if self.awaits_releases() {
            if self.closed {
                self.exit_released(now);
            } else {
                self.switch_over_served(now);
            }
            return;
        }
        let Some(identity) = &mut self.identity else { return };
        let mut renounced: Vec<(Name, UnitId, Offset)> = Vec::new();
        for service in self.state.services() {
            let workspace = &service.workspace;
            for (unit, assignment) in service.units() {
                if assignment.standby == Some(identity.me) {
                    // Held since a takeover: the next standby could serve it at the same time.
                    let mode = &self.upstream.mode;
                    if self.upstream.has_reported
                        && mode.may_hold(now, unit, &service.key_ranges(unit))
                    {
                        return;
                    }
                    renounced.push((Arc::clone(workspace), unit, assignment.version));
                }
            }
        }
        for (workspace, unit, version) in &renounced {
            identity.rights.renounce(workspace, *unit, *version);
        }
        identity.rights.leave();
        let leave = Leave { member: identity.me.0, applied: self.state.next() };
        let body = record::Body::Leave(leave);
        let proposal = Proposal {
            purpose: Purpose::Leave,
            since: now,
            renounced,
            changed: Vec::new(),
            reply: None,
        };
        self.dirty = true;
        self.submit(proposal, body);
    }

    /// Proposes `Exit` once this closed member has released all units, after a rejected `Leave`.
    ///
    /// Guards against a member that never leaves: it serves none of the units that it has released,
    /// so it must not propose `Leave` again. `Exit` leaves the former owners of its units in place,
    /// so their releases are still awaited.
    fn exit_released(&mut self, now: Time) {
        if self.releasing(now) || self.has_live_grants(now) {
            return;
        }
        if let Some(identity) = &mut self.identity {
            identity.rights.leave();
        }
        self.dirty = true;
        self.exit(now);
    }

    /// Returns true while units are unreleased, in flight or held by the upstream.
    fn releasing(&self, now: Time) -> bool {
        !self.all_released() || self.holds_any(now)
    }

    /// Returns true while a stopping process has unexpired grants to members that stay.
    ///
    /// A process that only lost its upstream does not wait: it joins again at once.
    fn has_live_grants(&self, now: Time) -> bool {
        let Some(identity) = &self.identity else { return false };
        let stays = |id| self.state.member(id).is_some_and(Member::alive);
        identity.retiring == Some(EndReason::Stop) && identity.lessor.has_active_grant(now, stays)
    }

    /// Returns true while a former owner has not released a unit that this member owns.
    fn awaits_releases(&self) -> bool {
        let Some(identity) = &self.identity else { return false };
        self.state.services().any(|service| {
            let mine = service.units().filter(|(_, a)| a.owner == Some(identity.me));
            let mut units = mine.map(|(unit, _)| unit);
            units.any(|unit| !identity.rights.serving(&service.workspace, unit))
        })
    }

    /// Proposes `Exit`; from here on nothing is served or granted under this identity.
    fn exit(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        identity.lessor.stop();
        let body = record::Body::Exit(Exit { member: identity.me.0 });
        self.proposals.propose(now, Purpose::Exit, body);
    }

    /// Returns true when no requests are in flight and all releases are acknowledged.
    pub(super) fn all_released(&self) -> bool {
        let done = |((workspace, unit), version): (&(Name, UnitId), &Offset)| {
            self.handover.acknowledged.contains(&(Arc::clone(workspace), *unit, *version))
        };
        self.context.shared.inflight.total() == 0 && self.handover.draining.iter().all(done)
    }

    /// Releases units to their standbys when the `Leave` of this member is not folded in time.
    ///
    /// An owner may always release to the standby under the recorded version. So a planned stop
    /// interrupts no requests while the log is down, and a leaving upstream gets no new ones.
    pub(super) fn leave_without_log(&mut self, now: Time) {
        let Some(identity) = &self.identity else { return };
        let meant = matches!(identity.retiring, Some(EndReason::Stop | EndReason::Upstream));
        let leaving =
            self.state.member(identity.me).is_some_and(|member| member.phase != Phase::Alive);
        if !meant || leaving || self.closed || now.since(identity.retiring_since) < LEAVE_TIMEOUT {
            return;
        }
        warn!("`Leave` was not recorded in time, releasing units to their standbys");
        self.closed = true;
        self.dirty = true;
        self.find_draining();
    }

    /// Returns true once `Leave` is folded; this member then accepts no new requests.
    pub(super) fn leaving(&self) -> bool {
        let me = self.identity.as_ref().map(|identity| identity.me);
        let member = me.and_then(|me| self.state.member(me));
        member.is_some_and(|member| member.phase == Phase::Leaving)
    }

    pub(super) fn end_identity(&mut self) {
        let Some(identity) = self.identity.take() else { return };
        info!(member = %identity.me, "member identity has ended");
        self.proposals.clear();
        self.replication = Replication::default();
        self.handover = Handover::default();
        self.eviction_reasons.clear();
        self.closed = false;
        self.clear_roles();
        self.context.shared.lease.set(Time::ZERO);
        self.dirty = true;
    }

    /// Returns true while this process has no identity, or one that is retiring.
    pub(super) fn retiring(&self) -> bool {
        self.identity.as_ref().is_none_or(|identity| identity.retiring.is_some())
    }

    /// Returns the attachment of this member, `None` before it is in the log.
    pub(super) fn attachment(&self) -> Option<&Attachment> {
        self.state.member(self.identity.as_ref()?.me)?.attachment.as_ref()
    }
}
