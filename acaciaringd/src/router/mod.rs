//! Request router: finds the route and owner of a client request and returns the answer.
//!
//! Keyed services send a request to the owner of its key, pooled ones to any member whose upstream
//! serves the workspace.

mod full;
mod held_answers;
mod keyed;
mod member_backoff;
mod outages;
mod outcome;
mod pending;
mod pooled;
mod retry_budgets;
mod stalled;
mod suspects;
mod timeout_history;
mod traffic_splits;
mod wait_limit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::refusal_cache::Slack;
use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::route::{Class, Division, Rank, Route};
use acaciaring_core::selector::Selector;
use acaciaring_core::{Fingerprint, KeyHash, MemberId, Reason, Refusal, RequestId, Time, Verdict};
use acaciaring_schema::peer::{Answer, Request};
use parking_lot::Mutex;
use rand::Rng;
use tracing::{debug, info};

pub(crate) use self::full::FullMembers;
pub(crate) use self::held_answers::HeldAnswers;
pub(crate) use self::outages::Outages;
use self::outcome::{
    AttemptOutcome, Load, classify, entry_answer, reached_upstream, with_retry_after,
};
pub(crate) use self::pending::PendingRequests;
pub(crate) use self::retry_budgets::{ClusterBudget, RetryBudgets};
use self::stalled::StalledAttempt;
pub(crate) use self::suspects::Suspects;
pub(crate) use self::timeout_history::TimeoutHistory;
pub(crate) use self::traffic_splits::TrafficSplits;
pub(crate) use self::wait_limit::WaitLimit;
use crate::clock;
use crate::declared::Declarations;
use crate::egress::{self, Egress};
use crate::entry::{EntryAnswer, EntryRequest};
use crate::gate::Gate;
use crate::lag_monitor::LagMonitor;
use crate::log_limiter::LogLimiter;
use crate::metrics::{Counter, Metrics, Timer};
use crate::peer::{CancelFlag, RequestOutcome, Transport};
use crate::quarantine::Quarantine;
use crate::view::{Shared, View};
use crate::wire;

/// HTTP status for a request body above the route's limit.
const PAYLOAD_TOO_LARGE: u16 = 413;

/// Smallest latency target sent to another member; zero on the wire means that there is none.
const MIN_AIM: Duration = Duration::from_millis(1);

/// Retry delay sent to a client whose request could not reach an owner.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Routes the client requests that this process receives.
pub(crate) struct Router {
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) transport: Transport,
    /// Permits for large answers.
    pub(crate) egress: Egress,
    pub(crate) selector: Mutex<Selector>,
    pub(crate) budgets: RetryBudgets,
    pub(crate) suspects: Suspects,
    /// Recent refusals of members whose queue or link was full.
    pub(crate) refusals: Mutex<FullMembers>,
    /// Requests that crash upstreams.
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) outages: Outages,
    /// Requests that have no answer yet.
    pub(crate) pending: PendingRequests,
    pub(crate) metrics: Metrics,
    pub(crate) wait_limit: WaitLimit,
    /// Weighted split of routes that several workspaces serve.
    pub(crate) splits: TrafficSplits,
    /// Timeouts that clients of each class state.
    pub(crate) timeouts: TimeoutHistory,
    pub(crate) declarations: Arc<Declarations>,
    /// Rate limit of the log lines about requests without an answer.
    pub(crate) log_limit: LogLimiter,
    /// Rate limit of the log lines about requests that were answered late.
    pub(crate) late_limit: LogLimiter,
    /// Limit on the answer bytes that this process holds.
    pub(crate) held: HeldAnswers,
    /// Measures the scheduling lag of this process.
    pub(crate) lag_monitor: Arc<LagMonitor>,
}

/// A client request with its route and deadlines, ready to be sent to members.
struct Plan {
    route: Arc<Route>,
    class: Class,
    key: Option<KeyHash>,
    deadline: Time,
    /// Time by which the class's latency target is met; `None` without a target.
    aim: Option<Time>,
    request: Request,
    /// Name by which the client finds the request in logs.
    label: String,
    received: Time,
    /// Number of attempts and the member of the last one, for the logs.
    tries: AtomicU32,
    last_member: AtomicU64,
    /// Numbers of the attempts at other members.
    attempts: Mutex<Vec<u64>>,
}

