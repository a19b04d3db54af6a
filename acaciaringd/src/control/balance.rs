//! Moves of units to cooler members, decided by each owner for itself.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::balance::{self, BalanceSettings, Candidate, History, Load, Plan};
use acaciaring_core::rates::RequestRates;
use acaciaring_core::route::Weights;
use acaciaring_core::state::{Member, Service, State};
use acaciaring_core::{MemberId, Name, Offset, Time, UnitId};
use acaciaring_schema::log::{Handoff, Merge, Split, Switchover, Unit, record};
use acaciaring_schema::peer::{Datagram, Loads, datagram};
use tracing::{debug, info};

use super::Control;
use super::proposal::{Proposal, Purpose};
use crate::metrics::Gauge;
use crate::view::peer_address;
use crate::wire;

/// Time between two reports of this member's load to owners that may move units to it.
const REPORT: Duration = Duration::from_secs(5);

/// Owners that are told of this member's load at a time.
const REPORTS: usize = 12;

/// Weights of a service that no document describes.
const EVEN: Weights = Weights { churn: 1_000, downtime: 1_000 };

/// What this member knows and remembers for balance.
#[derive(Debug, Default)]
pub(super) struct Balance {
    loads: HashMap<MemberId, Load>,
    /// Mean times that requests take at other members' upstreams, where they are known.
    services: HashMap<MemberId, Duration>,
    /// Members that have said that they are about to leave.
    leaving: HashSet<MemberId>,
    history: History,
    planned: Time,
    reported: Time,
    /// Owners that were told since the first one was.
    told: usize,
}

impl Balance {
    /// Returns the next few owners to be told, all of them in turn.
    fn turn(&mut self, owners: &[MemberId]) -> Vec<MemberId> {
        let count = owners.len().min(REPORTS);
        let start = self.told;
        self.told = (start + count) % owners.len().max(1);
        owners.iter().copied().cycle().skip(start).take(count).collect()
    }
}

impl Control {
    /// Reports this member's load and proposes moves of its units.
    ///
    /// Beside an upstream that reports what it holds, moves are planned when a report has come: its
    /// reply can then leave out what moves.
    pub(super) fn balance(&mut self, now: Time) {
        if now.since(self.balance.reported) >= self.report_interval() {
            self.balance.reported = now;
            self.report_load();
            self.report_imbalance(now);
        }
        if !self.holding.reports {
            self.plan_when_due(now);
        }
    }

    /// Returns the time between two reports of this member's load.
    ///
    /// Where moves are planned only with a report of the upstream, each plan gets fresh loads; where
    /// they are planned every few rounds, fresher loads would move more units.
    fn report_interval(&self) -> Duration {
        if self.holding.reports { REPORT.min(self.parts.interval) } else { REPORT }
    }

    /// Proposes moves of this member's units, if it is time for it.
    pub(super) fn plan_when_due(&mut self, now: Time) {
        let due = now.since(self.balance.planned) >= self.parts.interval;
        if due && !self.retiring() && !self.pausing() && self.parts.balance.min_moves > 0 {
            self.balance.planned = now;
            self.plan(now);
        }
    }

    /// Sends this member's load to the owners for whose units it stands by.
    ///
    /// In a large service a member stands by for units of more than a hundred
    /// owners. It reports to a few of them at a time, and then only on
    /// connections that requests keep open: a handshake costs more than a minute
    /// of renewals.
    fn report_load(&mut self) {
        let Some(identity) = &self.identity else { return };
        let me = identity.me;
        let (busy, capacity) = self.parts.gate.load();
        let service = self.parts.gate.mean_time().as_micros();
        let service = u32::try_from(service).unwrap_or(0);
        let rate = self.parts.gate.rate();
        let leaving = self.pausing() || identity.retiring.is_some();
        let loads = Loads { member: me.0, rate, busy, capacity, service, leaving };
        let datagram = Datagram { body: Some(datagram::Body::Loads(loads)) };
        let units = self.state.services().flat_map(Service::units);
        let mut owners: Vec<MemberId> = units
            .filter(|(_, assignment)| assignment.standby == Some(me))
            .filter_map(|(_, a)| a.owner)
            .collect();
        owners.sort_unstable();
        owners.dedup();
        let few = owners.len() <= REPORTS;
        for owner in self.balance.turn(&owners) {
            let Some(to) = self.state.member(owner).and_then(peer_address) else { continue };
            if few || self.parts.transport.connected(to) {
                self.parts.transport.send(to, &datagram, false);
            }
        }
    }

