//! Attachment of the upstream, choice of lessors, and assignment of slots without owner.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::admission::ColdLimit;
use acaciaring_core::rights::Rights;
use acaciaring_core::route::Division;
use acaciaring_core::state::{Folded, Outcome, Service};
use acaciaring_core::vacancy::Vacancy;
use acaciaring_core::{Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Assign, Attach, Lessors, record};
use tracing::info;

use super::lease::is_unassigned;
use super::proposal::{Proposal, Purpose};
use super::{Announced, Control};
use crate::announce::{Announcement, Phase};
use crate::declared::Declared;
use crate::metrics::Counter;
use crate::view::UpstreamEndpoint;

/// Slots of a declared service.
///
/// Each slot covers 16 key numbers, so that a few busy neighbouring keys fall into several slots;
/// more slots would make the fold of each record slower.
const DECLARED_SLOTS: u32 = 4096;

/// Longest time for which an upstream may announce that it stays cold.
///
/// Guards against an upstream that states a wrong time and would be limited for as long as it runs.
const MAX_COLD: Duration = Duration::from_mins(10);

/// Delay per rank, so that not every member proposes the assignment.
const RANK_DELAY: Duration = Duration::from_millis(300);

impl Control {
    /// Proposes an attachment, better lessors and owners for slots, where they are missing.
    pub(super) fn propose_placement(&mut self, now: Time) {
        self.leave_without_log(now);
        if self.retiring() {
            return;
        }
        self.attach(now);
        self.improve_lessors(now);
        self.assign(now);
    }

    /// Handles an announcement of the local upstream.
    pub(super) fn on_announcement(&mut self, now: Time, announcement: Announcement) {
        let incarnation = announcement.incarnation();
        if announcement.phase == Phase::Draining {
            if self.endpoint.is_some() {
                info!("the upstream is leaving, moving its units to other members");
            }
            self.depart(now, incarnation);
            self.announced = None;
            self.detach(now);
            return;
        }
        if self.upstream.mode.incarnations().has_departed(&incarnation) {
            info!(%incarnation, "ignoring an announcement of an upstream that has left");
            return;
        }
        if self.upstream.ignores_announcement() {
            return;
        }
        let endpoint = UpstreamEndpoint {
            workspace: Arc::from(announcement.workspace.as_str()),
            address: announcement.address,
            fenced: announcement.fenced,
            clock: announcement.clock,
            received: now,
            instance: Arc::from(announcement.instance.as_str()),
        };
        self.context.gate.announce(now, &announcement);
        self.endpoint = Some(endpoint);
        self.announced = Some(Announced { announcement, at: now });
        self.limit_cold(now);
        self.dirty = true;
    }

    /// Limits the requests to a cold upstream to what its service's configuration allows.
    ///
    /// The limit of an upstream that is leaving stays as it is.
    pub(super) fn limit_cold(&self, now: Time) {
        if let Some(announced) = &self.announced {
            self.context.gate.limit_cold(now, self.cold_limit(announced));
        }
    }

    fn cold_limit(&self, announced: &Announced) -> Option<ColdLimit> {
        let Announced { announcement, at } = announced;
        let left = Duration::from_millis(announcement.cold).min(MAX_COLD);
        let rates = &self.declared.as_ref()?.cold_rates;
        let rate = *rates.get(announcement.workspace.as_str())?;
        Some(ColdLimit { rate, until: *at + left }).filter(|_| !left.is_zero())
    }

    /// Proposes to attach the upstream once this member holds its lease.
    ///
    /// Without a lease it would own units that nobody serves, and a member that owns units can no
    /// longer replace lessors that are gone.
    fn attach(&mut self, now: Time) {
        let Some(announced) = &self.announced else { return };
        let announcement = &announced.announcement;
        let Some(identity) = &self.identity else { return };
        if !identity.holder.holds(now) || !self.knows_evacuations() {
            return;
        }
        match self.attachment() {
            Some(attachment) if *attachment.workspace == *announcement.workspace => {}
            Some(_) => self.detach(now),
            None => {
                let attach = Attach {
                    member: identity.me.0,
                    workspace: announcement.workspace.clone(),
                    upstream: announcement.address.to_string(),
                    fenced: announcement.fenced,
                    instance: announcement.instance.clone(),
                    born: announcement.born,
                };
                self.proposals.propose(now, Purpose::Attach, record::Body::Attach(attach));
            }
        }
    }

    /// Proposes a better lessor set; once proposed, majorities of both sets are needed.
    ///
    /// A member that holds its lease first obtains grants from the new lessors. One without lease
    /// and units leaves out lessors that do not answer: it would otherwise have no lease until dead
    /// ones are evicted, for example after a restart of all VMs in which some do not return. No
    /// member chooses an identity that a later process on the same VM has replaced: after a restart
    /// of all processes, half of all identities are such ones until the later ones are attached.
    pub(super) fn improve_lessors(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        let Some(member) = self.state.member(identity.me) else { return };
        if self.proposals.pending(&Purpose::Lessors) {
            return;
        }
        let holds = identity.holder.holds(now);
        let skips_silent = !holds && is_unassigned(&self.state, identity.me);
        let mut excluded = self.state.superseded();
        if skips_silent {
            excluded.extend(identity.holder.unresponsive());
        }
        let Some(lessors) = self.state.better_lessors_excluding(member, &excluded) else {
            return identity.holder.prepare(&[]);
        };
        if holds && !identity.holder.ready(now, &lessors) {
            identity.holder.prepare(&lessors);
            return;
        }
        identity.holder.propose(&lessors);
        let body = record::Body::Lessors(Lessors {
            member: identity.me.0,
            base: member.version,
            lessors: lessors.iter().map(|id| id.0).collect(),
        });
        self.proposals.propose(now, Purpose::Lessors, body);
    }

