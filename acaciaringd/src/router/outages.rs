//! Units for which this process found no server.

use std::collections::HashMap;
use std::sync::Arc;

use acaciaring_core::{Name, Time, UnitId};
use parking_lot::Mutex;

/// Largest number of outages that are measured at a time.
const MAX_UNITS: usize = 4096;

/// Start times of the outages of units.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    since: Mutex<HashMap<(Name, UnitId), Time>>,
}

impl Outages {
    /// Records that a unit has no server.
    pub(crate) fn begin(&self, now: Time, workspace: &Name, unit: UnitId) {
        let mut since = self.since.lock();
        if since.len() < MAX_UNITS {
            since.entry((Arc::clone(workspace), unit)).or_insert(now);
        }
    }

    /// Records that a unit has a server; returns the length of its outage, if it had one.
    pub(crate) fn end(
        &self,
        now: Time,
        workspace: &Name,
        unit: UnitId,
    ) -> Option<std::time::Duration> {
        let mut since = self.since.lock();
        if since.is_empty() {
            return None;
        }
        let start = since.remove(&(Arc::clone(workspace), unit))?;
        Some(now.since(start))
    }
}
