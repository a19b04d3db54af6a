//! End of an identity: stop of the process, lost upstream, lost lease.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::state::{Attachment, Member, Phase};
use acaciaring_core::{Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Exit, Leave, record};
use tracing::{info, warn};

use super::Control;
use super::handover::Handover;
use super::identity::Retiring;
use super::proposal::{Proposal, Purpose};
use super::replication::Replication;

/// Time without announcement after which the upstream counts as lost.
const SILENCE: Duration = Duration::from_secs(3);

/// The same when the upstream has refused a connection since: its process is gone.
const REFUSED_SILENCE: Duration = Duration::from_millis(700);

/// Time after which a stop no longer waits for the log and releases without it.
const LOG: Duration = Duration::from_secs(2);

impl Control {
    /// Drives the end of this identity, if it has begun.
    pub(super) fn retire(&mut self, now: Time) {
        self.watch_upstream(now);
        self.watch_lease(now);
        let Some(identity) = &self.identity else { return };
        let me = identity.me;
        let Some(retiring) = identity.retiring else { return };
        match self.state.member(me).map(|member| member.phase) {
            Some(Phase::Alive) if retiring == Retiring::Lease && self.resumes() => {
                self.start_over();
            }
            Some(Phase::Alive) if retiring == Retiring::Lease => self.exit(now),
            Some(Phase::Alive) => self.leave(now),
            Some(Phase::Leaving) if self.releasing(now) || self.vouching(now) => {}
            Some(Phase::Leaving) => self.exit(now),
            Some(Phase::Dead) | None => self.end_identity(),
        }
    }

    /// Returns true when the next identity of this process takes the place of this one by its attachment.
    ///
    /// One that was never attached is replaced by nothing, so it says itself that it has ended. Else
    /// those that chose it as lessor would wait for its eviction: after a start of all machines
    /// together one had no lease for seven seconds.
    fn resumes(&self) -> bool {
        self.holding.reports && self.attachment().is_some()
    }

    fn watch_upstream(&mut self, now: Time) {
        let Some(announced) = &self.announced else { return };
        let refused = self.parts.shared.refused.get() > announced.at;
        let beat = self.parts.upstream.beat;
        let silence = if refused { REFUSED_SILENCE.max(beat * 2) } else { SILENCE.max(beat * 4) };
        if now.since(announced.at) < silence {
            return;
        }
        warn!(refused, "the upstream has not announced itself, taking it out");
        self.announced = None;
        self.detach(now);
    }

    /// Takes the upstream out: its units pass to others and this process joins anew without it.
    pub(super) fn detach(&mut self, now: Time) {
        let attached = self.attachment().is_some();
        let identity = self.identity.as_mut().filter(|_| attached);
        if identity.is_some_and(|identity| identity.retire(now, Retiring::Upstream)) {
            self.report_leaving();
        }
    }

    /// Gives the identity up when its lease is lost for good.
    ///
    /// An evicted member finds `Dead` in the log; one that cannot read the log
    /// is refused by its lessors. Either way nothing is served: the lease is over.
    fn watch_lease(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        let dead = !self.state.is_present(identity.me);
        let alive = |id| self.state.is_present(id);
        let holder = &identity.holder;
        let lost = holder.refused() || holder.abandoned(now) || holder.orphaned(now, alive);
        if identity.retiring.is_none() && (dead || lost) {
            warn!(member = %identity.me, dead, "identity is lost, joining anew");
            identity.retire(now, Retiring::Lease);
            identity.lessor.stop();
        }
    }

