//! Replicated state machine: cluster state derived by folding the control log.

mod assignment;
mod counts;
mod departures;
mod documents;
mod fold;
mod generation;
mod lessors;
mod member;
mod members;
mod outcome;
mod reassignment;
mod recent;
mod replica;
pub mod snapshot;
mod standby;
mod units;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

pub use self::assignment::{Assignment, HotKey, NUMERIC_KEYS, Service};
use self::counts::Counts;
use self::departures::Departures;
pub use self::departures::{DEPARTURES_MAX, Departure};
pub use self::documents::Published;
pub use self::lessors::LESSORS_MAX;
pub use self::member::{Attachment, Member, Phase, majority};
pub use self::members::DEAD_MAX;
pub use self::outcome::{Outcome, Rejection};
use self::recent::RecentIds;
pub use self::recent::{RECENT_MAX, RecordId};
pub use self::replica::{Folded, Opening, Replica, ReplicaError};
pub use self::units::HOT_MAX;
use crate::id::{Generation, MemberId, Name, Offset};
use crate::route::{DocumentKind, Route};

/// Cluster state; members that folded the same records have equal states.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct State {
    next: Offset,
    /// Generation of the log in which the state was folded.
    generation: Generation,
    /// Offset of the record that began the generation, 0 in the first one.
    floor: Offset,
    /// True while members that missed the beginning of the generation may still serve.
    settling: bool,
    members: BTreeMap<MemberId, Member>,
    /// Dead members still retained, in order of death.
    dead: VecDeque<MemberId>,
    /// Services by workspace, including those whose route is retired.
    services: BTreeMap<Name, Service>,
    templates: BTreeMap<Name, Published>,
    parameters: BTreeMap<Name, Published>,
    routes: BTreeMap<Name, Arc<Route>>,
    recent: RecentIds,
    skipped: u64,
    counts: Counts,
    departures: Departures,
}

impl State {
    /// Returns the offset of the next record to fold.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns a member, including a dead one that is still retained.
    #[must_use]
    pub fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns true for a known member that is alive or leaving.
    #[must_use]
    pub fn is_present(&self, id: MemberId) -> bool {
        self.member(id).is_some_and(|member| member.phase != Phase::Dead)
    }

    /// Returns all members, dead ones included, in join order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the alive members attached to a workspace, in join order.
    pub fn members_of(&self, workspace: &str) -> impl Iterator<Item = &Member> {
        self.counts.candidates(workspace).filter_map(|id| self.members.get(&id))
    }

    /// Returns the assignments of a workspace whose service is partitioned by key.
    #[must_use]
    pub fn service(&self, workspace: &str) -> Option<&Service> {
        self.services.get(workspace).filter(|service| self.is_visible(service))
    }

    /// Returns the assignments of all workspaces.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().filter(|service| self.is_visible(service))
    }

    /// Returns true for a service that has an active route, or is numeric and needs none.
    fn is_visible(&self, service: &Service) -> bool {
        service.numeric || self.routes.contains_key(&service.workspace)
    }

    /// Returns a document, including a retired one.
    #[must_use]
    pub fn document(&self, kind: DocumentKind, name: &str) -> Option<&Published> {
        self.published(kind).get(name)
    }

    /// Returns all documents, including retired ones, templates first.
    pub fn documents(&self) -> impl Iterator<Item = &Published> {
        self.templates.values().chain(self.parameters.values())
    }

    /// Returns the active routes by workspace.
    #[must_use]
    pub fn routes(&self) -> &BTreeMap<Name, Arc<Route>> {
        &self.routes
    }

    /// Returns the number of units that a member owns.
    #[must_use]
    pub fn owned_count(&self, member: MemberId) -> usize {
        self.counts.owned_count(member)
    }

    /// Returns the number of units whose standby is this member.
    #[must_use]
    pub fn standby_count(&self, member: MemberId) -> usize {
        self.counts.standby_count(member)
    }

    /// Returns the number of alive or leaving members that have this one as a lessor.
    #[must_use]
    pub fn holder_count(&self, lessor: MemberId) -> usize {
        self.counts.holder_count(lessor)
    }

    /// Returns true if the id is among the last [`RECENT_MAX`] folded, applied or rejected.
    #[must_use]
    pub fn is_recent(&self, id: &RecordId) -> bool {
        self.recent.contains(id)
    }

    /// Returns the number of records without effect: undecodable, duplicate or rejected.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns a member's index among the alive members by id, or `None` when it is not alive.
    ///
    /// The member at index 0 writes the next snapshot; the others are its fallbacks in order.
    #[must_use]
    pub fn snapshot_rank(&self, me: MemberId) -> Option<usize> {
        let mut alive = self.members.values().filter(|member| member.alive());
        alive.position(|member| member.id == me)
    }

    fn published(&self, kind: DocumentKind) -> &BTreeMap<Name, Published> {
        match kind {
            DocumentKind::Template => &self.templates,
            DocumentKind::Parameters => &self.parameters,
        }
    }
}
