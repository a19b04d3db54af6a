//! Decision whether this process may serve a unit, by assignments, leases and releases.
//!
//! A new owner serves once every former one has released the unit or its lease has expired; a
//! standby takes over once the same is true of the owner.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use crate::id::{MemberId, Name, Offset, Slot, Token, UnitId};
use crate::lease::{Holder, Tally};
use crate::state::{Assignment, State};
use crate::time::Time;

/// Unit of a workspace; the unit comes first, so that a lookup compares few strings.
type Key = (UnitId, Name);

/// Permission of this process to serve a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Right {
    /// This process may run requests.
    Serve {
        /// Fencing token.
        token: Token,
        /// Expiry of this process's lease.
        until: Time,
        /// Version of the assignment.
        version: Offset,
    },
    /// This process is to serve, but has no lease or others may still serve the unit.
    Wait,
    /// The same, until members that missed the beginning of a generation of the log serve no more.
    Withheld,
    /// Another process is to serve, if any.
    Elsewhere {
        /// Owner by the folded state.
        owner: Option<MemberId>,
        /// Standby by the folded state.
        standby: Option<MemberId>,
    },
}

/// Owner and standby for which a release is valid.
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

/// Units served, releases sent and received, and roles renounced by one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Rights {
    /// Units that this process has begun to serve and has not released.
    served: BTreeSet<Key>,
    /// Roles under which this process, as owner, has released each unit to the standby.
    released: BTreeMap<Key, Roles>,
    /// Units whose release has lapsed because another member has become the standby, each with the
    /// token of the assignment and the version at which that was read.
    lapsed: BTreeMap<Key, (Offset, Offset)>,
    /// Releases received, by unit and sender, with the highest version released.
    received_releases: BTreeMap<(Key, MemberId), Offset>,
    /// Version under which this process has renounced its standby role for each unit.
    renounced: BTreeMap<Key, Offset>,
    /// True once a record by which this process leaves is about to be appended, unless rejected.
    leaving: bool,
    /// Offset below which tokens may be exceeded by those of records that the log has lost.
    floor: Offset,
    /// Units served when the floor rose: no other process can have served them since.
    kept: BTreeSet<Key>,
    /// True while members that missed the beginning of a generation of the log may still serve.
    withheld: bool,
    /// Slots with a split or merge that has been appended and whose outcome is unknown.
    changing: BTreeSet<(Name, Slot)>,
}

impl Rights {
    /// Creates the rights of a process that has served no unit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a generation of the log, by the offset of the record that began it.
    ///
    /// Units that this process serves keep their tokens, so that the upstream need not be granted
    /// them again. All others get a token above those of any record that the log has lost.
    pub fn begin_generation(&mut self, floor: Offset) {
        if floor > self.floor {
            self.floor = floor;
            self.kept = self.served.clone();
        }
    }

    /// Sets whether this process begins to serve nothing but what it is released.
    ///
    /// Guards against two upstreams that hold one unit after the log has lost the record that
    /// assigned it to another member, which learns of that late. Returns true if it has changed.
    pub fn withhold(&mut self, withheld: bool) -> bool {
        std::mem::replace(&mut self.withheld, withheld) != withheld
    }

    /// Records that this process releases a unit permanently; returns false while it must not.
    ///
    /// A former owner releases to the owner and the standby, the owner to the standby, each with
    /// the version of `assignment`. Nothing is released while a split or merge within the slot is
    /// pending: its record could give the owner a unit that it has not released, while the standby
    /// serves the same keys by the release.
    pub fn release(&mut self, workspace: &Name, unit: UnitId, assignment: &Assignment) -> bool {
        if self.changing.contains(&(workspace.clone(), unit.slot)) {
            return false;
        }
        let key = (unit, workspace.clone());
        self.served.remove(&key);
        self.kept.remove(&key);
        self.released.insert(key, Roles::of(assignment));
        true
    }

    /// Returns true when this process, as owner, has released the unit to the current standby.
    ///
    /// When the version changes, for example because a former owner is evicted, the release must be
    /// resent under the new version.
    #[must_use]
    pub fn has_released(&self, workspace: &Name, unit: UnitId, assignment: &Assignment) -> bool {
        self.released.get(&(unit, workspace.clone())) == Some(&Roles::of(assignment))
    }

