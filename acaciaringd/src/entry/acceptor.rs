//! One server of `tiny_http`, whose accept thread may end.

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

/// File descriptors that have to be free before a server is replaced.
const MIN_FREE_DESCRIPTORS: usize = 16;

/// Server of `tiny_http`.
pub(crate) struct Acceptor {
    server: Server,
    /// Time of the last request; locked from taking a request to [`Handler::enter`].
    last_request: Mutex<Time>,
    ended: AtomicBool,
    /// Descriptor of the accept thread, in `/proc`.
    descriptor: PathBuf,
    /// What the descriptor refers to while the accept thread runs.
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

    /// Fails while file descriptors are so short that accepting would fail again.
    pub(crate) fn check_descriptors(socket: &TcpListener) -> io::Result<()> {
        let clones: io::Result<Vec<_>> =
            (0..MIN_FREE_DESCRIPTORS).map(|_| socket.try_clone()).collect();
        clones.map(drop)
    }

    /// Returns true while the accept thread runs.
    ///
    /// `tiny_http` ends it when `accept` fails, and says so; it also ends by a
    /// panic, without a word, when there is a descriptor for the connection but
    /// none for its copy, or no thread for it. The thread owns its descriptor of
    /// the listening socket, so that is closed with it either way.
    pub(crate) fn is_accepting(&self) -> bool {
        fs::read_link(&self.descriptor).is_ok_and(|link_target| link_target == self.link_target)
    }

    /// Notes that the accept thread has ended; returns whether that was known.
    pub(crate) fn end(&self) -> bool {
        self.ended.swap(true, Ordering::SeqCst)
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Returns when the last request arrived.
    pub(crate) fn last_request(&self) -> Time {
        *self.last_request.lock()
    }

    /// Waits for a request that can be served now, at most `timeout`, unless it is to `stop`.
    ///
    /// Two requests of one connection have to be entered in their order: served
    /// the other way round, the second would wait for the first to be answered.
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
                warn!(%error, "accept has failed");
                return None;
            }
        };
        *last = clock::now();
        handler.enter(request)
    }
}
