//! Evacuation of this member's data centre: its upstream leaves until operators take it back.
//!
//! The member stays an entry for callers. Its units move like those of an upstream that is leaving,
//! with its consent, so that no key has two holders.

use acaciaring_core::Time;
use acaciaring_core::evacuation::Evacuations;
use tracing::info;

use super::Control;

impl Control {
    /// Handles a change of the known evacuations.
    pub(super) fn on_evacuations(&mut self, now: Time, evacuations: Evacuations) {
        let before = self.evacuated();
        self.evacuations = evacuations;
        self.dirty = true;
        self.pass_on(now, Vec::new());
        let centre = &self.context.location.data_centre;
        match (before, self.evacuated()) {
            (false, true) => {
                info!(
                    centre,
                    "this data centre is evacuated, moving the upstream's units to others"
                );
                self.upstream.evacuate(now);
                self.announced = None;
                self.detach(now);
            }
            (true, false) => {
                info!(centre, "the evacuation of this data centre has ended");
                self.upstream.end_evacuation();
            }
            _ => {}
        }
    }

    /// Returns true while the upstreams of this member's data centre are to get no requests.
    pub(super) fn evacuated(&self) -> bool {
        self.evacuations.contains(&self.context.location.data_centre)
    }

    /// Returns true once this member knows whether its data centre is evacuated.
    ///
    /// Guards against a process that starts during an evacuation and attaches its upstream first.
    pub(super) fn knows_evacuations(&self) -> bool {
        !self.context.shared.declares || self.evacuations.version() > 0
    }
}
