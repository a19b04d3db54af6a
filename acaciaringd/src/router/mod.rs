//! Entry: finds the route and the owner of a caller's request, and brings the answer back.

mod asked;
mod budgets;
mod keyed;
mod lingerers;
mod outages;
mod outcome;
mod pooled;
mod shares;
mod silence;
mod spans;
mod suspects;

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::refusal_cache::{RefusalCache, Slack};
use acaciaring_core::retry::{Failure, RetryDecision};
use acaciaring_core::route::{Class, Division, Rank, Route};
use acaciaring_core::selector::Selector;
use acaciaring_core::{KeyHash, MemberId, Reason, Refusal, RequestId, Time, Verdict};
use acaciaring_schema::peer::{Answer, Request};
use parking_lot::Mutex;
use rand::Rng;
use tracing::{debug, info};

pub(crate) use self::budgets::{Budgets, CommonBudget};
pub(crate) use self::lingerers::Lingerers;
pub(crate) use self::outages::Outages;
use self::outcome::{Load, Try, arrived, come_back, judge, whole};
pub(crate) use self::shares::Shares;
use self::silence::Silence;
pub(crate) use self::spans::Spans;
pub(crate) use self::suspects::Suspects;
use crate::clock;
use crate::declared::Declarations;
use crate::entry::{EntryAnswer, EntryRequest};
use crate::gate::Gate;
use crate::metrics::{Counter, Metrics, Timer};
use crate::peer::{CancelFlag, RequestOutcome, Transport};
use crate::pulse::Pulse;
use crate::ration::Ration;
use crate::view::{Shared, View};
use crate::wire;

/// HTTP status of a body above the route's limit.
const TOO_LARGE: u16 = 413;

/// Shortest time that a message states.
const MILLI: Duration = Duration::from_millis(1);

/// When a caller may come back after its request could not reach an owner.
const COME_BACK: Duration = Duration::from_millis(300);

/// Part of the time that a member named after which those come back whom the entry refuses for it.
const RETURN: Range<f64> = 0.75..1.25;

/// Entry of one process.
pub(crate) struct Router {
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) transport: Transport,
    pub(crate) choice: Mutex<Selector>,
    pub(crate) budgets: Budgets,
    pub(crate) suspects: Suspects,
    /// What members refused a moment ago, being full.
    pub(crate) full: Mutex<RefusalCache>,
    pub(crate) outages: Outages,
    pub(crate) metrics: Metrics,
    pub(crate) lingerers: Lingerers,
    /// Shares of routes that are shared out.
    pub(crate) shares: Shares,
    /// Times that callers of each class state.
    pub(crate) spans: Spans,
    pub(crate) declarations: Arc<Declarations>,
    /// Bound on the lines about requests without an answer.
    pub(crate) lines: Ration,
    /// Bound on the lines about requests that were answered late.
    pub(crate) late: Ration,
    /// How late this process is.
    pub(crate) pulse: Arc<Pulse>,
}

/// What is known of a caller's request before it is sent on.
struct Plan {
    route: Arc<Route>,
    class: Class,
    key: Option<KeyHash>,
    deadline: Time,
    /// Time up to which an answer is in time, where a later one is of less use.
    aim: Option<Time>,
    request: Request,
    /// Name by which the caller finds the request in logs.
    label: String,
    received: Time,
    /// Tries so far, and the member of the last one, for the logs.
    tries: AtomicU32,
    last: AtomicU64,
}

impl Plan {
    /// Returns the time that the request has, as a queue looks at it.
    fn slack(&self, now: Time) -> Slack {
        let left = self.deadline.since(now);
        Slack { rank: self.class.rank, aim: self.aim.map_or(left, |aim| aim.since(now)), left }
    }
}

impl Router {
    /// Answers a caller's request; when the future is dropped, its work is cancelled.
    pub(crate) async fn handle(&self, request: EntryRequest) -> EntryAnswer {
        let received = request.received;
        let label = request.label.clone();
        let answer = match self.plan(request) {
            Ok(plan) => self.route(&plan).await,
            Err(answer) => {
                self.note_unplanned(&label, &answer);
                answer
            }
        };
        debug!(status = answer.status, verdict = answer.verdict.as_str(), "request ended");
        self.metrics.time(Timer::Requests, clock::now().since(received));
        answer
    }