impl Plan {
    /// Returns the request's rank and remaining times, by which a queue admits it.
    fn slack(&self, now: Time) -> Slack {
        let left = self.deadline.since(now);
        let aim = self.aim.map_or(left, |aim| aim.since(now));
        Slack { rank: self.class.rank, aim, left, large: self.class.large_answer }
    }
}

impl Router {
    /// Answers a client request; dropping the future cancels its work.
    pub(crate) async fn handle(&self, request: EntryRequest) -> EntryAnswer {
        let received = request.received;
        let label = request.label.clone();
        let answer = match self.plan(request) {
            Ok(plan) => {
                let plan = Arc::new(plan);
                let _pending = self.pending.add(&plan);
                self.route(&plan).await
            }
            Err(answer) => {
                self.log_refused(&label, &answer);
                answer
            }
        };
        debug!(status = answer.status, verdict = answer.verdict.as_str(), "request ended");
        self.metrics.time(Timer::Requests, clock::now().since(received));
        answer
    }

    /// Logs, rate limited, a request that was refused before a member was chosen.
    fn log_refused(&self, label: &str, answer: &EntryAnswer) {
        let Some(left_out) = self.log_limit.admit(clock::now()) else { return };
        let reason = answer.reason.map_or("", Reason::as_str);
        info!(
            request = label,
            status = answer.status,
            reason,
            declared = self.declarations.version(),
            left_out,
            "request refused before a member was chosen"
        );
    }

    /// Logs, rate limited, a request without a complete answer of an upstream.
    fn log_unanswered(&self, plan: &Plan, refusal: Refusal) {
        let now = clock::now();
        let Some(left_out) = self.log_limit.admit(now) else { return };
        let view = self.shared.view();
        info!(
            request = plan.label,
            service = &*plan.route.workspace,
            class = &*plan.class.name,
            key = plan.key.map(|key| key.0),
            verdict = refusal.verdict.as_str(),
            reason = refusal.reason.as_str(),
            tries = plan.tries.load(Ordering::Relaxed),
            member = plan.last_member.load(Ordering::Relaxed),
            took_ms = wire::millis(now.since(plan.received)),
            left_ms = wire::millis(plan.deadline.since(now)),
            retry_ms = refusal.retry.map(wire::millis),
            declared = self.declarations.version(),
            applied = view.state.next(),
            left_out,
            "request ended without an answer"
        );
    }

    /// Logs, rate limited, a request that is refused since it crashes upstreams.
    fn log_quarantined(&self, now: Time, plan: &Plan, fingerprint: &Fingerprint) {
        let Some(left_out) = self.log_limit.admit(now) else { return };
        let service = &*plan.route.workspace;
        info!(request = plan.label, service, %fingerprint, left_out, "request is quarantined");
    }

    /// Counts the verdict of a request, including those that this process refuses itself.
    pub(crate) fn count_verdict(&self, verdict: Verdict) {
        let counter = match verdict {
            Verdict::Answered => Counter::RequestsAnswered,
            Verdict::NotRun => Counter::RequestsNotRun,
            Verdict::Unknown => Counter::RequestsUnknown,
        };
        self.metrics.count(counter, 1);
    }

    /// Logs, rate limited, a request that was answered after its latency target.
    fn log_late(&self, plan: &Plan, answer: &Answer) {
        let now = clock::now();
        let Some(aim) = plan.aim.filter(|aim| now > *aim) else { return };
        let Some(left_out) = self.late_limit.admit(now) else { return };
        info!(
            request = plan.label,
            service = &*plan.route.workspace,
            class = &*plan.class.name,
            key = plan.key.map(|key| key.0),
            tries = plan.tries.load(Ordering::Relaxed),
            member = plan.last_member.load(Ordering::Relaxed),
            took_ms = wire::millis(now.since(plan.received)),
            late_ms = wire::millis(now.since(aim)),
            busy = answer.busy,
            capacity = answer.capacity,
            applied = self.shared.view().state.next(),
            left_out,
            "request answered late"
        );
    }

