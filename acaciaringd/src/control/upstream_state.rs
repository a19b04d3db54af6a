//! Grants to the local upstream, and heartbeats that report the keys that it holds.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::holds::{Granted, Incarnation, ReportOutcome, Room, Wanted};
use acaciaring_core::rights::Right;
use acaciaring_core::state::{Attachment, Member, Service, State};
use acaciaring_core::{Name, Time, UnitId};
use acaciaring_schema::settings::Upstream;
use tokio::sync::oneshot;
use tracing::{debug, info, warn};

use super::Control;
use super::departure::{DepartureReply, RECORD_TIMEOUT};
use super::grant_mode::GrantMode;
use super::identity::EndReason;
use super::proposal::Purpose;
use crate::announce::Phase;
use crate::heartbeat::{Heartbeat, HeartbeatReply};
use crate::view::{Permit, Permits};

/// Time for which a leaving upstream still gets requests while its units move to others.
///
/// It must get no new requests two seconds after it reports that it is leaving; the rest is margin
/// for requests on their way to it.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

/// Longest delay of the reply to a heartbeat while a move is pending.
///
/// Longer than a move usually takes, and well below the reply timeout of the upstream: a move is
/// recorded within milliseconds, and the upstream that releases reports again within 100 ms.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay of a new view after an answered order while other orders are in flight.
///
/// Guards against a view that is computed anew for each of many answers, which delays the orders
/// that follow: a view takes much longer than a decision on orders.
const MAX_VIEW_DELAY: Duration = Duration::from_millis(20);

/// Grants and heartbeats of the local upstream.
#[derive(Debug)]
pub(super) struct UpstreamState {
    pub(super) mode: GrantMode,
    /// True once the upstream has sent a heartbeat.
    pub(super) has_reported: bool,
    /// Since when the upstream is leaving.
    leaving: Option<Time>,
    evacuation: Option<Evacuation>,
    /// Heartbeat whose reply waits for a move.
    delayed: Option<DelayedReply>,
    /// Next timed change, as of the last check.
    expected_change: Option<Time>,
    /// Since when an answer to an order has made the view out of date.
    answered: Option<Time>,
}

/// Evacuation of the upstream's data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evacuation {
    /// In force since this time.
    Since(Time),
    /// Taken back; the next heartbeat may have been sent before that.
    ///
    /// Guards against an upstream that has turned cold during the evacuation, and whose last
    /// heartbeat under way says that it is warm.
    Ended,
}

/// Heartbeat whose reply is delayed until it reflects a pending move.
///
/// A moving unit has no server from the reply that leaves it out until the reply that grants it to
/// the next upstream, so a reply that just misses a move prolongs this by a heartbeat
/// interval.
#[derive(Debug)]
struct DelayedReply {
    reply: oneshot::Sender<HeartbeatReply>,
    room: Room,
    since: Time,
    until: Time,
    /// Departure that the reply acknowledges.
    departure: Option<Incarnation>,
}

impl DelayedReply {
    fn next_change(&self) -> Time {
        match self.departure {
            Some(_) => self.until.max(self.since + RECORD_TIMEOUT),
            None => self.until,
        }
    }
}

impl UpstreamState {
    pub(super) fn new(now: Time, settings: &Upstream) -> Self {
        Self {
            mode: GrantMode::new(now, settings.grants, settings.hold, settings.beat),
            has_reported: false,
            leaving: None,
            evacuation: None,
            delayed: None,
            expected_change: None,
            answered: None,
        }
    }

    /// Records that an answer to an order has made the view out of date.
    pub(super) fn order_answered(&mut self, now: Time) {
        self.answered.get_or_insert(now);
    }

    /// Returns true once answers to orders call for a new view; they are reported once.
    pub(super) fn takes_answers(&mut self, now: Time) -> bool {
        let in_flight = matches!(&self.mode, GrantMode::Call(orders) if orders.in_flight());
        let due = self.answered.is_some_and(|since| !in_flight || now >= since + MAX_VIEW_DELAY);
        if due {
            self.answered = None;
        }
        due
    }

    /// Begins the evacuation of the upstream's data centre.
    pub(super) fn evacuate(&mut self, now: Time) {
        self.evacuation = Some(Evacuation::Since(now));
    }

    /// Ends the evacuation of the upstream's data centre.
    pub(super) fn end_evacuation(&mut self) {
        self.evacuation = Some(Evacuation::Ended);
    }

    /// Returns true if an announcement that arrives now must not attach the upstream.
    pub(super) fn ignores_announcement(&mut self) -> bool {
        let ignores = self.evacuation.is_some();
        self.evacuation.take_if(|evacuation| *evacuation == Evacuation::Ended);
        ignores
    }

    /// Returns since when the upstream is to get no more requests after a grace.
    fn leaving_since(&self) -> Option<Time> {
        let evacuated = self.evacuation.and_then(|evacuation| match evacuation {
            Evacuation::Since(since) => Some(since),
            Evacuation::Ended => None,
        });
        [self.leaving, evacuated].into_iter().flatten().min()
    }

