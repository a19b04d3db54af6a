//! Connections of callers: pipelined requests, and connections that lost message framing.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use acaciaring_core::Time;
use parking_lot::Mutex;
use tiny_http::Request;

use crate::clock;

/// Response writer of a connection.
pub(crate) type Writer = Box<dyn Write + Send>;

/// Cause of the loss of message framing on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Part of a body is unread; the rest could be parsed as a request and must not run.
    Unread,
    /// Part of an answer is unwritten; another answer would be read as its rest.
    Unwritten,
}

/// Connections that lost message framing, by the caller's address.
///
/// `tiny_http` cannot close a connection: it would parse the rest of an abandoned body as the next
/// request, and append the next answer to a truncated one. Requests on a marked connection are
/// refused, and nothing is written after a truncated answer. A mark outlives its connection, which
/// is closed after `idle` without data.
#[derive(Debug)]
pub(crate) struct DesyncedConnections {
    lifetime: Duration,
    count: AtomicUsize,
    marks: Mutex<HashMap<SocketAddr, Mark>>,
}

#[derive(Debug)]
struct Mark {
    since: Time,
    fault: Fault,
}

impl DesyncedConnections {
    /// Returns an empty set whose marks last for `lifetime`.
    pub(crate) fn new(lifetime: Duration) -> Self {
        Self { lifetime, count: AtomicUsize::new(0), marks: Mutex::default() }
    }

    pub(crate) fn mark(&self, remote: SocketAddr, fault: Fault, now: Time) {
        let mut marks = self.marks.lock();
        marks.insert(remote, Mark { since: now, fault });
        self.count.store(marks.len(), Ordering::SeqCst);
    }

    pub(crate) fn unmark(&self, remote: SocketAddr) {
        let mut marks = self.marks.lock();
        marks.remove(&remote);
        self.count.store(marks.len(), Ordering::SeqCst);
    }

    /// Returns the fault of a connection, if it is marked.
    pub(crate) fn find(&self, remote: SocketAddr, now: Time) -> Option<Fault> {
        if self.count.load(Ordering::SeqCst) == 0 {
            return None;
        }
        let mut marks = self.marks.lock();
        marks.retain(|_, mark| now.since(mark.since) <= self.lifetime);
        self.count.store(marks.len(), Ordering::SeqCst);
        marks.get(&remote).map(|mark| mark.fault)
    }
}

/// Queues of pipelined requests, so that those of one connection are handled one at a time.
///
/// `tiny_http` delivers pipelined requests concurrently and blocks a worker that answers out of
/// order, so one caller that does not read its first answer could block all workers.
#[derive(Debug, Default)]
pub(crate) struct Pipelines(Mutex<HashMap<SocketAddr, VecDeque<Request>>>);

impl Pipelines {
    /// Returns the request if none of the connection is in progress, otherwise queues it.
    pub(crate) fn enter(&self, remote: SocketAddr, raw: Request) -> Option<Request> {
        match self.0.lock().entry(remote) {
            Entry::Vacant(free) => {
                free.insert(VecDeque::new());
                Some(raw)
            }
            Entry::Occupied(mut taken) => {
                taken.get_mut().push_back(raw);
                None
            }
        }
    }

    /// Finishes a request; returns the next one of the connection, which is then in progress.
    pub(crate) fn leave(&self, remote: SocketAddr) -> Option<Request> {
        let mut pipelines = self.0.lock();
        let next = pipelines.get_mut(&remote)?.pop_front();
        if next.is_none() {
            pipelines.remove(&remote);
        }
        next
    }
}

/// Writes all bytes; fails with `TimedOut` after `bound`.
pub(crate) fn send(writer: &mut Writer, bytes: &[u8], bound: Duration) -> io::Result<()> {
    let start = clock::now();
    let mut rest = bytes;
    while !rest.is_empty() {
        match writer.write(rest) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
        if !rest.is_empty() && clock::now().since(start) > bound {
            return Err(ErrorKind::TimedOut.into());
        }
    }
    writer.flush()
}

/// Returns true for errors after which the connection is closed.
pub(crate) const fn is_gone(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::BrokenPipe
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::NotConnected
    )
}