    /// Writes a line for a request that was refused before a member was chosen, within the bound of such lines.
    fn note_unplanned(&self, label: &str, answer: &EntryAnswer) {
        let Some(left_out) = self.lines.admit(clock::now()) else { return };
        let reason = answer.reason.map_or("", Reason::as_str);
        info!(
            request = label,
            status = answer.status,
            reason,
            declared = self.declarations.version(),
            left_out,
            "request refused at the entry"
        );
    }

    /// Writes a line for a request without a whole answer of an upstream, within the bound of such lines.
    fn note(&self, plan: &Plan, refusal: Refusal) {
        let now = clock::now();
        let Some(left_out) = self.lines.admit(now) else { return };
        let view = self.shared.view();
        info!(
            request = plan.label,
            service = &*plan.route.workspace,
            class = &*plan.class.name,
            key = plan.key.map(|key| key.0),
            verdict = refusal.verdict.as_str(),
            reason = refusal.reason.as_str(),
            tries = plan.tries.load(Ordering::Relaxed),
            member = plan.last.load(Ordering::Relaxed),
            took_ms = wire::millis(now.since(plan.received)),
            left_ms = wire::millis(plan.deadline.since(now)),
            retry_ms = refusal.retry.map(wire::millis),
            declared = self.declarations.version(),
            applied = view.state.next(),
            left_out,
            "request ended without an answer"
        );
    }

    /// Counts the verdict of a request, also of one that the entry refuses itself.
    pub(crate) fn told(&self, verdict: Verdict) {
        let counter = match verdict {
            Verdict::Answered => Counter::RequestsAnswered,
            Verdict::NotRun => Counter::RequestsNotRun,
            Verdict::Unknown => Counter::RequestsUnknown,
        };
        self.metrics.count(counter, 1);
    }

    /// Writes a line for a request that was answered after its time, within the bound of such lines.
    fn note_late(&self, plan: &Plan, answer: &Answer) {
        let now = clock::now();
        let Some(aim) = plan.aim.filter(|aim| now > *aim) else { return };
        let Some(left_out) = self.late.admit(now) else { return };
        info!(
            request = plan.label,
            service = &*plan.route.workspace,
            class = &*plan.class.name,
            key = plan.key.map(|key| key.0),
            tries = plan.tries.load(Ordering::Relaxed),
            member = plan.last.load(Ordering::Relaxed),
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
        let lag = self.pulse.lag();
        let read = request.received.since_start();
        request.received = Time::from_start(read.saturating_sub(lag));
        let view = self.shared.view();
        self.check_standing()?;
        let route = view.routes.find(request.host.as_deref(), &request.path);
        let route = Arc::clone(route.ok_or_else(|| self.unrouted())?);
        let route = self.shares.pick(route);
        if request.body.len() as u64 > route.body {
            let refusal = Refusal::not_run(Reason::BadRequest);
            return Err(EntryAnswer::refusal_with(refusal, TOO_LARGE));
        }
        let class = route.class(&request.method, &request.path).clone();
        in_time(&class, lag)?;
        let key = find_key(&route, &request)?;
        let id = match &request.key {
            Some(text) => RequestId::from_key(&route.workspace, key, text),
            None => RequestId(rand::rng().random()),
        };
        let span = request.deadline.map_or(class.deadline, |asked| asked.min(class.deadline));
        let deadline = request.received + span;
        let aim = self.aim(&route, &class, &request);
        let received = request.received;
        let label = request.label.clone();
        let message = message(request, &route, &class, key, id);
        let (tries, last) = (AtomicU32::default(), AtomicU64::default());
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
            last,
        })
    }

    /// Returns up to when an answer is in time, counted from the caller's first try.
    ///
    /// What is critical is never put off for its caller's having waited.
    fn aim(&self, route: &Route, class: &Class, request: &EntryRequest) -> Option<Time> {
        let target = class.target?;
        let waited = request
            .deadline
            .filter(|_| class.rank != Rank::Critical)
            .map(|asked| self.spans.waited(request.received, &route.workspace, &class.name, asked));
        Some(request.received + target.saturating_sub(waited.unwrap_or_default()))
    }

    /// Refuses requests while this member has no standing among the others.
    ///
    /// Guards against an evicted member that still takes requests by an old
    /// configuration: `accepted` waits for all members but the evicted ones, so
    /// a member that may be evicted must not act on what it knows. Where the configuration is
    /// declared, it is enough that others know this process.
    fn check_standing(&self) -> Result<(), Refusal> {
        let may = if self.shared.declares {
            self.shared.is_known()
        } else {
            clock::now() < self.shared.lease.get()
        };
        if may {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::NoLease).after(COME_BACK))
    }

    /// Returns the refusal of a request without route; a member without configuration knows of none.
    fn unrouted(&self) -> Refusal {
        if self.shared.declares && !self.shared.is_ready() {
            return Refusal::not_run(Reason::NoLease).after(COME_BACK);
        }
        Refusal::not_run(Reason::NoRoute)
    }

    /// Decides whether a request may be tried again, within what all members share.
    fn allowed(&self, now: Time, plan: &Plan, failure: &Failure) -> RetryDecision {
        let members = self.shared.view().state.members().count();
        let (service, class) = (&plan.route.workspace, &plan.class.name);
        self.budgets.next(now, members, service, class, failure)
    }

    async fn route(&self, plan: &Plan) -> EntryAnswer {
        self.budgets.first_try(clock::now(), &plan.route.workspace, &plan.class.name);
        let answer = match plan.route.division {
            Division::Keyed { .. } => self.keyed(plan).await,
            Division::Pooled => self.pooled(plan).await,
        };
        match answer {
            Ok(answer) => {
                self.note_late(plan, &answer);
                whole(answer)
            }
            Err(refusal) => {
                let refusal = come_back(refusal);
                self.note(plan, refusal);
                EntryAnswer::refusal(refusal)
            }
        }
    }

    /// Makes one try at a member; an error is one whose member has gone silent.
    async fn attempt(&self, plan: &Plan, view: &View, target: MemberId) -> Result<Try, Silence> {
        let left = plan.deadline.since(clock::now());
        plan.tries.fetch_add(1, Ordering::Relaxed);
        plan.last.store(target.0, Ordering::Relaxed);
        let request = Request {
            attempt: rand::rng().random(),
            left: wire::millis(left),
            target: target.0,
            applied: view.state.next(),
            declared: self.declarations.version(),
            aim: plan.aim.map_or(0, |aim| wire::millis(aim.since(clock::now()).max(MILLI))),
            ..plan.request.clone()
        };
        if view.me == Some(target) {
            let answer = self.gate.run(&request, &CancelFlag::default()).await;
            return Ok(judge(RequestOutcome::Answer(answer)));
        }
        match view.peer(target) {
            Some(address) => self.hop(target, address, request, left).await,
            None => Ok(Try::Undelivered),
        }
    }
}