    /// Returns true once a leaving upstream must get no more requests.
    pub(super) fn closed(&self, now: Time) -> bool {
        self.leaving_since().is_some_and(|since| now >= since + LEAVING_GRACE)
    }

    /// Returns the time of the next timed change.
    pub(super) fn next_change(&self, now: Time) -> Option<Time> {
        let delayed = self.delayed.as_ref().map(DelayedReply::next_change);
        let effect = match &self.mode {
            GrantMode::Heartbeat(holds) => holds.next_effect(now),
            GrantMode::Call(orders) => Some(orders.next_due()),
        };
        let view = self.answered.map(|since| since + MAX_VIEW_DELAY);
        [effect, self.closes_at(now), delayed, view].into_iter().flatten().min()
    }

    /// Returns when a leaving upstream must get no more requests, if that time has not passed.
    fn closes_at(&self, now: Time) -> Option<Time> {
        self.leaving_since().map(|since| since + LEAVING_GRACE).filter(|close| now < *close)
    }

    /// Returns true if a timed change has happened since the last check.
    pub(super) fn is_stale(&mut self, now: Time) -> bool {
        let next = match &self.mode {
            GrantMode::Call(orders) if orders.has_expired(now) => return true,
            // Answers to orders mark the view as out of date themselves.
            GrantMode::Call(_) => self.closes_at(now),
            GrantMode::Heartbeat(_) => self.next_change(now),
        };
        let stale = self.has_reported && next != self.expected_change;
        self.expected_change = next;
        stale
    }
}

