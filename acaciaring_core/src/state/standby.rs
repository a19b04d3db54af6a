//! Selection of standbys, balanced over all members of a workspace.

use std::collections::BTreeMap;

use super::counts::Counts;
use super::{Assignment, Member};
use crate::id::{MemberId, Name};

/// Rank of the owner itself, which is never picked.
const OWNER_RANK: u64 = 1 << 63;

/// Rank penalty for a candidate in the owner's data centre.
const SAME_CENTRE_RANK: u64 = 1 << 62;

/// Rank penalty per unit of the owner whose standby is the candidate.
///
/// It exceeds the number of roles that a member can have, which is added to the rank.
const UNIT_RANK: u64 = 1 << 31;

/// Picks standbys while one record is folded, and updates the counts.
///
/// Ranks are computed from the counts once per owner and record; a pick then only takes the lowest
/// rank. A record that assigns many slots must not delay lease renewal on the control thread.
pub(super) struct Picker<'a> {
    counts: &'a mut Counts,
    members: &'a BTreeMap<MemberId, Member>,
    /// Members eligible as standbys, in join order.
    candidates: Vec<&'a Member>,
    /// Number of units whose standby is the candidate, per candidate.
    roles: Vec<u64>,
    /// Rank of each candidate by owner, without the number in `roles`.
    owner_ranks: BTreeMap<MemberId, Vec<u64>>,
    /// Standbys picked for this record, by owner and block of slots.
    blocks: BTreeMap<(MemberId, u32), MemberId>,
}

impl<'a> Picker<'a> {
    pub(super) fn new(
        counts: &'a mut Counts,
        members: &'a BTreeMap<MemberId, Member>,
        workspace: &str,
    ) -> Self {
        let attached = counts.candidates(workspace);
        let candidates: Vec<_> = attached.filter_map(|id| members.get(&id)).collect();
        let roles =
            candidates.iter().map(|member| to_rank(counts.standby_count(member.id))).collect();
        let (owner_ranks, blocks) = (BTreeMap::new(), BTreeMap::new());
        Self { counts, members, candidates, roles, owner_ranks, blocks }
    }

    /// Returns the number of candidates in the workspace.
    pub(super) fn members(&self) -> usize {
        self.candidates.len()
    }

    /// Picks a standby for a unit of `owner`, the same one for all slots of a block.
    pub(super) fn pick_for_block(
        &mut self,
        owner: MemberId,
        block: Option<u32>,
    ) -> Option<MemberId> {
        let Some(block) = block else { return self.pick(owner) };
        let entry = (owner, block);
        if let Some(standby) = self.blocks.get(&entry) {
            return Some(*standby);
        }
        let standby = self.pick(owner)?;
        self.blocks.insert(entry, standby);
        Some(standby)
    }

    /// Picks a standby for a unit of `owner`.
    ///
    /// Prefers another data centre, then the standby of the fewest units of this owner, then of
    /// the fewest units in total, then the lowest id.
    pub(super) fn pick(&mut self, owner: MemberId) -> Option<MemberId> {
        if !self.owner_ranks.contains_key(&owner) {
            let base = self.base_ranks(owner);
            self.owner_ranks.insert(owner, base);
        }
        let base = self.owner_ranks.get(&owner)?;
        let ranks = base.iter().zip(&self.roles).map(|(rank, roles)| rank + roles);
        let lowest = ranks.clone().min().filter(|lowest| *lowest < OWNER_RANK)?;
        let index = ranks.into_iter().position(|rank| rank == lowest)?;
        self.candidates.get(index).map(|member| member.id)
    }

    /// Removes the roles of an assignment from the counts.
    pub(super) fn remove(&mut self, assignment: &Assignment) {
        self.counts.remove(assignment);
        self.adjust(assignment, |count, step| *count -= step);
    }

    /// Adds the roles of an assignment to the counts.
    pub(super) fn add(&mut self, assignment: &Assignment) {
        self.counts.add(assignment);
        self.adjust(assignment, |count, step| *count += step);
    }

    fn adjust(&mut self, assignment: &Assignment, change: impl Fn(&mut u64, u64)) {
        let Some(standby) = assignment.standby else { return };
        let index = self.candidates.binary_search_by_key(&standby, |member| member.id);
        let Ok(index) = index else { return };
        change(&mut self.roles[index], 1);
        let Some(owner) = assignment.owner else { return };
        if let Some(base) = self.owner_ranks.get_mut(&owner) {
            change(&mut base[index], UNIT_RANK);
        }
    }

    /// Computes the ranks of all candidates for one owner.
    fn base_ranks(&self, owner: MemberId) -> Vec<u64> {
        let centre = self.members.get(&owner).map(|member| &member.data_centre);
        let mut standbys = self.counts.standbys(owner).peekable();
        let rank = |candidate: &&Member| {
            // Both sequences are in join order.
            while standbys.next_if(|(standby, _)| *standby < candidate.id).is_some() {}
            let units = standbys.next_if(|(standby, _)| *standby == candidate.id);
            let near = centre.is_some_and(|centre| same_name(centre, &candidate.data_centre));
            let excluded = if candidate.id == owner { OWNER_RANK } else { 0 };
            let near = if near { SAME_CENTRE_RANK } else { 0 };
            excluded + near + units.map_or(0, |(_, units)| to_rank(units)) * UNIT_RANK
        };
        self.candidates.iter().map(rank).collect()
    }
}

fn same_name(one: &Name, other: &Name) -> bool {
    Name::ptr_eq(one, other) || one == other
}

/// Converts a number of units, which is far below [`UNIT_RANK`].
fn to_rank(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