    fn plan(&self, mut request: EntryRequest) -> Result<Plan, EntryAnswer> {
        let lag = self.lag_monitor.lag();
        let read = request.received.since_start();
        request.received = Time::from_start(read.saturating_sub(lag));
        let view = self.shared.view();
        self.check_membership()?;
        let route = view.routes.find(request.host.as_deref(), &request.path);
        let route = Arc::clone(route.ok_or_else(|| self.unrouted())?);
        let route = self.splits.pick(route);
        if request.body.len() as u64 > route.max_body {
            let refusal = Refusal::not_run(Reason::BadRequest);
            return Err(EntryAnswer::refusal_with(refusal, PAYLOAD_TOO_LARGE));
        }
        let class = route.class(&request.method, &request.path).clone();
        check_lag(&class, lag)?;
        self.held.check(clock::now(), &class, &self.metrics)?;
        let key = find_key(&route, &request)?;
        let id = match &request.key {
            Some(text) => RequestId::from_key(&route.workspace, key, text),
            None => RequestId(rand::rng().random()),
        };
        let timeout = request.deadline.map_or(class.deadline, |asked| asked.min(class.deadline));
        let deadline = self.end_with_drain(request.received, request.received + timeout)?;
        let aim = self.aim(&route, &class, &request);
        let received = request.received;
        let label = request.label.clone();
        let message = message(request, &route, &class, key, id);
        let (tries, last_member) = (AtomicU32::default(), AtomicU64::default());
        Ok(Plan {
            route,
            class,
            key,
            deadline,
            aim,
            request: message,
            label,
            received,
            tries,
            last_member,
            attempts: Mutex::default(),
        })
    }

    /// Returns the deadline of a request, or refuses it if this process would exit before.
    fn end_with_drain(&self, received: Time, deadline: Time) -> Result<Time, Refusal> {
        let Some(drain) = self.shared.drain.get() else { return Ok(deadline) };
        let refused = Refusal::not_run(Reason::Draining).after(drain.end.since(received));
        drain.deadline(received, deadline).ok_or(refused)
    }

    /// Returns the time by which the latency target is met, counted from the client's first try.
    ///
    /// The time that a client has already waited never counts against a critical request.
    fn aim(&self, route: &Route, class: &Class, request: &EntryRequest) -> Option<Time> {
        let target = class.latency_target?;
        let waited = request.deadline.filter(|_| class.rank != Rank::Critical).map(|asked| {
            self.timeouts.estimate_wait(request.received, &route.workspace, &class.name, asked)
        });
        Some(request.received + target.saturating_sub(waited.unwrap_or_default()))
    }

