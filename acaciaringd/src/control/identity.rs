//! One identity of this process: from its `Join` record to its end.

use std::collections::HashSet;

use acaciaring_core::lease::{Holder, LeaseSettings, Lessor, Tally};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::{Assignment, State};
use acaciaring_core::{MemberId, Name, Time, UnitId};

/// What belongs to one member identity and is never carried over to the next.
pub(crate) struct Identity {
    pub(crate) me: MemberId,
    pub(crate) holder: Holder,
    pub(crate) lessor: Lessor,
    pub(crate) tally: Tally,
    pub(crate) rights: Rights,
    /// Why this identity is on its way out, if it is.
    pub(crate) retiring: Option<EndReason>,
    /// Since when it is on its way out.
    pub(crate) retiring_since: Time,
    /// True while the lease was held when it was last looked at.
    pub(crate) was_leased: bool,
}

/// Why a member gives up its identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The process was told to stop.
    Stop,
    /// The upstream is leaving or lost.
    Upstream,
    /// The lease has been lost for too long, or for good.
    Lease,
}

impl Identity {
    /// Makes an identity whose `Join` was first sent at `start`.
    pub(crate) fn new(me: MemberId, start: Time, settings: LeaseSettings) -> Self {
        Self {
            me,
            holder: Holder::new(me, start, settings),
            lessor: Lessor::new(me, settings),
            tally: Tally::new(settings),
            rights: Rights::new(),
            retiring: None,
            retiring_since: start,
            was_leased: false,
        }
    }

    /// Returns the members that may serve, those whose lease is over for good left out.
    ///
    /// To be asked once for all units: each answer counts votes.
    pub(crate) fn live(&self, now: Time, state: &State) -> HashSet<MemberId> {
        let live = state.members().filter(|member| !self.tally.expired(now, member));
        live.map(|member| member.id).collect()
    }

    /// Decides whether this member may serve a unit; `live` is what [`Identity::live`] returns.
    pub(crate) fn right(
        &mut self,
        now: Time,
        live: &HashSet<MemberId>,
        workspace: &Name,
        unit: UnitId,
        assignment: &Assignment,
    ) -> Right {
        // A member that the state does not remember has been dead for long.
        let expired = |id| !live.contains(&id);
        self.rights.decide(now, &self.holder, workspace, unit, assignment, expired)
    }

    /// Returns true while this identity renews its lease.
    ///
    /// One that is given up for its lost lease must not get it back: its `Exit` lets the standbys
    /// serve as soon as they read it.
    pub(crate) fn renews(&self) -> bool {
        self.retiring != Some(EndReason::Lease)
    }

    /// Begins the end of this identity; a stop of the process replaces other reasons but a lost lease.
    ///
    /// Returns true when the end had not begun before.
    pub(crate) fn retire(&mut self, now: Time, reason: EndReason) -> bool {
        let begins = self.retiring.is_none();
        match self.retiring {
            None => {
                self.retiring = Some(reason);
                self.retiring_since = now;
            }
            Some(EndReason::Upstream) if reason == EndReason::Stop => self.retiring = Some(reason),
            Some(_) => {}
        }
        begins
    }
}
