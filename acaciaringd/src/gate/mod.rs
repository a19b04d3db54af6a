//! Gate: checks ownership, admission and deduplication of each request to the local upstream.

mod crashes;
mod dedup;
mod forward;
mod isolation;
mod notices;
mod once;
mod queue;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use acaciaring_core::admission::{AdmissionSettings, AnswerSizes, ColdLimit};
use acaciaring_core::rates::{RateSettings, RequestRates};
use acaciaring_core::route::{Division, Rank, Repeat};
use acaciaring_core::{
    KeyHash, MemberId, Name, Offset, Reason, Refusal, RequestId, Slot, Time, Token, UnitId,
};
use acaciaring_schema::log::Unit;
use acaciaring_schema::peer::{Answer, DedupEntry, Intent, Outcome, Request};
use crossbeam_channel::Sender;
use parking_lot::Mutex;
use tokio::sync::{Mutex as AsyncMutex, oneshot};
use tracing::debug;

use self::crashes::CrashMonitor;
pub(crate) use self::dedup::{Dedup, DedupHandover, Role};
use self::notices::Notices;
use self::queue::Queue;
use crate::announce::Announcement;
use crate::clock;
use crate::control::Event;
use crate::inflight::InflightGuard;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::peer::{CancelFlag, Transport};
use crate::quarantine::Quarantine;
use crate::upstream::{UpstreamClient, UpstreamNotice};
use crate::view::{Permit, Shared, View};
use crate::wire;

/// Maximum wait of a request for a unit whose handover to this member is in progress.
const MAX_HANDOVER_WAIT: Duration = Duration::from_millis(250);

/// Divisor of a request's remaining time that gives its maximum wait for a handover.
///
/// Leaves the caller time to retry elsewhere after a refusal.
const HANDOVER_WAIT_DIVISOR: u32 = 2;

/// Slot under which requests to services that are not partitioned by key are counted in flight.
const POOLED_SLOT: Slot = Slot::MAX;

/// Retry hint while this member cannot serve: a unit moves, there is no lease, or it drains.
const MOVE_RETRY: Duration = Duration::from_millis(300);

/// Ownership under which a request runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    /// Member identity of this process when ownership was checked.
    member: MemberId,
    unit: UnitId,
    token: Token,
    version: Offset,
}

/// Settings of a gate.
#[derive(Debug, Clone)]
pub(crate) struct GateSettings {
    pub(crate) admission: AdmissionSettings,
    /// Measurement of request rates.
    pub(crate) rate_settings: RateSettings,
}

/// Shared state and channels of a gate.
pub(crate) struct GateContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) upstream_client: Arc<dyn UpstreamClient>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) transport: Transport,
    pub(crate) outbox: Outbox,
    pub(crate) metrics: Metrics,
    pub(crate) events: Sender<Event>,
    /// Bytes of finished large answers that wait for the link or are being sent.
    pub(crate) backlog: Arc<AtomicU64>,
}

/// Gate in front of the local upstream.
pub(crate) struct Gate {
    shared: Arc<Shared>,
    upstream_client: Arc<dyn UpstreamClient>,
    queue: Queue,
    sizes: Mutex<AnswerSizes>,
    /// Requests that crash upstreams.
    quarantine: Arc<Quarantine>,
    crashes: Arc<CrashMonitor>,
    notices: Notices,
    /// Held by the one request that runs alone.
    alone: AsyncMutex<()>,
    /// Deduplication state of requests that may run at most once.
    pub(crate) dedup: Dedup,
    transport: Transport,
    outbox: Outbox,
    /// Request rates by workspace.
    rates: Mutex<HashMap<Name, RequestRates>>,
    rate_settings: RateSettings,
    metrics: Metrics,
    events: Sender<Event>,
}

/// Request that passes through the gate.
struct Job<'a> {
    request: &'a Request,
    workspace: Name,
    rank: Rank,
    repeat: Repeat,
    deadline: Time,
    /// Target time of the answer, at most the deadline.
    aim: Time,
    cancelled: &'a CancelFlag,
}