    /// Tells the owners at once that no unit should move to this member any more.
    ///
    /// Guards against a leaving member that never gets away: it leaves once it serves all that it
    /// owns, and others that do not know of it yet move further units to it meanwhile. And against
    /// one whose process is about to be started again: it takes no more requests, so that it looks
    /// idle, and what moved to it would have no server until the next process has joined.
    pub(super) fn report_leaving(&mut self) {
        self.balance.reported = Time::ZERO;
        self.duties = Time::ZERO;
    }

    /// Passes on what this leaving member serves while it waits for other units of its own.
    ///
    /// Guards against keys without server: the upstream takes no more requests, and a unit on its
    /// way here may take a second or more, for which all others would wait.
    pub(super) fn pass_on_served(&mut self, now: Time) {
        let Some(me) = self.identity.as_ref().map(|identity| identity.me) else { return };
        let state = Arc::clone(&self.state);
        let stays = |id: &MemberId| {
            let alive = state.member(*id).is_some_and(Member::alive);
            alive && !self.balance.leaving.contains(id)
        };
        let mut plans = Vec::new();
        for service in state.services() {
            let mine = service.units().filter(|(_, assignment)| assignment.owner == Some(me));
            let movable =
                mine.filter(|(_, assignment)| assignment.standby.as_ref().is_some_and(stays));
            let switchovers = movable.map(|(unit, _)| unit).collect();
            plans.push((&service.workspace, Plan { switchovers, ..Plan::default() }));
        }
        for (workspace, plan) in plans {
            self.propose_switchovers(now, workspace, &plan);
        }
    }

