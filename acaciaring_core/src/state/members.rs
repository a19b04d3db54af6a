//! Membership records: join, attach, detach, leave, exit and evict.

use std::collections::BTreeSet;

use acaciaring_schema::log;

use super::reassignment::Departure;
use super::{Assignment, Attachment, Member, Phase, Rejection, Service, State, majority};
use crate::id::{MemberId, Name, Offset};

/// Maximum number of dead members retained, apart from lessors of other members.
pub const DEAD_MAX: usize = 1024;

impl State {
    pub(super) fn join(&mut self, offset: Offset, join: &log::Join) {
        let mut member = Member::from_join(offset, join);
        member.lessors = self.choose_lessors(&member);
        self.counts.add_lessors(&member.lessors);
        self.members.insert(member.id, member);
    }

    pub(super) fn attach(&mut self, offset: Offset, attach: &log::Attach) -> Result<(), Rejection> {
        let id = self.require_alive(attach.member)?;
        let attachment = Attachment::from_record(attach);
        let Some(member) = self.members.get_mut(&id) else { return Err(unknown_member(id)) };
        let other_workspace =
            member.attachment.as_ref().is_some_and(|a| a.workspace != attachment.workspace);
        if other_workspace || attachment.workspace.is_empty() {
            return Err(Rejection::Attachment);
        }
        let instance = Name::clone(&attachment.instance);
        if self.departures.include(&member.vm, &attachment.incarnation()) {
            return Err(Rejection::Departed { instance });
        }
        let workspace = Name::clone(&attachment.workspace);
        member.attachment = Some(attachment);
        self.counts.add_candidate(member);
        self.replace_predecessor(offset, id);
        self.fill_standbys(offset, id, &workspace);
        Ok(())
    }

    /// Transfers the roles of a crashed router process to the restarted one at the same upstream.
    ///
    /// Guards against a restart that waits for the lease of its predecessor to expire and then
    /// moves all its keys to other, cold upstreams. An upstream talks to one process only, so the
    /// predecessor has ended, and the new process makes its outstanding releases. The same holds
    /// after a restart of the upstream at the same address: the former instance holds no keys.
    fn replace_predecessor(&mut self, offset: Offset, id: MemberId) {
        let Some(predecessor) = self.predecessor(id) else { return };
        let Some(member) = self.members.get_mut(&predecessor) else { return };
        member.phase = Phase::Dead;
        self.counts.remove_lessors(&member.lessors);
        self.counts.remove_candidate(member);
        member.attachment = None;
        self.transfer_roles(offset, predecessor, id);
        self.dead.push_back(predecessor);
        self.prune_dead();
    }

    /// Returns the latest earlier, not dead member with the same VM, address and upstream.
    fn predecessor(&self, id: MemberId) -> Option<MemberId> {
        let member = self.members.get(&id)?;
        let attachment = member.attachment.as_ref().filter(|own| !own.instance.is_empty())?;
        let earlier = self.members.range(..id).map(|(_, earlier)| earlier);
        let mut same = earlier.filter(|earlier| {
            let same_upstream = earlier.attachment.as_ref().is_some_and(|a| {
                let names = !a.instance.is_empty();
                names && a.upstream == attachment.upstream && a.workspace == attachment.workspace
            });
            let same_address = earlier.vm == member.vm && earlier.peer == member.peer;
            same_upstream && same_address && earlier.phase != Phase::Dead
        });
        same.next_back().map(|predecessor| predecessor.id)
    }

    pub(super) fn detach(&mut self, offset: Offset, detach: log::Detach) -> Result<(), Rejection> {
        let id = self.require_present(detach.member)?;
        let count = self.counts.owned_count(id);
        if count > 0 {
            return Err(Rejection::Owns { count });
        }
        let Some(member) = self.members.get_mut(&id) else { return Err(unknown_member(id)) };
        if member.attachment.is_none() {
            return Err(Rejection::Attachment);
        }
        self.counts.remove_candidate(member);
        member.attachment = None;
        self.reassign_roles(offset, id, Departure::Detaches);
        Ok(())
    }

    /// Marks a member as leaving if it has folded all records that made it an owner.
    ///
    /// Guards against two owners of a key when an owner and its standby leave concurrently. The
    /// first `Leave` makes the standby the owner, which must wait for the release by the first
    /// member. If a `Leave` that the standby proposed before it read that were accepted, the next
    /// owner would wait for the standby, which never served the unit, and not for the first
    /// member. The rejected standby proposes again once it serves its units.
    pub(super) fn leave(&mut self, offset: Offset, leave: log::Leave) -> Result<(), Rejection> {
        let id = self.require_alive(leave.member)?;
        let unread = |a: &Assignment| a.owner == Some(id) && a.token >= leave.applied;
        let found = self.services.values().flat_map(Service::units).find(|(_, a)| unread(a));
        if let Some((_, assignment)) = found {
            return Err(Rejection::Conflict { current: assignment.version });
        }
        let Some(member) = self.members.get_mut(&id) else { return Err(unknown_member(id)) };
        member.phase = Phase::Leaving;
        self.counts.remove_candidate(member);
        self.reassign_roles(offset, id, Departure::Leaves);
        Ok(())
    }

