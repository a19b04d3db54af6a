//! Simulation of members that plan moves independently over one service; requests are only counted.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciaring_core::balance::{BalanceSettings, Candidate, History, Load, Plan, View, plan};
use acaciaring_core::rates::{RateSettings, RequestRates};
use acaciaring_core::route::Weights;
use acaciaring_core::state::{Assignment, HotKey, Service};
use acaciaring_core::{KeyHash, MemberId, Time, UnitId};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// Requests that one member can run concurrently.
const MEMBER_CAPACITY: u32 = 20;

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Policy by which members decide on moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The planner of the core crate.
    Weighted,
    /// A member above the mean load moves its hottest units, regardless of the cost of a move.
    Greedy,
    /// Rendezvous hashing: units move only when members join or leave.
    Hashing,
}

/// Settings of a simulated fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    pub members: u32,
    pub slots: u32,
    /// Requests per second over the whole fleet.
    pub rate: f64,
    /// Standard deviation of the logarithm of slot popularity.
    pub skew: f64,
    pub policy: Policy,
    pub weights: Weights,
    pub balance: BalanceSettings,
    /// Time between plans.
    pub period: Duration,
    /// Members that plan concurrently, before they see each other's moves.
    pub overlap: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            members: 6,
            slots: 256,
            rate: 3_000.0,
            skew: 0.3,
            policy: Policy::Weighted,
            weights: Weights { churn: 500, downtime: 500 },
            balance: BalanceSettings::default(),
            period: Duration::from_secs(5),
            overlap: 2,
        }
    }
}

struct Server {
    data_centre: usize,
    rates: RequestRates,
    history: History,
    /// Requests in the last period.
    count: u32,
    /// Factor by which the server is slower than the others.
    slowness: f64,
    load: Option<Load>,
}

/// Fleet of members.
pub struct Fleet {
    settings: FleetSettings,
    rng: StdRng,
    pub now: Time,
    pub service: Service,
    servers: BTreeMap<MemberId, Server>,
    /// Cumulative popularity of the slots.
    popularity: Vec<f64>,
    /// Hot keys and their share of all requests.
    hot: Vec<(KeyHash, f64)>,
    version: u64,
    /// Planned moves of slots and hot keys: time, unit and new owner.
    pub moved: Vec<(Time, UnitId, MemberId)>,
    /// Units that moved because their owner was lost.
    pub forced: usize,
    pub splits: usize,
    pub merges: usize,
    /// Total time for which moved units were not served, with Poisson requests in flight.
    pub unserved: Duration,
}

