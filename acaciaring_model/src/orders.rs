//! Model of grants by orders: one key range moves between upstreams, which members instruct by
//! orders.
//!
//! An order is carried out at once, late or never, and its answer may be lost; upstreams and
//! processes may restart. Each process tracks its orders in an [`Orders`] of the core.

use std::iter;
use std::time::Duration;

use acaciaring_core::holds::{Incarnation, Wanted};
use acaciaring_core::orders::{Action as OrderAction, Answer, Issued, ORDER_TIMEOUT, Orders};
use acaciaring_core::{Name, Time, Token, UnitId};

use crate::interner::{Handle, Interner};
use crate::mutation::Mutation;
use crate::search::Model;

/// Number of upstreams; each has a process beside it.
const UPSTREAM_COUNT: usize = 3;

/// Maximum hold of a grant: two ticks.
const MAX_HOLD: Duration = Duration::from_millis(400);

/// Factor by which the slow clock of an upstream lengthens a hold.
const CLOCK_SLOWDOWN: f64 = 1.02;

/// Increment of the token from one assignment to the next.
const TOKEN_STEP: u64 = 2;

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of ticks; one tick lasts [`ORDER_TIMEOUT`].
    pub ticks: u32,
    /// Maximum number of orders that are carried out late or whose answers are lost.
    pub faults: u32,
    /// Maximum number of restarts of upstreams and processes.
    pub restarts: u32,
    /// Number of ticks that a restart of an upstream takes.
    ///
    /// With none, an upstream may restart twice in less time than the epochs of tokens allow for.
    pub downtime: u32,
    /// Maximum number of moves of the range.
    pub moves: u32,
    /// Number of ticks after which the first member's lease expires and the next member takes over.
    pub lease: Option<u32>,
}

/// Order without a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingOrder {
    upstream: usize,
    issued: Issued,
    /// True while the order may still arrive.
    in_transit: bool,
    /// True once nobody waits for its answer: its sender has ended, or has given it up.
    orphaned: bool,
}

/// Order that has arrived but has not been carried out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Deferred {
    upstream: usize,
    issued: Issued,
    arrived: Time,
}

/// Actual state of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Server {
    generation: u64,
    last_token: Token,
    /// Expiry of the hold.
    until: Time,
    /// True while the process beside it has a connection to this incarnation.
    connected: bool,
    /// When this incarnation accepts its first connection.
    started: Time,
}

/// State of the processes, the upstreams and the orders between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrdersState {
    now: Time,
    servers: Vec<Server>,
    orders: Vec<Handle>,
    pending: Vec<PendingOrder>,
    deferred: Vec<Deferred>,
    owner: usize,
    token: u64,
    /// Upstream to which the range is moving.
    target: Option<usize>,
    /// Highest token under which the range was granted, with the upstream and its generation.
    highest: (Token, usize, u64),
    violation: Option<&'static str>,
    /// Numbers of faults, restarts and moves so far.
    used: (u32, u32, u32),
}

/// Event at a process or an upstream, or on the network between them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Time advances by one tick.
    Tick,
    /// A process decides on orders and sends them.
    Decide(usize),
    /// An order arrives, is carried out and is answered.
    Execute(usize),
    /// An order is carried out, and its answer is lost.
    ExecuteUnanswered(usize),
    /// An order arrives, is not answered, and may be carried out later.
    Defer(usize),
    /// A process stops waiting for the answer to an order.
    TimeOut(usize),
    /// A deferred order is carried out.
    ExecuteDeferred(usize),
    /// An upstream restarts as a new incarnation.
    RestartUpstream(usize),
    /// An upstream reports its incarnation to the process beside it.
    Report(usize),
    /// A process restarts; its upstream continues.
    RestartProcess(usize),
    /// The owner starts to move the range to this upstream.
    Move(usize),
    /// The target becomes the owner, as the previous owner's upstream no longer holds the range.
    Transfer,
    /// The next member takes over after the owner's lease has expired.
    Takeover,
}

/// Model of grants by orders.
pub struct OrdersModel {
    bounds: Bounds,
    mutation: Option<Mutation>,
    orders: Interner<Orders>,
}

