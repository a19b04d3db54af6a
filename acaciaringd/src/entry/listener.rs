//! Listening socket whose connections time out, served by `tiny_http`.

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

/// Handler of requests as `tiny_http` gives them.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Takes a request from the queue; called in the order in which they arrived.
    ///
    /// Returns it when it can be served now.
    fn enter(&self, raw: Request) -> Option<Request>;

    /// Serves a request; called on many threads at once.
    fn serve(&self, raw: Request);
}

/// Longest wait for a request before a worker looks whether it is to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two looks at the accept thread.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two connections to this listener itself while requests come, see [`Shared::watch`].
const SELF_CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// The same while none come.
const IDLE_SELF_CONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Idle times after which no request can be waiting at a server that accepts no more.
const RETIRE_IDLE_TIMES: u32 = 4;

/// Settings of a listener.
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
    /// Requests taken so far.
    taken: AtomicU64,
    closed: AtomicBool,
    stopped: AtomicBool,
}

impl Listener {
    /// Listens, and serves on threads of its own.
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

    /// Stops to accept; requests on open connections are still served.
    ///
    /// `Server` closes its socket only when it is dropped, and then it serves no
    /// more. Linux ends the `accept` of a listening socket that is shut down, and
    /// refuses further connections.
    pub(crate) fn close(&self) {
        if self.shared.closed.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Err(error) = shutdown(&self.shared.socket, Shutdown::Both) {
            warn!(%error, "cannot close the listening socket");
        }
    }

    /// Ends the threads once they have no request in hand.
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
    /// Accepts connections with a new server and as many workers as can be started.
    fn open(shared: &Arc<Self>) -> io::Result<Arc<Acceptor>> {
        let acceptor = Arc::new(Acceptor::open(&shared.socket, clock::now())?);
        for number in 0..shared.workers {
            let (shared, acceptor) = (Arc::clone(shared), Arc::clone(&acceptor));
            match spawn("listener-worker", move || shared.run_worker(&acceptor)) {
                Err(error) if number == 0 => return Err(error),
                Err(error) => warn!(%error, number, "fewer workers than set"),
                Ok(()) => {}
            }
        }
        Ok(acceptor)
    }

    /// Serves the requests of one server until the listener stops.
    ///
    /// A server that has been replaced is served for as long as one of its
    /// connections may still bring a request.
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
    /// It ends at the first failure, see [`Acceptor::is_accepting`], and the
    /// process would look healthy and never accept again. The backlog keeps new
    /// connections until a replacement accepts them.
    ///
    /// This thread also connects to the listener itself, for two reasons.
    ///
    /// `tiny_http` counts a thread as free until it wakes. Of connections that
    /// come together, some are left to a thread that has another one, and are
    /// not answered before that one ends: callers see a silent connection. Our
    /// own connection gets a thread of its own when none is free; it ends at
    /// once, and its thread takes over one that was left.
    ///
    /// And the receive timeout of the listening socket, which the connections
    /// inherit, holds for `accept` as well; it must not pass when no caller
    /// connects.
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

    /// Replaces a server whose accept thread has ended, unless resources are still short.
    fn replace(
        &self,
        acceptor: &mut Arc<Acceptor>,
        open: impl FnOnce() -> io::Result<Arc<Acceptor>>,
    ) {
        if self.closed.load(Ordering::SeqCst) {
            return;
        }
        if !acceptor.end() {
            warn!("accepting connections has failed");
        }
        // `tiny_http` panics when it cannot start its threads, and this one must go on.
        let open = || panic::catch_unwind(AssertUnwindSafe(open));
        let opened = Acceptor::check_descriptors(&self.socket)
            .and_then(|()| open().unwrap_or_else(|_| Err(io::ErrorKind::WouldBlock.into())));
        match opened {
            Ok(replacement) => *acceptor = replacement,
            Err(error) => error!(%error, "cannot accept connections"),
        }
    }
}

impl Debug for Shared {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("Shared").field("socket", &self.socket).finish_non_exhaustive()
    }
}

/// Sets the timeouts that connections inherit from the listening socket.
///
/// `tiny_http` reads and writes without timeout and does not give out its
/// sockets. Linux copies the options of a listening socket to the connections.
fn set_timeouts(socket: &TcpListener, idle: Duration) -> io::Result<()> {
    sockopt::set_socket_timeout(socket, Timeout::Recv, Some(idle))?;
    sockopt::set_socket_timeout(socket, Timeout::Send, Some(idle))?;
    sockopt::set_tcp_nodelay(socket, true)?;
    Ok(())
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(run).map(drop)
}
