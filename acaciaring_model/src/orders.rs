//! Model of grants by call: one range of keys moves between upstreams that are told by orders.
//!
//! Orders are carried out at once, late or never, and their answers may be lost; upstreams and
//! processes start again. The member's record is the core's own [`Orders`].

use std::iter;
use std::time::Duration;

use acaciaring_core::holds::{Incarnation, Wanted};
use acaciaring_core::orders::{Action as Deed, Answer, Issued, ORDER_TIMEOUT, Orders};
use acaciaring_core::{Name, Time, Token, UnitId};

use crate::mutation::Mutation;
use crate::pool::{Handle, Pool};
use crate::search::Model;

/// Upstreams, each with the process beside it.
const UPSTREAMS: usize = 3;

/// Longest hold: two ticks.
const HOLD: Duration = Duration::from_millis(400);

/// Part of its own time by which an upstream's clock runs slow.
const SLOW: f64 = 1.02;

/// Step of the token from one assignment to the next.
const STEP: u64 = 2;

/// Bounds of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Ticks of [`ORDER_TIMEOUT`].
    pub ticks: u32,
    /// Orders that are carried out late, or whose answers are lost.
    pub lost: u32,
    /// Starts of upstreams and of processes.
    pub starts: u32,
    /// Moves of the range.
    pub moves: u32,
    /// Ticks after which the lease of the first member ends and the next one takes over.
    pub lease: Option<u32>,
}

/// Order that has not been settled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flight {
    upstream: usize,
    issued: Issued,
    /// True while it may still arrive.
    travels: bool,
}

/// Order that has arrived and is carried out later.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Deferred {
    upstream: usize,
    issued: Issued,
    arrived: Time,
}

/// Upstream, as it really is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Server {
    life: u64,
    seen: Token,
    /// End of the hold.
    until: Time,
    /// True while the process beside it has a connection to this life.
    connected: bool,
}

/// State of the processes, the upstreams and the orders between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OrdersState {
    now: Time,
    servers: Vec<Server>,
    records: Vec<Handle>,
    flights: Vec<Flight>,
    deferred: Vec<Deferred>,
    owner: usize,
    token: u64,
    /// Upstream to which the range moves next.
    target: Option<usize>,
    /// Highest token with which any life has had the range, and which one.
    highest: (Token, usize, u64),
    broken: Option<&'static str>,
    used: (u32, u32, u32),
}

/// Event at a process, an upstream or between them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Time goes on.
    Tick,
    /// A process decides on orders and sends them.
    Decide(usize),
    /// An order arrives, is carried out and answered.
    Carry(usize),
    /// An order is carried out, and its answer is lost.
    Mute(usize),
    /// An order arrives, gets no answer, and is carried out later.
    Defer(usize),
    /// An order is given up.
    GiveUp(usize),
    /// An order that had arrived is carried out.
    Late(usize),
    /// An upstream starts again under its name.
    Start(usize),
    /// It reports.
    Report(usize),
    /// A process starts again beside its upstream.
    Process(usize),
    /// The range is to move.
    Move(usize),
    /// It passes to its next upstream, which the former one does not hold any more.
    Pass,
    /// The next member takes over, for the owner's lease is over.
    Takeover,
}

/// The model.
pub struct OrdersModel {
    bounds: Bounds,
    mutation: Option<Mutation>,
    records: Pool<Orders>,
}