impl Gate {
    /// Creates a gate.
    pub(crate) fn new(settings: GateSettings, context: GateContext) -> Self {
        let GateSettings { admission, rate_settings } = settings;
        let GateContext { shared, upstream_client, quarantine, transport, .. } = context;
        let GateContext { outbox, metrics, events, backlog, .. } = context;
        let queue = Queue::new(admission, metrics.clone(), backlog);
        let runtime = transport.runtime().clone();
        let crashes = CrashMonitor::new(Arc::clone(&quarantine), runtime, metrics.clone());
        Self {
            shared,
            upstream_client,
            queue,
            sizes: Mutex::default(),
            quarantine,
            crashes: Arc::new(crashes),
            notices: Notices::default(),
            alone: AsyncMutex::default(),
            dedup: Dedup::default(),
            transport,
            outbox,
            rates: Mutex::default(),
            rate_settings,
            metrics,
            events,
        }
    }

    /// Runs a request or refuses it; the answer carries load and owner hints for the sender.
    pub(crate) async fn run(&self, request: &Request, cancelled: &CancelFlag) -> Answer {
        let now = clock::now();
        let mut answer = match self.serve(now, request, cancelled).await {
            Ok(answer) => answer,
            Err(refusal) => {
                debug!(
                    reason = refusal.reason.as_str(),
                    verdict = refusal.verdict.as_str(),
                    "request refused"
                );
                wire::refusal(refusal)
            }
        };
        let (busy, capacity) = self.queue.load();
        answer.busy = busy;
        answer.capacity = capacity;
        answer.owner = self.owner_hint(request);
        answer
    }

    async fn serve(
        &self,
        now: Time,
        request: &Request,
        cancelled: &CancelFlag,
    ) -> Result<Answer, Refusal> {
        let view = self.shared.view();
        let me = view.me.ok_or(Refusal::not_run(Reason::NoLease).after(MOVE_RETRY))?;
        if request.target != me.0 {
            // The request is for an earlier process at this address.
            return Err(Refusal::not_run(Reason::NotOwner));
        }
        let keyed = self.is_keyed(&view, request)?;
        let deadline = now + Duration::from_millis(u64::from(request.left));
        let workspace = Arc::from(request.workspace.as_str());
        let rank = wire::rank(request.rank);
        let repeat = if request.once { Repeat::Once } else { Repeat::Idempotent };
        let aim = now + Duration::from_millis(u64::from(request.aim));
        let aim = if request.aim > 0 { deadline.min(aim) } else { deadline };
        let job = Job { request, workspace, rank, repeat, deadline, aim, cancelled };
        if view.closed {
            return Err(Refusal::not_run(Reason::Draining).after(MOVE_RETRY));
        }
        if let Some(key) = request.key.filter(|_| keyed) {
            return self.serve_keyed(&job, KeyHash(key)).await;
        }
        // A member without a lease may be evicted and must not act on a stale configuration.
        if !self.shared.declares && now >= self.shared.lease.get() {
            return Err(Refusal::not_run(Reason::NoLease).after(MOVE_RETRY));
        }
        // Counted in flight so that a graceful shutdown waits for it.
        let _guard = self.shared.inflight.enter(&job.workspace, POOLED_SLOT, KeyHash(0));
        self.forward(&job, None).await
    }

    /// Returns true for a request to a service partitioned by key.
    ///
    /// With declared configuration the sender decides: each member reads the routes independently,
    /// and the sender's version may be newer than the local one.
    fn is_keyed(&self, view: &View, request: &Request) -> Result<bool, Refusal> {
        if self.shared.declares {
            return Ok(request.key.is_some());
        }
        let route = view.route(&request.workspace).ok_or(Refusal::not_run(Reason::NoRoute))?;
        match (&route.division, request.key) {
            (Division::Keyed { .. }, None) => Err(Refusal::not_run(Reason::BadRequest)),
            (Division::Keyed { .. }, Some(_)) => Ok(true),
            (Division::Pooled, _) => Ok(false),
        }
    }