    pub(super) fn exit(&mut self, offset: Offset, exit: log::Exit) -> Result<(), Rejection> {
        let id = self.require_present(exit.member)?;
        self.mark_dead(offset, id);
        Ok(())
    }

    pub(super) fn evict(&mut self, offset: Offset, evict: &log::Evict) -> Result<(), Rejection> {
        let id = self.require_present(evict.member)?;
        let Some(member) = self.members.get(&id) else { return Err(unknown_member(id)) };
        if evict.version != member.version {
            return Err(Rejection::Conflict { current: member.version });
        }
        if !self.was_replaced(member, evict.successor) && !self.has_eviction_proof(member, evict) {
            return Err(Rejection::Votes);
        }
        self.mark_dead(offset, id);
        Ok(())
    }

    /// Returns true if `successor` is a later member with the same VM name and peer address.
    ///
    /// Guards against members that can never be evicted after a restart of the whole cluster: all
    /// their lessors are gone, so there are no votes. An address reaches one process only, so the
    /// former process can renew no lease since the later one joined, and any grants that it
    /// still sends belong to renewals that have already expired at their holders.
    fn was_replaced(&self, member: &Member, successor: Offset) -> bool {
        let later = self.members.get(&MemberId(successor)).filter(|later| later.id > member.id);
        later.is_some_and(|later| later.vm == member.vm && later.peer == member.peer)
    }

    /// Returns true if the votes and the dead lessors form a majority of the member's lessors.
    ///
    /// A vote for another version of the lessor set is invalid: majorities of different sets need
    /// not intersect, so the member could still hold a lease from the current set.
    fn has_eviction_proof(&self, member: &Member, evict: &log::Evict) -> bool {
        let mut proofs = BTreeSet::new();
        let votes = evict.votes.iter().all(|vote| {
            let valid = vote.member == member.id.0 && vote.version == member.version;
            valid && proofs.insert(MemberId(vote.lessor))
        });
        let lapsed = evict.lapsed.iter().all(|lessor| {
            counts_as_vote(self.members.get(&MemberId(*lessor))) && proofs.insert(MemberId(*lessor))
        });
        let lessors = proofs.iter().all(|lessor| member.lessors.contains(lessor));
        // A member without lessors never had a lease, so no votes are needed.
        let never_leased = member.lessors.is_empty() && proofs.is_empty();
        let enough = never_leased || proofs.len() >= majority(member.lessors.len());
        votes && lapsed && lessors && enough
    }

    /// Marks a member as dead and reassigns its roles.
    fn mark_dead(&mut self, offset: Offset, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.phase = Phase::Dead;
        self.counts.remove_lessors(&member.lessors);
        self.counts.remove_candidate(member);
        member.attachment = None;
        self.reassign_roles(offset, id, Departure::Dies);
        self.dead.push_back(id);
        self.prune_dead();
    }

    /// Removes the members that died first, except lessors of members that are not dead.
    ///
    /// The recorded death of such a lessor may be needed as proof that a lease has expired.
    fn prune_dead(&mut self) {
        while self.dead.len() > DEAD_MAX {
            let Some(index) = self.dead.iter().position(|id| self.counts.holder_count(*id) == 0)
            else {
                return;
            };
            if let Some(id) = self.dead.remove(index) {
                self.members.remove(&id);
            }
        }
    }

    /// Returns the member's id, or a rejection if it is unknown or dead.
    pub(super) fn require_present(&self, member: Offset) -> Result<MemberId, Rejection> {
        let id = MemberId(member);
        match self.members.get(&id).map(|member| member.phase) {
            None => Err(unknown_member(id)),
            Some(Phase::Dead) => Err(Rejection::Gone { member: id }),
            Some(Phase::Alive | Phase::Leaving) => Ok(id),
        }
    }

    /// Returns the member's id, or a rejection if it is unknown, leaving or dead.
    pub(super) fn require_alive(&self, member: Offset) -> Result<MemberId, Rejection> {
        let id = self.require_present(member)?;
        if self.members.get(&id).is_some_and(Member::alive) {
            return Ok(id);
        }
        Err(Rejection::Gone { member: id })
    }
}

fn unknown_member(id: MemberId) -> Rejection {
    Rejection::UnknownMember { member: id.0 }
}

/// Returns true for a dead member whose death counts as its vote.
///
/// The death of a member without lessors does not count: it has no lease that expires and stops
/// only when it reads its own eviction, so in a partition it could keep granting leases.
fn counts_as_vote(member: Option<&Member>) -> bool {
    member.is_some_and(|member| member.phase == Phase::Dead && !member.lessors.is_empty())
}