impl OrdersModel {
    /// Creates the model, optionally with a guard removed.
    #[must_use]
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation, orders: Interner::default() }
    }

    /// Updates the orders of a process.
    fn update<R>(
        &self,
        state: &mut OrdersState,
        upstream: usize,
        change: impl FnOnce(&mut Orders) -> R,
    ) -> R {
        self.orders.update(&mut state.orders[upstream], change)
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn lease_end(&self, state: &OrdersState) -> Time {
        let end = self.bounds.lease.map(|ticks| origin() + ORDER_TIMEOUT * ticks);
        match end.filter(|_| state.owner == 0 && !self.mutated(Mutation::GrantPastLease)) {
            Some(end) => end,
            None => state.now + MAX_HOLD * 4,
        }
    }

    /// Returns true when a process has orders to send.
    fn has_orders_due(&self, state: &OrdersState, upstream: usize) -> bool {
        let mut orders = Orders::clone(&self.orders.get(state.orders[upstream]));
        !orders.decide(state.now, self.lease_end(state), |_, _| true).is_empty()
    }

    fn decide(&self, state: &mut OrdersState, upstream: usize) {
        let (now, lease) = (state.now, self.lease_end(state));
        let decided = self.update(state, upstream, |orders| orders.decide(now, lease, |_, _| true));
        for issued in decided {
            let connected = state.servers[upstream].connected;
            if !connected && !issued.may_connect && !self.mutated(Mutation::OldTokenReconnects) {
                let answer = Answer::Unconnected;
                self.update(state, upstream, |orders| orders.complete(now, issued.number, &answer));
                continue;
            }
            if now < state.servers[upstream].started {
                let answer = Answer::Unsent;
                self.update(state, upstream, |orders| orders.complete(now, issued.number, &answer));
                continue;
            }
            state.servers[upstream].connected = true;
            state.pending.push(PendingOrder {
                upstream,
                issued,
                in_transit: true,
                orphaned: false,
            });
        }
    }

    /// Carries out an order that arrived at `arrived`, and returns the upstream's answer.
    fn execute(state: &mut OrdersState, upstream: usize, issued: &Issued, arrived: Time) -> Answer {
        let token = issued.order.token;
        let server = &mut state.servers[upstream];
        match &issued.order.action {
            OrderAction::Release => {
                server.until = state.now;
                Answer::Done { handover: Name::from("h") }
            }
            OrderAction::Grant { .. } if token < server.last_token => Answer::Superseded,
            OrderAction::Grant { hold, .. } => {
                server.last_token = token;
                let until = arrived + hold.mul_f64(CLOCK_SLOWDOWN);
                if state.now < until {
                    server.until = server.until.max(until);
                    state.record_grant(upstream, token);
                }
                Answer::Done { handover: Name::from("") }
            }
        }
    }

    fn settle(&self, state: &mut OrdersState, order: &PendingOrder, answer: &Answer) {
        let PendingOrder { upstream, issued, orphaned, .. } = order;
        if *orphaned {
            return;
        }
        let answer = match answer {
            Answer::Unknown if self.mutated(Mutation::TimeoutIsUnsent) => &Answer::Unsent,
            answer => answer,
        };
        let sent = issued.deadline - ORDER_TIMEOUT;
        let early = self.mutated(Mutation::HoldFromDecision);
        let now = if early { sent } else { state.now };
        self.update(state, *upstream, |orders| orders.complete(now, issued.number, answer));
    }

    fn restart_upstream(&self, state: &mut OrdersState, upstream: usize) {
        let server = &mut state.servers[upstream];
        let generation = server.generation + 1;
        *server = Server {
            generation,
            last_token: Token(0),
            until: Time::ZERO,
            connected: false,
            started: state.now + ORDER_TIMEOUT * self.bounds.downtime,
        };
        state.deferred.retain(|deferred| deferred.upstream != upstream);
        let pending = state.pending.iter_mut().filter(|order| order.upstream == upstream);
        pending.for_each(|order| order.in_transit = false);
        state.used.1 += 1;
    }

    fn restart_process(&self, state: &mut OrdersState, upstream: usize) {
        let ignores = self.mutated(Mutation::EarlierOrdersIgnored);
        let since = if ignores { Time::ZERO } else { state.now };
        let mut orders = Orders::new(since, MAX_HOLD);
        orders.report(state.now, &incarnation(state.servers[upstream].generation), 1);
        state.orders[upstream] = self.orders.intern(orders);
        state.servers[upstream].connected = false;
        // What the former process has sent may still arrive.
        state.pending.retain(|order| order.upstream != upstream || order.in_transit);
        let sent = state.pending.iter_mut().filter(|order| order.upstream == upstream);
        sent.for_each(|order| order.orphaned = true);
        if state.owner == upstream {
            state.token += TOKEN_STEP;
            let wanted = if state.target.is_none() { wanted(state.token) } else { Vec::new() };
            self.update(state, upstream, |orders| orders.set_wanted(&wanted));
        }
        state.used.1 += 1;
    }

    fn assign_owner(&self, state: &mut OrdersState, upstream: usize) {
        state.token += TOKEN_STEP;
        state.owner = upstream;
        state.target = None;
        let wanted = wanted(state.token);
        self.update(state, upstream, |orders| orders.set_wanted(&wanted));
    }
}

