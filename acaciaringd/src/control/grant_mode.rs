//! The two protocols by which an upstream is granted keys.

use std::ops::RangeInclusive;
use std::time::Duration;

use acaciaring_core::holds::{Holds, Incarnation, Incarnations, ReportOutcome};
use acaciaring_core::orders::Orders;
use acaciaring_core::{Name, Time, Token, UnitId};
use acaciaring_schema::settings::UpstreamGrants;

use crate::heartbeat::Heartbeat;

/// Keys that the upstream holds, tracked by the protocol that grants them.
#[derive(Debug)]
pub(super) enum GrantMode {
    /// Grants are sent in replies to heartbeats, which report the held keys.
    Heartbeat(Holds),
    /// Grants are sent by calls to the upstream; heartbeats report no keys.
    Call(Orders),
}

impl GrantMode {
    pub(super) fn new(now: Time, grants: UpstreamGrants, hold: Duration, beat: Duration) -> Self {
        match grants {
            UpstreamGrants::Heartbeat => Self::Heartbeat(Holds::new(now, hold).with_beat(beat)),
            UpstreamGrants::Call => Self::Call(Orders::new(now, hold).with_beat(beat)),
        }
    }

    /// Returns the incarnations of the upstream.
    pub(super) const fn incarnations(&self) -> &Incarnations {
        match self {
            Self::Heartbeat(holds) => holds.incarnations(),
            Self::Call(orders) => orders.incarnations(),
        }
    }

    /// Returns the incarnations of the upstream.
    pub(super) const fn incarnations_mut(&mut self) -> &mut Incarnations {
        match self {
            Self::Heartbeat(holds) => holds.incarnations_mut(),
            Self::Call(orders) => orders.incarnations_mut(),
        }
    }

    /// Returns the current incarnation of the upstream.
    pub(super) const fn incarnation(&self) -> Option<&Incarnation> {
        self.incarnations().current()
    }

    pub(super) fn report(&mut self, now: Time, heartbeat: &Heartbeat) -> ReportOutcome {
        let incarnation = heartbeat.announcement.incarnation();
        let sequence = heartbeat.sequence;
        match self {
            Self::Heartbeat(holds) => {
                let (held, freed) = (heartbeat.held.clone(), heartbeat.freed.clone());
                holds.report(now, &incarnation, sequence, held, freed)
            }
            Self::Call(orders) => orders.report(now, &incarnation, sequence),
        }
    }

    /// Returns true while the upstream accepts requests for a unit under a fencing token.
    pub(super) fn serves(
        &self,
        now: Time,
        unit: UnitId,
        token: Token,
        keys: impl FnOnce() -> Vec<RangeInclusive<u32>>,
    ) -> bool {
        match self {
            Self::Heartbeat(holds) => holds.serves(now, unit, token),
            Self::Call(orders) => orders.serves(now, &keys(), token),
        }
    }

    /// Returns true while the upstream may hold keys of a unit.
    pub(super) fn may_hold(&self, now: Time, unit: UnitId, keys: &[RangeInclusive<u32>]) -> bool {
        match self {
            Self::Heartbeat(holds) => holds.may_hold(now, unit, keys),
            Self::Call(orders) => orders.may_hold(now, keys),
        }
    }

    /// Returns true while the upstream may hold anything.
    pub(super) fn may_hold_any(&self, now: Time) -> bool {
        match self {
            Self::Heartbeat(holds) => holds.may_hold_any(now),
            Self::Call(orders) => orders.may_hold_any(now),
        }
    }

    /// Records that the upstream has refused a request for a unit granted to it.
    pub(super) fn mark_refused(&mut self, unit: UnitId, keys: &[RangeInclusive<u32>]) {
        match self {
            Self::Heartbeat(holds) => holds.mark_refused(unit),
            Self::Call(orders) => orders.mark_refused(keys),
        }
    }

    /// Returns the handover data that the upstream returned when it released keys, empty if none.
    pub(super) fn handover(&self, keys: &[RangeInclusive<u32>]) -> Name {
        match self {
            Self::Heartbeat(holds) => holds.handover(keys),
            Self::Call(orders) => orders.handover(keys),
        }
    }
}
