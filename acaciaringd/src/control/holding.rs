//! Grants to an upstream that holds its units by them.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::holds::{Granted, Report, Wanted};
use acaciaring_core::rights::Right;
use acaciaring_core::state::{Attachment, Member, Service, State};
use acaciaring_core::{Name, Time, UnitId};
use acaciaring_schema::settings::UpstreamGrants;
use tokio::sync::oneshot;
use tracing::{debug, info, warn};

use super::Control;
use super::identity::Retiring;
use super::proposal::Purpose;
use super::way::Way;
use crate::announce::Phase;
use crate::heartbeat::{Heartbeat, HeartbeatReply};
use crate::view::{Permit, Permits};

/// Time for which a leaving upstream still gets requests while its units pass to others.
///
/// An upstream that is leaving gets no new work two seconds after its word; the rest is for
/// requests that are on their way to it.
const LAST_WORK: Duration = Duration::from_secs(1);

/// Longest time for which the reply to a report waits for a move.
///
/// A move is recorded within a few milliseconds, and the next report of the upstream that
/// releases comes within a tenth of a second; the upstream takes a reply within a second.
const PATIENCE: Duration = Duration::from_millis(250);

/// What is known of an upstream that reports what it holds.
#[derive(Debug)]
pub(super) struct Holding {
    pub(super) way: Way,
    /// True once the upstream has reported.
    pub(super) reports: bool,
    /// Since when the upstream is leaving.
    leaving: Option<Time>,
    /// Report whose reply waits for a move.
    waiting: Option<Waiting>,
    /// When something was to change by time alone, when that was last asked.
    awaited: Option<Time>,
}

/// Report whose reply waits until a move that is under way shows in it.
///
/// The upstream reports every second or so. A unit that moves is without server from the reply
/// that leaves it out until the reply that gives it to the next one, so each reply that just
/// misses a move costs that much.
#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<HeartbeatReply>,
    room: usize,
    until: Time,
}

impl Holding {
    pub(super) fn new(now: Time, grants: UpstreamGrants, hold: Duration) -> Self {
        Self {
            way: Way::new(now, grants, hold),
            reports: false,
            leaving: None,
            waiting: None,
            awaited: None,
        }
    }

    /// Returns true once a leaving upstream gets no more requests.
    pub(super) fn closed(&self, now: Time) -> bool {
        self.leaving.is_some_and(|since| now >= since + LAST_WORK)
    }

    /// Returns when something changes by time alone.
    pub(super) fn next(&self, now: Time) -> Option<Time> {
        let waiting = self.waiting.as_ref().map(|waiting| waiting.until);
        let effect = match &self.way {
            Way::Reported(holds) => holds.next_effect(now),
            Way::Called(orders) => Some(orders.next()),
        };
        [effect, self.closing(now), waiting].into_iter().flatten().min()
    }

    /// Returns when a leaving upstream is to get no more requests, if that is to come.
    fn closing(&self, now: Time) -> Option<Time> {
        self.leaving.map(|since| since + LAST_WORK).filter(|close| now < *close)
    }

    /// Returns true once something has changed by time alone since it was last looked at.
    pub(super) fn is_stale(&mut self, now: Time) -> bool {
        let next = match &self.way {
            Way::Called(orders) if orders.lapsed(now) => return true,
            // What an order brings is told when its answer comes.
            Way::Called(_) => self.closing(now),
            Way::Reported(_) => self.next(now),
        };
        let stale = self.reports && next != self.awaited;
        self.awaited = next;
        stale
    }
}

impl Control {
    /// Takes in a report of the upstream and says what it is to hold.
    pub(super) fn heartbeat(
        &mut self,
        now: Time,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<HeartbeatReply>,
    ) {
        let report = self.holding.way.report(now, &heartbeat);
        let Heartbeat { announcement, sequence, room, .. } = heartbeat;
        let (instance, born) = (Name::from(announcement.instance.as_str()), announcement.born);
        if report == Report::Late {
            info!(%instance, born, sequence, "late report of the upstream");
            // The sender may have gone away.
            let _ = reply.send(HeartbeatReply::default());
            return;
        }
        self.holding.reports = true;
        if report == Report::Another {
            info!(%instance, born, "the upstream has started anew");
            self.holding.leaving = None;
        }
        if self.attached_elsewhere(&instance) {
            self.announced = None;
            self.link = None;
            self.detach(now);
        } else if announcement.phase == Phase::Draining {
            self.upstream_leaves(now);
        } else if self.holding.leaving.is_none() {
            self.announce(now, announcement);
        }
        self.dirty = true;
        self.plan_when_due(now);
        // One report waits at a time; the sender of one that cannot be answered yet reports again.
        self.answer_report(now);
        self.holding.waiting = Some(Waiting { reply, room, until: now + PATIENCE });
        self.answer_report(now);
    }

    /// Answers a report, once no move is about to change the answer.
    pub(super) fn answer_report(&mut self, now: Time) {
        let Some(until) = self.holding.waiting.as_ref().map(|waiting| waiting.until) else {
            return;
        };
        if now < until && self.moving() {
            return;
        }
        let Some(Waiting { reply, room, .. }) = self.holding.waiting.take() else { return };
        let answer = HeartbeatReply { grants: self.grants(now, room) };
        debug!(ranges = answer.grants.as_ref().map(|(rows, _)| rows.len()), "report answered");
        // The sender may have gone away.
        let _ = reply.send(answer);
        self.dirty = true;
    }