impl Router {
    /// Notes that another member refused a request because its queue was full.
    ///
    /// The time that is left by now is less than what the member looked at, so the memory holds for
    /// fewer requests than it might, never for more.
    fn note_full(&self, plan: &Plan, target: MemberId, refusal: Refusal) {
        let Refusal { reason: Reason::Busy, retry: Some(retry), .. } = refusal else { return };
        if self.shared.view().me != Some(target) {
            let now = clock::now();
            self.full.lock().record(now, target, plan.slack(now), retry);
        }
    }

    /// Returns the refusal of a request whose owner would refuse it, being full.
    fn refuse_full(&self, now: Time, plan: &Plan, owner: MemberId) -> Option<Refusal> {
        let retry = self.full.lock().retry_after(now, owner, plan.slack(now))?;
        plan.last.store(owner.0, Ordering::Relaxed);
        Some(self.full_refusal(retry))
    }

    /// Takes out the members that would refuse a request, being full.
    ///
    /// Returns their refusal when only members are left that were tried.
    fn retain_open(
        &self,
        now: Time,
        plan: &Plan,
        members: &mut Vec<MemberId>,
        tried: &[MemberId],
    ) -> Option<Refusal> {
        let retry = self.full.lock().retain(now, members, plan.slack(now));
        let over = members.iter().all(|member| tried.contains(member));
        retry.filter(|_| over).map(|retry| self.full_refusal(retry))
    }

    /// Returns the refusal of a request that is not sent on; refused alike, callers would return together.
    fn full_refusal(&self, retry: Duration) -> Refusal {
        self.metrics.count(Counter::RequestsFull, 1);
        let retry = retry.mul_f64(rand::rng().random_range(RETURN));
        Refusal::not_run(Reason::Busy).after(retry)
    }
}

/// Refuses a request that has waited for so long before it was read that it would hardly be in time.
fn in_time(class: &Class, lag: Duration) -> Result<(), Refusal> {
    let hopeless = |target: Duration| lag > target / 2;
    if class.rank == Rank::Critical || !class.target.is_some_and(hopeless) {
        return Ok(());
    }
    // Refused together, they would return together.
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
        single: class.single,
        trace: request.trace.to_string(),
        ..Request::default()
    }
}