    /// Proposes owners for slots that have none.
    fn assign(&mut self, now: Time) {
        let Some(identity) = &self.identity else { return };
        if !identity.holder.holds(now) {
            return;
        }
        let heartbeat = self.context.upstream.beat;
        let rank = self.state.snapshot_rank(identity.me);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok()).unwrap_or(u32::MAX >> 8);
        let services = self.state.services().filter(|service| self.assignable(service)).map(name);
        let vacant: Vec<Name> = services.chain(self.unrecorded()).collect();
        self.vacant.retain(|workspace, _| vacant.contains(workspace));
        for workspace in vacant {
            let servers = self.state.members_of(&workspace).filter(|member| member.alive()).count();
            let first = self.state.service(&workspace).is_none_or(|service| {
                service.slots.iter().all(|assignment| assignment.owner.is_none())
            });
            let vacancy = self.vacant.entry(Arc::clone(&workspace));
            let vacancy = vacancy.or_insert(Vacancy::new(now, servers));
            vacancy.observe(now, servers);
            if !vacancy.is_due(now - RANK_DELAY * rank, first, heartbeat) {
                continue;
            }
            let slots = self.slots(&workspace);
            let body = record::Body::Assign(Assign { workspace: workspace.to_string(), slots });
            if self.proposals.propose(now, Purpose::Assign(Arc::clone(&workspace)), body) {
                info!(%workspace, "proposing owners for slots without owner");
            }
        }
    }

    /// Returns the declared services that are partitioned by key and not yet in the log.
    fn unrecorded(&self) -> Vec<Name> {
        let declared = self.declared.iter().flat_map(|declared| &declared.keyed);
        let lacks = |workspace: &&Name| {
            let mut members = self.state.members_of(workspace);
            self.state.service(workspace).is_none() && members.any(|m| !m.lessors.is_empty())
        };
        declared.filter(lacks).cloned().collect()
    }

    /// Returns the number of slots of a declared service that is partitioned by key, 0 for others.
    fn slots(&self, workspace: &Name) -> u32 {
        let keyed = |declared: &Arc<Declared>| declared.keyed.contains(workspace);
        if self.declared.as_ref().is_some_and(keyed) { DECLARED_SLOTS } else { 0 }
    }

    fn assignable(&self, service: &Service) -> bool {
        let vacant = service.slots.iter().any(|assignment| assignment.owner.is_none());
        let route = self.state.routes().get(&service.workspace);
        let keyed = route.is_some_and(|route| matches!(route.division, Division::Keyed { .. }));
        let mut members = self.state.members_of(&service.workspace);
        vacant
            && (keyed || service.numeric)
            && members.any(|member| member.alive() && !member.lessors.is_empty())
    }

    /// Submits a proposal; restores the rights renounced for it if it cannot be queued.
    pub(super) fn submit(&mut self, proposal: Proposal, body: record::Body) {
        let (renounced, changed) = (proposal.renounced.clone(), proposal.changed.clone());
        let purpose = proposal.purpose.clone();
        if self.proposals.submit(proposal, body) {
            return;
        }
        let renounced = self.proposals.without_renounced(&renounced);
        let Some(identity) = &mut self.identity else { return };
        restore(&mut identity.rights, &purpose, &renounced);
        for (workspace, unit) in &changed {
            identity.rights.end_change(workspace, unit.slot);
        }
    }

    /// Handles the outcome of an own proposal.
    pub(super) fn on_settled(&mut self, proposal: &Proposal, record: &Folded) {
        let applied = matches!(record.outcome, Outcome::Applied);
        if !applied {
            info!(purpose = ?proposal.purpose, outcome = ?record.outcome, "proposal was not applied");
        }
        if applied && matches!(proposal.purpose, Purpose::Split(_)) {
            let keys = proposal.changed.len() as u64;
            self.context.metrics.count(Counter::UnitsSplit, keys);
        }
        if let Some(identity) = &mut self.identity {
            if proposal.purpose == Purpose::Lessors && !applied {
                identity.holder.withdraw();
            }
            for (workspace, unit) in &proposal.changed {
                if applied && matches!(proposal.purpose, Purpose::Split(_)) {
                    identity.rights.inherit(workspace, *unit);
                }
                identity.rights.end_change(workspace, unit.slot);
            }
            if !applied {
                let renounced = self.proposals.without_renounced(&proposal.renounced);
                restore(&mut identity.rights, &proposal.purpose, &renounced);
            }
        }
        self.published(proposal, record);
        self.dirty = true;
    }
}

/// Restores the rights renounced for a record that is not and will not be applied.
fn restore(rights: &mut Rights, purpose: &Purpose, renounced: &[(Name, UnitId, Offset)]) {
    for (workspace, unit, version) in renounced {
        rights.cancel_renounce(workspace, *unit, *version);
    }
    if *purpose == Purpose::Leave {
        rights.cancel_leave();
    }
}

fn name(service: &Service) -> Name {
    Arc::clone(&service.workspace)
}