impl OrdersState {
    /// Records that an upstream was granted the range under a token.
    fn record_grant(&mut self, upstream: usize, token: Token) {
        let generation = self.servers[upstream].generation;
        let (highest, holder, generation_of_holder) = self.highest;
        if (holder, generation_of_holder) != (upstream, generation) && token <= highest {
            self.violation = Some(
                "the range was granted under a token that is not higher than all earlier ones",
            );
        }
        if token > highest {
            self.highest = (token, upstream, generation);
        }
    }
}

impl Model for OrdersModel {
    type State = OrdersState;
    type Action = Action;

    fn start(&self) -> OrdersState {
        let now = origin();
        let server = Server {
            generation: 1,
            last_token: Token(0),
            until: Time::ZERO,
            connected: true,
            started: Time::ZERO,
        };
        let mut orders = Orders::new(Time::ZERO, MAX_HOLD);
        orders.report(now, &incarnation(1), 1);
        let mut state = OrdersState {
            now,
            servers: vec![server; UPSTREAM_COUNT],
            orders: vec![self.orders.intern(orders); UPSTREAM_COUNT],
            pending: Vec::new(),
            deferred: Vec::new(),
            owner: 0,
            token: TOKEN_STEP,
            target: None,
            highest: (Token(0), 0, 1),
            violation: None,
            used: (0, 0, 0),
        };
        self.update(&mut state, 0, |orders| orders.set_wanted(&wanted(TOKEN_STEP)));
        state
    }

    fn actions(&self, state: &OrdersState) -> Vec<Action> {
        let Bounds { ticks, faults, restarts, moves, lease, .. } = self.bounds;
        let mut actions = Vec::new();
        let end = origin() + ORDER_TIMEOUT * ticks;
        let writes_late = self.mutated(Mutation::WriteAfterDeadline);
        let may_wait = |order: &PendingOrder| {
            state.now < order.issued.deadline || (order.orphaned && writes_late)
        };
        if state.now < end && state.pending.iter().all(may_wait) {
            actions.push(Action::Tick);
        }
        let due = |upstream: &usize| self.has_orders_due(state, *upstream);
        actions.extend((0..UPSTREAM_COUNT).filter(due).map(Action::Decide));
        for (number, order) in state.pending.iter().enumerate() {
            if order.in_transit {
                actions.push(Action::Execute(number));
            }
            if order.in_transit && state.used.0 < faults {
                actions.extend([Action::ExecuteUnanswered(number), Action::Defer(number)]);
            }
            let over = !order.in_transit || state.now >= order.issued.deadline;
            if over && !(order.orphaned && writes_late) {
                actions.push(Action::TimeOut(number));
            }
        }
        actions.extend((0..state.deferred.len()).map(Action::ExecuteDeferred));
        for upstream in 0..UPSTREAM_COUNT {
            if state.used.1 < restarts && upstream == state.owner {
                actions.push(Action::RestartProcess(upstream));
                if state.now >= state.servers[upstream].started {
                    actions.push(Action::RestartUpstream(upstream));
                }
            }
            let known =
                self.orders.get(state.orders[upstream]).incarnation().map(|start| start.generation);
            let Server { generation, started, .. } = state.servers[upstream];
            if known != Some(generation) && state.now >= started {
                actions.push(Action::Report(upstream));
            }
        }
        if state.target.is_none() && state.used.2 < moves {
            actions.push(Action::Move((state.owner + 1) % UPSTREAM_COUNT));
        }
        let owner = self.orders.get(state.orders[state.owner]);
        let held = owner.may_hold(state.now, &wanted(0)[0].keys);
        if state.target.is_some() && !held {
            actions.push(Action::Transfer);
        }
        if state.owner == 0
            && lease.is_some_and(|ticks| state.now >= origin() + ORDER_TIMEOUT * ticks)
        {
            actions.push(Action::Takeover);
        }
        actions
    }

