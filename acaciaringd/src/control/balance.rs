//! Load balancing: each owner decides which of its units move to less loaded members.

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

/// Interval at which this member reports its load to owners that may move units to it.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of owners that one load report is sent to.
const REPORTS_PER_ROUND: usize = 12;

/// Weights of a service without a published document.
const DEFAULT_WEIGHTS: Weights = Weights { churn: 1_000, downtime: 1_000 };

/// State of load balancing.
#[derive(Debug, Default)]
pub(super) struct Balance {
    loads: HashMap<MemberId, Load>,
    /// Known mean service times of other members' upstreams.
    service_times: HashMap<MemberId, Duration>,
    /// Members that have reported that they are leaving.
    leaving: HashSet<MemberId>,
    history: History,
    last_plan: Time,
    last_report: Time,
    /// Index of the owner that the next load report starts with.
    next_owner: usize,
}

impl Balance {
    /// Returns the owners to send the next load report to, in round-robin order.
    fn next_recipients(&mut self, owners: &[MemberId]) -> Vec<MemberId> {
        let count = owners.len().min(REPORTS_PER_ROUND);
        let start = self.next_owner;
        self.next_owner = (start + count) % owners.len().max(1);
        owners.iter().copied().cycle().skip(start).take(count).collect()
    }
}

impl Control {
    /// Reports this member's load and proposes moves of its units.
    ///
    /// Beside an upstream that sends heartbeats, moves are planned on each heartbeat, so that its
    /// reply can already leave out units that move.
    pub(super) fn balance(&mut self, now: Time) {
        if now.since(self.balance.last_report) >= self.report_interval() {
            self.balance.last_report = now;
            self.report_load();
            self.report_imbalance(now);
        }
        if !self.upstream.has_reported {
            self.plan_when_due(now);
        }
    }

    /// Returns the interval at which this member reports its load.
    ///
    /// Where moves are planned on heartbeats, each plan needs fresh loads; elsewhere plans are
    /// frequent, and fresher loads would move more units.
    fn report_interval(&self) -> Duration {
        if self.upstream.has_reported {
            REPORT_INTERVAL.min(self.context.balance_interval)
        } else {
            REPORT_INTERVAL
        }
    }

    /// Proposes moves of this member's units, if a plan is due.
    pub(super) fn plan_when_due(&mut self, now: Time) {
        let due = now.since(self.balance.last_plan) >= self.context.balance_interval;
        if due && !self.retiring() && !self.restarting() && self.context.balance.min_moves > 0 {
            self.balance.last_plan = now;
            self.plan(now);
        }
    }

    /// Sends this member's load to the owners of units for which it is the standby.
    ///
    /// In a large service there are many such owners, so it reports to a few at a time, and then
    /// only on connections that are already open: a handshake is far more expensive than a report.
    fn report_load(&mut self) {
        let Some(identity) = &self.identity else { return };
        let me = identity.me;
        let (busy, capacity) = self.context.gate.load();
        let service = self.context.gate.mean_time().as_micros();
        let service = u32::try_from(service).unwrap_or(0);
        let rate = self.context.gate.rate();
        let leaving = self.restarting() || identity.retiring.is_some();
        let loads = Loads { member: me.0, rate, busy, capacity, service, leaving };
        let datagram = Datagram { body: Some(datagram::Body::Loads(loads)) };
        let units = self.state.services().flat_map(Service::units);
        let mut owners: Vec<MemberId> = units
            .filter(|(_, assignment)| assignment.standby == Some(me))
            .filter_map(|(_, a)| a.owner)
            .collect();
        owners.sort_unstable();
        owners.dedup();
        let few = owners.len() <= REPORTS_PER_ROUND;
        for owner in self.balance.next_recipients(&owners) {
            let Some(to) = self.state.member(owner).and_then(peer_address) else { continue };
            if few || self.context.transport.connected(to) {
                self.context.transport.send(to, &datagram, false);
            }
        }
    }

