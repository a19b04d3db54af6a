//! Who may serve a unit now.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use crate::id::{MemberId, Name, Offset, Slot, Token, UnitId};
use crate::lease::{Holder, Tally};
use crate::state::{Assignment, State};
use crate::time::Time;

/// Unit of a workspace.
///
/// The unit stands first, so that a look-up compares numbers and at most one name: with thousands
/// of units a member computes its rights several times a second.
type Key = (UnitId, Name);

/// Whether this process may serve a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Right {
    /// Requests may run.
    Serve {
        /// Fencing token.
        token: Token,
        /// End of the lease.
        until: Time,
        /// Version of the assignment.
        version: Offset,
    },
    /// This process is the owner, or the standby of a lost one, and may serve soon.
    Wait,
    /// Another process is to serve.
    Elsewhere {
        /// Owner by the folded state.
        owner: Option<MemberId>,
        /// Standby by the folded state.
        standby: Option<MemberId>,
    },
}

/// Owner and standby between whom a release is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Roles {
    token: Offset,
    standby: Option<MemberId>,
}

impl Roles {
    fn of(assignment: &Assignment) -> Self {
        Self { token: assignment.token, standby: assignment.standby }
    }
}

/// Releases given and received, and roles given away, by one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Rights {
    /// Units that this process serves since its first right, until it releases them.
    served: BTreeSet<Key>,
    /// Roles under which this process, as the owner, has released a unit to the standby.
    given: BTreeMap<Key, Roles>,
    /// Who has released a unit to this process, and under which version.
    received: BTreeMap<(Key, MemberId), Offset>,
    /// Version under which this process has given its standby role away.
    renounced: BTreeMap<Key, Offset>,
    /// True from the proposal of a record by which this process leaves until that is rejected.
    leaving: bool,
    /// Slots for which a split or merge has been appended and is not settled.
    changing: BTreeSet<(Name, Slot)>,
}

impl Rights {
    /// Makes the rights of a process that has served nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that this process has released a unit for good; false when it must not yet.
    ///
    /// The former owner releases to the owner and the standby, the owner to the
    /// standby. The release states the version of `assignment`.
    ///
    /// Failure: the owner has appended a split or merge, the answer is lost,
    /// and it releases the unit. The record then gives the owner a unit that it
    /// has not released, while the standby serves the same keys under the
    /// release. So no release while such a record is not settled.
    pub fn release(&mut self, workspace: &Name, unit: UnitId, assignment: &Assignment) -> bool {
        if self.changing.contains(&(workspace.clone(), unit.slot)) {
            return false;
        }
        let key = (unit, workspace.clone());
        self.served.remove(&key);
        self.given.insert(key, Roles::of(assignment));
        true
    }

    /// Returns true when this process, the owner, has released the unit to the present standby.
    ///
    /// When the version changes meanwhile, for example because a former owner is
    /// evicted, the release is to be sent again under the new version.
    #[must_use]
    pub fn gave(&self, workspace: &Name, unit: UnitId, assignment: &Assignment) -> bool {
        self.given.get(&(unit, workspace.clone())) == Some(&Roles::of(assignment))
    }

    /// Notes that `from` has released a unit to this process.
    pub fn released(&mut self, from: MemberId, workspace: &Name, unit: UnitId, version: Offset) {
        raise(&mut self.received, ((unit, workspace.clone()), from), version);
    }

    /// Notes that this process is about to append a record that gives its standby role away.
    pub fn renounce(&mut self, workspace: &Name, unit: UnitId, version: Offset) {
        let key = (unit, workspace.clone());
        self.served.remove(&key);
        raise(&mut self.renounced, key, version);
    }

    /// Takes a renunciation back; to be called only when its record is rejected for sure.
    pub fn restore(&mut self, workspace: &Name, unit: UnitId, version: Offset) {
        let key = (unit, workspace.clone());
        if self.renounced.get(&key) == Some(&version) {
            self.renounced.remove(&key);
        }
    }

    /// Notes that this process is about to append a record by which it leaves.
    ///
    /// From then on it takes over nothing as a standby, whatever the version. Failure: it renounces its
    /// roles under the versions that it knows, the eviction of an owner raises one of these, and it
    /// takes over from an owner that has released to it; the record then gives its role away, and
    /// that owner serves again, having nobody to whom it has released.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes that back; to be called only when the record is rejected for sure.
    pub fn stay(&mut self) {
        self.leaving = false;
    }

    /// Notes that a split or merge within a slot is about to be appended.
    pub fn change(&mut self, workspace: &Name, slot: Slot) {
        self.changing.insert((workspace.clone(), slot));
    }

    /// Notes that the splits and merges within a slot are read back or rejected for sure.
    pub fn settled(&mut self, workspace: &Name, slot: Slot) {
        self.changing.remove(&(workspace.clone(), slot));
    }

    /// Returns true when this process serves the unit and has not released it.
    ///
    /// A switchover, leave, split or merge may be proposed only for such units.
    /// Failure: a new owner that still waits for `prior` passes the unit on;
    /// the record then names the new owner as `prior`, and nobody waits for the
    /// old one, which may still serve.
    #[must_use]
    pub fn serving(&self, workspace: &Name, unit: UnitId) -> bool {
        self.served.contains(&(unit, workspace.clone()))
    }

    /// Notes that this process's own split is read back: it serves the hot key as it served the slot.
    ///
    /// To be called before [`Self::settled`]. Without it the key could not be
    /// served until the slot's former owner had released the key as well.
    pub fn inherit(&mut self, workspace: &Name, key: UnitId) {
        if self.serving(workspace, UnitId::slot(key.slot)) {
            self.served.insert((key, workspace.clone()));
        }
    }

