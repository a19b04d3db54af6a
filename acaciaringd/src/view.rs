//! State that the control thread publishes for the threads that handle requests.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use acaciaring_core::drain::Drain;
use acaciaring_core::evacuation::Evacuations;
use acaciaring_core::route::{Route, Routes};
use acaciaring_core::state::{Assignment, Member, State};
use acaciaring_core::{KeyHash, MemberId, Name, Offset, Time, Token, UnitId};
use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::inflight::Inflight;
use crate::web::HeldBytes;

/// The local upstream, as last announced.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamEndpoint {
    /// Workspace that it serves.
    pub(crate) workspace: Arc<str>,
    /// Address for requests.
    pub(crate) address: SocketAddr,
    /// True when it checks fences.
    pub(crate) fenced: bool,
    /// Reading of its monotonic clock, milliseconds.
    pub(crate) clock: u64,
    /// When the reading was received.
    pub(crate) received: Time,
    /// Identifier of this instance of the upstream, empty if it has none.
    pub(crate) instance: Arc<str>,
}

impl UpstreamEndpoint {
    /// Returns a time on the upstream's clock, milliseconds, that is no later than `end` here.
    ///
    /// The reading was taken before it was received, so the upstream's clock is now at least
    /// `clock + (now - received)`. A delayed request is therefore never accepted after the lease
    /// has expired here.
    pub(crate) fn until(&self, end: Time) -> u64 {
        let span = end.since(self.received).as_millis();
        self.clock.saturating_add(u64::try_from(span).unwrap_or(u64::MAX))
    }
}

/// Permission of this member to serve a unit while it holds its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Requests may run.
    Serve {
        /// Fencing token.
        token: Token,
        /// Version of the assignment.
        version: Offset,
    },
    /// This member will serve the unit soon; requests wait.
    Wait,
    /// This member will serve the unit from this time on; requests are refused.
    Withheld {
        /// When it will.
        until: Time,
    },
}

/// Permits of this member by workspace and unit.
pub(crate) type Permits = HashMap<Name, HashMap<UnitId, Permit>>;

/// Immutable snapshot of the control state.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// Id of this member, once it has joined.
    pub(crate) me: Option<MemberId>,
    /// State folded from the log.
    pub(crate) state: Arc<State>,
    /// Routes in force.
    pub(crate) routes: Arc<Routes>,
    /// Units that this member serves or will serve soon.
    pub(crate) permits: Arc<Permits>,
    /// Units whose standby has acknowledged their deduplication state.
    pub(crate) synced: Arc<Synced>,
    /// Members whose lease is proved expired, but whose eviction is not yet in the log.
    pub(crate) expired: Arc<HashSet<MemberId>>,
    /// The local upstream.
    pub(crate) endpoint: Option<UpstreamEndpoint>,
    /// Data centres whose upstreams are to get no requests.
    pub(crate) evacuations: Evacuations,
    /// True while the gate accepts no new requests.
    pub(crate) closed: bool,
}

/// Standby that has acknowledged the owner's deduplication state, by workspace and unit.
pub(crate) type Synced = HashMap<(Name, UnitId), MemberId>;

impl View {
    /// Returns the route of a workspace.
    pub(crate) fn route(&self, workspace: &str) -> Option<&Arc<Route>> {
        self.state.routes().get(workspace)
    }

    /// Returns the unit that covers a key.
    pub(crate) fn unit(&self, workspace: &str, key: KeyHash) -> Option<UnitId> {
        self.state.service(workspace).map(|service| service.unit_of(key))
    }

    /// Returns the assignment of a unit.
    pub(crate) fn assignment(&self, workspace: &str, unit: UnitId) -> Option<&Assignment> {
        self.state.service(workspace)?.assignment(unit)
    }

    /// Returns the permit of this member for a unit, if it has one.
    pub(crate) fn permit(&self, workspace: &str, unit: UnitId) -> Option<Permit> {
        self.permits.get(workspace)?.get(&unit).copied()
    }

    /// Returns the peer address of a member.
    pub(crate) fn peer(&self, member: MemberId) -> Option<SocketAddr> {
        self.state.member(member).and_then(peer_address)
    }
}

/// Returns the peer address of a member.
pub(crate) fn peer_address(member: &Member) -> Option<SocketAddr> {
    member.peer.parse().ok()
}

/// Time that is shared between threads without a lock.
#[derive(Debug, Default)]
pub(crate) struct SharedTime(AtomicU64);

impl SharedTime {
    /// Stores a time; `Time::ZERO` means none.
    pub(crate) fn set(&self, time: Time) {
        let nanos = u64::try_from(time.since_start().as_nanos()).unwrap_or(u64::MAX);
        self.0.store(nanos, Ordering::Release);
    }

    /// Loads the time.
    pub(crate) fn get(&self) -> Time {
        Time::from_start(Duration::from_nanos(self.0.load(Ordering::Acquire)))
    }
}

/// State shared between the control thread and the threads that handle requests.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    view: ArcSwap<View>,
    /// Expiry of this member's lease, `Time::ZERO` without one.
    pub(crate) lease: SharedTime,
    /// When the upstream last refused a connection.
    pub(crate) upstream_refused: SharedTime,
    /// Requests in flight at the gate.
    pub(crate) inflight: Arc<Inflight>,
    /// True when the configuration is declared outside of the log.
    ///
    /// It may then be used without a lease, which does not keep it up to date.
    pub(crate) declares: bool,
    /// True once a stop of this process was requested.
    pub(crate) stopping: AtomicBool,
    /// Times of the stop, once it has begun.
    pub(crate) drain: OnceLock<Drain>,
    /// True while other members pass records of the log on to this one.
    pub(crate) passed: AtomicBool,
    /// Number of members that read the log service; 0 before this member has joined.
    pub(crate) readers: AtomicUsize,
    /// True once this member has a declared configuration.
    pub(crate) configured: AtomicBool,
    /// True once this process has joined; before, other members reject its connections.
    pub(crate) joined: AtomicBool,
    /// Answer bytes that this process holds.
    pub(crate) held: HeldBytes,
    change: Notify,
}

impl Shared {
    /// Creates the shared state; `declares` if the configuration is declared outside of the log.
    pub(crate) fn new(declares: bool) -> Self {
        Self { declares, ..Self::default() }
    }

    /// Returns the view in force.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns true while this member is ready for requests of callers.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = !self.declares || self.configured.load(Ordering::Acquire);
        configured && self.is_known() && !self.stopping.load(Ordering::Acquire)
    }

    /// Returns true once other members accept connections from this process.
    ///
    /// Guards against a process that has its configuration before it has joined: each request would
    /// open connections that all other members reject.
    pub(crate) fn is_known(&self) -> bool {
        !self.declares || self.joined.load(Ordering::Acquire)
    }

    /// Publishes a view and wakes all waiters in [`Self::changed`].
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.change.notify_waiters();
    }

    /// Waits for the next published view, at most `bound`.
    pub(crate) async fn changed(&self, bound: Duration) {
        // Elapses if there is no change.
        let _ = timeout(bound, self.change.notified()).await;
    }
}