    /// Makes load reports and maintenance due at once, so that owners move no more units here.
    ///
    /// Guards against a leaving member that never finishes, because it must first serve units that
    /// others still move to it; and against moves to a restarting process, which looks idle and
    /// could not serve them until the next process has joined.
    pub(super) fn report_leaving(&mut self) {
        self.balance.last_report = Time::ZERO;
        self.last_maintenance = Time::ZERO;
    }

    /// Switches over the units that this leaving member serves while it waits for releases.
    ///
    /// Guards against keys without server: the upstream accepts no more requests, and all units
    /// would wait for the slowest release.
    pub(super) fn switch_over_served(&mut self, now: Time) {
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

    /// Updates the imbalance metric from the loads known to this member, unless there is no load.
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
            self.context.metrics.gauge(Gauge::BalanceImbalance, (ratio * 1000.0) as u64);
        }
    }

    /// Handles the load report of another member.
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
            self.balance.service_times.insert(member, service);
        }
        let state = &self.state;
        self.balance.loads.retain(|id, _| state.is_present(*id));
        self.balance.leaving.retain(|id| state.is_present(*id));
        let loads = &self.balance.loads;
        self.balance.service_times.retain(|id, _| loads.contains_key(id));
    }

    /// Records the switchovers in a folded batch, so that the units do not move again too soon.
    ///
    /// First assignments and takeovers from dead owners do not count as moves.
    pub(super) fn track_moves(&mut self, now: Time, before: &State) {
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
        debug!(%workspace, ?plan, "balancing plan");
        let moved = self.propose_switchovers(now, &workspace, &plan);
        self.balance.history.record_plan(now, &Plan { switchovers: moved, ..Plan::default() });
        self.propose_handoffs(now, &workspace, &plan);
        self.propose_splits(now, &workspace, &plan);
        self.propose_merges(now, &workspace, &plan);
    }

    fn decide(&mut self, now: Time, workspace: &Name) -> Option<Plan> {
        let me = self.identity.as_ref()?.me;
        let service = self.state.service(workspace)?;
        let route = self.state.routes().get(workspace);
        let weights = route.map_or(DEFAULT_WEIGHTS, |route| route.weights);
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
        let settings: &BalanceSettings = &self.context.balance;
        let history = &mut self.balance.history;
        let gate = &self.context.gate;
        let service_time = gate.service_time();
        let decide = |request_rates: &mut RequestRates| {
            let view = balance::View {
                local: me,
                service,
                members: &members,
                rates: request_rates,
                weights,
                service_time,
            };
            balance::plan(now, &view, settings, history)
        };
        Some(gate.with_rates(workspace, decide))
    }

    #[expect(clippy::cast_precision_loss, reason = "a rate is far below the exact range")]
    fn own_load(&self, now: Time) -> Load {
        let (busy, capacity) = self.context.gate.load();
        let rate = self.context.gate.rate() as f64 / 1000.0;
        Load { rate, busy, capacity, speed: 1.0, at: now }
    }

    /// Returns the speed of a member's upstream, relative to the mean of all known ones.
    ///
    /// Guards against load that is even by requests but not by time: slow upstreams would be
    /// overloaded while fast ones are idle.
    fn speed(&self, member: MemberId, me: MemberId) -> f64 {
        let own = self.context.gate.mean_time();
        let others = self.balance.service_times.values().copied();
        let known: Vec<f64> = others.chain([own]).map(|time| time.as_secs_f64()).collect();
        let count = u32::try_from(known.len()).map_or(1.0, f64::from);
        let mean = known.iter().sum::<f64>() / count;
        let time = if member == me { Some(&own) } else { self.balance.service_times.get(&member) };
        time.filter(|time| !time.is_zero()).map_or(1.0, |time| mean / time.as_secs_f64())
    }

    /// Proposes switchovers of units that this member serves; returns the proposed units.
    ///
    /// A unit that its former owner has not released yet is left out: the record would make this
    /// member its `prior`, and nobody would wait for the former owner.
    fn propose_switchovers(&mut self, now: Time, workspace: &Name, plan: &Plan) -> Vec<UnitId> {
        let Some(identity) = &self.identity else { return Vec::new() };
        let serving = |unit: &UnitId| identity.rights.serving(workspace, *unit);
        let units: Vec<UnitId> = plan.switchovers.iter().copied().filter(serving).collect();
        let messages = self.unit_messages(workspace, &units);
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

    /// Proposes to transfer standby roles, with a record for each of a few members.
    fn propose_handoffs(&mut self, now: Time, workspace: &Name, plan: &Plan) {
        for (target, units) in plan.handoffs_by_receiver() {
            self.propose_handoff(now, workspace, units, target);
        }
    }

    /// Proposes to transfer standby roles to one member.
    ///
    /// The roles are renounced before the record is appended: once another member may hold them,
    /// this one must not take over.
    fn propose_handoff(
        &mut self,
        now: Time,
        workspace: &Name,
        mut units: Vec<UnitId>,
        target: MemberId,
    ) {
        let purpose = Purpose::Handoff(Arc::clone(workspace), target);
        if self.proposals.pending(&purpose) {
            return;
        }
        // The local upstream may still hold a unit that was taken over. With two pending records for
        // a role, the rejection of one would restore it while the other may still give it away.
        units.retain(|unit| {
            !self.upstream_holds(now, workspace, *unit)
                && !self.proposals.renounces(workspace, *unit)
        });
        let messages = self.unit_messages(workspace, &units);
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
        let serving = |unit: &UnitId| self.serving(workspace, UnitId::slot(unit.slot));
        let splits: Vec<UnitId> = plan.splits.iter().copied().filter(serving).collect();
        let messages = self.key_messages(workspace, &splits);
        let body =
            |member, workspace, units| record::Body::Split(Split { member, workspace, units });
        self.propose_change(now, Purpose::Split(Arc::clone(workspace)), workspace, messages, body);
    }

    /// Proposes merges of hot keys that this member serves into slots that it serves too.
    ///
    /// With the slot it would otherwise serve a key at once that its former owner still holds.
    fn propose_merges(&mut self, now: Time, workspace: &Name, plan: &Plan) {
        let serving = |unit: &UnitId| {
            let slot = UnitId::slot(unit.slot);
            self.serving(workspace, *unit) && self.serving(workspace, slot)
        };
        let merges: Vec<UnitId> = plan.merges.iter().copied().filter(serving).collect();
        let messages = self.unit_messages(workspace, &merges);
        let body =
            |member, workspace, units| record::Body::Merge(Merge { member, workspace, units });
        self.propose_change(now, Purpose::Merge(Arc::clone(workspace)), workspace, messages, body);
    }

    /// Returns true while this member serves a unit.
    fn serving(&self, workspace: &Name, unit: UnitId) -> bool {
        let identity = self.identity.as_ref();
        identity.is_some_and(|identity| identity.rights.serving(workspace, unit))
    }

    /// Proposes a split or merge; the slots are not released until its outcome is known.
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
            identity.rights.begin_change(workspace, unit.slot);
            changed.push((Arc::clone(workspace), wire::unit_id(unit)));
        }
        info!(%workspace, keys = messages.len(), ?purpose, "proposing a split or merge");
        let body = body(identity.me.0, workspace.to_string(), messages);
        let proposal =
            Proposal { purpose, since: now, renounced: Vec::new(), changed, reply: None };
        self.submit(proposal, body);
    }

    /// Returns messages for units, with the versions of their assignments.
    fn unit_messages(&self, workspace: &Name, units: &[UnitId]) -> Vec<Unit> {
        let service = self.state.service(workspace);
        let version = |unit: &UnitId| Some(service?.assignment(*unit)?.version);
        units.iter().filter_map(|unit| Some(wire::unit(*unit, version(unit)?))).collect()
    }

    /// Returns messages for keys that are not yet units, with the versions of their slots.
    fn key_messages(&self, workspace: &Name, keys: &[UnitId]) -> Vec<Unit> {
        let service = self.state.service(workspace);
        let version = |unit: &UnitId| Some(service?.assignment(UnitId::slot(unit.slot))?.version);
        keys.iter().filter_map(|unit| Some(wire::unit(*unit, version(unit)?))).collect()
    }
}
