//! TCP stream that writes nothing once the deadline of the current request has passed, that is reset
//! if its request is abandoned, and that limits what arrives in place of an answer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use acaciaring_core::Time;
use parking_lot::Mutex;
use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::read_limit::ReadLimit;
use crate::clock;

/// Deadline of the writes of one connection, shared with the exchange that uses it.
///
/// Guards against a request that is written long after it was given up, because the task of its
/// connection or the whole VM stood still: a timer is checked no earlier than that task runs.
#[derive(Debug, Default)]
pub(super) struct WriteLimit(Mutex<Writes>);

#[derive(Debug, Default)]
struct Writes {
    /// `None` if writes are not limited.
    deadline: Option<Time>,
    /// True once a byte was written for the current request.
    started: bool,
    /// True once the current request was abandoned.
    abandoned: bool,
}

impl WriteLimit {
    /// Sets the deadline for the next request.
    pub(super) fn begin(&self, deadline: Option<Time>) {
        *self.0.lock() = Writes { deadline, started: false, abandoned: false };
    }

    /// Prevents all further writes; returns true if a byte of the current request was written.
    pub(super) fn stop(&self) -> bool {
        let mut writes = self.0.lock();
        writes.deadline = Some(Time::ZERO);
        writes.started
    }

    /// Prevents all further writes and resets the connection when it closes.
    ///
    /// Guards against a server that reads a request after its caller has left: a connection that is
    /// closed still delivers what was written to it, and one that is reset does not.
    fn abandon(&self) {
        let mut writes = self.0.lock();
        writes.deadline = Some(Time::ZERO);
        writes.abandoned = true;
    }

    fn is_abandoned(&self) -> bool {
        self.0.lock().abandoned
    }

    /// Runs a write unless the deadline has passed.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut writes = self.0.lock();
        if writes.deadline.is_some_and(|deadline| clock::now() >= deadline) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let written = write();
        writes.started |= matches!(written, Poll::Ready(Ok(1..)));
        written
    }
}

/// Abandons the request of a connection on drop, unless its answer was received.
pub(super) struct AbandonGuard(Option<Arc<WriteLimit>>);

impl AbandonGuard {
    pub(super) const fn new(limit: Arc<WriteLimit>) -> Self {
        Self(Some(limit))
    }

    /// Records that the answer was received.
    pub(super) fn answered(mut self) {
        self.0 = None;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(limit) = &self.0 {
            limit.abandon();
        }
    }
}

/// TCP stream whose writes obey a [`WriteLimit`] and whose reads a [`ReadLimit`].
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: Arc<WriteLimit>,
    received: Arc<ReadLimit>,
}

impl LimitedStream {
    pub(super) const fn new(
        stream: TcpStream,
        limit: Arc<WriteLimit>,
        received: Arc<ReadLimit>,
    ) -> Self {
        Self { stream, limit, received }
    }
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        if self.limit.is_abandoned() {
            // Without the option the connection is closed instead of reset.
            let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.received.add(buffer.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, limit, .. } = self.get_mut();
        limit.write(|| Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, limit, .. } = self.get_mut();
        limit.write(|| Pin::new(stream).poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.limit.is_abandoned() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
