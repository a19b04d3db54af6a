//! Connections by member address.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use quinn::{ConnectionError, Endpoint, SendDatagramError};
use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time;
use tracing::{debug, warn};

use crate::metrics::{Counter, Metrics};
use crate::peer::error::{BrokenSnafu, ConnectError, SocketSnafu, StartSnafu};
use crate::peer::link::{Link, LinkId, greet};
use crate::peer::serve;
use crate::peer::tls::SERVER_NAME;
use crate::peer::transport::Shared;
use crate::peer::volume::Kind;

/// Silence after which an incoming connection is no longer used for datagrams.
///
/// Guards against using a dead incoming connection until its idle timeout. Lease renewals keep the
/// connections between lessor and holder below this limit.
const DATAGRAM_IDLE_LIMIT: Duration = Duration::from_millis(1500);

/// The same for messages on streams, which probe a connection before use after a shorter silence.
const STREAM_IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Age below which a connection to a suspect address is not replaced for a datagram.
///
/// Guards against repeated handshakes with a peer that answers late for lack of processor time.
const MIN_REPLACE_AGE: Duration = Duration::from_secs(1);

/// Time for which an address is suspect after the last failure of a connection.
const SUSPECT_TIMEOUT: Duration = Duration::from_mins(1);

/// Handshake timeout at both ends, in units of the connect timeout of a message.
///
/// Guards against a member short of processor time that cannot be reached: if each handshake ended
/// with the message that waits for it, the member's work on it would be wasted and start again.
pub(super) const HANDSHAKE_FACTOR: u32 = 5;

/// Datagrams queued for a connection; the oldest is dropped for a new one.
const MAX_QUEUED: usize = 8;

/// Outcome of an attempt to connect; `None` while it is in progress.
type ConnectOutcome = Option<Result<Arc<Link>, ConnectError>>;

/// Connections of one address.
#[derive(Default)]
struct Slot {
    /// Connection that this process opened.
    outgoing: Option<Arc<Link>>,
    /// Connection that the peer opened from this address.
    incoming: Option<Arc<Link>>,
    /// Attempt to connect that is in progress.
    connecting: Option<watch::Receiver<ConnectOutcome>>,
    /// Datagrams for the connection that is being opened.
    queued: VecDeque<Bytes>,
    /// Time at which a connection to this address last failed or became suspect.
    ///
    /// A NAT or firewall may have dropped the state of the address pair, so the next connection
    /// uses a new local port.
    suspect_since: Option<Instant>,
}

impl Slot {
    /// Returns a usable connection that is newer than `newer_than`.
    ///
    /// An incoming one is usable only if the peer was heard on it within `window`.
    fn pick(&self, newer_than: LinkId, window: Duration) -> Option<&Arc<Link>> {
        let incoming = self.incoming.iter().filter(|link| link.liveness.heard_within(window));
        let mut links = self.outgoing.iter().chain(incoming);
        links.find(|link| link.id > newer_than && link.is_open() && !link.liveness.is_suspect())
    }

    /// Stops using the connections up to id `last` until the peer is heard on them again.
    ///
    /// They stay open until a new one is established: a peer short of processor time answers late,
    /// and often on them before the handshake is complete.
    fn mark_suspect(&mut self, last: LinkId, metrics: &Metrics) {
        for link in self.outgoing.iter().chain(&self.incoming) {
            if link.id <= last && link.is_open() && link.liveness.mark_suspect() {
                self.suspect_since = Some(Instant::now());
                metrics.count(Counter::PeerSuspects, 1);
            }
        }
    }

    /// Sets the outgoing connection and retires the previous one and a suspect incoming one.
    fn replace(&mut self, link: Arc<Link>) {
        let incoming = self.incoming.take_if(|link| link.liveness.is_suspect());
        for old in self.outgoing.replace(link).iter().chain(&incoming) {
            old.retire();
        }
    }

    /// Returns the connection for a datagram; with `reconnect`, only one too young to be replaced.
    fn pick_for_datagram(&self, reconnect: bool) -> Option<&Arc<Link>> {
        let link = self.pick(0, DATAGRAM_IDLE_LIMIT)?;
        let young = self.is_suspect() && link.liveness.age() < MIN_REPLACE_AGE;
        (!reconnect || young).then_some(link)
    }

    fn is_suspect(&self) -> bool {
        self.suspect_since.is_some_and(|since| since.elapsed() < SUSPECT_TIMEOUT)
    }

    fn is_needed(&self) -> bool {
        self.outgoing.is_some()
            || self.incoming.is_some()
            || self.connecting.is_some()
            || self.is_suspect()
    }
}

/// Connections to all members.
#[derive(Default)]
pub(super) struct Pool {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Pool {
    /// Returns a connection to `to` that is newer than `newer_than`, opening one if there is none.
    ///
    /// Concurrent callers share one handshake, so a silent connection costs a single one however
    /// many requests used it. The handshake continues after a caller has timed out.
    pub async fn get(
        &self,
        shared: &Arc<Shared>,
        to: SocketAddr,
        newer_than: LinkId,
    ) -> Result<Arc<Link>, ConnectError> {
        let mut outcome = {
            let mut slots = self.slots.lock();
            let slot = slots.entry(to).or_default();
            if let Some(link) = slot.pick(newer_than, STREAM_IDLE_LIMIT) {
                return Ok(Arc::clone(link));
            }
            slot.mark_suspect(newer_than, &shared.metrics);
            connect(shared, to, slot)
        };
        let established = outcome.wait_for(Option::is_some);
        match time::timeout(shared.settings.connect, established).await {
            Ok(Ok(outcome)) => outcome.clone().unwrap_or(Err(ConnectError::Stopped)),
            Ok(Err(_)) => Err(ConnectError::Stopped),
            Err(_) => Err(ConnectError::TimedOut),
        }
    }