    /// Refuses requests while this process may not be a member of the cluster.
    ///
    /// Guards against an evicted member that routes requests by an old configuration: a change is
    /// `accepted` without waiting for evicted members, so routing needs a valid lease. Where the
    /// configuration is declared, it is enough that other members know this process.
    fn check_membership(&self) -> Result<(), Refusal> {
        let admitted = if self.shared.declares {
            self.shared.is_known()
        } else {
            clock::now() < self.shared.lease.get()
        };
        if admitted {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::NoLease).after(RETRY_AFTER))
    }

    /// Returns the refusal of a request without a route, which may be tried again while this
    /// process has no configuration yet.
    fn unrouted(&self) -> Refusal {
        if self.shared.declares && !self.shared.is_ready() {
            return Refusal::not_run(Reason::NoLease).after(RETRY_AFTER);
        }
        Refusal::not_run(Reason::NoRoute)
    }

    /// Decides whether a request may be retried, within the retry budget shared by all members.
    fn decide_retry(&self, now: Time, plan: &Plan, failure: &Failure) -> RetryDecision {
        let members = self.shared.view().state.members().count();
        let (service, class) = (&plan.route.workspace, &plan.class.name);
        self.budgets.next(now, members, service, class, failure)
    }

    async fn route(&self, plan: &Plan) -> EntryAnswer {
        self.budgets.first_try(clock::now(), &plan.route.workspace, &plan.class.name);
        let answer = match plan.route.division {
            Division::Keyed { .. } => self.route_keyed(plan).await,
            Division::Pooled => self.route_pooled(plan).await,
        };
        match answer {
            Ok(answer) => {
                self.cross_link(plan, &answer).await;
                self.log_late(plan, &answer);
                entry_answer(answer)
            }
            Err(refusal) => {
                let refusal = with_retry_after(refusal);
                if refusal.reason == Reason::LinkFull {
                    self.metrics.count(Counter::RequestsLinkFull, 1);
                }
                self.log_unanswered(plan, refusal);
                EntryAnswer::refusal(refusal)
            }
        }
    }

    /// Waits until a large answer may cross the link to the caller.
    async fn cross_link(&self, plan: &Plan, answer: &Answer) {
        if plan.class.large_answer && egress::is_large(&answer.body) {
            let bytes = answer.body.len() as u64;
            self.egress.pass(bytes, plan.aim, plan.deadline).await;
        }
    }

    /// Sends the request to one member; the error is an attempt whose member stopped responding.
    async fn attempt(
        &self,
        plan: &Plan,
        view: &View,
        target: MemberId,
    ) -> Result<AttemptOutcome, StalledAttempt> {
        let now = clock::now();
        if let Some((fingerprint, left)) = self.quarantine.refused(now, &plan.request) {
            self.log_quarantined(now, plan, &fingerprint);
            let refusal = self.quarantine.refusal(left);
            let load = Load { busy: 0, capacity: 0 };
            return Ok(AttemptOutcome::Refused { refusal, owner: None, load });
        }
        let left = plan.deadline.since(now);
        plan.tries.fetch_add(1, Ordering::Relaxed);
        plan.last_member.store(target.0, Ordering::Relaxed);
        let request = Request {
            attempt: rand::rng().random(),
            left: wire::millis(left),
            target: target.0,
            applied: view.state.next(),
            declared: self.declarations.version(),
            aim: plan.aim.map_or(0, |aim| wire::millis(aim.since(clock::now()).max(MIN_AIM))),
            ..plan.request.clone()
        };
        if view.me == Some(target) {
            let answer = self.gate.run(&request, &CancelFlag::default()).await;
            return Ok(classify(RequestOutcome::Answer(answer)));
        }
        plan.attempts.lock().push(request.attempt);
        match view.peer(target) {
            Some(address) => self.forward(target, address, request, left).await,
            None => Ok(AttemptOutcome::Undelivered),
        }
    }
}

/// Refuses a request that waited unread for more than half of its latency target.
fn check_lag(class: &Class, lag: Duration) -> Result<(), Refusal> {
    let too_late = |target: Duration| lag > target / 2;
    if class.rank == Rank::Critical || !class.latency_target.is_some_and(too_late) {
        return Ok(());
    }
    // Jitter spreads the retries of requests that are refused at the same time.
    Err(Refusal::not_run(Reason::Busy).after(lag.mul_f64(rand::rng().random_range(1.0..2.0))))
}

fn find_key(route: &Route, request: &EntryRequest) -> Result<Option<KeyHash>, Refusal> {
    if route.division == Division::Pooled {
        return Ok(None);
    }
    let key = route.key(
        &request.path,
        request.headers.iter().map(|(name, value)| (name.as_str(), value.as_slice())),
    );
    key.map(Some).ok_or(Refusal::not_run(Reason::BadRequest))
}

fn message(
    request: EntryRequest,
    route: &Route,
    class: &Class,
    key: Option<KeyHash>,
    id: RequestId,
) -> Request {
    Request {
        id: id.0.to_vec(),
        workspace: route.workspace.to_string(),
        class: class.name.to_string(),
        key: key.map(|key| key.0),
        method: request.method,
        path: request.path,
        headers: wire::header_list(&request.headers),
        body: request.body,
        once: class.repeat == acaciaring_core::route::Repeat::Once,
        rank: wire::rank_number(class.rank),
        single: class.single_use,
        large: class.large_answer,
        trace: request.trace.to_string(),
        ..Request::default()
    }
}