    /// Records a release of a unit by `from` to this process.
    pub fn record_release(
        &mut self,
        from: MemberId,
        workspace: &Name,
        unit: UnitId,
        version: Offset,
    ) {
        record_max(&mut self.received_releases, ((unit, workspace.clone()), from), version);
    }

    /// Renounces the standby role; must be called before the record that gives it away is appended.
    pub fn renounce(&mut self, workspace: &Name, unit: UnitId, version: Offset) {
        let key = (unit, workspace.clone());
        self.served.remove(&key);
        self.kept.remove(&key);
        record_max(&mut self.renounced, key, version);
    }

    /// Reverts [`Self::renounce`]; may be called only when its record is known to be rejected.
    pub fn cancel_renounce(&mut self, workspace: &Name, unit: UnitId, version: Offset) {
        let key = (unit, workspace.clone());
        if self.renounced.get(&key) == Some(&version) {
            self.renounced.remove(&key);
        }
    }

    /// Stops takeovers as a standby; must be called before the leave record is appended.
    ///
    /// [`Self::renounce`] alone only covers known versions. If an eviction raised a version, this
    /// process could take over from an owner that has released to it. The leave record then removes
    /// the standby, the release lapses with that role, and the owner serves again beside this
    /// process.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Reverts [`Self::leave`]; may be called only when the record is known to be rejected.
    pub fn cancel_leave(&mut self) {
        self.leaving = false;
    }

    /// Marks a slot before a split or merge within it is appended.
    pub fn begin_change(&mut self, workspace: &Name, slot: Slot) {
        self.changing.insert((workspace.clone(), slot));
    }

    /// Unmarks a slot once its splits and merges are read from the log or known to be rejected.
    pub fn end_change(&mut self, workspace: &Name, slot: Slot) {
        self.changing.remove(&(workspace.clone(), slot));
    }

    /// Returns true when this process serves the unit and has not released it.
    ///
    /// A switchover, leave, split or merge may be proposed only for such units. If a new owner that
    /// still waits for `prior` passed the unit on, it would become `prior` itself, and no one would
    /// wait for the former owner, which may still serve.
    #[must_use]
    pub fn serving(&self, workspace: &Name, unit: UnitId) -> bool {
        self.served.contains(&(unit, workspace.clone()))
    }

    /// Marks a hot key as served after this process's own split, if it serves the slot.
    ///
    /// Must be called when the split is read from the log, before [`Self::end_change`]. Otherwise
    /// the key could not be served until the slot's former owner had released it too.
    pub fn inherit(&mut self, workspace: &Name, key: UnitId) {
        if self.serving(workspace, UnitId::slot(key.slot)) {
            self.served.insert((key, workspace.clone()));
        }
    }

    /// Removes entries of outdated versions and of units not assigned to this process.
    ///
    /// Keeps all entries of a workspace whose route is retired: its units keep their owners, and no
    /// one releases them again when the route is published again.
    pub fn prune(&mut self, me: MemberId, state: &State) {
        let retired = |key: &Key| state.service(&key.1).is_none();
        let find = |(unit, workspace): &Key| state.service(workspace)?.assignment(*unit);
        let mine = |a: &Assignment| a.owner == Some(me) || a.standby == Some(me);
        self.served.retain(|key| retired(key) || find(key).is_some_and(mine));
        self.kept.retain(|key| self.served.contains(key));
        for (key, roles) in &self.released {
            if let Some(assignment) = find(key).filter(|a| *roles != Roles::of(a)) {
                self.lapsed.insert(key.clone(), (roles.token, assignment.version));
            }
        }
        self.lapsed
            .retain(|key, (token, _)| retired(key) || find(key).is_some_and(|a| *token == a.token));
        self.released
            .retain(|key, roles| retired(key) || find(key).is_some_and(|a| *roles == Roles::of(a)));
        self.renounced.retain(|key, version| {
            retired(key) || find(key).is_some_and(|a| *version >= a.version)
        });
        self.received_releases.retain(|(key, from), version| {
            // An unknown unit may be defined by a record that is not folded yet.
            let unknown = *version >= state.next();
            retired(key)
                || find(key).map_or(unknown, |a| *version >= *valid_versions(a, *from).start())
        });
    }