    /// Returns true if there is a connection to `to` that is usable for datagrams.
    pub fn connected(&self, to: SocketAddr) -> bool {
        self.slots.lock().get(&to).is_some_and(|slot| slot.pick(0, DATAGRAM_IDLE_LIMIT).is_some())
    }

    /// Sends a datagram to `to`, or queues it until a connection is open.
    pub fn send(&self, shared: &Arc<Shared>, to: SocketAddr, datagram: Bytes, reconnect: bool) {
        let mut slots = self.slots.lock();
        let slot = slots.entry(to).or_default();
        shared.volume.sent(Kind::Control, datagram.len());
        if let Some(link) = slot.pick_for_datagram(reconnect) {
            match link.conn.send_datagram(datagram.clone()) {
                Err(SendDatagramError::ConnectionLost(_)) => {}
                Err(error) => return warn!(%to, %error, "datagram not sent"),
                Ok(()) => return,
            }
        }
        if slot.queued.len() == MAX_QUEUED {
            slot.queued.pop_front();
        }
        slot.queued.push_back(datagram);
        if reconnect && slot.connecting.is_none() {
            slot.mark_suspect(LinkId::MAX, &shared.metrics);
        }
        connect(shared, to, slot);
    }

    /// Stops using a silent connection and those opened before it.
    pub fn mark_suspect(&self, to: SocketAddr, id: LinkId, metrics: &Metrics) {
        let mut slots = self.slots.lock();
        let Some(slot) = slots.get_mut(&to) else {
            return;
        };
        slot.mark_suspect(id, metrics);
    }

    /// Adds a connection that a peer has opened.
    pub fn add_incoming(&self, from: SocketAddr, link: Arc<Link>) {
        self.slots.lock().entry(from).or_default().incoming = Some(link);
    }

    /// Removes a connection that has ended.
    pub fn forget(&self, to: SocketAddr, id: LinkId, reason: &ConnectionError) {
        let mut slots = self.slots.lock();
        let Entry::Occupied(mut entry) = slots.entry(to) else {
            return;
        };
        let slot = entry.get_mut();
        slot.incoming.take_if(|link| link.id == id);
        let ended = slot.outgoing.take_if(|link| link.id == id).is_some();
        if ended && matches!(reason, ConnectionError::TimedOut) {
            slot.suspect_since = Some(Instant::now());
        }
        if !slot.is_needed() {
            entry.remove();
        }
    }

    /// Removes all connections.
    pub fn clear(&self) {
        self.slots.lock().clear();
    }

    /// Records the outcome of an attempt to connect and sends the queued datagrams.
    fn finish_connect(&self, to: SocketAddr, outcome: &Result<Arc<Link>, ConnectError>) {
        let mut slots = self.slots.lock();
        let slot = slots.entry(to).or_default();
        slot.connecting = None;
        let queued = std::mem::take(&mut slot.queued);
        let Ok(link) = outcome else {
            slot.suspect_since = Some(Instant::now());
            slots.retain(|_, slot| slot.is_needed());
            return;
        };
        for datagram in queued {
            if let Err(error) = link.conn.send_datagram(datagram) {
                warn!(%to, %error, "datagram not sent");
            }
        }
        slot.replace(Arc::clone(link));
    }
}

/// Opens a connection in the background, unless an attempt is in progress.
fn connect(
    shared: &Arc<Shared>,
    to: SocketAddr,
    slot: &mut Slot,
) -> watch::Receiver<ConnectOutcome> {
    if let Some(outcome) = &slot.connecting {
        return outcome.clone();
    }
    let (sender, receiver) = watch::channel(None);
    slot.connecting = Some(receiver.clone());
    let reconnect = slot.is_suspect();
    let runtime = shared.runtime.clone();
    let shared = Arc::clone(shared);
    let task = async move {
        let limit = shared.settings.connect * HANDSHAKE_FACTOR;
        let outcome = time::timeout(limit, establish(&shared, to, reconnect)).await;
        let outcome = outcome.unwrap_or(Err(ConnectError::TimedOut));
        match &outcome {
            Ok(link) => serve::start(&shared, Arc::clone(link), to),
            Err(error) => debug!(%to, %error, "cannot connect to member"),
        }
        shared.pool.finish_connect(to, &outcome);
        sender.send_replace(Some(outcome));
    };
    runtime.spawn(task);
    receiver
}

/// Opens a connection, from a new local port if `reconnect`.
async fn establish(
    shared: &Arc<Shared>,
    to: SocketAddr,
    reconnect: bool,
) -> Result<Arc<Link>, ConnectError> {
    if shared.is_stopped() {
        return Err(ConnectError::Stopped);
    }
    let endpoint = if reconnect {
        let ip = shared.settings.address.ip();
        Endpoint::client(SocketAddr::new(ip, 0)).context(SocketSnafu)?
    } else {
        shared.endpoint.clone()
    };
    let connecting = endpoint.connect_with(shared.client.clone(), to, SERVER_NAME);
    let conn = connecting.context(StartSnafu)?.await.context(BrokenSnafu)?;
    let process = greet(&conn, shared.process).await?;
    Ok(Arc::new(Link::new(shared.next_link(), process, conn, Some(endpoint))))
}
