//! Records about members: join, attach, detach, leave, exit and evict.

use std::collections::BTreeSet;

use acaciaring_schema::log;

use super::reassignment::Departure;
use super::{Assignment, Attachment, Member, Phase, Rejection, Service, State, majority};
use crate::id::{MemberId, Name, Offset};

/// Most dead members that are remembered, the latest to die.
pub const DEAD_MAX: usize = 1024;

impl State {
    pub(super) fn join(&mut self, offset: Offset, join: &log::Join) {
        let mut member = Member::started(offset, join);
        member.lessors = self.choose_lessors(&member);
        self.counts.add_lessors(&member.lessors);
        self.members.insert(member.id, member);
    }

    pub(super) fn attach(&mut self, offset: Offset, attach: &log::Attach) -> Result<(), Rejection> {
        let id = self.require_alive(attach.member)?;
        let attachment = Attachment::read(attach);
        let Some(member) = self.members.get_mut(&id) else { return Err(unknown_member(id)) };
        let other_workspace =
            member.attachment.as_ref().is_some_and(|a| a.workspace != attachment.workspace);
        if other_workspace || attachment.workspace.is_empty() {
            return Err(Rejection::Attachment);
        }
        let workspace = Name::clone(&attachment.workspace);
        member.attachment = Some(attachment);
        self.counts.add_candidate(member);
        self.replace_predecessor(offset, id);
        self.fill_standbys(offset, id, &workspace);
        Ok(())
    }

    /// Puts a member in the place of the former one beside the same upstream.
    ///
    /// Guards against a process that is killed beside an upstream that lives on: each restart
    /// would wait until the former identity is proved expired, and then move all its keys, cold,
    /// to other upstreams. The upstream reaches one process only, so the former one has ended;
    /// what it was to release, the later one releases. The same holds for another start of the
    /// upstream at the same address: the former start has ended too and holds nothing.
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

    /// Returns the latest earlier member that is not dead on the same VM and address, with the same upstream.
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

    /// Lets a member leave that has read of all that it owns.
    ///
    /// Guards against two members that leave together, one of which stands by for the other: the
    /// first record makes the second member the owner, which has to wait for the first one's
    /// release. Its own record, proposed before it read that, would make it the former owner of
    /// units that it never served, nobody would wait for the first member any more, and two
    /// upstreams would hold one key. The record is rejected, and the member leaves once it serves.
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

    /// Returns true when a later member has taken the VM's name and the address of this one.
    ///
    /// Guards against a place that starts again as a whole: the lessors of all
    /// members are gone, nobody can vote, and every key would keep an owner that
    /// no longer runs. The address reaches one process only. So the former one
    /// gets no grant since then, and grants it may still send answer renewals
    /// whose time has run out at their holders.
    fn was_replaced(&self, member: &Member, successor: Offset) -> bool {
        let later = self.members.get(&MemberId(successor)).filter(|later| later.id > member.id);
        later.is_some_and(|later| later.vm == member.vm && later.peer == member.peer)
    }

    /// Returns true when votes and lapsed lessors are a majority of the member's lessors.
    ///
    /// A vote for another version must not count: the member may have dropped
    /// the set in which the lessor voted, so that the majorities would not meet.
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
        // A member without lessors never had a lease, so there is nothing to prove.
        let never_leased = member.lessors.is_empty() && proofs.is_empty();
        let enough = never_leased || proofs.len() >= majority(member.lessors.len());
        votes && lapsed && lessors && enough
    }

    /// Records a member as dead and passes on all its roles.
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

    /// Forgets the members that died first, but for lessors of a member that is not dead.
    ///
    /// Such a lessor's recorded death may be needed to prove the end of a lease.
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

    /// Returns the id of a member that is not dead.
    pub(super) fn require_present(&self, member: Offset) -> Result<MemberId, Rejection> {
        let id = MemberId(member);
        match self.members.get(&id).map(|member| member.phase) {
            None => Err(unknown_member(id)),
            Some(Phase::Dead) => Err(Rejection::Gone { member: id }),
            Some(Phase::Alive | Phase::Leaving) => Ok(id),
        }
    }

    /// Returns the id of a member that is alive.
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

/// Returns true for a dead member whose death can stand in for its vote.
///
/// A member without lessors gives up its identity only when it reads its own
/// eviction, so one that is cut off could grant on without end.
fn counts_as_vote(member: Option<&Member>) -> bool {
    member.is_some_and(|member| member.phase == Phase::Dead && !member.lessors.is_empty())
}
