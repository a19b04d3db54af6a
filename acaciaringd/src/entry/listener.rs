//! Listening socket with connection timeouts, served by `tiny_http`.

use std::fmt::{self, Debug, Formatter};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use acaciaring_core::Time;
use rustix::net::sockopt::{self, Timeout};
use rustix::net::{Shutdown, shutdown};
use tiny_http::Request;
use tracing::{error, warn};

use crate::clock;
use crate::entry::acceptor::Acceptor;

/// Handler of `tiny_http` requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Accepts a request, called in order of arrival; returns it if it can be served now.
    fn enter(&self, raw: Request) -> Option<Request>;

    /// Serves a request; called concurrently on many threads.
    fn serve(&self, raw: Request);
}

/// Timeout of receiving a request, after which a worker checks whether it must stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval of checks of the accept thread, and timeout of a connection to the listener itself.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of connections to the listener itself while requests arrive, see [`Shared::watch`].
const SELF_CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of connections to the listener itself while no requests arrive.
const IDLE_SELF_CONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Multiple of the idle timeout after which a replaced server has no more requests.
const RETIRE_IDLE_TIMES: u32 = 4;

/// Settings of a listener; `idle` is the timeout of connections without data.
#[derive(Debug, Clone)]
pub(crate) struct ListenerSettings {
    pub(crate) address: SocketAddr,
    pub(crate) workers: usize,
    pub(crate) idle: Duration,
}

/// Listening socket and the threads that serve it.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    socket: TcpListener,
    workers: usize,
    idle: Duration,
    handler: Box<dyn Handler>,
    /// Number of requests taken.
    taken: AtomicU64,
    closed: AtomicBool,
    stopped: AtomicBool,
}

impl Listener {
    /// Binds the address and starts the threads.
    pub(crate) fn start(settings: &ListenerSettings, handler: impl Handler) -> io::Result<Self> {
        let socket = TcpListener::bind(settings.address)?;
        let address = socket.local_addr()?;
        set_timeouts(&socket, settings.idle)?;
        let shared = Arc::new(Shared {
            socket,
            workers: settings.workers,
            idle: settings.idle,
            handler: Box::new(handler),
            taken: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let acceptor = Shared::open(&shared)?;
        let watcher = Arc::clone(&shared);
        spawn("listener-watch", move || Shared::watch(&watcher, address, acceptor))?;
        Ok(Self { address, shared })
    }

    pub(crate) const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; requests on open connections are still served.
    ///
    /// `Server` closes its socket only when dropped, and then serves no more requests. On Linux,
    /// shutting down a listening socket ends `accept` and refuses further connections.
    pub(crate) fn close(&self) {
        if self.shared.closed.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Err(error) = shutdown(&self.shared.socket, Shutdown::Both) {
            warn!(%error, "cannot shut down the listening socket");
        }
    }

    /// Stops the threads; each finishes its current request.
    pub(crate) fn stop(&self) {
        self.close();
        self.shared.stopped.store(true, Ordering::SeqCst);
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    /// Starts a new server and as many of its workers as possible.
    fn open(shared: &Arc<Self>) -> io::Result<Arc<Acceptor>> {
        let acceptor = Arc::new(Acceptor::open(&shared.socket, clock::now())?);
        for number in 0..shared.workers {
            let (shared, acceptor) = (Arc::clone(shared), Arc::clone(&acceptor));
            match spawn("listener-worker", move || shared.run_worker(&acceptor)) {
                Err(error) if number == 0 => return Err(error),
                Err(error) => warn!(%error, number, "cannot start a worker; fewer workers run"),
                Ok(()) => {}
            }
        }
        Ok(acceptor)
    }

    /// Serves the requests of one server until the listener stops.
    ///
    /// A replaced server is served while requests may still arrive on its connections.
    fn run_worker(&self, acceptor: &Acceptor) {
        while !self.is_finished(acceptor, clock::now()) {
            let stop = || self.stopped.load(Ordering::SeqCst);
            if let Some(request) = acceptor.receive(&*self.handler, stop, RECEIVE_TIMEOUT) {
                self.taken.fetch_add(1, Ordering::Relaxed);
                self.handler.serve(request);
            }
        }
    }

    fn is_finished(&self, acceptor: &Acceptor, now: Time) -> bool {
        let retired = acceptor.is_ended()
            && !self.closed.load(Ordering::SeqCst)
            && now.since(acceptor.last_request()) > self.idle * RETIRE_IDLE_TIMES;
        retired || self.stopped.load(Ordering::SeqCst)
    }

    /// Keeps an accept thread running until the socket is closed.
    ///
    /// The accept thread ends at its first error, see [`Acceptor::is_accepting`]; without a
    /// replacement the process would never accept again. Until then the backlog holds new
    /// connections.
    ///
    /// This thread also connects to the listener itself, for two reasons:
    ///
    /// - `tiny_http` counts a thread as free until it wakes, so some of several simultaneous
    ///   connections are queued behind a busy thread and get no answer until its connection ends.
    ///   A connection from here starts a thread if none is free; it ends at once, and its thread
    ///   serves a queued connection.
    /// - The receive timeout that connections inherit from the listening socket also applies to
    ///   `accept`; it must not expire while no caller connects.
    fn watch(shared: &Arc<Self>, address: SocketAddr, mut acceptor: Arc<Acceptor>) {
        let mut checked = clock::now();
        let mut taken = 0;
        let mut pause = SELF_CONNECT_INTERVAL;
        while !shared.closed.load(Ordering::SeqCst) {
            thread::sleep(pause);
            let now = clock::now();
            if now.since(checked) >= WATCH_INTERVAL {
                checked = now;
                if !acceptor.is_accepting() {
                    shared.replace(&mut acceptor, || Self::open(shared));
                }
            }
            let before = std::mem::replace(&mut taken, shared.taken.load(Ordering::Relaxed));
            pause =
                if before == taken { IDLE_SELF_CONNECT_INTERVAL } else { SELF_CONNECT_INTERVAL };
            drop(TcpStream::connect_timeout(&address, WATCH_INTERVAL));
        }
    }

    /// Replaces a server whose accept thread has ended, if resources suffice.
    fn replace(
        &self,
        acceptor: &mut Arc<Acceptor>,
        open: impl FnOnce() -> io::Result<Arc<Acceptor>>,
    ) {
        if self.closed.load(Ordering::SeqCst) {
            return;
        }
        if !acceptor.end() {
            warn!("accept thread has ended; replacing the server");
        }
        // `tiny_http` panics if it cannot start its threads; this thread must continue.
        let open = || panic::catch_unwind(AssertUnwindSafe(open));
        let opened = Acceptor::check_descriptors(&self.socket)
            .and_then(|()| open().unwrap_or_else(|_| Err(io::ErrorKind::WouldBlock.into())));
        match opened {
            Ok(replacement) => *acceptor = replacement,
            Err(error) => error!(%error, "cannot replace the server; will try again"),
        }
    }
}

impl Debug for Shared {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("Shared").field("socket", &self.socket).finish_non_exhaustive()
    }
}

/// Sets socket options on the listening socket, which connections inherit on Linux.
///
/// `tiny_http` reads and writes without timeouts and does not expose its sockets.
fn set_timeouts(socket: &TcpListener, idle: Duration) -> io::Result<()> {
    sockopt::set_socket_timeout(socket, Timeout::Recv, Some(idle))?;
    sockopt::set_socket_timeout(socket, Timeout::Send, Some(idle))?;
    sockopt::set_tcp_nodelay(socket, true)?;
    Ok(())
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(run).map(drop)
}
