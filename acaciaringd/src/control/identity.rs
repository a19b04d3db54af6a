//! State of one member identity of this process, from its `Join` record to its end.

use std::collections::HashSet;

use acaciaring_core::lease::{Holder, LeaseSettings, Lessor, Tally};
use acaciaring_core::rights::{Right, Rights};
use acaciaring_core::state::{Assignment, State};
use acaciaring_core::{MemberId, Name, Time, UnitId};

/// State of one member identity; none of it is carried over to the next one.
pub(crate) struct Identity {
    pub(crate) me: MemberId,
    pub(crate) holder: Holder,
    pub(crate) lessor: Lessor,
    pub(crate) tally: Tally,
    pub(crate) rights: Rights,
    /// Why this identity is retiring, if it is.
    pub(crate) retiring: Option<EndReason>,
    /// When it began to retire.
    pub(crate) retiring_since: Time,
    /// True if the lease was held at the last check.
    pub(crate) was_leased: bool,
}

/// Why a member retires its identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// A stop of the process was requested.
    Stop,
    /// The upstream is leaving or does not answer.
    Upstream,
    /// The lease has been lost for too long, or cannot be regained.
    Lease,
}

impl Identity {
    /// Creates an identity whose `Join` was first submitted at `start`.
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

    /// Returns the members whose lease is not proved expired.
    ///
    /// Counts the votes on every member, so call it once for all units.
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
        // A member that the state no longer contains is dead.
        let expired = |id| !live.contains(&id);
        self.rights.decide(now, &self.holder, workspace, unit, assignment, expired)
    }

    /// Returns true while this identity renews its lease.
    ///
    /// An identity that ends because of a lost lease must not regain it: standbys serve as soon as
    /// they read its `Exit`.
    pub(crate) fn renews(&self) -> bool {
        self.retiring != Some(EndReason::Lease)
    }

    /// Begins to retire; a stop of the process overrides `Upstream`, but not `Lease`.
    ///
    /// Returns true if the identity was not yet retiring.
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
