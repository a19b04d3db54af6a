//! Connection of a caller with bounds on its silence.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time for which a caller may take no byte of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// A request; nothing has come yet.
    Idle,
    /// The rest of a head.
    Head,
    /// A request is in hand; the silence of the caller means nothing.
    Busy,
}

/// Connection that ends with an error when its caller is silent for too long.
///
/// A connection without request ends after `idle`, one with half a head after `arrival`. Without
/// it callers that have gone silent would keep descriptors for good.
pub(super) struct TimedConnection {
    stream: TcpStream,
    arrival: Duration,
    idle: Duration,
    /// True while a request is in hand.
    busy: Arc<AtomicBool>,
    /// Set once the caller has closed the connection.
    closed: Arc<AtomicBool>,
    wait: Wait,
    read_timer: Pin<Box<Sleep>>,
    /// End of the time for the caller to take some bytes, while it takes none.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl TimedConnection {
    pub(super) fn new(
        stream: TcpStream,
        arrival: Duration,
        idle: Duration,
        busy: Arc<AtomicBool>,
        closed: Arc<AtomicBool>,
    ) -> Self {
        let read_timer = Box::pin(sleep_until(Instant::now() + idle));
        Self {
            stream,
            arrival,
            idle,
            busy,
            closed,
            wait: Wait::Idle,
            read_timer,
            write_timer: None,
        }
    }

    /// Looks whether the end of the connection stands right behind what was read.
    ///
    /// Guards against work for callers that have left: a process that was late reads their requests and
    /// would hand them on before it reads any further. The socket is asked itself, for the readiness that
    /// the runtime knows is of the time before the read.
    fn detect_close(&self) {
        let mut byte = [0];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match recv(&self.stream, &mut byte, flags) {
            Ok((_, 1..)) | Err(Errno::AGAIN | Errno::INTR) => {}
            Ok(_) | Err(_) => self.closed.store(true, Ordering::Release),
        }
    }

    /// Follows what the connection waits for, and sets the time for it anew when that changes.
    fn update_wait(&mut self, received: bool) {
        let busy = self.busy.load(Ordering::Acquire);
        let next = match (busy, self.wait, received) {
            (true, _, _) => Wait::Busy,
            (false, Wait::Idle | Wait::Busy, false) => Wait::Idle,
            (false, _, _) => Wait::Head,
        };
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