    /// Proposes `Leave` once this member serves all that it owns.
    ///
    /// While it still waits for the release of a unit by a former owner, the
    /// record would make it that unit's `prior` and nobody would wait for the
    /// former owner any more. What it serves already is passed on meanwhile.
    fn leave(&mut self, now: Time) {
        if self.proposals.pending(&Purpose::Leave) {
            return;
        }
        if self.waits_for_units() {
            return self.pass_on_served(now);
        }
        let Some(identity) = &mut self.identity else { return };
        let mut renounced: Vec<(Name, UnitId, Offset)> = Vec::new();
        for service in self.state.services() {
            let workspace = &service.workspace;
            for (unit, assignment) in service.units() {
                if assignment.standby == Some(identity.me) {
                    // Taken over, and still held: whoever stands by next could serve beside it.
                    let way = &self.holding.way;
                    if self.holding.reports && way.may_hold(now, unit, &service.key_ranges(unit)) {
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

    /// Returns true while something is in flight or held that this member has not passed on.
    fn releasing(&self, now: Time) -> bool {
        !self.all_released() || self.holds_any(now)
    }

    /// Returns true while a process that is told to stop still vouches for a member that stays.
    ///
    /// One whose upstream has left does not wait: its next identity serves the next upstream.
    fn vouching(&self, now: Time) -> bool {
        let Some(identity) = &self.identity else { return false };
        let stays = |id| self.state.member(id).is_some_and(Member::alive);
        identity.retiring == Some(Retiring::Stop) && identity.lessor.vouches(now, stays)
    }

    /// Returns true while this member owns a unit that a former owner has not released to it.
    fn waits_for_units(&self) -> bool {
        let Some(identity) = &self.identity else { return false };
        self.state.services().any(|service| {
            let mine = service.units().filter(|(_, a)| a.owner == Some(identity.me));
            let mut units = mine.map(|(unit, _)| unit);
            units.any(|unit| !identity.rights.serving(&service.workspace, unit))
        })
    }

    /// Proposes `Exit`: nothing is served or granted under this identity any more.
    fn exit(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        identity.lessor.stop();
        let body = record::Body::Exit(Exit { member: identity.me.0 });
        self.proposals.propose(now, Purpose::Exit, body);
    }

    /// Returns true when nothing is in flight and the new servers of all units know it.
    pub(super) fn all_released(&self) -> bool {
        let done = |((workspace, unit), version): (&(Name, UnitId), &Offset)| {
            self.handover.done.contains(&(Arc::clone(workspace), *unit, *version))
        };
        self.parts.shared.inflight.total() == 0 && self.handover.draining.iter().all(done)
    }

    /// Releases to the standbys when the log does not record that this member leaves.
    ///
    /// The owner may always release to the standby under the recorded version,
    /// so a planned stop cuts off nothing while the log is down, and an upstream
    /// that is leaving gets no new work.
    pub(super) fn leave_without_log(&mut self, now: Time) {
        let Some(identity) = &self.identity else { return };
        let meant = matches!(identity.retiring, Some(Retiring::Stop | Retiring::Upstream));
        let leaving =
            self.state.member(identity.me).is_some_and(|member| member.phase != Phase::Alive);
        if !meant || leaving || self.closed || now.since(identity.since) < LOG {
            return;
        }
        warn!(
            "the log does not record that this member leaves, releasing to the standbys without it"
        );
        self.closed = true;
        self.dirty = true;
        self.find_draining();
    }

    /// Returns true once the log says that this member leaves: it takes no new requests.
    pub(super) fn leaving(&self) -> bool {
        let me = self.identity.as_ref().map(|identity| identity.me);
        let member = me.and_then(|me| self.state.member(me));
        member.is_some_and(|member| member.phase == Phase::Leaving)
    }

    pub(super) fn end_identity(&mut self) {
        let Some(identity) = self.identity.take() else { return };
        info!(member = %identity.me, "identity has ended");
        self.proposals.clear();
        self.replication = Replication::default();
        self.handover = Handover::default();
        self.grounds.clear();
        self.closed = false;
        self.forget_roles();
        self.parts.shared.lease.set(Time::ZERO);
        self.dirty = true;
    }

    /// Returns true while this process has no identity, or one that is about to end.
    pub(super) fn retiring(&self) -> bool {
        self.identity.as_ref().is_none_or(|identity| identity.retiring.is_some())
    }

    /// Returns what this member serves by the log's word, `None` before that is recorded.
    pub(super) fn attachment(&self) -> Option<&Attachment> {
        self.state.member(self.identity.as_ref()?.me)?.attachment.as_ref()
    }
}
