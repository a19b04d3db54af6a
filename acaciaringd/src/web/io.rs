//! Server connection with read and write timeouts.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use acaciaring_core::connection_limit::Phase;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::connections::Activity;

/// Timeout of a write without progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Read state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// Waits for a request; nothing received.
    Idle,
    /// Waits for the rest of a request head.
    Head,
    /// A request is in progress; no read timeout applies.
    Busy,
}

/// Connection that fails with `TimedOut` if its caller is inactive.
///
/// The timeout is `idle` without a request and `arrival` within a head. Guards against a leak of
/// descriptors by dead callers.
pub(super) struct TimedConnection {
    stream: TcpStream,
    arrival: Duration,
    idle: Duration,
    activity: Arc<Activity>,
    /// True once the caller has closed the connection.
    closed: Arc<AtomicBool>,
    wait: Wait,
    read_timer: Pin<Box<Sleep>>,
    /// Timeout of the blocked write, if any.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl TimedConnection {
    pub(super) fn new(
        stream: TcpStream,
        arrival: Duration,
        idle: Duration,
        activity: Arc<Activity>,
        closed: Arc<AtomicBool>,
    ) -> Self {
        let read_timer = Box::pin(sleep_until(Instant::now() + idle));
        Self {
            stream,
            arrival,
            idle,
            activity,
            closed,
            wait: Wait::Idle,
            read_timer,
            write_timer: None,
        }
    }

    /// Checks whether the caller closed the connection directly after the data that was read.
    ///
    /// Guards against running requests of callers that have left, after this process was delayed.
    /// The socket is peeked directly because the readiness cached by the runtime predates the read.
    fn detect_close(&self) {
        let mut byte = [0];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match recv(&self.stream, &mut byte, flags) {
            Ok((_, 1..)) | Err(Errno::AGAIN | Errno::INTR) => {}
            Ok(_) | Err(_) => self.closed.store(true, Ordering::Release),
        }
    }

    /// Updates the read state, and resets the read timeout if the state changes.
    fn update_wait(&mut self, received: bool) {
        let busy = self.activity.is_busy();
        let next = match (busy, self.wait, received) {
            (true, _, _) => Wait::Busy,
            (false, Wait::Idle | Wait::Busy, false) => Wait::Idle,
            (false, _, _) => Wait::Head,
        };
        match next {
            Wait::Head => drop(self.activity.enter(Phase::Head)),
            Wait::Idle if self.write_timer.is_none() => {
                self.activity.enter(Phase::Receiving);
            }
            Wait::Idle | Wait::Busy => {}
        }
        if next != self.wait {
            self.wait = next;
            let timeout = if next == Wait::Head { self.arrival } else { self.idle };
            self.read_timer.as_mut().reset(Instant::now() + timeout);
        }
    }

    fn poll_write_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + WRITE_TIMEOUT)));
        write_timer.as_mut().poll(cx).map(|()| io::ErrorKind::TimedOut.into())
    }
}

impl AsyncRead for TimedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let received = buffer.filled().len() > before;
        self.update_wait(received);
        if received {
            self.detect_close();
        }
        if result.is_ready() || self.wait == Wait::Busy {
            return result;
        }
        self.read_timer.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for TimedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_write(cx, bytes) {
            self.write_timer = None;
            return Poll::Ready(result);
        }
        self.poll_write_timer(cx).map(Err)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_write_vectored(cx, slices) {
            self.write_timer = None;
            return Poll::Ready(result);
        }
        self.poll_write_timer(cx).map(Err)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
