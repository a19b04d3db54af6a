//! Detection of crashes of the local upstream, and of the requests in flight at them.
//!
//! A connection that ends before the answer proves little: an upstream may truncate one answer, or
//! reset connections while it is full. It has crashed if its address then refuses connections, or
//! if another incarnation announces itself.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::quarantine::Treatment;
use acaciaring_core::{Fingerprint, Name, Time};
use parking_lot::Mutex;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::clock;
use crate::metrics::{Counter, Metrics};
use crate::quarantine::Quarantine;

/// Time after a lost answer at which the upstream is probed, unless it has answered since.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Timeout of the probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a lost answer waits for evidence of a crash; longer than upstreams take to
/// restart and announce themselves.
const LOSS_RETENTION: Duration = Duration::from_secs(8);

/// Time after a crash in which further lost answers of the same upstream belong to it.
const CRASH_SPAN: Duration = Duration::from_secs(1);

/// Time over which the lost answers of one crash are gathered for a message to other members.
const GATHER_TIME: Duration = Duration::from_millis(10);

/// Longest time for which a request that has strikes waits for the verdict on its lost answer.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(150);

/// Detects crashes of the local upstream.
pub(crate) struct CrashMonitor {
    quarantine: Arc<Quarantine>,
    runtime: Handle,
    metrics: Metrics,
    state: Mutex<State>,
    /// Notified when lost answers have been counted as strikes.
    counted: Notify,
}

#[derive(Default)]
struct State {
    /// Lost answers without a verdict.
    losses: Vec<Loss>,
    crash: Option<Crash>,
    /// Incarnation that was last announced: instance and start number.
    announced: Option<(Name, u64)>,
    probing: bool,
}

struct Loss {
    at: Time,
    instance: Name,
    fingerprint: Fingerprint,
}

/// Last crash.
struct Crash {
    id: u64,
    instance: Name,
    at: Time,
    /// Requests in flight at it that other members have not been told yet.
    untold: Vec<Fingerprint>,
}

impl CrashMonitor {
    pub(crate) fn new(quarantine: Arc<Quarantine>, runtime: Handle, metrics: Metrics) -> Self {
        let (state, counted) = (Mutex::default(), Notify::new());
        Self { quarantine, runtime, metrics, state, counted }
    }

    /// Records an answer to a request that was sent at `sent`.
    pub(crate) fn answered(&self, sent: Time, instance: &str) {
        let mut state = self.state.lock();
        state.losses.retain(|loss| *loss.instance != *instance || loss.at >= sent);
    }

    /// Records an announcement of the upstream; another incarnation proves that the last one ended.
    ///
    /// Returns true for the first announcement of an incarnation.
    pub(crate) fn announced(self: &Arc<Self>, now: Time, instance: &str, born: u64) -> bool {
        let former = {
            let mut state = self.state.lock();
            let same = |(known, start): &(Name, u64)| **known == *instance && *start == born;
            if state.announced.as_ref().is_some_and(same) {
                return false;
            }
            state.announced.replace((Name::from(instance), born))
        };
        if let Some((former, _)) = former {
            self.crashed(now, &former);
        }
        true
    }

    /// Records a lost answer; returns true if the request may be retried.
    ///
    /// Waits for the verdict if the request has strikes already.
    pub(crate) async fn lost(
        self: &Arc<Self>,
        address: SocketAddr,
        instance: &Name,
        fingerprint: Fingerprint,
    ) -> bool {
        let now = clock::now();
        let before = self.quarantine.treatment(now, &fingerprint);
        let mut counted = std::pin::pin!(self.counted.notified());
        counted.as_mut().enable();
        self.record(now, address, instance, fingerprint);
        if before != Treatment::Normal {
            // Without evidence in time the request is retried as if the upstream were alive.
            let _ = timeout(VERDICT_TIMEOUT, counted).await;
        }
        let after = self.quarantine.treatment(clock::now(), &fingerprint);
        matches!(after, Treatment::Normal | Treatment::Watch)
    }

    fn record(
        self: &Arc<Self>,
        now: Time,
        address: SocketAddr,
        instance: &Name,
        fingerprint: Fingerprint,
    ) {
        let mut state = self.state.lock();
        let same = |crash: &Crash| crash.instance == *instance && now < crash.at + CRASH_SPAN;
        if let Some(crash) = state.crash.as_mut().filter(|crash| same(crash)) {
            crash.untold.push(fingerprint);
            let (id, gathering) = (crash.id, crash.untold.len() > 1);
            drop(state);
            self.quarantine.crashed(now, id, &[fingerprint]);
            self.counted.notify_waiters();
            if !gathering {
                self.tell_later();
            }
            return;
        }
        state.losses.retain(|loss| now < loss.at + LOSS_RETENTION);
        state.losses.push(Loss { at: now, instance: Arc::clone(instance), fingerprint });
        if !std::mem::replace(&mut state.probing, true) {
            let (monitor, instance) = (Arc::clone(self), Arc::clone(instance));
            self.runtime.spawn(async move { monitor.probe(address, &instance).await });
        }
    }

    /// Connects to the upstream if answers that it lost are still without a verdict.
    async fn probe(self: &Arc<Self>, address: SocketAddr, instance: &Name) {
        sleep(PROBE_DELAY).await;
        let pending = {
            let mut state = self.state.lock();
            state.probing = false;
            state.losses.iter().any(|loss| loss.instance == *instance)
        };
        if !pending {
            return;
        }
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                self.crashed(clock::now(), instance);
            }
            outcome => debug!(%address, ?outcome, "the upstream lost an answer and still accepts"),
        }
    }

    /// Counts the lost answers of an upstream that has crashed.
    fn crashed(self: &Arc<Self>, now: Time, instance: &Name) {
        let id = rand::rng().random();
        let requests: Vec<Fingerprint> = {
            let mut state = self.state.lock();
            let (lost, others) =
                std::mem::take(&mut state.losses).into_iter().partition::<Vec<_>, _>(|loss| {
                    loss.instance == *instance && now < loss.at + LOSS_RETENTION
                });
            state.losses = others;
            let mut requests: Vec<_> = lost.into_iter().map(|loss| loss.fingerprint).collect();
            requests.sort_unstable();
            requests.dedup();
            if requests.is_empty() {
                return;
            }
            let (instance, untold) = (Arc::clone(instance), requests.clone());
            state.crash = Some(Crash { id, instance, at: now, untold });
            requests
        };
        info!(%instance, requests = requests.len(), "the upstream crashed with requests in flight");
        self.metrics.count(Counter::UpstreamCrashes, 1);
        self.quarantine.crashed(now, id, &requests);
        self.counted.notify_waiters();
        self.tell_later();
    }

    /// Tells other members of the last crash, once its lost answers are gathered.
    fn tell_later(self: &Arc<Self>) {
        let monitor = Arc::clone(self);
        self.runtime.spawn(async move {
            sleep(GATHER_TIME).await;
            let told = {
                let mut state = monitor.state.lock();
                state.crash.as_mut().map(|crash| (crash.id, std::mem::take(&mut crash.untold)))
            };
            if let Some((id, requests)) = told.filter(|(_, requests)| !requests.is_empty()) {
                monitor.quarantine.tell_crash(id, &requests);
            }
        });
    }
}
