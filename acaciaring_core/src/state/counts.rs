//! Role counts derived from members and assignments, so that folding needs no scan per unit.

use std::collections::{BTreeMap, BTreeSet};

use super::{Assignment, Member};
use crate::id::{MemberId, Name};

/// Role counts and candidates, updated with every change of an assignment or a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Counts {
    owned: BTreeMap<MemberId, usize>,
    standby: BTreeMap<MemberId, usize>,
    pairs: BTreeMap<(MemberId, MemberId), usize>,
    holders: BTreeMap<MemberId, usize>,
    attached: BTreeMap<Name, BTreeSet<MemberId>>,
}

impl Counts {
    /// Returns the number of units that a member owns.
    pub(super) fn owned_count(&self, member: MemberId) -> usize {
        self.owned.get(&member).copied().unwrap_or(0)
    }

    /// Returns the number of units whose standby is this member.
    pub(super) fn standby_count(&self, member: MemberId) -> usize {
        self.standby.get(&member).copied().unwrap_or(0)
    }

    /// Returns the number of alive or leaving members that have this one as a lessor.
    pub(super) fn holder_count(&self, lessor: MemberId) -> usize {
        self.holders.get(&lessor).copied().unwrap_or(0)
    }

    /// Returns the standbys of an owner with the number of its units that each is standby of.
    pub(super) fn standbys(&self, owner: MemberId) -> impl Iterator<Item = (MemberId, usize)> {
        let range = (owner, MemberId(0))..=(owner, MemberId(u64::MAX));
        self.pairs.range(range).map(|((_, standby), count)| (*standby, *count))
    }

    /// Returns the alive members attached to a workspace, in join order.
    pub(super) fn candidates(&self, workspace: &str) -> impl Iterator<Item = MemberId> {
        self.attached.get(workspace).into_iter().flatten().copied()
    }

    /// Adds the roles of an assignment.
    pub(super) fn add(&mut self, assignment: &Assignment) {
        let Assignment { owner, standby, .. } = *assignment;
        increase(&mut self.owned, owner);
        increase(&mut self.standby, standby);
        increase(&mut self.pairs, owner.zip(standby));
    }

    /// Reverses [`Self::add`].
    pub(super) fn remove(&mut self, assignment: &Assignment) {
        let Assignment { owner, standby, .. } = *assignment;
        decrease(&mut self.owned, owner);
        decrease(&mut self.standby, standby);
        decrease(&mut self.pairs, owner.zip(standby));
    }

    /// Adds a lease holder to each of its lessors.
    pub(super) fn add_lessors(&mut self, lessors: &[MemberId]) {
        increase(&mut self.holders, lessors.iter().copied());
    }

    /// Reverses [`Self::add_lessors`].
    pub(super) fn remove_lessors(&mut self, lessors: &[MemberId]) {
        decrease(&mut self.holders, lessors.iter().copied());
    }

    /// Makes a member a candidate for roles in its workspace if it is alive and attached.
    pub(super) fn add_candidate(&mut self, member: &Member) {
        if let Some(attachment) = member.attachment.as_ref().filter(|_| member.alive()) {
            let workspace = Name::clone(&attachment.workspace);
            self.attached.entry(workspace).or_default().insert(member.id);
        }
    }

    /// Reverses [`Self::add_candidate`].
    pub(super) fn remove_candidate(&mut self, member: &Member) {
        let Some(attachment) = &member.attachment else { return };
        let Some(attached) = self.attached.get_mut(&attachment.workspace) else { return };
        attached.remove(&member.id);
        if attached.is_empty() {
            self.attached.remove(&attachment.workspace);
        }
    }
}

fn increase<K: Ord>(counts: &mut BTreeMap<K, usize>, keys: impl IntoIterator<Item = K>) {
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
}

/// Decrements counts and removes those that reach zero, so that equal states compare equal.
fn decrease<K: Ord>(counts: &mut BTreeMap<K, usize>, keys: impl IntoIterator<Item = K>) {
    for key in keys {
        let Some(count) = counts.get_mut(&key) else { continue };
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