    async fn serve_keyed(&self, job: &Job<'_>, key: KeyHash) -> Result<Answer, Refusal> {
        let (grant, guard) = self.grant(job, key).await?;
        self.record(&job.workspace, grant.unit, key);
        let answer = match job.repeat {
            Repeat::Once if !job.request.single => self.run_once(job, grant).await,
            Repeat::Once | Repeat::Idempotent => self.forward(job, Some(grant)).await,
        };
        drop(guard);
        let not_owner = |refusal: &Refusal| refusal.reason == Reason::NotOwner;
        let served = || self.shared.view().permit(&job.workspace, grant.unit).is_some();
        if answer.as_ref().is_err_and(not_owner) && served() {
            // Fails only when the control thread has ended, before the process exits.
            let _ = self.events.send(Event::UnitDenied(Arc::clone(&job.workspace), grant.unit));
        }
        answer
    }

    /// Waits until this member may serve the key, at most [`MAX_HANDOVER_WAIT`].
    async fn grant(&self, job: &Job<'_>, key: KeyHash) -> Result<(Grant, InflightGuard), Refusal> {
        let start = clock::now();
        let wait_end =
            start + MAX_HANDOVER_WAIT.min(job.deadline.since(start) / HANDOVER_WAIT_DIVISOR);
        loop {
            let now = clock::now();
            let unit = self
                .shared
                .view()
                .unit(&job.workspace, key)
                .ok_or(Refusal::not_run(Reason::NoRoute))?;
            let guard = self.shared.inflight.enter(&job.workspace, unit.slot, key);
            let view = self.shared.view();
            if view.unit(&job.workspace, key) != Some(unit) {
                continue;
            }
            match view.permit(&job.workspace, unit) {
                None => return Err(Refusal::not_run(Reason::NotOwner)),
                Some(Permit::Serve { token, version }) if now < self.shared.lease.get() => {
                    let member = view.me.ok_or(Refusal::not_run(Reason::NoLease))?;
                    return Ok((Grant { member, unit, token, version }, guard));
                }
                Some(Permit::Withheld { until }) => {
                    return Err(Refusal::not_run(Reason::NoLease).after(until.since(now)));
                }
                Some(Permit::Serve { .. } | Permit::Wait) => {}
            }
            drop(guard);
            if now >= wait_end {
                return Err(Refusal::not_run(Reason::NoLease).after(MOVE_RETRY));
            }
            self.shared.changed(wait_end.since(now).min(Duration::from_millis(50))).await;
        }
    }

    /// Records on the standby a request that the owner is about to run; false if it must not run.
    pub(crate) fn intent(&self, intent: &Intent) -> bool {
        let Ok(id) = <[u8; 16]>::try_from(intent.id.as_slice()) else { return false };
        let workspace = Arc::from(intent.workspace.as_str());
        let unit = UnitId { slot: intent.slot, key: intent.key.map(KeyHash) };
        self.dedup.intent(clock::now(), &workspace, unit, RequestId(id), intent.version)
    }

    /// Records on the standby the result of a request that the owner ran.
    pub(crate) fn outcome(&self, outcome: &Outcome) {
        let Some(DedupEntry { slot, key, id, answer, .. }) = &outcome.dedup else { return };
        let Ok(id) = <[u8; 16]>::try_from(id.as_slice()) else { return };
        let workspace = Arc::from(outcome.workspace.as_str());
        let unit = UnitId { slot: *slot, key: key.map(KeyHash) };
        self.dedup.outcome(clock::now(), &workspace, unit, RequestId(id), answer.clone());
    }

    /// Stores the owner's deduplication state on the standby; false if it has to be sent again.
    pub(crate) fn sync(
        &self,
        workspace: &str,
        units: &[Unit],
        entries: &[DedupEntry],
        blind: Duration,
    ) -> bool {
        let units: Vec<UnitId> = units.iter().map(wire::unit_id).collect();
        self.dedup.sync(clock::now(), &Arc::from(workspace), &units, entries, blind)
    }

