//! Fault-injecting UDP link between a listening address and a target.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use snafu::ResultExt;

use crate::error::{IoSnafu, Result};
use crate::link::{Direction, Faults, LOOPBACK};

/// Interval at which a waiting thread checks whether the link has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

const MAX_DATAGRAM_BYTES: usize = 65536;

/// Listening socket that forwards datagrams to a target, with one outgoing socket per source.
pub(crate) struct UdpLink {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    socket: UdpSocket,
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    /// Blocked directions of single sources, in addition to `faults`.
    cuts: Mutex<HashSet<(IpAddr, Direction)>>,
    rng: Mutex<StdRng>,
    flows: Mutex<HashMap<SocketAddr, Arc<Flow>>>,
    delayed: Sender<Delayed>,
    stopped: AtomicBool,
    bytes: AtomicU64,
    datagrams: AtomicU64,
}

/// Traffic of one source address.
struct Flow {
    source: SocketAddr,
    socket: UdpSocket,
    silent: AtomicBool,
}

struct Delayed {
    due: Instant,
    direction: Direction,
    flow: Arc<Flow>,
    datagram: Vec<u8>,
}

impl UdpLink {
    pub(crate) fn start(
        address: SocketAddr,
        target: Option<SocketAddr>,
        seed: u64,
    ) -> Result<Self> {
        let socket = UdpSocket::bind(address).context(IoSnafu { what: "bind" })?;
        socket.set_read_timeout(Some(POLL_INTERVAL)).context(IoSnafu { what: "bind" })?;
        let address = socket.local_addr().context(IoSnafu { what: "bind" })?;
        let (delayed, queue) = crossbeam_channel::unbounded();
        let shared = Arc::new(Shared {
            socket,
            target: Mutex::new(target),
            faults: Mutex::default(),
            cuts: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            flows: Mutex::default(),
            delayed,
            stopped: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
            datagrams: AtomicU64::new(0),
        });
        let receiver = Arc::clone(&shared);
        thread::spawn(move || receive(&receiver));
        let sender = Arc::clone(&shared);
        thread::spawn(move || send_delayed(&sender, &queue));
        Ok(Self { address, shared })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn faults(&self) -> Faults {
        *self.shared.faults.lock()
    }

    pub(crate) fn set(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }

    /// Blocks or unblocks one direction of the traffic of a source.
    pub(crate) fn cut_source(&self, source: IpAddr, direction: Direction, cut: bool) {
        let mut cuts = self.shared.cuts.lock();
        if cut {
            cuts.insert((source, direction));
        } else {
            cuts.remove(&(source, direction));
        }
    }

    /// Unblocks all sources.
    pub(crate) fn heal_sources(&self) {
        self.shared.cuts.lock().clear();
    }

    /// Forwards datagrams of all sources to another target and drops the existing flows.
    pub(crate) fn retarget(&self, target: SocketAddr) {
        *self.shared.target.lock() = Some(target);
        self.silence();
        self.shared.flows.lock().clear();
    }

    /// Permanently drops all datagrams from and to the known sources.
    pub(crate) fn silence(&self) -> usize {
        let flows = self.shared.flows.lock();
        for flow in flows.values() {
            flow.silent.store(true, Ordering::SeqCst);
        }
        flows.len()
    }

    /// Number of bytes and datagrams received from both sides.
    pub(crate) fn received(&self) -> (u64, u64) {
        let Shared { bytes, datagrams, .. } = &*self.shared;
        (bytes.load(Ordering::Relaxed), datagrams.load(Ordering::Relaxed))
    }

    pub(crate) fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
    }
}

impl Drop for UdpLink {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Forwards datagrams of all sources to the target.
fn receive(shared: &Arc<Shared>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    while !shared.stopped() {
        let Ok((length, source)) = shared.socket.recv_from(&mut datagram) else { continue };
        match flow(shared, source) {
            Ok(Some(flow)) => shared.pass(&flow, Direction::Up, &datagram[..length]),
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "cannot open a socket; dropping the datagram"),
        }
    }
}

/// Returns the flow of a source, or `None` while no target is set.
fn flow(shared: &Arc<Shared>, source: SocketAddr) -> std::io::Result<Option<Arc<Flow>>> {
    let Some(target) = *shared.target.lock() else { return Ok(None) };
    let mut flows = shared.flows.lock();
    if let Some(flow) = flows.get(&source) {
        return Ok(Some(Arc::clone(flow)));
    }
    let socket = UdpSocket::bind(LOOPBACK)?;
    socket.connect(target)?;
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    let flow = Arc::new(Flow { source, socket, silent: AtomicBool::new(false) });
    flows.insert(source, Arc::clone(&flow));
    let (shared, replies) = (Arc::clone(shared), Arc::clone(&flow));
    thread::spawn(move || relay_replies(&shared, &replies));
    Ok(Some(flow))
}

/// Forwards the target's datagrams to one source.
fn relay_replies(shared: &Shared, flow: &Arc<Flow>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    while !shared.stopped() && !flow.silent.load(Ordering::SeqCst) {
        // An error is a timeout or an ICMP message that the target's port is closed.
        let Ok(length) = flow.socket.recv(&mut datagram) else { continue };
        shared.pass(flow, Direction::Down, &datagram[..length]);
    }
}

/// Sends delayed datagrams when they are due, in the order of their arrival.
fn send_delayed(shared: &Shared, queue: &Receiver<Delayed>) {
    while !shared.stopped() {
        let Ok(delayed) = queue.recv_timeout(POLL_INTERVAL) else { continue };
        thread::sleep(delayed.due.saturating_duration_since(Instant::now()));
        shared.send(&delayed.flow, delayed.direction, &delayed.datagram);
    }
}

impl Shared {
    fn stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn pass(&self, flow: &Arc<Flow>, direction: Direction, datagram: &[u8]) {
        self.bytes.fetch_add(datagram.len() as u64, Ordering::Relaxed);
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        let faults = *self.faults.lock();
        let lost = faults.loss > 0.0 && self.rng.lock().random_bool(faults.loss.min(1.0));
        if lost {
            return;
        }
        if faults.delay == 0 {
            return self.send(flow, direction, datagram);
        }
        let due = Instant::now() + Duration::from_millis(faults.delay);
        let datagram = datagram.to_vec();
        _ = self.delayed.send(Delayed { due, direction, flow: Arc::clone(flow), datagram });
    }

    fn send(&self, flow: &Flow, direction: Direction, datagram: &[u8]) {
        if flow.silent.load(Ordering::SeqCst) || self.faults.lock().cut(direction) {
            return;
        }
        if self.cuts.lock().contains(&(flow.source.ip(), direction)) {
            return;
        }
        _ = match direction {
            Direction::Up => flow.socket.send(datagram),
            Direction::Down => self.socket.send_to(datagram, flow.source),
        };
    }
}