impl Fleet {
    pub fn new(seed: u64, settings: FleetSettings) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let weights: Vec<_> =
            (0..settings.slots).map(|_| (settings.skew * normal(&mut rng)).exp()).collect();
        let popularity = weights.iter().scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        let service = Service {
            workspace: "test".into(),
            slots: vec![Assignment::default(); settings.slots as usize],
            hot: BTreeMap::new(),
            numeric: false,
        };
        let mut fleet = Self {
            popularity: popularity.collect(),
            rng,
            now: Time::ZERO,
            service,
            servers: BTreeMap::new(),
            hot: Vec::new(),
            version: 1,
            moved: Vec::new(),
            forced: 0,
            splits: 0,
            merges: 0,
            unserved: Duration::ZERO,
            settings,
        };
        for _ in 0..fleet.settings.members {
            fleet.add();
        }
        fleet.assign();
        fleet
    }

    /// Adds a member. It owns nothing yet, except under hashing the slots that map to it.
    pub fn join(&mut self) -> MemberId {
        let id = self.add();
        if self.settings.policy == Policy::Hashing {
            for slot in 0..self.settings.slots {
                if self.rendezvous(slot) == id {
                    let unit = UnitId::slot(slot);
                    self.service.slots[slot as usize].owner = Some(id);
                    self.moved.push((self.now, unit, id));
                }
            }
        }
        id
    }

    /// Removes a member: its units pass to their standbys, and new standbys are drawn.
    pub fn lose_member(&mut self, id: MemberId) {
        self.servers.remove(&id);
        let mut units: Vec<_> = self.service.units().map(|(unit, a)| (unit, *a)).collect();
        units.retain(|(_, a)| a.owner == Some(id) || a.standby == Some(id));
        for (unit, mut assignment) in units {
            if assignment.owner == Some(id) {
                self.forced += 1;
                assignment.owner = match self.settings.policy {
                    Policy::Hashing => Some(self.rendezvous(unit.slot)),
                    Policy::Weighted | Policy::Greedy => assignment.standby,
                };
            }
            assignment.standby = self.draw_standby(assignment.owner);
            self.set(unit, assignment);
        }
    }

    /// Slows a member down, which its load reports show only in the busy requests.
    pub fn slow_down(&mut self, id: MemberId, factor: f64) {
        self.servers.get_mut(&id).unwrap().slowness = factor;
    }

    /// Sets the hot keys, each with its share of all requests.
    pub fn set_hot_keys(&mut self, hot: Vec<(KeyHash, f64)>) {
        self.hot = hot;
    }

    pub fn members(&self) -> Vec<MemberId> {
        self.servers.keys().copied().collect()
    }

    /// Returns the number of slots that a member owns.
    pub fn owned(&self, id: MemberId) -> usize {
        self.service.slots.iter().filter(|a| a.owner == Some(id)).count()
    }

    /// Returns the requests per second of a member in the last period.
    pub fn rate(&self, id: MemberId) -> f64 {
        f64::from(self.servers[&id].count) / self.settings.period.as_secs_f64()
    }

    /// Returns the highest load and the standard deviation, both relative to the mean.
    ///
    /// Loads are expected values by key popularity, without the noise of single requests.
    pub fn imbalance(&self) -> (f64, f64) {
        let mut loads: BTreeMap<_, _> = self.servers.keys().map(|id| (*id, 0.0)).collect();
        for (unit, assignment) in self.service.units() {
            if let Some(load) = assignment.owner.and_then(|id| loads.get_mut(&id)) {
                *load += self.expected(unit);
            }
        }
        let count = f64::from(u32::try_from(loads.len()).unwrap());
        let max = loads.values().fold(0.0, |max: f64, load| max.max(*load));
        let variance = loads.values().map(|load| (load * count - 1.0).powi(2)).sum::<f64>() / count;
        (max * count, variance.sqrt())
    }

    /// Returns the expected share of all requests for a unit.
    fn expected(&self, unit: UnitId) -> f64 {
        let covered = self.hot.iter().filter(|(key, _)| self.service.unit_of(*key) == unit);
        let hot: f64 = covered.map(|(_, part)| part).sum();
        if unit.key.is_some() {
            return hot;
        }
        let slot = unit.slot as usize;
        let before = if slot == 0 { 0.0 } else { self.popularity[slot - 1] };
        let all: f64 = self.hot.iter().map(|(_, part)| part).sum();
        let part = (self.popularity[slot] - before) / self.popularity.last().unwrap();
        hot + part * (1.0 - all)
    }

    /// Simulates a span: in each period, requests arrive, loads are reported and members plan.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.serve();
            self.now = self.now + self.settings.period;
            let members = self.candidates();
            self.report();
            let mut ids = self.members();
            ids.shuffle(&mut self.rng);
            for group in ids.chunks(self.settings.overlap) {
                for (id, plan) in self.plans(group, &members) {
                    self.apply(id, &plan);
                }
            }
        }
    }

    fn add(&mut self) -> MemberId {
        self.version += 1;
        let id = MemberId(self.version);
        let server = Server {
            data_centre: self.servers.len() % 3,
            rates: RequestRates::new(self.now, RateSettings::default()),
            history: History::default(),
            count: 0,
            slowness: 1.0,
            load: None,
        };
        self.servers.insert(id, server);
        id
    }

    fn assign(&mut self) {
        let members = self.members();
        for slot in 0..self.settings.slots {
            let owner = match self.settings.policy {
                Policy::Hashing => self.rendezvous(slot),
                Policy::Weighted | Policy::Greedy => members[slot as usize % members.len()],
            };
            let standby = self.draw_standby(Some(owner));
            let assignment = Assignment {
                owner: Some(owner),
                standby,
                prior: None,
                prior_standby: None,
                version: 1,
                token: 1,
            };
            self.service.slots[slot as usize] = assignment;
        }
    }

    fn rendezvous(&self, slot: u32) -> MemberId {
        let rank = |id: &MemberId| {
            KeyHash::of(&[id.0.to_le_bytes(), u64::from(slot).to_le_bytes()].concat())
        };
        *self.servers.keys().max_by_key(|id| rank(id)).unwrap()
    }

    fn draw_standby(&mut self, owner: Option<MemberId>) -> Option<MemberId> {
        let data_centre =
            owner.and_then(|id| self.servers.get(&id)).map(|server| server.data_centre);
        let candidates =
            self.servers.iter().filter(|(_, server)| Some(server.data_centre) != data_centre);
        let candidates: Vec<_> = candidates.map(|(id, _)| *id).collect();
        candidates.choose(&mut self.rng).copied()
    }

    fn serve(&mut self) {
        self.servers.values_mut().for_each(|server| server.count = 0);
        let step = Duration::from_secs_f64(1.0 / self.settings.rate);
        let mut at = self.now;
        while at < self.now + self.settings.period {
            let key = self.draw_key();
            let unit = self.service.unit_of(key);
            let owner = self.service.assignment(unit).and_then(|a| a.owner).unwrap();
            let server = self.servers.get_mut(&owner).unwrap();
            server.rates.record(at, unit, key);
            server.count += 1;
            at = at + step;
        }
    }

    fn draw_key(&mut self) -> KeyHash {
        let mut share = self.rng.random::<f64>();
        for (key, key_share) in &self.hot {
            if share < *key_share {
                return *key;
            }
            share -= key_share;
        }
        let total = self.popularity.last().copied().unwrap();
        let point = self.rng.random::<f64>() * total;
        let slot = self.popularity.partition_point(|sum| *sum <= point);
        let nth = self.rng.random_range(1..7_000);
        KeyHash(slot as u64 + u64::from(self.settings.slots) * nth)
    }

    fn report(&mut self) {
        let period = self.settings.period.as_secs_f64();
        for server in self.servers.values_mut() {
            let rate = f64::from(server.count) / period;
            let busy = rate * SERVICE_TIME.as_secs_f64() * server.slowness;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a small count"
            )]
            let busy = busy.round() as u32;
            // An overloaded upstream has its queue full.
            let busy = if busy > MEMBER_CAPACITY { busy.min(3 * MEMBER_CAPACITY) } else { busy };
            server.load =
                Some(Load { rate, busy, capacity: MEMBER_CAPACITY, speed: 1.0, at: self.now });
        }
    }

    /// Returns the loads as reported one period ago.
    fn candidates(&self) -> BTreeMap<MemberId, Candidate> {
        let candidate = |server: &Server| {
            let data_centre = server.data_centre.to_string().into();
            Candidate { data_centre, load: server.load }
        };
        self.servers.iter().map(|(id, server)| (*id, candidate(server))).collect()
    }

    /// Lets the members of a group plan concurrently from the same state.
    fn plans(
        &mut self,
        group: &[MemberId],
        members: &BTreeMap<MemberId, Candidate>,
    ) -> Vec<(MemberId, Plan)> {
        if self.settings.policy == Policy::Hashing {
            return Vec::new();
        }
        let (now, service, settings) = (self.now, &self.service, &self.settings);
        let decide = |id: MemberId, server: &mut Server| {
            let view = View {
                local: id,
                service,
                members,
                rates: &server.rates,
                weights: settings.weights,
                service_time: SERVICE_TIME,
            };
            let plan = match settings.policy {
                Policy::Weighted => plan(now, &view, &settings.balance, &mut server.history),
                Policy::Greedy | Policy::Hashing => greedy(now, &view),
            };
            server.history.record_plan(now, &plan);
            (id, plan)
        };
        let servers = self.servers.iter_mut().filter(|(id, _)| group.contains(id));
        std::thread::scope(|scope| {
            let threads = servers.map(|(id, server)| scope.spawn(|| decide(*id, server)));
            let threads: Vec<_> = threads.collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        })
    }

    fn apply(&mut self, id: MemberId, plan: &Plan) {
        for unit in &plan.switchovers {
            let assignment = *self.service.assignment(*unit).unwrap();
            let Some(to) = assignment.standby else { continue };
            if assignment.owner == Some(id) && self.servers.contains_key(&to) {
                self.set(*unit, Assignment { owner: Some(to), standby: Some(id), ..assignment });
                self.servers.get_mut(&id).unwrap().rates.forget(*unit);
                self.servers
                    .values_mut()
                    .for_each(|s| s.history.record_switchover(self.now, *unit, to));
                self.moved.push((self.now, *unit, to));
                self.record_unserved(*unit);
            }
        }
        for (target, units) in plan.handoffs_by_receiver() {
            for unit in units {
                let assignment = *self.service.assignment(unit).unwrap();
                if assignment.standby == Some(id) && assignment.owner != Some(target) {
                    self.set(unit, Assignment { standby: Some(target), ..assignment });
                }
            }
        }
        for unit in &plan.splits {
            let assignment = *self.service.assignment(UnitId::slot(unit.slot)).unwrap();
            let hot = HotKey { slot: unit.slot, assignment };
            self.service.hot.insert(unit.key.unwrap(), hot);
            self.splits += 1;
        }
        for unit in &plan.merges {
            self.service.hot.remove(&unit.key.unwrap());
            self.merges += 1;
        }
    }

    /// Adds the cost of a planned move: one message, and the rest of a request if one is in flight.
    fn record_unserved(&mut self, unit: UnitId) {
        let in_flight = self.expected(unit) * self.settings.rate * SERVICE_TIME.as_secs_f64();
        let rest = SERVICE_TIME.mul_f64(1.0 - (-in_flight).exp());
        self.unserved += Duration::from_millis(2) + rest;
    }

    fn set(&mut self, unit: UnitId, assignment: Assignment) {
        self.version += 1;
        let assignment = Assignment { version: self.version, ..assignment };
        match unit.key {
            Some(key) => self.service.hot.get_mut(&key).unwrap().assignment = assignment,
            None => self.service.slots[unit.slot as usize] = assignment,
        }
    }
}

