//! Fault-injecting TCP link between a listening address and a target.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::error::{IoSnafu, Result};

/// Any free port on the loopback interface.
pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Delay that stands for the retransmission of a lost TCP segment.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// Interval at which a blocked half of a connection checks its state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a connection attempt to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const CHUNK_BYTES: usize = 64 * 1024;

/// Direction of traffic through a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// Faults of a link.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Blocks traffic from client to target.
    pub cut_up: bool,
    /// Blocks traffic from target to client.
    pub cut_down: bool,
    /// Delay of each TCP chunk or datagram, in milliseconds.
    pub delay: u64,
    /// Probability of losing a datagram, 0 to 1. A TCP chunk is delayed by 200 ms instead.
    pub loss: f64,
}

impl Faults {
    pub(crate) fn cut(&self, direction: Direction) -> bool {
        match direction {
            Direction::Up => self.cut_up,
            Direction::Down => self.cut_down,
        }
    }
}

/// Chooses the target of a new connection, given the number of open connections per target.
pub(crate) type Balancer =
    Box<dyn Fn(&HashMap<SocketAddr, usize>) -> Option<SocketAddr> + Send + Sync>;

pub(crate) struct LinkOptions {
    /// Target of connections; without one, connections are closed immediately.
    pub(crate) target: Option<SocketAddr>,
    /// Chooses the target of each connection instead of `target`.
    pub(crate) balancer: Option<Balancer>,
    /// Maximum number of open connections; further ones are closed immediately.
    pub(crate) limit: usize,
    /// Time that the acceptor waits after each new connection.
    pub(crate) accept_delay: Duration,
    pub(crate) seed: u64,
}

/// Listening socket that forwards each connection to a target.
pub(crate) struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    options: LinkOptions,
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    changed: Condvar,
    open: Mutex<HashMap<u64, Connection>>,
    next: AtomicU64,
    rng: Mutex<StdRng>,
    stopped: AtomicBool,
}

struct Connection {
    client: TcpStream,
    server: TcpStream,
    target: SocketAddr,
    /// Local address of `server`, which the target sees as its peer.
    local: SocketAddr,
    silent: Arc<AtomicBool>,
    halves: u8,
}

/// One direction of one connection.
struct Half {
    id: u64,
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
    silent: Arc<AtomicBool>,
}

impl Link {
    pub(crate) fn start(address: SocketAddr, options: LinkOptions) -> Result<Self> {
        let listener = TcpListener::bind(address).context(IoSnafu { what: "bind" })?;
        let address = listener.local_addr().context(IoSnafu { what: "bind" })?;
        let shared = Arc::new(Shared {
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            target: Mutex::new(options.target),
            options,
            faults: Mutex::default(),
            changed: Condvar::new(),
            open: Mutex::default(),
            next: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || accept(&acceptor, &listener));
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
        self.shared.changed.notify_all();
    }

    /// Forwards new connections to another target.
    pub(crate) fn retarget(&self, target: SocketAddr) {
        *self.shared.target.lock() = Some(target);
    }

    /// Permanently drops the traffic of all open connections without closing them.
    pub(crate) fn silence(&self) -> usize {
        let open = self.shared.open.lock();
        for connection in open.values() {
            connection.silent.store(true, Ordering::SeqCst);
        }
        open.len()
    }

    /// Closes the connection with this local address, after forwarding what the target has written.
    pub(crate) fn close(&self, local: SocketAddr) {
        let open = self.shared.open.lock();
        if let Some(connection) = open.values().find(|connection| connection.local == local) {
            _ = connection.server.shutdown(Shutdown::Both);
        }
    }

    pub(crate) fn stop(&self) {
        if self.shared.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the acceptor so that it drops the listener.
        _ = TcpStream::connect(self.address);
        for connection in self.shared.open.lock().values() {
            _ = connection.client.shutdown(Shutdown::Both);
            _ = connection.server.shutdown(Shutdown::Both);
        }
        self.shared.changed.notify_all();
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stop();
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for client in listener.incoming() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(client) = client else { continue };
        if shared.open.lock().len() >= shared.options.limit {
            continue;
        }
        if let Err(error) = connect(shared, client) {
            tracing::debug!(%error, "cannot connect to the target; closing the client connection");
        }
        thread::sleep(shared.options.accept_delay);
    }
}

fn connect(shared: &Arc<Shared>, client: TcpStream) -> std::io::Result<()> {
    let Some(target) = shared.choose() else { return Ok(()) };
    let server = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let id = shared.next.fetch_add(1, Ordering::SeqCst);
    let silent = Arc::new(AtomicBool::new(false));
    let half = |direction, from: &TcpStream, to: &TcpStream| {
        let silent = Arc::clone(&silent);
        Ok::<_, std::io::Error>(Half {
            id,
            direction,
            from: from.try_clone()?,
            to: to.try_clone()?,
            silent,
        })
    };
    let halves = [half(Direction::Up, &client, &server)?, half(Direction::Down, &server, &client)?];
    let local = server.local_addr()?;
    let open = Connection { client, server, target, local, silent: Arc::clone(&silent), halves: 2 };
    shared.open.lock().insert(id, open);
    for half in halves {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            half.run(&shared);
            shared.end(half.id);
        });
    }
    Ok(())
}

impl Half {
    fn run(&self, shared: &Shared) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let length = (&self.from).read(&mut chunk).unwrap_or(0);
            if !shared.pass(self) {
                // The connection is silenced: drops all data and the end of the stream.
                if length == 0 {
                    return;
                }
                continue;
            }
            if length == 0 {
                _ = self.to.shutdown(Shutdown::Write);
                return;
            }
            if (&self.to).write_all(&chunk[..length]).is_err() {
                _ = self.from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

impl Shared {
    /// Chooses the target of a new connection.
    fn choose(&self) -> Option<SocketAddr> {
        let Some(balancer) = &self.options.balancer else { return *self.target.lock() };
        let mut counts = HashMap::new();
        for connection in self.open.lock().values() {
            *counts.entry(connection.target).or_default() += 1;
        }
        balancer(&counts)
    }

    /// Applies blocking, delay and loss to this half; returns false if the connection is silenced.
    fn pass(&self, half: &Half) -> bool {
        let mut faults = self.faults.lock();
        while faults.cut(half.direction)
            && !half.silent.load(Ordering::SeqCst)
            && !self.stopped.load(Ordering::SeqCst)
        {
            self.changed.wait_for(&mut faults, POLL_INTERVAL);
        }
        let Faults { delay, loss, .. } = *faults;
        drop(faults);
        thread::sleep(Duration::from_millis(delay));
        if loss > 0.0 && self.rng.lock().random_bool(loss.min(1.0)) {
            thread::sleep(RETRANSMIT_DELAY);
        }
        !half.silent.load(Ordering::SeqCst)
    }

    /// Removes a connection when both halves have ended.
    fn end(&self, id: u64) {
        let mut open = self.open.lock();
        let Some(connection) = open.get_mut(&id) else { return };
        connection.halves -= 1;
        if connection.halves == 0 {
            open.remove(&id);
        }
    }
}