    /// Forgets what concerns outdated versions and units that are not this process's.
    ///
    /// Of a workspace whose route is retired all is kept: its units keep their
    /// owners, and nobody releases anew when it is published again.
    pub fn prune(&mut self, me: MemberId, state: &State) {
        let retired = |key: &Key| state.service(&key.1).is_none();
        let find = |(unit, workspace): &Key| state.service(workspace)?.assignment(*unit);
        let mine = |a: &Assignment| a.owner == Some(me) || a.standby == Some(me);
        self.served.retain(|key| retired(key) || find(key).is_some_and(mine));
        self.given
            .retain(|key, roles| retired(key) || find(key).is_some_and(|a| *roles == Roles::of(a)));
        self.renounced.retain(|key, version| {
            retired(key) || find(key).is_some_and(|a| *version >= a.version)
        });
        self.received.retain(|(key, from), version| {
            // A unit that is not known yet may come with a record that is not folded.
            let unknown = *version >= state.next();
            retired(key) || find(key).map_or(unknown, |a| *version >= *counted(a, *from).start())
        });
    }

    /// Decides whether this process may serve a unit at `now`.
    pub fn right(
        &mut self,
        now: Time,
        state: &State,
        holder: &Holder,
        tally: &Tally,
        workspace: &Name,
        unit: UnitId,
    ) -> Right {
        let service = state.service(workspace);
        let Some(assignment) = service.and_then(|service| service.assignment(unit)) else {
            return Right::Elsewhere { owner: None, standby: None };
        };
        // A member that the state does not remember has been dead for long.
        let expired = |id| state.member(id).is_none_or(|member| tally.expired(now, member));
        self.decide(now, holder, workspace, unit, assignment, expired)
    }

    /// Decides on one assignment; `expired` tells whose lease is over for good.
    pub fn decide(
        &mut self,
        now: Time,
        holder: &Holder,
        workspace: &Name,
        unit: UnitId,
        assignment: &Assignment,
        expired: impl Fn(MemberId) -> bool,
    ) -> Right {
        let Assignment { owner, standby, version, token, .. } = *assignment;
        let key = (unit, workspace.clone());
        let me = holder.id();
        // A release holds as long as the standby and the owner are the same, not
        // only under one version. Failure: a third member's eviction changes the
        // version, and the owner serves again beside the standby that lags behind.
        let given = self.given.get(&key) == Some(&Roles::of(assignment));
        let (ready, token) = if owner == Some(me) && !given {
            (self.owner_ready(&key, me, assignment, &expired), Token::owner(token))
        } else if standby == Some(me) && self.standby_ready(&key, me, assignment, expired) {
            (true, Token::standby(version))
        } else {
            return Right::Elsewhere { owner, standby };
        };
        match holder.until() {
            Some(until) if ready && now < until => {
                self.served.insert(key);
                Right::Serve { token, until, version }
            }
            _ => Right::Wait,
        }
    }

    fn owner_ready(
        &self,
        key: &Key,
        me: MemberId,
        assignment: &Assignment,
        expired: impl Fn(MemberId) -> bool,
    ) -> bool {
        let free = |other| self.free_of(key, me, assignment, other, &expired);
        self.served.contains(key) || (free(assignment.prior) && free(assignment.prior_standby))
    }

    fn standby_ready(
        &self,
        key: &Key,
        me: MemberId,
        assignment: &Assignment,
        expired: impl Fn(MemberId) -> bool,
    ) -> bool {
        let version = assignment.version;
        let renounced = self.leaving || self.renounced.get(key).is_some_and(|v| *v >= version);
        // Once it has taken over, a standby goes on over changes of version: the
        // owner is lost or bound by its release while the standby is the same.
        // After a switchover back the standby itself is `prior` and must stop, and it is
        // `prior_standby` once the owner's next process is in the owner's place.
        let stops = [assignment.prior, assignment.prior_standby].contains(&Some(me));
        let goes_on = self.served.contains(key) && !stops;
        let free = |other| self.free_of(key, me, assignment, other, &expired);
        let former = free(assignment.prior) && free(assignment.prior_standby);
        let taken = free(assignment.owner) && former;
        !renounced && assignment.owner.is_some() && (goes_on || taken)
    }

    /// Returns true when `other` does not serve the unit and will not.
    fn free_of(
        &self,
        key: &Key,
        me: MemberId,
        assignment: &Assignment,
        other: Option<MemberId>,
        expired: impl Fn(MemberId) -> bool,
    ) -> bool {
        let Some(other) = other else { return true };
        let released = || {
            let version = self.received.get(&(key.clone(), other));
            version.is_some_and(|version| counted(assignment, other).contains(version))
        };
        other == me || released() || expired(other)
    }
}

/// Returns the versions under which a release by `from` counts.
///
/// An owner may serve again under a later version than the one it released, so
/// its release counts under the present version only. A former owner cannot
/// serve as such since the owner changed. A release under a version that is not
/// folded here may leave out keys that have been split from the unit.
fn counted(assignment: &Assignment, from: MemberId) -> RangeInclusive<Offset> {
    let Assignment { owner, version, token, .. } = *assignment;
    let first = if owner == Some(from) { version } else { token };
    first..=version
}

fn raise<K: Ord>(versions: &mut BTreeMap<K, Offset>, key: K, version: Offset) {
    let entry = versions.entry(key).or_insert(version);
    *entry = version.max(*entry);
}
