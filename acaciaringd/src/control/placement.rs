//! Attachment of the upstream, choice of lessors, first assignment of slots.

use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::rights::Rights;
use acaciaring_core::route::Division;
use acaciaring_core::state::{Folded, Outcome, Service};
use acaciaring_core::{Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Assign, Attach, Lessors, record};
use tracing::info;

use super::lease::idle;
use super::proposal::{Proposal, Purpose};
use super::{Announced, Control};
use crate::announce::{Announcement, Phase};
use crate::declared::Declared;
use crate::metrics::Counter;
use crate::view::Link;

/// Time for which members may join before slots without owner are assigned.
const SETTLE: Duration = Duration::from_secs(1);

/// Slots of a declared service.
///
/// With 16 numbers each, a few busy neighbours fall into several slots; more would cost each
/// member time at every record.
const SLOTS: u32 = 4096;

/// Delay of an assignment per rank, so that not all members append it.
const STAGGER: Duration = Duration::from_millis(300);

impl Control {
    /// Proposes what this member lacks: an attachment, better lessors, owners for slots.
    pub(super) fn place(&mut self, now: Time) {
        self.leave_without_log(now);
        if self.retiring() {
            return;
        }
        self.attach(now);
        self.improve_lessors(now);
        self.assign(now);
    }

    /// Takes in an announcement of the upstream beside this member.
    pub(super) fn announce(&mut self, now: Time, announcement: Announcement) {
        if announcement.phase == Phase::Draining {
            if self.link.is_some() {
                info!("the upstream is leaving");
            }
            self.announced = None;
            self.detach(now);
            return;
        }
        let link = Link {
            workspace: Arc::from(announcement.workspace.as_str()),
            address: announcement.address,
            fenced: announcement.fenced,
            clock: announcement.clock,
            received: now,
            instance: Arc::from(announcement.instance.as_str()),
        };
        self.parts.gate.announce(now, &announcement);
        self.link = Some(link);
        self.announced = Some(Announced { announcement, at: now });
        self.dirty = true;
    }

    /// Attaches the upstream once this member can serve.
    ///
    /// Without a lease it would be given units that nobody serves, and with
    /// units it could no longer exchange lessors that are gone for others.
    fn attach(&mut self, now: Time) {
        let Some(announced) = &self.announced else { return };
        let announcement = &announced.announcement;
        let Some(identity) = &self.identity else { return };
        if !identity.holder.holds(now) {
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
                };
                self.proposals.propose(now, Purpose::Attach, record::Body::Attach(attach));
            }
        }
    }

    /// Proposes a better lessor set; from here on the majorities of both sets are needed.
    ///
    /// A member that holds its lease asks the new lessors first. One that has none and owns
    /// nothing leaves out those that do not answer. Guards against a start of all members in which
    /// some VMs end for good: a newcomer whose lessors they were would wait until they are
    /// evicted, and its upstream would have no keys as long.
    pub(super) fn improve_lessors(&mut self, now: Time) {
        let Some(identity) = &mut self.identity else { return };
        let Some(member) = self.state.member(identity.me) else { return };
        if self.proposals.pending(&Purpose::Lessors) {
            return;
        }
        let holds = identity.holder.holds(now);
        let choosy = !holds && idle(&self.state, identity.me);
        let silent = if choosy { identity.holder.silent() } else { Vec::new() };
        let Some(lessors) = self.state.better_lessors_excluding(member, &silent) else {
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
        let rank = self.state.snapshot_rank(identity.me);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok()).unwrap_or(u32::MAX >> 8);
        let services = self.state.services().filter(|service| self.assignable(service)).map(name);
        let vacant: Vec<Name> = services.chain(self.unfounded()).collect();
        self.vacant.retain(|workspace, _| vacant.contains(workspace));
        for workspace in vacant {
            let since = *self.vacant.entry(Arc::clone(&workspace)).or_insert(now);
            if now.since(since) < SETTLE + STAGGER * rank {
                continue;
            }
            let slots = self.slots(&workspace);
            let body = record::Body::Assign(Assign { workspace: workspace.to_string(), slots });
            if self.proposals.propose(now, Purpose::Assign(Arc::clone(&workspace)), body) {
                info!(%workspace, "proposing owners for slots without one");
            }
        }
    }

    /// Returns the declared services that are divided by key and not yet in the log.
    fn unfounded(&self) -> Vec<Name> {
        let declared = self.declared.iter().flat_map(|declared| &declared.keyed);
        let lacks = |workspace: &&Name| {
            let mut members = self.state.members_of(workspace);
            self.state.service(workspace).is_none() && members.any(|m| !m.lessors.is_empty())
        };
        declared.filter(lacks).cloned().collect()
    }

    /// Returns the count of slots into which a declared service is divided, 0 for others.
    fn slots(&self, workspace: &Name) -> u32 {
        let keyed = |declared: &Arc<Declared>| declared.keyed.contains(workspace);
        if self.declared.as_ref().is_some_and(keyed) { SLOTS } else { 0 }
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

    /// Submits a proposal, and takes back what was given up for it when it cannot be queued.
    pub(super) fn submit(&mut self, proposal: Proposal, body: record::Body) {
        let (renounced, changed) = (proposal.renounced.clone(), proposal.changed.clone());
        let purpose = proposal.purpose.clone();
        if self.proposals.submit(proposal, body) {
            return;
        }
        let Some(identity) = &mut self.identity else { return };
        restore(&mut identity.rights, &purpose, &renounced);
        for (workspace, unit) in &changed {
            identity.rights.settled(workspace, unit.slot);
        }
    }

    /// Learns what became of an own proposal.
    pub(super) fn settled(&mut self, proposal: &Proposal, record: &Folded) {
        let applied = matches!(record.outcome, Outcome::Applied);
        if !applied {
            info!(purpose = ?proposal.purpose, outcome = ?record.outcome, "proposal was not applied");
        }
        if applied && matches!(proposal.purpose, Purpose::Split(_)) {
            let keys = proposal.changed.len() as u64;
            self.parts.metrics.count(Counter::UnitsSplit, keys);
        }
        if let Some(identity) = &mut self.identity {
            if proposal.purpose == Purpose::Lessors && !applied {
                identity.holder.withdraw();
            }
            for (workspace, unit) in &proposal.changed {
                if applied && matches!(proposal.purpose, Purpose::Split(_)) {
                    identity.rights.inherit(workspace, *unit);
                }
                identity.rights.settled(workspace, unit.slot);
            }
            if !applied {
                restore(&mut identity.rights, &proposal.purpose, &proposal.renounced);
            }
        }
        self.published(proposal, record);
        self.dirty = true;
    }
}

/// Takes back what was given up for a record that is not and will not be applied.
fn restore(rights: &mut Rights, purpose: &Purpose, renounced: &[(Name, UnitId, Offset)]) {
    for (workspace, unit, version) in renounced {
        rights.restore(workspace, *unit, *version);
    }
    if *purpose == Purpose::Leave {
        rights.stay();
    }
}

fn name(service: &Service) -> Name {
    Arc::clone(&service.workspace)
}
