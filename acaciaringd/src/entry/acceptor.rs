//! One `tiny_http` server, whose accept thread may end on errors.

use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use acaciaring_core::Time;
use parking_lot::Mutex;
use tiny_http::{Request, Server};
use tracing::warn;

use crate::clock;
use crate::entry::listener::Handler;

/// Number of file descriptors that must be free before a server is replaced.
const MIN_FREE_DESCRIPTORS: usize = 16;

/// One `tiny_http` server and the state of its accept thread.
pub(crate) struct Acceptor {
    server: Server,
    /// Time of the last request; locked while a request is received and [`Handler::enter`] runs.
    last_request: Mutex<Time>,
    ended: AtomicBool,
    /// Path in `/proc` of the accept thread's descriptor of the listening socket.
    descriptor: PathBuf,
    /// Link target of the path while the accept thread runs.
    link_target: PathBuf,
}

impl Acceptor {
    /// Starts an accept thread on a listening socket.
    pub(crate) fn open(socket: &TcpListener, now: Time) -> io::Result<Self> {
        let socket = socket.try_clone()?;
        let descriptor = PathBuf::from(format!("/proc/self/fd/{}", socket.as_raw_fd()));
        let link_target = fs::read_link(&descriptor)?;
        let server = Server::from_listener(socket, None).map_err(io::Error::other)?;
        let last_request = Mutex::new(now);
        Ok(Self { server, last_request, ended: AtomicBool::new(false), descriptor, link_target })
    }

    /// Fails if fewer than [`MIN_FREE_DESCRIPTORS`] are free, since accepting would fail again.
    pub(crate) fn check_descriptors(socket: &TcpListener) -> io::Result<()> {
        let clones: io::Result<Vec<_>> =
            (0..MIN_FREE_DESCRIPTORS).map(|_| socket.try_clone()).collect();
        clones.map(drop)
    }

    /// Returns true while the accept thread runs.
    ///
    /// `tiny_http` reports when the thread ends because `accept` failed, but not when it panics for
    /// lack of descriptors or threads. Either way the thread closes its descriptor of the listening
    /// socket.
    pub(crate) fn is_accepting(&self) -> bool {
        fs::read_link(&self.descriptor).is_ok_and(|link_target| link_target == self.link_target)
    }

    /// Marks the accept thread as ended; returns true if it was already marked.
    pub(crate) fn end(&self) -> bool {
        self.ended.swap(true, Ordering::SeqCst)
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Returns the time at which the last request was received.
    pub(crate) fn last_request(&self) -> Time {
        *self.last_request.lock()
    }

    /// Waits at most `timeout` for a request that can be served now; `None` if `stop` returns true.
    ///
    /// Pipelined requests must be entered in order: out of order, the second would block its worker
    /// until the first was answered.
    pub(crate) fn receive(
        &self,
        handler: &dyn Handler,
        stop: impl Fn() -> bool,
        timeout: Duration,
    ) -> Option<Request> {
        let mut last = self.last_request.lock();
        if stop() {
            return None;
        }
        let request = match self.server.recv_timeout(timeout) {
            Ok(request) => request?,
            Err(error) => {
                warn!(%error, "tiny_http failed to accept a connection");
                return None;
            }
        };
        *last = clock::now();
        handler.enter(request)
    }
}
