//! Units that this entry found without a server.

use std::collections::HashMap;
use std::sync::Arc;

use acaciaring_core::{Name, Time, UnitId};
use parking_lot::Mutex;

/// Most units that are remembered; further ones are not measured.
const MAX_UNITS: usize = 4096;

/// When units were first found without a server.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    since: Mutex<HashMap<(Name, UnitId), Time>>,
}

impl Outages {
    /// Notes that a unit has no server.
    pub(crate) fn begin(&self, now: Time, workspace: &Name, unit: UnitId) {
        let mut since = self.since.lock();
        if since.len() < MAX_UNITS {
            since.entry((Arc::clone(workspace), unit)).or_insert(now);
        }
    }

    /// Notes that a unit has a server; returns for how long it had none.
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