    /// Decides whether this process may serve a unit at `now`, by the folded state.
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
        // The state drops members only long after their death.
        let expired = |id| state.member(id).is_none_or(|member| tally.expired(now, member));
        self.decide(now, holder, workspace, unit, assignment, expired)
    }

    /// Decides by one assignment; `expired` is true of members whose lease has expired permanently.
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
        // A release stays valid across versions while owner and standby are the same. Otherwise the
        // eviction of a third member, which changes the version, would let the owner serve beside a
        // standby that lags behind.
        let released = self.released.get(&key);
        let (ready, token) = if owner == Some(me) && released != Some(&Roles::of(assignment)) {
            // The standby of a lapsed release may have taken over under an earlier version.
            let lapsed = released.map(|roles| (roles.token, version));
            let lapsed = lapsed.or(self.lapsed.get(&key).copied());
            let recorded = lapsed.filter(|(since, _)| *since == token).map_or(token, |l| l.1);
            let recorded = recorded.max(self.floor_of(&key));
            (self.owner_ready(&key, me, assignment, &expired), Token::owner(recorded))
        } else if standby == Some(me) && self.standby_ready(&key, me, assignment, expired) {
            (true, Token::standby(version.max(self.floor_of(&key))))
        } else {
            return Right::Elsewhere { owner, standby };
        };
        if ready && self.is_withheld(&key, me, assignment) {
            return Right::Withheld;
        }
        match holder.until() {
            Some(until) if ready && now < until => {
                self.served.insert(key);
                Right::Serve { token, until, version }
            }
            _ => Right::Wait,
        }
    }

    /// Returns the offset that a token of the unit must reach.
    fn floor_of(&self, key: &Key) -> Offset {
        if self.kept.contains(key) { 0 } else { self.floor }
    }

    /// Returns true while this process must not begin to serve a unit.
    ///
    /// It may once the former server has released the unit under a version of this generation: that
    /// one then served it until now.
    fn is_withheld(&self, key: &Key, me: MemberId, assignment: &Assignment) -> bool {
        if !self.withheld || self.served.contains(key) {
            return false;
        }
        let former = if assignment.owner == Some(me) { assignment.prior } else { assignment.owner };
        let released = former.and_then(|from| self.received_releases.get(&(key.clone(), from)));
        released.is_none_or(|version| *version < self.floor)
    }

    fn owner_ready(
        &self,
        key: &Key,
        me: MemberId,
        assignment: &Assignment,
        expired: impl Fn(MemberId) -> bool,
    ) -> bool {
        let relinquished = |other| self.has_relinquished(key, me, assignment, other, &expired);
        self.served.contains(key)
            || (relinquished(assignment.prior) && relinquished(assignment.prior_standby))
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
        // After a takeover, a standby continues across versions: the owner is lost or bound by its
        // release while the standby is the same. It must stop once it is `prior`, after a
        // switchover back, or `rival`, after the owner's next process has replaced the owner.
        let stops = [assignment.prior, assignment.prior_standby].contains(&Some(me));
        let continues = self.served.contains(key) && !stops;
        let relinquished = |other| self.has_relinquished(key, me, assignment, other, &expired);
        let former = relinquished(assignment.prior) && relinquished(assignment.prior_standby);
        let taken = relinquished(assignment.owner) && former;
        !renounced && assignment.owner.is_some() && (continues || taken)
    }

    /// Returns true when `other` no longer serves the unit and cannot serve it again.
    fn has_relinquished(
        &self,
        key: &Key,
        me: MemberId,
        assignment: &Assignment,
        other: Option<MemberId>,
        expired: impl Fn(MemberId) -> bool,
    ) -> bool {
        let Some(other) = other else { return true };
        let released = || {
            let version = self.received_releases.get(&(key.clone(), other));
            version.is_some_and(|version| valid_versions(assignment, other).contains(version))
        };
        other == me || released() || expired(other)
    }
}

/// Returns the versions for which a release by `from` is valid.
///
/// An owner may serve again under a later version than the one that it released, so its release is
/// valid for the current version only. A former owner's is valid since the last change of owner,
/// after which it cannot serve. Later versions than the folded one are excluded, as such a release
/// may leave out keys that were split from the unit.
fn valid_versions(assignment: &Assignment, from: MemberId) -> RangeInclusive<Offset> {
    let Assignment { owner, version, token, .. } = *assignment;
    let first = if owner == Some(from) { version } else { token };
    first..=version
}

fn record_max<K: Ord>(versions: &mut BTreeMap<K, Offset>, key: K, version: Offset) {
    let entry = versions.entry(key).or_insert(version);
    *entry = version.max(*entry);
}