/// Moves the hottest units while this member is above the mean and each move lowers the higher load
/// of the two members.
fn greedy(now: Time, view: &View<'_>) -> Plan {
    let rate = |id: &MemberId| view.members[id].load.map(|load| load.rate);
    let known: Vec<_> = view.members.keys().filter_map(rate).collect();
    if known.is_empty() {
        return Plan::default();
    }
    let mean = known.iter().sum::<f64>() / f64::from(u32::try_from(known.len()).unwrap());
    let mut own_rate = view.rates.total(now);
    let mut others: BTreeMap<_, _> =
        view.members.keys().filter_map(|id| Some((*id, rate(id)?))).collect();
    let owned = view.service.units().filter(|(_, a)| a.owner == Some(view.local));
    let mut units: Vec<_> = owned
        .filter_map(|(unit, a)| Some((unit, a.standby?, view.rates.rate(now, unit))))
        .collect();
    units.sort_by(|a, b| b.2.total_cmp(&a.2));
    let mut plan = Plan::default();
    for (unit, standby, unit_rate) in units {
        let Some(standby_rate) = others.get_mut(&standby) else { continue };
        if own_rate > mean && unit_rate > 0.0 && *standby_rate + unit_rate < own_rate {
            own_rate -= unit_rate;
            *standby_rate += unit_rate;
            plan.switchovers.push(unit);
        }
    }
    plan
}

/// Draws from the standard normal distribution (Box and Muller, 1958).
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