    /// Sends the imbalance as this member knows it, none without load.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a ratio is small and not negative, a count is far below the exact range"
    )]
    fn report_imbalance(&self, now: Time) {
        let own = self.own_load(now).rate;
        let total: f64 = self.balance.loads.values().map(|load| load.rate).sum::<f64>() + own;
        let count = self.balance.loads.len() + 1;
        if total > 0.0 {
            let ratio = own * count as f64 / total;
            self.parts.metrics.gauge(Gauge::BalanceImbalance, (ratio * 1000.0) as u64);
        }
    }

    /// Takes in the load of another member.
    #[expect(clippy::cast_precision_loss, reason = "a rate is far below the exact range")]
    pub(super) fn on_loads(&mut self, now: Time, loads: &Loads) {
        let rate = loads.rate as f64 / 1000.0;
        let load = Load { rate, busy: loads.busy, capacity: loads.capacity, speed: 1.0, at: now };
        let member = MemberId(loads.member);
        if loads.leaving {
            self.balance.leaving.insert(member);
            self.balance.loads.remove(&member);
        } else {
            self.balance.leaving.remove(&member);
            self.balance.loads.insert(member, load);
        }
        if loads.service > 0 {
            let service = Duration::from_micros(loads.service.into());
            self.balance.services.insert(member, service);
        }
        let state = &self.state;
        self.balance.loads.retain(|id, _| state.lives(*id));
        self.balance.leaving.retain(|id| state.lives(*id));
        let loads = &self.balance.loads;
        self.balance.services.retain(|id, _| loads.contains_key(id));
    }

    /// Notes the switchovers that a batch of records has brought.
    ///
    /// A first assignment or the loss of an owner is no move: the unit need not
    /// rest after it.
    pub(super) fn note_moves(&mut self, now: Time, before: &State) {
        let Some(workspace) = self.own_workspace() else { return };
        let (Some(old), Some(new)) = (before.service(&workspace), self.state.service(&workspace))
        else {
            return;
        };
        for (unit, assignment) in new.units() {
            let former = old.assignment(unit).and_then(|old| old.owner);
            let moved =
                former.is_some() && former == assignment.prior && former != assignment.owner;
            if let Some(owner) = assignment.owner.filter(|_| moved) {
                self.balance.history.record_switchover(now, unit, owner);
            }
        }
    }

    fn own_workspace(&self) -> Option<Name> {
        self.attachment().map(|attachment| Arc::clone(&attachment.workspace))
    }

    fn plan(&mut self, now: Time) {
        let Some(workspace) = self.own_workspace() else { return };
        let Some(plan) = self.decide(now, &workspace) else { return };
        if plan.is_empty() {
            return;
        }
        debug!(%workspace, ?plan, "balance");
        let moved = self.propose_switchovers(now, &workspace, &plan);
        self.balance.history.record_plan(now, &Plan { switchovers: moved, ..Plan::default() });
        self.propose_handoff(now, &workspace, &plan);
        self.propose_splits(now, &workspace, &plan);
        self.propose_merges(now, &workspace, &plan);
    }

    fn decide(&mut self, now: Time, workspace: &Name) -> Option<Plan> {
        let me = self.identity.as_ref()?.me;
        let service = self.state.service(workspace)?;
        let route = self.state.routes().get(workspace);
        let weights = route.map_or(EVEN, |route| route.weights);
        let mut members = BTreeMap::new();
        for member in self.state.members_of(workspace).filter(|member| member.alive()) {
            let load = if member.id == me {
                Some(self.own_load(now))
            } else {
                self.balance.loads.get(&member.id).copied()
            };
            let load = load.map(|load| Load { speed: self.speed(member.id, me), ..load });
            let data_centre = Arc::clone(&member.data_centre);
            members.insert(member.id, Candidate { data_centre, load });
        }
        let settings: &BalanceSettings = &self.parts.balance;
        let history = &mut self.balance.history;
        let gate = &self.parts.gate;
        let service_time = gate.service_time();
        let decide = |heat: &mut RequestRates| {
            let view = balance::View {
                local: me,
                service,
                members: &members,
                rates: heat,
                weights,
                service_time,
            };
            balance::plan(now, &view, settings, history)
        };
        Some(gate.with_heat(workspace, decide))
    }

    #[expect(clippy::cast_precision_loss, reason = "a rate is far below the exact range")]
    fn own_load(&self, now: Time) -> Load {
        let (busy, capacity) = self.parts.gate.load();
        let rate = self.parts.gate.rate() as f64 / 1000.0;
        Load { rate, busy, capacity, speed: 1.0, at: now }
    }

    /// Returns how fast a member's upstream is, relative to the mean of those that are known.
    ///
    /// Guards against load that is even by count and not by time: upstreams of one service differ
    /// in speed by more than two times, and the slow ones would be full while the others idle.
    fn speed(&self, member: MemberId, me: MemberId) -> f64 {
        let own = self.parts.gate.mean_time();
        let others = self.balance.services.values().copied();
        let known: Vec<f64> = others.chain([own]).map(|time| time.as_secs_f64()).collect();
        let count = u32::try_from(known.len()).map_or(1.0, f64::from);
        let mean = known.iter().sum::<f64>() / count;
        let time = if member == me { Some(&own) } else { self.balance.services.get(&member) };
        time.filter(|time| !time.is_zero()).map_or(1.0, |time| mean / time.as_secs_f64())
    }

    /// Proposes switchovers of units that this member serves; returns them.
    ///
    /// A unit whose former owner has not released yet stays: the record would
    /// make this member its `prior`, and nobody would wait for the former owner.
    fn propose_switchovers(&mut self, now: Time, workspace: &Name, plan: &Plan) -> Vec<UnitId> {
        let Some(identity) = &self.identity else { return Vec::new() };
        let serving = |unit: &UnitId| identity.rights.serving(workspace, *unit);
        let units: Vec<UnitId> = plan.switchovers.iter().copied().filter(serving).collect();
        let messages = self.units(workspace, &units);
        if messages.is_empty() {
            return Vec::new();
        }
        info!(%workspace, units = units.len(), "proposing switchovers");
        let body =
            Switchover { member: identity.me.0, workspace: workspace.to_string(), units: messages };
        let purpose = Purpose::Switchover(Arc::clone(workspace));
        let proposed = self.proposals.propose(now, purpose, record::Body::Switchover(body));
        if proposed { units } else { Vec::new() }
    }

    /// Proposes the hand-over of standby roles to one member at a time.
    ///
    /// The roles are renounced before the record is appended: once another
    /// member may hold them, this one must not take over any more.
    fn propose_handoff(&mut self, now: Time, workspace: &Name, plan: &Plan) {
        let Some((_, target)) = plan.handoffs.first().copied() else { return };
        let purpose = Purpose::Handoff(Arc::clone(workspace));
        if self.proposals.pending(&purpose) {
            return;
        }
        let given = plan.handoffs.iter().filter(|(_, to)| *to == target).map(|(unit, _)| *unit);
        // A unit that was taken over may still be held by the upstream beside this member.
        let units: Vec<UnitId> =
            given.filter(|unit| !self.upstream_holds(now, workspace, *unit)).collect();
        let messages = self.units(workspace, &units);
        if messages.is_empty() {
            return;
        }
        let Some(identity) = &mut self.identity else { return };
        let renounced: Vec<(Name, UnitId, Offset)> = messages
            .iter()
            .map(|unit| (Arc::clone(workspace), wire::unit_id(unit), unit.version))
            .collect();
        for (workspace, unit, version) in &renounced {
            identity.rights.renounce(workspace, *unit, *version);
        }
        let body = Handoff {
            member: identity.me.0,
            workspace: workspace.to_string(),
            units: messages,
            target: target.0,
        };
        let proposal =
            Proposal { purpose, since: now, renounced, changed: Vec::new(), reply: None };
        self.dirty = true;
        self.submit(proposal, record::Body::Handoff(body));
    }

    fn propose_splits(&mut self, now: Time, workspace: &Name, plan: &Plan) {
        let messages = self.slots_of(workspace, &plan.splits);
        let body =
            |member, workspace, units| record::Body::Split(Split { member, workspace, units });
        self.propose_change(now, Purpose::Split(Arc::clone(workspace)), workspace, messages, body);
    }

    fn propose_merges(&mut self, now: Time, workspace: &Name, plan: &Plan) {
        let messages = self.units(workspace, &plan.merges);
        let body =
            |member, workspace, units| record::Body::Merge(Merge { member, workspace, units });
        self.propose_change(now, Purpose::Merge(Arc::clone(workspace)), workspace, messages, body);
    }

    /// Proposes a split or merge; no release of the slots until its outcome is known.
    fn propose_change(
        &mut self,
        now: Time,
        purpose: Purpose,
        workspace: &Name,
        messages: Vec<Unit>,
        body: impl FnOnce(u64, String, Vec<Unit>) -> record::Body,
    ) {
        if messages.is_empty() || self.proposals.pending(&purpose) {
            return;
        }
        let Some(identity) = &mut self.identity else { return };
        let mut changed = Vec::new();
        for unit in &messages {
            identity.rights.change(workspace, unit.slot);
            changed.push((Arc::clone(workspace), wire::unit_id(unit)));
        }
        info!(%workspace, keys = messages.len(), ?purpose, "proposing a change of hot keys");
        let body = body(identity.me.0, workspace.to_string(), messages);
        let proposal =
            Proposal { purpose, since: now, renounced: Vec::new(), changed, reply: None };
        self.submit(proposal, body);
    }

    /// Returns units with their versions.
    fn units(&self, workspace: &Name, units: &[UnitId]) -> Vec<Unit> {
        let service = self.state.service(workspace);
        let version = |unit: &UnitId| Some(service?.assignment(*unit)?.version);
        units.iter().filter_map(|unit| Some(wire::unit(*unit, version(unit)?))).collect()
    }

    /// Returns keys that are not yet units, with the versions of their slots.
    fn slots_of(&self, workspace: &Name, keys: &[UnitId]) -> Vec<Unit> {
        let service = self.state.service(workspace);
        let version = |unit: &UnitId| Some(service?.assignment(UnitId::slot(unit.slot))?.version);
        keys.iter().filter_map(|unit| Some(wire::unit(*unit, version(unit)?))).collect()
    }
}