    /// Applies an announcement of the upstream.
    pub(crate) fn announce(&self, now: Time, announcement: &Announcement) {
        self.queue.announce(now, announcement);
        if self.crashes.announced(now, &announcement.instance, announcement.born) {
            self.notices.reset();
            self.queue.limit_rate(now, None);
        }
    }

    /// Limits the requests per second to a cold upstream; `None` for a warm one.
    pub(crate) fn limit_cold(&self, now: Time, limit: Option<ColdLimit>) {
        self.queue.limit_cold(now, limit);
    }

    /// Applies what the upstream says about itself in the response to a request sent at `sent`.
    fn observe(&self, sent: Time, instance: &Name, notice: UpstreamNotice) {
        let view = self.shared.view();
        let present = view.endpoint.as_ref().is_some_and(|endpoint| endpoint.instance == *instance);
        if !present || !self.notices.observe(sent, instance, notice) {
            return;
        }
        self.queue.limit_rate(clock::now(), notice.limit);
        if notice.leaving {
            // Nobody waits for the acknowledgement.
            let (reply, _) = oneshot::channel();
            // Fails only when the control thread has ended, before the process exits.
            let _ = self.events.send(Event::UpstreamLeaves(Name::clone(instance), sent, reply));
        }
    }

    /// Returns the number of requests running or queued, and the concurrency limit.
    pub(crate) fn load(&self) -> (u32, u32) {
        self.queue.load()
    }

    /// Returns the number of requests at the upstream and the number in the queue.
    pub(crate) fn request_counts(&self) -> (usize, usize) {
        self.queue.request_counts()
    }

    /// Returns the smoothed rate of keyed requests, in thousandths of a request per second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate is small and not negative"
    )]
    pub(crate) fn rate(&self) -> u64 {
        let now = clock::now();
        let total: f64 = self.rates.lock().values().map(|rates| rates.total(now)).sum();
        (total * 1000.0) as u64
    }

    /// Returns the smoothed service time of interactive requests at the upstream.
    pub(crate) fn service_time(&self) -> Duration {
        self.queue.service_time()
    }

    /// Returns the smoothed service time of requests of all ranks at the upstream.
    pub(crate) fn mean_time(&self) -> Duration {
        self.queue.mean_time()
    }

    /// Applies a function to the request rates of a workspace.
    pub(crate) fn with_rates<T>(
        &self,
        workspace: &Name,
        apply: impl FnOnce(&mut RequestRates) -> T,
    ) -> T {
        let now = clock::now();
        let mut rates = self.rates.lock();
        apply(
            rates
                .entry(Arc::clone(workspace))
                .or_insert_with(|| RequestRates::new(now, self.rate_settings.clone())),
        )
    }

    fn record(&self, workspace: &Name, unit: UnitId, key: KeyHash) {
        self.with_rates(workspace, |rates| rates.record(clock::now(), unit, key));
    }

    fn owner_hint(&self, request: &Request) -> u64 {
        let view = self.shared.view();
        let owner = request
            .key
            .and_then(|key| view.unit(&request.workspace, KeyHash(key)))
            .and_then(|unit| view.assignment(&request.workspace, unit)?.owner);
        MemberId::to_wire(owner)
    }
}

/// Returns the id of a request.
pub(crate) fn request_id(request: &Request) -> Result<RequestId, Refusal> {
    let id = <[u8; 16]>::try_from(request.id.as_slice());
    id.map(RequestId).map_err(|_| Refusal::not_run(Reason::BadRequest))
}

/// Returns the standby that must record a request before it may run at most once.
///
/// A standby whose lease has expired permanently is left out because it can never take over;
/// waiting for it would block the owner until the log records another standby. A later standby
/// answers `Unknown` for requests that it has no record of.
fn standby_to_notify(view: &View, workspace: &str, grant: Grant) -> Option<MemberId> {
    let assignment = view.assignment(workspace, grant.unit)?;
    let standby = assignment.standby.filter(|standby| Some(*standby) != view.me)?;
    (!view.expired.contains(&standby)).then_some(standby)
}
