//! Replication of deduplication state to standbys, for requests that may run at most once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::{MemberId, Name, Time, UnitId};
use acaciaring_schema::peer::{Sync, call, reply};
use tracing::debug;

use super::{Control, Event};
use crate::clock;
use crate::view::{Permit, Synced};
use crate::wire;

/// Time after which an unacknowledged sync is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Replication to the standbys of this member's units.
#[derive(Debug, Default)]
pub(super) struct Replication {
    /// Standby that has acknowledged the sync of each unit.
    pub(super) synced: Synced,
    /// When the sync of each unacknowledged unit was last sent.
    pub(super) sent: HashMap<(Name, UnitId), Time>,
}

impl Control {
    /// Sends the deduplication state of units to each standby that has not acknowledged it.
    ///
    /// Until then the gate refuses requests that may run at most once: after a takeover the standby
    /// would not recognise earlier ones.
    pub(super) fn replicate(&mut self, now: Time) {
        let mut batches: HashMap<(Name, MemberId), Vec<UnitId>> = HashMap::new();
        for (workspace, unit, standby) in self.unsynced() {
            let unit_key = (Arc::clone(&workspace), unit);
            if self
                .replication
                .sent
                .get(&unit_key)
                .is_some_and(|sent| now.since(*sent) < RESEND_INTERVAL)
            {
                continue;
            }
            self.replication.sent.insert(unit_key, now);
            batches.entry((workspace, standby)).or_default().push(unit);
        }
        for ((workspace, standby), units) in batches {
            self.send_sync(&workspace, standby, units);
        }
    }

    /// Returns the units served here whose standby has not acknowledged a sync.
    fn unsynced(&self) -> Vec<(Name, UnitId, MemberId)> {
        if self.context.shared.declares {
            // Requests of declared routes are never repeated under the same id.
            return Vec::new();
        }
        let mut found = Vec::new();
        let view = self.context.shared.view();
        for (workspace, units) in view.permits.iter() {
            for (unit, permit) in units {
                let standby =
                    view.assignment(workspace, *unit).and_then(|assignment| assignment.standby);
                let unit_key = (Arc::clone(workspace), *unit);
                let Some(standby) = standby.filter(|standby| Some(*standby) != view.me) else {
                    continue;
                };
                if matches!(permit, Permit::Serve { .. })
                    && self.replication.synced.get(&unit_key) != Some(&standby)
                {
                    found.push((Arc::clone(workspace), *unit, standby));
                }
            }
        }
        found
    }

    fn send_sync(&self, workspace: &Name, standby: MemberId, units: Vec<UnitId>) {
        let Some(identity) = &self.identity else { return };
        let Some(address) = self.address(standby) else { return };
        debug!(%workspace, %standby, units = units.len(), "sending a sync to the standby");
        let (dedup, blind) = self.context.gate.dedup.export(clock::now(), workspace, &units);
        let sync = Sync {
            member: identity.me.0,
            workspace: workspace.to_string(),
            units: units.iter().map(|unit| wire::unit(*unit, 0)).collect(),
            dedup,
            blind: wire::millis(blind),
        };
        let events = self.context.events.clone();
        let workspace = Arc::clone(workspace);
        let done = move |reply: Option<reply::Body>| {
            if wire::accepted(reply.as_ref()) {
                // The control thread may have ended.
                let _ = events.send(Event::SyncDone { workspace, units, standby: standby.0 });
            }
        };
        self.context.outbox.call(
            address,
            call::Body::Sync(sync),
            wire::CALL_TIMEOUT,
            Box::new(done),
        );
    }

    /// Records that a standby has acknowledged the sync of units.
    pub(super) fn on_sync_done(&mut self, workspace: &Name, units: &[UnitId], standby: MemberId) {
        for unit in units {
            let unit_key = (Arc::clone(workspace), *unit);
            self.replication.sent.remove(&unit_key);
            self.replication.synced.insert(unit_key, standby);
        }
        self.dirty = true;
    }

    /// Removes syncs of units that this member no longer owns, or whose standby has changed.
    ///
    /// A unit that returns is synced again: its standby may have missed requests that ran under
    /// another owner.
    pub(super) fn prune_synced(&mut self) {
        let me = self.identity.as_ref().map(|identity| identity.me);
        let state = Arc::clone(&self.state);
        self.replication.synced.retain(|(workspace, unit), standby| {
            let assignment = state.service(workspace).and_then(|service| service.assignment(*unit));
            assignment.is_some_and(|a| a.owner == me && a.standby == Some(*standby))
        });
    }
}
