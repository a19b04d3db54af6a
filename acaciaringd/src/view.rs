//! What the control thread publishes for the traffic threads.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::route::{Route, Routes};
use acaciaring_core::state::{Assignment, Member, State};
use acaciaring_core::{KeyHash, MemberId, Name, Offset, Time, Token, UnitId};
use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::inflight::Inflight;

/// The upstream beside this member, as it last announced itself.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamEndpoint {
    /// Workspace that it serves.
    pub(crate) workspace: Arc<str>,
    /// Address for requests.
    pub(crate) address: SocketAddr,
    /// True when it checks fences.
    pub(crate) fenced: bool,
    /// Reading of its own clock in milliseconds.
    pub(crate) clock: u64,
    /// When the reading was received, so the upstream took it no later.
    pub(crate) received: Time,
    /// Identity of this start of the upstream, empty where it names none.
    pub(crate) instance: Arc<str>,
}

impl UpstreamEndpoint {
    /// Returns a time on the upstream's clock that it reaches no later than `end` is reached here.
    ///
    /// The reading was taken before it was received, so the upstream's clock is
    /// at least `clock + (now - received)` now. A delayed request therefore
    /// cannot be accepted after the lease has ended here.
    pub(crate) fn until(&self, end: Time) -> u64 {
        let span = end.since(self.received).as_millis();
        self.clock.saturating_add(u64::try_from(span).unwrap_or(u64::MAX))
    }
}

/// Right of this member to serve a unit, as long as its lease holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Requests may run.
    Serve {
        /// Fencing token.
        token: Token,
        /// Version of the assignment.
        version: Offset,
    },
    /// This member is to serve the unit soon.
    Wait,
}

/// Rights of this member, by workspace and unit.
pub(crate) type Permits = HashMap<Name, HashMap<UnitId, Permit>>;

/// Snapshot of the control state for traffic threads.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    /// This member, once it has joined.
    pub(crate) me: Option<MemberId>,
    /// State folded from the log.
    pub(crate) state: Arc<State>,
    /// Routes in force, for look-ups.
    pub(crate) routes: Arc<Routes>,
    /// Units that this member serves or is to serve.
    pub(crate) permits: Arc<Permits>,
    /// Units whose standby has acknowledged what this member remembers.
    pub(crate) synced: Arc<Synced>,
    /// Members whose lease is over for good and whose eviction is not yet in the log.
    pub(crate) expired: Arc<HashSet<MemberId>>,
    /// The upstream beside this member.
    pub(crate) endpoint: Option<UpstreamEndpoint>,
    /// True while the gate takes no new requests.
    pub(crate) closed: bool,
}

/// Standby that has acknowledged what the owner remembers, by workspace and unit.
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

    /// Returns the right of this member to serve a unit, if it has or is to get one.
    pub(crate) fn permit(&self, workspace: &str, unit: UnitId) -> Option<Permit> {
        self.permits.get(workspace)?.get(&unit).copied()
    }

    /// Returns the address of a member for other members.
    pub(crate) fn peer(&self, member: MemberId) -> Option<SocketAddr> {
        self.state.member(member).and_then(peer_address)
    }
}

/// Returns the address of a member for other members.
pub(crate) fn peer_address(member: &Member) -> Option<SocketAddr> {
    member.peer.parse().ok()
}

/// Time that one thread writes and others read.
#[derive(Debug, Default)]
pub(crate) struct SharedTime(AtomicU64);

impl SharedTime {
    /// Publishes a time; `Time::ZERO` stands for none.
    pub(crate) fn set(&self, time: Time) {
        let nanos = u64::try_from(time.since_start().as_nanos()).unwrap_or(u64::MAX);
        self.0.store(nanos, Ordering::Release);
    }

    /// Returns the time.
    pub(crate) fn get(&self) -> Time {
        Time::from_start(Duration::from_nanos(self.0.load(Ordering::Acquire)))
    }
}

/// What control and traffic threads share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    view: ArcSwap<View>,
    /// End of this member's lease.
    pub(crate) lease: SharedTime,
    /// When the upstream last refused a connection.
    pub(crate) upstream_refused: SharedTime,
    /// Requests in flight at the gate.
    pub(crate) inflight: Arc<Inflight>,
    /// True when the configuration is declared outside of the log.
    ///
    /// Then no lease vouches for what this member knows of it, and none is needed to act on it.
    pub(crate) declares: bool,
    /// True once this process is told to stop.
    pub(crate) stopping: AtomicBool,
    /// True once this member knows a configuration.
    pub(crate) configured: AtomicBool,
    /// True once this process has joined; before, no other member takes its connections.
    pub(crate) joined: AtomicBool,
    change: Notify,
}

impl Shared {
    /// Makes what a process shares; `declares` where its configuration stands outside of the log.
    pub(crate) fn new(declares: bool) -> Self {
        Self { declares, ..Self::default() }
    }

    /// Returns the view in force.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns true while callers are to come to this member.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = !self.declares || self.configured.load(Ordering::Acquire);
        configured && self.is_known() && !self.stopping.load(Ordering::Acquire)
    }

    /// Returns true once other members know this process, so that it can send requests on.
    ///
    /// Guards against a process that has its configuration before it has joined, for a second or more
    /// where the store is slow: each request made connections that all others refuse, a hundred
    /// handshakes on machines with little processor time.
    pub(crate) fn is_known(&self) -> bool {
        !self.declares || self.joined.load(Ordering::Acquire)
    }

    /// Publishes a view and wakes those that wait for a change.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.change.notify_waiters();
    }

    /// Waits for the next published view, at most `bound`.
    pub(crate) async fn changed(&self, bound: Duration) {
        // Without a change the bound passes.
        let _ = timeout(bound, self.change.notified()).await;
    }
}