impl OrdersModel {
    /// Makes the model, with a guard removed if one is named.
    #[must_use]
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        Self { bounds, mutation, records: Pool::default() }
    }

    /// Changes the record of a process.
    fn change<R>(
        &self,
        state: &mut OrdersState,
        upstream: usize,
        change: impl FnOnce(&mut Orders) -> R,
    ) -> R {
        self.records.change(&mut state.records[upstream], change)
    }

    fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn lease(&self, state: &OrdersState) -> Time {
        let end = self.bounds.lease.map(|ticks| origin() + ORDER_TIMEOUT * ticks);
        match end.filter(|_| state.owner == 0 && !self.mutated(Mutation::GrantPastLease)) {
            Some(end) => end,
            None => state.now + HOLD * 4,
        }
    }

    /// Returns true when a process has orders to give.
    fn decides(&self, state: &OrdersState, upstream: usize) -> bool {
        let mut record = Orders::clone(&self.records.get(state.records[upstream]));
        !record.decide(state.now, self.lease(state), |_, _| true).is_empty()
    }

    fn decide(&self, state: &mut OrdersState, upstream: usize) {
        let (now, lease) = (state.now, self.lease(state));
        let decided = self.change(state, upstream, |orders| orders.decide(now, lease, |_, _| true));
        for issued in decided {
            let connected = state.servers[upstream].connected;
            if !connected && !issued.may_connect && !self.mutated(Mutation::OldTokenReconnects) {
                let answer = Answer::Unconnected;
                self.change(state, upstream, |orders| orders.complete(now, issued.number, &answer));
                continue;
            }
            state.servers[upstream].connected = true;
            state.flights.push(Flight { upstream, issued, travels: true });
        }
    }

    /// Carries an order out that arrived at a time; returns what the upstream answers.
    fn carry(state: &mut OrdersState, upstream: usize, issued: &Issued, arrived: Time) -> Answer {
        let token = issued.order.token;
        let server = &mut state.servers[upstream];
        match &issued.order.action {
            Deed::Release => {
                server.until = state.now;
                Answer::Done { handover: Name::from("h") }
            }
            Deed::Grant { .. } if token < server.seen => Answer::Superseded,
            Deed::Grant { hold, .. } => {
                server.seen = token;
                let until = arrived + hold.mul_f64(SLOW);
                if state.now < until {
                    server.until = server.until.max(until);
                    state.take(upstream, token);
                }
                Answer::Done { handover: Name::from("") }
            }
        }
    }

    fn settle(&self, state: &mut OrdersState, flight: &Flight, answer: &Answer) {
        let Flight { upstream, issued, .. } = flight;
        let answer = match answer {
            Answer::Unknown if self.mutated(Mutation::SilenceIsRefusal) => &Answer::Unsent,
            answer => answer,
        };
        let sent = issued.deadline - ORDER_TIMEOUT;
        let early = self.mutated(Mutation::HoldFromDecision);
        let now = if early { sent } else { state.now };
        self.change(state, *upstream, |orders| orders.complete(now, issued.number, answer));
    }

    fn start_upstream(state: &mut OrdersState, upstream: usize) {
        let server = &mut state.servers[upstream];
        let life = server.life + 1;
        *server = Server { life, seen: Token(0), until: Time::ZERO, connected: false };
        state.deferred.retain(|deferred| deferred.upstream != upstream);
        let flights = state.flights.iter_mut().filter(|flight| flight.upstream == upstream);
        flights.for_each(|flight| flight.travels = false);
        state.used.1 += 1;
    }

    fn start_process(&self, state: &mut OrdersState, upstream: usize) {
        let forgets = self.mutated(Mutation::FormerOrdersForgotten);
        let since = if forgets { Time::ZERO } else { state.now };
        let mut record = Orders::new(since, HOLD);
        record.report(state.now, &start(state.servers[upstream].life), 1);
        state.records[upstream] = self.records.put(record);
        state.servers[upstream].connected = false;
        state.flights.retain(|flight| flight.upstream != upstream);
        if state.owner == upstream {
            state.token += STEP;
            let wanted = if state.target.is_none() { wanted(state.token) } else { Vec::new() };
            self.change(state, upstream, |orders| orders.set_wanted(&wanted));
        }
        state.used.1 += 1;
    }

    fn own(&self, state: &mut OrdersState, upstream: usize) {
        state.token += STEP;
        state.owner = upstream;
        state.target = None;
        let wanted = wanted(state.token);
        self.change(state, upstream, |orders| orders.set_wanted(&wanted));
    }
}

impl OrdersState {
    /// Notes that an upstream takes the range under a token.
    fn take(&mut self, upstream: usize, token: Token) {
        let life = self.servers[upstream].life;
        let (highest, holder, its) = self.highest;
        if (holder, its) != (upstream, life) && token <= highest {
            self.broken = Some("a token that is not above all earlier ones");
        }
        if token > highest {
            self.highest = (token, upstream, life);
        }
    }
}

impl Model for OrdersModel {
    type State = OrdersState;
    type Action = Action;

    fn start(&self) -> OrdersState {
        let now = origin();
        let server = Server { life: 1, seen: Token(0), until: Time::ZERO, connected: true };
        let mut record = Orders::new(Time::ZERO, HOLD);
        record.report(now, &start(1), 1);
        let mut state = OrdersState {
            now,
            servers: vec![server; UPSTREAMS],
            records: vec![self.records.put(record); UPSTREAMS],
            flights: Vec::new(),
            deferred: Vec::new(),
            owner: 0,
            token: STEP,
            target: None,
            highest: (Token(0), 0, 1),
            broken: None,
            used: (0, 0, 0),
        };
        self.change(&mut state, 0, |orders| orders.set_wanted(&wanted(STEP)));
        state
    }