    fn next(&self, state: &OrdersState, action: &Action) -> OrdersState {
        let mut next = state.clone();
        match *action {
            Action::Tick => next.now = next.now + ORDER_TIMEOUT,
            Action::Decide(upstream) => self.decide(&mut next, upstream),
            Action::Execute(number) => {
                let order = next.pending.remove(number);
                let now = next.now;
                let answer = Self::execute(&mut next, order.upstream, &order.issued, now);
                self.settle(&mut next, &order, &answer);
            }
            Action::ExecuteUnanswered(number) => {
                next.pending[number].in_transit = false;
                let (order, now) = (next.pending[number].clone(), next.now);
                Self::execute(&mut next, order.upstream, &order.issued, now);
                next.used.0 += 1;
            }
            Action::Defer(number) => {
                next.pending[number].in_transit = false;
                let PendingOrder { upstream, issued, .. } = next.pending[number].clone();
                next.deferred.push(Deferred { upstream, issued, arrived: next.now });
                next.used.0 += 1;
            }
            Action::TimeOut(number) => {
                let order = next.pending.remove(number);
                self.settle(&mut next, &order, &Answer::Unknown);
                if self.mutated(Mutation::WriteAfterDeadline) && order.in_transit {
                    next.pending.push(PendingOrder { orphaned: true, ..order });
                }
            }
            Action::ExecuteDeferred(number) => {
                let Deferred { upstream, issued, arrived } = next.deferred.remove(number);
                Self::execute(&mut next, upstream, &issued, arrived);
            }
            Action::RestartUpstream(upstream) => self.restart_upstream(&mut next, upstream),
            Action::Report(upstream) => {
                let start = incarnation(next.servers[upstream].generation);
                let now = next.now;
                self.update(&mut next, upstream, |orders| orders.report(now, &start, 1));
            }
            Action::RestartProcess(upstream) => self.restart_process(&mut next, upstream),
            Action::Move(upstream) => {
                next.target = Some(upstream);
                next.used.2 += 1;
                let owner = next.owner;
                self.update(&mut next, owner, |orders| orders.set_wanted(&[]));
            }
            Action::Transfer => {
                let target = next.target.unwrap_or(next.owner);
                self.assign_owner(&mut next, target);
            }
            Action::Takeover => {
                self.update(&mut next, 0, |orders| orders.set_wanted(&[]));
                self.assign_owner(&mut next, 1);
            }
        }
        next
    }

    fn violation(&self, state: &OrdersState) -> Option<String> {
        let holders = state.servers.iter().filter(|server| state.now < server.until).count();
        let broken = state.violation.or((holders > 1).then_some("two upstreams hold the range"));
        broken.map(str::to_owned)
    }
}

/// Returns the time of the initial state.
fn origin() -> Time {
    Time::from_millis(10_000)
}

fn incarnation(generation: u64) -> Incarnation {
    Incarnation { instance: "i-1".into(), generation }
}

fn wanted(token: u64) -> Vec<Wanted> {
    let keys = iter::once(0..=15).collect();
    vec![Wanted { unit: UnitId::slot(0), token: Token(token), keys, handover: "".into() }]
}
