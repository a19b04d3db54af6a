//! TCP link between a listening address and a target, with faults on command.

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

/// Delay that one lost segment costs a TCP connection.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// How often a stopped or blocked half of a connection looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bound on a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const CHUNK_BYTES: usize = 64 * 1024;

/// Direction of traffic through a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the caller to the target.
    Up,
    /// From the target to the caller.
    Down,
}

/// Faults of a link.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing passes from caller to target.
    pub cut_up: bool,
    /// Nothing passes from target to caller.
    pub cut_down: bool,
    /// Added to each chunk or datagram, in milliseconds.
    pub delay: u64,
    /// Share of datagrams that are lost, 0 to 1; a TCP chunk is late by 200 ms instead.
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

/// Chooses the target of a new connection by the open connections to each target.
pub(crate) type Balancer =
    Box<dyn Fn(&HashMap<SocketAddr, usize>) -> Option<SocketAddr> + Send + Sync>;

pub(crate) struct LinkOptions {
    /// Connections are closed at once while there is none.
    pub(crate) target: Option<SocketAddr>,
    /// Chooses targets in place of `target`.
    pub(crate) balancer: Option<Balancer>,
    /// Most open connections; further ones are closed at once.
    pub(crate) limit: usize,
    /// Time that a new connection costs.
    pub(crate) accept_delay: Duration,
    pub(crate) seed: u64,
}

/// Listening address that passes each connection on to a target.
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
    /// Address under which the target sees this connection.
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

    /// Passes new connections on to another target.
    pub(crate) fn retarget(&self, target: SocketAddr) {
        *self.shared.target.lock() = Some(target);
    }

    /// Stops the traffic of all connections that are open now, for good and without closing them.
    pub(crate) fn silence(&self) -> usize {
        let open = self.shared.open.lock();
        for connection in open.values() {
            connection.silent.store(true, Ordering::SeqCst);
        }
        open.len()
    }

    /// Closes the connection that the target sees under `local`, once what the target wrote is passed on.
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
        // Wakes the acceptor, which then drops the listener.
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
            tracing::debug!(%error, "connection to the target failed");
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
                // The connection is silent: what arrives is lost, also the end of the stream.
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

    /// Waits until traffic of this half may pass; false when the connection is silent for good.
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

    /// Forgets a connection when both of its halves have ended.
    fn end(&self, id: u64) {
        let mut open = self.open.lock();
        let Some(connection) = open.get_mut(&id) else { return };
        connection.halves -= 1;
        if connection.halves == 0 {
            open.remove(&id);
        }
    }
}
