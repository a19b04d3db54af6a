//! Connections of callers: their turns, and those that are out of step.

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

/// Writer of a connection.
pub(crate) type Writer = Box<dyn Write + Send>;

/// What is still safe on a connection that is out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Part of a body is unread; what follows may look like a request and must not run.
    Unread,
    /// Part of an answer is unwritten; a further answer would be taken for its rest.
    Unwritten,
}

/// Connections that are out of step, by the caller's address.
///
/// `tiny_http` gives no way to close a connection. After a body that was given
/// up, it would read the rest of that body as the next request; after an answer
/// that was cut off, it would write the next answer behind it, and the caller
/// would take both for one. Requests from a marked connection are refused, and
/// nothing is written to one whose answer was cut off. A mark outlives its
/// connection, since that is closed after `idle` without a byte.
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

    /// Returns what is wrong with a connection, if anything.
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

/// Lets the requests of one connection be handled one after the other.
///
/// `tiny_http` gives out requests that a caller sends without waiting for its
/// answers at once, and blocks who answers them out of turn. One caller that
/// does not take its first answer could so block every worker.
#[derive(Debug, Default)]
pub(crate) struct Pipelines(Mutex<HashMap<SocketAddr, VecDeque<Request>>>);

impl Pipelines {
    /// Returns the request when it is its turn, else keeps it until [`Self::leave`].
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

    /// Ends a turn; returns the next request of the connection, whose turn it is then.
    pub(crate) fn leave(&self, remote: SocketAddr) -> Option<Request> {
        let mut pipelines = self.0.lock();
        let next = pipelines.get_mut(&remote)?.pop_front();
        if next.is_none() {
            pipelines.remove(&remote);
        }
        next
    }
}

/// Writes all bytes within `bound`.
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

/// Returns true for failures after which the connection is gone for good.
pub(crate) const fn is_gone(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::BrokenPipe
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::NotConnected
    )
}