impl Control {
    /// Handles a heartbeat of the upstream; the reply grants the units that it is to hold.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<HeartbeatReply>,
    ) {
        let report = self.upstream.mode.report(now, &heartbeat);
        let Heartbeat { announcement, sequence, room, .. } = heartbeat;
        let incarnation = announcement.incarnation();
        let leaves = announcement.phase == Phase::Draining;
        if leaves {
            self.depart(now, incarnation.clone());
        }
        if report == ReportOutcome::Stale {
            info!(%incarnation, sequence, leaves, "ignoring an outdated heartbeat of the upstream");
            if leaves {
                let stale = DepartureReply::Heartbeat(reply);
                self.acknowledge_departure(now, &incarnation, stale);
            } else {
                // The sender may have disconnected.
                let _ = reply.send(HeartbeatReply::default());
            }
            return;
        }
        if report == ReportOutcome::NewIncarnation {
            info!(%incarnation, "the upstream has restarted");
            self.upstream.leaving = None;
        } else if !self.upstream.has_reported {
            info!(%incarnation, sequence, leaves, "first heartbeat of the upstream");
        }
        self.upstream.has_reported = true;
        if self.attached_to_earlier(&incarnation.instance) {
            self.announced = None;
            self.endpoint = None;
            self.detach(now);
        } else if self.upstream.mode.incarnations().is_leaving() {
            self.upstream_leaves(now);
        } else {
            self.on_announcement(now, announcement);
        }
        self.dirty = true;
        self.plan_when_due(now);
        // Only one reply is delayed at a time: one that still has to wait is dropped here, and its
        // sender sends a new heartbeat.
        self.answer_heartbeat(now);
        let departure = leaves.then_some(incarnation);
        let until = now + MAX_REPLY_DELAY;
        self.upstream.delayed = Some(DelayedReply { reply, room, since: now, until, departure });
        self.answer_heartbeat(now);
    }

    /// Sends the delayed reply, once no pending move is about to change it.
    pub(super) fn answer_heartbeat(&mut self, now: Time) {
        let Some(delayed) = &self.upstream.delayed else { return };
        if let Some(incarnation) = &delayed.departure
            && !self.is_recorded(incarnation)
        {
            if now.since(delayed.since) >= RECORD_TIMEOUT {
                warn!(%incarnation, "departure is not recorded in time, not acknowledging it");
                self.upstream.delayed = None;
            }
            return;
        }
        if now < delayed.until && self.move_pending() {
            return;
        }
        let Some(DelayedReply { reply, room, .. }) = self.upstream.delayed.take() else {
            return;
        };
        let answer = HeartbeatReply { grants: self.grants(now, room) };
        debug!(ranges = answer.grants.as_ref().map(|(rows, _)| rows.len()), "heartbeat answered");
        // The sender may have disconnected.
        let _ = reply.send(answer);
        self.dirty = true;
    }

    /// Returns true while a pending move to or from this member will change the reply.
    ///
    /// Replies to an upstream that is managed by calls carry no grants.
    fn move_pending(&self) -> bool {
        if matches!(self.upstream.mode, GrantMode::Call(_)) {
            return false;
        }
        let Some(identity) = &self.identity else { return false };
        let me = Some(identity.me);
        let Some(Attachment { workspace, .. }) = self.attachment() else { return false };
        if self.proposals.pending(&Purpose::Switchover(Arc::clone(workspace))) {
            return true;
        }
        let Some(service) = self.state.service(workspace) else { return false };
        // A dead former owner releases nothing.
        let alive = |id| self.state.member(id).is_some_and(Member::alive);
        service.units().any(|(unit, assignment)| {
            let prior = assignment.prior.filter(|prior| Some(*prior) != me && alive(*prior));
            assignment.owner == me && prior.is_some() && !identity.rights.serving(workspace, unit)
        })
    }

    pub(super) fn upstream_leaves(&mut self, now: Time) {
        if self.upstream.leaving.is_none() {
            info!("the upstream is leaving, moving its units to other members");
            self.upstream.leaving = Some(now);
        }
        self.announced = None;
        self.detach(now);
    }

    /// Returns true while this identity is attached to an earlier instance of the upstream.
    fn attached_to_earlier(&self, instance: &Name) -> bool {
        self.attachment().is_some_and(|attachment| attachment.instance != *instance)
    }

    /// Returns the grants of a reply and their duration, `None` when the reply can grant nothing.
    fn grants(&mut self, now: Time, room: Room) -> Option<(Vec<Granted>, Duration)> {
        if matches!(self.upstream.mode, GrantMode::Call(_)) {
            return None;
        }
        let attachment = self.attachment()?;
        if !self.is_attached_upstream(attachment) {
            return None;
        }
        let workspace = Arc::clone(&attachment.workspace);
        let state = Arc::clone(&self.state);
        let lease = self.context.shared.lease.get();
        let wanted = self.grantable_units(now, &state, state.service(&workspace)?);
        match &mut self.upstream.mode {
            GrantMode::Heartbeat(holds) => holds.grant(now, lease, &wanted, room),
            GrantMode::Call(_) => None,
        }
    }

    /// Returns true when the running instance of the upstream is the attached one.
    pub(super) fn is_attached_upstream(&self, attachment: &Attachment) -> bool {
        let present = self.upstream.mode.incarnation();
        present.is_some_and(|present| present.instance == attachment.instance)
    }

    /// Returns the units that may be granted to the upstream now.
    fn grantable_units(&mut self, now: Time, state: &State, service: &Service) -> Vec<Wanted> {
        let Some(identity) = &self.identity else { return Vec::new() };
        let me = Some(identity.me);
        let live = identity.live(now, state);
        let mut wanted = Vec::new();
        for (unit, assignment) in service.units() {
            let ends = self.closing(assignment) || self.abandoned(assignment);
            if (assignment.owner != me && assignment.standby != me) || ends {
                continue;
            }
            let Some(identity) = &mut self.identity else { break };
            let right = identity.right(now, &live, &service.workspace, unit, assignment);
            let Right::Serve { token, .. } = right else { continue };
            let mut handover = None;
            if !self.upstream.mode.serves(now, unit, token, || service.key_ranges(unit)) {
                debug!(%unit, token = token.0, ?assignment, "granting a unit to the upstream");
                let unit_key = (Arc::clone(&service.workspace), unit);
                handover = self.roles.handovers.get(&unit_key).map(Arc::clone);
            }
            let handover = handover.unwrap_or_else(|| Name::from(""));
            wanted.push(Wanted { unit, token, keys: service.key_ranges(unit), handover });
        }
        wanted
    }

    /// Downgrades permits to `Wait` while the upstream does not hold the units yet.
    pub(super) fn withhold_permits(&self, now: Time, permits: &mut Permits) {
        if !self.upstream.has_reported {
            return;
        }
        for (workspace, units) in permits.iter_mut() {
            let service = self.state.service(workspace);
            let keys = |unit| service.map(|service| service.key_ranges(unit)).unwrap_or_default();
            for (unit, permit) in units.iter_mut() {
                if let Permit::Serve { token, .. } = *permit
                    && !self.upstream.mode.serves(now, *unit, token, || keys(*unit))
                {
                    *permit = Permit::Wait;
                }
            }
        }
    }

    /// Returns true while the upstream may hold keys of a unit.
    pub(super) fn upstream_holds(&self, now: Time, workspace: &Name, unit: UnitId) -> bool {
        let Some(service) = self.state.service(workspace).filter(|s| s.numeric) else {
            return false;
        };
        self.upstream.mode.may_hold(now, unit, &service.key_ranges(unit))
    }

    /// Returns true while the upstream may hold any keys.
    pub(super) fn holds_any(&self, now: Time) -> bool {
        self.upstream.has_reported && self.upstream.mode.may_hold_any(now)
    }

    /// Returns true when a restarted process can take over the upstream without a move of units.
    pub(super) fn resumable(&self) -> bool {
        self.upstream.has_reported && self.announced.is_some() && self.attachment().is_some()
    }

    /// Ends an identity whose lease is lost, so that this process joins again at once.
    ///
    /// Guards against keys without server after the loss of many members at once: proofs of expiry
    /// take long when lessors are gone. The old identity no longer serves or grants anything, and
    /// the attachment of the next one replaces it.
    pub(super) fn replace_identity(&mut self) {
        if let Some(identity) = &mut self.identity {
            warn!(member = %identity.me, "lease is lost, replacing this identity with a new one");
            identity.lessor.stop();
            identity.retiring = Some(EndReason::Lease);
        }
        self.end_identity();
    }
}

#[cfg(test)]
mod tests;