    /// Returns true while a move of units from or to this member is about to show in a reply.
    ///
    /// Replies to an upstream that is told by calls say nothing of its units.
    fn moving(&self) -> bool {
        if matches!(self.holding.way, Way::Called(_)) {
            return false;
        }
        let Some(identity) = &self.identity else { return false };
        let me = Some(identity.me);
        let Some(Attachment { workspace, .. }) = self.attachment() else { return false };
        if self.proposals.pending(&Purpose::Switchover(Arc::clone(workspace))) {
            return true;
        }
        let Some(service) = self.state.service(workspace) else { return false };
        // A former owner that has gone releases nothing.
        let alive = |id| self.state.member(id).is_some_and(Member::alive);
        service.units().any(|(unit, assignment)| {
            let prior = assignment.prior.filter(|prior| Some(*prior) != me && alive(*prior));
            assignment.owner == me && prior.is_some() && !identity.rights.serving(workspace, unit)
        })
    }

    /// Notes that the upstream is leaving and reports no more.
    pub(super) fn on_upstream_leaves(&mut self, now: Time, instance: &Name) {
        let present = self.holding.way.start();
        if present.is_none_or(|present| present.instance == *instance) {
            self.upstream_leaves(now);
        }
        self.dirty = true;
    }

    fn upstream_leaves(&mut self, now: Time) {
        if self.holding.leaving.is_none() {
            info!("the upstream is leaving");
            self.holding.leaving = Some(now);
        }
        self.announced = None;
        self.detach(now);
    }

    /// Returns true while this identity stands for an earlier start of the upstream.
    fn attached_elsewhere(&self, instance: &Name) -> bool {
        self.attachment().is_some_and(|attachment| attachment.instance != *instance)
    }

    /// Returns what the upstream is to hold by the reply, `None` when the reply can grant nothing.
    fn grants(&mut self, now: Time, room: usize) -> Option<(Vec<Granted>, Duration)> {
        if matches!(self.holding.way, Way::Called(_)) {
            return None;
        }
        let attachment = self.attachment()?;
        if !self.is_attached_upstream(attachment) {
            return None;
        }
        let workspace = Arc::clone(&attachment.workspace);
        let state = Arc::clone(&self.state);
        let lease = self.parts.shared.lease.get();
        let wanted = self.wanted(now, &state, state.service(&workspace)?);
        match &mut self.holding.way {
            Way::Reported(holds) => holds.grant(now, lease, &wanted, room),
            Way::Called(_) => None,
        }
    }

    /// Returns true when the upstream that reports is the one for which this member is attached.
    pub(super) fn is_attached_upstream(&self, attachment: &Attachment) -> bool {
        let present = self.holding.way.start();
        present.is_some_and(|present| present.instance == attachment.instance)
    }

    /// Returns the units that this member may serve now.
    fn wanted(&mut self, now: Time, state: &State, service: &Service) -> Vec<Wanted> {
        let Some(identity) = &mut self.identity else { return Vec::new() };
        let me = Some(identity.me);
        let live = identity.live(now, state);
        let mut wanted = Vec::new();
        for (unit, assignment) in service.units() {
            if assignment.owner != me && assignment.standby != me {
                continue;
            }
            let right = identity.right(now, &live, &service.workspace, unit, assignment);
            let Right::Serve { token, .. } = right else { continue };
            let mut handover = None;
            if !self.holding.way.serves(now, unit, token, || service.key_ranges(unit)) {
                debug!(%unit, token = token.0, ?assignment, "unit is granted anew");
                let place = (Arc::clone(&service.workspace), unit);
                handover = self.roles.handovers.get(&place).map(Arc::clone);
            }
            let handover = handover.unwrap_or_else(|| Name::from(""));
            wanted.push(Wanted { unit, token, keys: service.key_ranges(unit), handover });
        }
        wanted
    }

    /// Turns rights into waits while the upstream does not hold the units yet.
    pub(super) fn hold_back(&self, now: Time, permits: &mut Permits) {
        if !self.holding.reports {
            return;
        }
        for (workspace, units) in permits.iter_mut() {
            let service = self.state.service(workspace);
            let keys = |unit| service.map(|service| service.key_ranges(unit)).unwrap_or_default();
            for (unit, permit) in units.iter_mut() {
                if let Permit::Serve { token, .. } = *permit
                    && !self.holding.way.serves(now, *unit, token, || keys(*unit))
                {
                    *permit = Permit::Wait;
                }
            }
        }
    }

    /// Returns true while the upstream may still hold a unit.
    pub(super) fn upstream_holds(&self, now: Time, workspace: &Name, unit: UnitId) -> bool {
        let Some(service) = self.state.service(workspace).filter(|s| s.numeric) else {
            return false;
        };
        self.holding.way.may_hold(now, unit, &service.key_ranges(unit))
    }

    /// Returns true while the upstream may still hold anything.
    pub(super) fn holds_any(&self, now: Time) -> bool {
        self.holding.reports && self.holding.way.may_hold_any(now)
    }

    /// Returns true when a process that starts anew here takes this one's place at once.
    pub(super) fn resumable(&self) -> bool {
        self.holding.reports && self.announced.is_some() && self.attachment().is_some()
    }

    /// Joins anew in place of an identity whose lease is lost.
    ///
    /// Guards against a loss of half of all members: their former lessors are gone, and to wait
    /// for the proof of their end would leave keys without a server for many times the term.
    /// This identity serves and grants nothing any more; the next one's attachment replaces it.
    pub(super) fn start_over(&mut self) {
        if let Some(identity) = &mut self.identity {
            warn!(member = %identity.me, "identity is replaced by the next one of this process");
            identity.lessor.stop();
            identity.retiring = Some(Retiring::Lease);
        }
        self.end_identity();
    }
}