    fn actions(&self, state: &OrdersState) -> Vec<Action> {
        let Bounds { ticks, lost, starts, moves, lease } = self.bounds;
        let mut actions = Vec::new();
        let end = origin() + ORDER_TIMEOUT * ticks;
        if state.now < end && state.flights.iter().all(|flight| state.now < flight.issued.deadline)
        {
            actions.push(Action::Tick);
        }
        let due = |upstream: &usize| self.decides(state, *upstream);
        actions.extend((0..UPSTREAMS).filter(due).map(Action::Decide));
        for (number, flight) in state.flights.iter().enumerate() {
            if flight.travels {
                actions.push(Action::Carry(number));
            }
            if flight.travels && state.used.0 < lost {
                actions.extend([Action::Mute(number), Action::Defer(number)]);
            }
            if !flight.travels || state.now >= flight.issued.deadline {
                actions.push(Action::GiveUp(number));
            }
        }
        actions.extend((0..state.deferred.len()).map(Action::Late));
        for upstream in 0..UPSTREAMS {
            if state.used.1 < starts && upstream == state.owner {
                actions.extend([Action::Start(upstream), Action::Process(upstream)]);
            }
            let known = self
                .records
                .get(state.records[upstream])
                .incarnation()
                .map(|start| start.generation);
            if known != Some(state.servers[upstream].life) {
                actions.push(Action::Report(upstream));
            }
        }
        if state.target.is_none() && state.used.2 < moves {
            actions.push(Action::Move((state.owner + 1) % UPSTREAMS));
        }
        let owner = self.records.get(state.records[state.owner]);
        let held = owner.may_hold(state.now, &wanted(0)[0].keys);
        if state.target.is_some() && !held {
            actions.push(Action::Pass);
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
            Action::Carry(number) => {
                let flight = next.flights.remove(number);
                let now = next.now;
                let answer = Self::carry(&mut next, flight.upstream, &flight.issued, now);
                self.settle(&mut next, &flight, &answer);
            }
            Action::Mute(number) => {
                next.flights[number].travels = false;
                let (flight, now) = (next.flights[number].clone(), next.now);
                Self::carry(&mut next, flight.upstream, &flight.issued, now);
                next.used.0 += 1;
            }
            Action::Defer(number) => {
                next.flights[number].travels = false;
                let Flight { upstream, issued, .. } = next.flights[number].clone();
                next.deferred.push(Deferred { upstream, issued, arrived: next.now });
                next.used.0 += 1;
            }
            Action::GiveUp(number) => {
                let flight = next.flights.remove(number);
                self.settle(&mut next, &flight, &Answer::Unknown);
            }
            Action::Late(number) => {
                let Deferred { upstream, issued, arrived } = next.deferred.remove(number);
                Self::carry(&mut next, upstream, &issued, arrived);
            }
            Action::Start(upstream) => Self::start_upstream(&mut next, upstream),
            Action::Report(upstream) => {
                let start = start(next.servers[upstream].life);
                let now = next.now;
                self.change(&mut next, upstream, |orders| orders.report(now, &start, 1));
            }
            Action::Process(upstream) => self.start_process(&mut next, upstream),
            Action::Move(upstream) => {
                next.target = Some(upstream);
                next.used.2 += 1;
                let owner = next.owner;
                self.change(&mut next, owner, |orders| orders.set_wanted(&[]));
            }
            Action::Pass => {
                let target = next.target.unwrap_or(next.owner);
                self.own(&mut next, target);
            }
            Action::Takeover => {
                self.change(&mut next, 0, |orders| orders.set_wanted(&[]));
                self.own(&mut next, 1);
            }
        }
        next
    }

    fn violation(&self, state: &OrdersState) -> Option<String> {
        let holders = state.servers.iter().filter(|server| state.now < server.until).count();
        let broken = state.broken.or((holders > 1).then_some("two upstreams hold the range"));
        broken.map(str::to_owned)
    }
}

/// Time at which a search begins.
fn origin() -> Time {
    Time::from_millis(10_000)
}

fn start(generation: u64) -> Incarnation {
    Incarnation { instance: "i-1".into(), generation }
}

fn wanted(token: u64) -> Vec<Wanted> {
    let keys = iter::once(0..=15).collect();
    vec![Wanted { unit: UnitId::slot(0), token: Token(token), keys, handover: "".into() }]
}
