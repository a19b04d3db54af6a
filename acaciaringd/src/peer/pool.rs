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

/// Time since the peer was last heard within which a datagram goes on a connection that it opened.
///
/// Without this bound an incoming connection that has gone silent would be used
/// until its idle timeout. Lease renewals keep those between lessor and holder in use.
const DATAGRAM_IDLE_LIMIT: Duration = Duration::from_millis(1500);

/// The same for a message on a stream; after a longer silence a test comes first.
const STREAM_IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Age up to which a connection that took the place of another is not replaced for a datagram.
///
/// Guards against handshakes with a peer that answers late because it is short of processor.
const MIN_REPLACE_AGE: Duration = Duration::from_secs(1);

/// Time for which an address counts as suspect after its last fault.
const SUSPECT_TIMEOUT: Duration = Duration::from_mins(1);

/// Times the patience of a request for which a handshake goes on, at both ends.
///
/// Guards against a member short of processor that nobody reaches: were its handshakes ended with
/// the patience of those who wait, each would be work in vain for it and the next begin at once.
pub(super) const HANDSHAKE_FACTOR: u32 = 5;

/// Datagrams that wait for a connection; older ones give way.
const MAX_QUEUED: usize = 8;

/// What becomes of an attempt to connect.
type ConnectOutcome = Option<Result<Arc<Link>, ConnectError>>;

/// Connections of one address.
#[derive(Default)]
struct Slot {
    /// Connection that this process opened.
    outgoing: Option<Arc<Link>>,
    /// Connection that the peer opened from this address.
    incoming: Option<Arc<Link>>,
    /// Attempt to connect that is under way.
    connecting: Option<watch::Receiver<ConnectOutcome>>,
    /// Datagrams for the connection under way.
    queued: VecDeque<Bytes>,
    /// When a connection to this address last failed or was replaced.
    ///
    /// Something in between may have lost track of the pair of addresses, so
    /// the next connection starts from a new port.
    suspect_since: Option<Instant>,
}

impl Slot {
    /// Returns the connection to use, if there is one that is newer than `older`.
    ///
    /// One that the peer opened counts when it was heard within `span`.
    fn pick(&self, newer_than: LinkId, window: Duration) -> Option<&Arc<Link>> {
        let incoming = self.incoming.iter().filter(|link| link.liveness.heard_within(window));
        let mut links = self.outgoing.iter().chain(incoming);
        links.find(|link| link.id > newer_than && link.is_open() && !link.liveness.is_suspect())
    }

    /// Uses the connections up to number `last` no more unless the peer is heard on them again.
    ///
    /// They stay open until another one is there: a peer that is short of processor answers late,
    /// and is reached by what is there before a handshake with it is over.
    fn mark_suspect(&mut self, last: LinkId, metrics: &Metrics) {
        for link in self.outgoing.iter().chain(&self.incoming) {
            if link.id <= last && link.is_open() && link.liveness.mark_suspect() {
                self.suspect_since = Some(Instant::now());
                metrics.count(Counter::PeerSuspects, 1);
            }
        }
    }

    /// Takes in a connection that this process opened, in place of the one before and of what is doubted.
    fn replace(&mut self, link: Arc<Link>) {
        let incoming = self.incoming.take_if(|link| link.liveness.is_suspect());
        for old in self.outgoing.replace(link).iter().chain(&incoming) {
            old.retire();
        }
    }

    /// Returns the connection on which a datagram goes; `fresh` asks for one in place of the present one.
    fn pick_for_datagram(&self, fresh: bool) -> Option<&Arc<Link>> {
        let link = self.pick(0, DATAGRAM_IDLE_LIMIT)?;
        let young = self.is_suspect() && link.liveness.age() < MIN_REPLACE_AGE;
        (!fresh || young).then_some(link)
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
    /// Returns a connection to `to` that is newer than `older`, opening one if there is none.
    ///
    /// All who ask at the same time wait for the same new connection, so a
    /// silent connection costs one handshake however many requests were on it. Who has waited for
    /// long enough leaves, and the handshake goes on for the next.
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

    /// Returns true when there is a connection to `to` that a datagram would go on.
    pub fn connected(&self, to: SocketAddr) -> bool {
        self.slots.lock().get(&to).is_some_and(|slot| slot.pick(0, DATAGRAM_IDLE_LIMIT).is_some())
    }

    /// Sends a datagram on the connection to `to`, or once one is open.
    pub fn send(&self, shared: &Arc<Shared>, to: SocketAddr, datagram: Bytes, fresh: bool) {
        let mut slots = self.slots.lock();
        let slot = slots.entry(to).or_default();
        if let Some(link) = slot.pick_for_datagram(fresh) {
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
        if fresh && slot.connecting.is_none() {
            slot.mark_suspect(LinkId::MAX, &shared.metrics);
        }
        connect(shared, to, slot);
    }

    /// Stops using a connection that has gone silent.
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

    /// Forgets a connection that has ended.
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

    /// Forgets all connections.
    pub fn clear(&self) {
        self.slots.lock().clear();
    }

    /// Takes in the outcome of an attempt to connect.
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

/// Opens a connection in the background unless one is being opened.
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
    let fresh = slot.is_suspect();
    let runtime = shared.runtime.clone();
    let shared = Arc::clone(shared);
    let task = async move {
        let limit = shared.settings.connect * HANDSHAKE_FACTOR;
        let outcome = time::timeout(limit, establish(&shared, to, fresh)).await;
        let outcome = outcome.unwrap_or(Err(ConnectError::TimedOut));
        match &outcome {
            Ok(link) => serve::start(&shared, Arc::clone(link), to),
            Err(error) => debug!(%to, %error, "no connection"),
        }
        shared.pool.finish_connect(to, &outcome);
        sender.send_replace(Some(outcome));
    };
    runtime.spawn(task);
    receiver
}

/// Opens a connection, from a new port when `fresh`.
async fn establish(
    shared: &Arc<Shared>,
    to: SocketAddr,
    fresh: bool,
) -> Result<Arc<Link>, ConnectError> {
    if shared.is_stopped() {
        return Err(ConnectError::Stopped);
    }
    let endpoint = if fresh {
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
