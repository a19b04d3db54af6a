//! Worker pool of the entry: reads, handles and answers requests.

use std::net::SocketAddr;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use acaciaring_core::{Reason, Refusal, Time};
use crossbeam_channel::{Receiver, Sender, TrySendError};
use tiny_http::Request;
use tracing::{debug, error, info_span, warn};

use crate::clock;
use crate::entry::answer::EntryAnswer;
use crate::entry::body::{self, BodyLimits};
use crate::entry::connection::{self, DesyncedConnections, Fault, Pipelines};
use crate::entry::listener::Handler;
use crate::entry::refuse::Recovery;
use crate::entry::request::{EntryRequest, Framing, Head};
use crate::entry::{EntrySettings, Service};

const UNAVAILABLE: u16 = 503;

/// Retry delay for callers while the entry is busy or draining.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Multiple of the idle timeout for which a connection that lost framing stays marked.
const MARK_IDLE_TIMES: u32 = 4;

/// Settings, upload threads and state shared by all requests.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(super) settings: EntrySettings,
    pub(super) service: ServiceHandle,
    pub(super) desynced: Arc<DesyncedConnections>,
    pipelines: Pipelines,
    in_flight: AtomicUsize,
    draining: AtomicBool,
    uploads: Sender<Upload>,
}

pub(super) struct ServiceHandle(pub(super) Arc<dyn Service>);

impl std::fmt::Debug for ServiceHandle {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("Service")
    }
}

/// Request whose body has not been read.
struct Upload {
    raw: Request,
    head: Head,
    guard: RequestGuard,
}

/// Counts a request as in flight until dropped.
struct RequestGuard {
    pool: Arc<Pool>,
    remote: SocketAddr,
}

impl RequestGuard {
    fn new(pool: &Arc<Pool>, remote: SocketAddr) -> Self {
        pool.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { pool: Arc::clone(pool), remote }
    }

    /// Finishes the request and serves the next one of the connection.
    fn serve_next(self) {
        if let Some(next) = self.pool.pipelines.leave(self.remote) {
            Pool::serve(&self.pool, next);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.pool.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Arc<Pool> {
    fn enter(&self, raw: Request) -> Option<Request> {
        let remote = raw.remote_addr().copied()?;
        self.pipelines.enter(remote, raw)
    }

    fn serve(&self, raw: Request) {
        Pool::serve(self, raw);
    }
}

impl Pool {
    pub(crate) fn new(settings: EntrySettings, service: Arc<dyn Service>) -> Self {
        let (uploads, queue) = crossbeam_channel::bounded(settings.uploads);
        for _ in 0..settings.uploads {
            let queue: Receiver<Upload> = queue.clone();
            let run = move || queue.iter().for_each(Upload::run_and_continue);
            if let Err(error) = thread::Builder::new().name("entry-upload".into()).spawn(run) {
                error!(%error, "cannot start an upload thread");
            }
        }
        let desynced = Arc::new(DesyncedConnections::new(settings.idle * MARK_IDLE_TIMES));
        Self {
            settings,
            service: ServiceHandle(service),
            desynced,
            pipelines: Pipelines::default(),
            in_flight: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            uploads,
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight, at most `bound`; returns the number remaining.
    pub(crate) fn drain(&self, bound: Duration) -> usize {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        /// Consecutive polls without a request after which none is queued for a worker either.
        const QUIET_POLLS: u32 = 5;
        self.draining.store(true, Ordering::SeqCst);
        let start = clock::now();
        let mut quiet_polls = 0;
        while quiet_polls < QUIET_POLLS && clock::now().since(start) <= bound {
            thread::sleep(POLL_INTERVAL);
            quiet_polls = if self.in_flight() == 0 { quiet_polls + 1 } else { 0 };
        }
        self.in_flight()
    }

    /// Serves a request and then the queued ones of its connection.
    fn serve(pool: &Arc<Self>, raw: Request) {
        let Some(remote) = raw.remote_addr().copied() else {
            return;
        };
        let mut next = Some(raw);
        while let Some(raw) = next {
            let guard = RequestGuard::new(pool, remote);
            if let Some(upload) = pool.admit(raw, guard) {
                return pool.queue(upload);
            }
            next = pool.pipelines.leave(remote);
        }
    }

    /// Handles a request, or returns it if its body has not been read.
    fn admit(&self, raw: Request, guard: RequestGuard) -> Option<Upload> {
        let now = clock::now();
        let fault = self.desynced.find(guard.remote, now);
        match (fault, Head::read(&raw, self.settings.header, now)) {
            (Some(fault), _) => self.refuse_desynced(raw, fault),
            (None, Err(malformed)) => self.refuse_malformed(raw, malformed),
            (None, Ok(head)) if head.buffered => Upload { raw, head, guard }.run(),
            (None, Ok(head)) => return Some(Upload { raw, head, guard }),
        }
        None
    }

    /// Passes a request to the upload threads, or refuses it if all are busy.
    fn queue(&self, upload: Upload) {
        match self.uploads.try_send(upload) {
            Ok(()) => {}
            Err(TrySendError::Full(upload) | TrySendError::Disconnected(upload)) => {
                let Upload { raw, guard, .. } = upload;
                let refusal = Refusal::not_run(Reason::Busy).after(RETRY_DELAY);
                let answer = EntryAnswer::refusal_with(refusal, UNAVAILABLE);
                self.refuse_unread(raw, answer, Recovery::Possible);
                guard.serve_next();
            }
        }
    }

    /// Writes the answer to a request whose body has been read.
    pub(super) fn answer(&self, raw: Request, answer: &EntryAnswer) {
        self.service.0.record_verdict(answer.verdict);
        let remote = raw.remote_addr().copied();
        let head = *raw.method() == tiny_http::Method::Head;
        let bytes = answer.encode(head, self.draining.load(Ordering::SeqCst));
        let _held = self.service.0.held().hold(bytes.len());
        let mut writer: connection::Writer = raw.into_writer();
        let Err(error) = connection::send(&mut writer, &bytes, self.settings.read) else {
            return;
        };
        if connection::is_gone(error.kind()) {
            debug!(?remote, %error, "caller closed the connection before its answer was written");
            return;
        }
        warn!(?remote, %error, "answer not fully written; connection will not be used again");
        if let Some(remote) = remote {
            // Marked before the writer is dropped, which allows the next answer to be written.
            self.desynced.mark(remote, Fault::Unwritten, clock::now());
        }
        drop(writer);
    }
}

impl Upload {
    /// Reads the body, handles the request and answers it.
    fn run(mut self) {
        let pool = Arc::clone(&self.guard.pool);
        let limits = BodyLimits { size: pool.settings.body, time: pool.settings.read };
        let start: Time = self.head.request.received;
        let body = match self.head.framing {
            Framing::Length(0) => Ok(Vec::new()),
            framing => body::read(&mut self.raw, framing, limits, start),
        };
        match body {
            Ok(body) => {
                let body = body.into();
                let answer = pool.handle(EntryRequest { body, ..self.head.request });
                pool.answer(self.raw, &answer);
            }
            Err(error) => pool.refuse_body(self.raw, error),
        }
    }

    /// Runs the request and then serves the next ones of its connection.
    fn run_and_continue(self) {
        let guard = RequestGuard::new(&self.guard.pool, self.guard.remote);
        self.run();
        guard.serve_next();
    }
}

impl Pool {
    fn handle(&self, request: EntryRequest) -> EntryAnswer {
        if self.draining.load(Ordering::SeqCst) {
            return EntryAnswer::refusal(Refusal::not_run(Reason::Draining).after(RETRY_DELAY));
        }
        let trace = request.trace;
        let span = info_span!(
            "entry",
            trace = %trace.trace_id(),
            span = %trace.span_id(),
            method = %request.method,
            path = %request.path,
        );
        let _entered = span.enter();
        let handle = AssertUnwindSafe(|| self.service.0.handle(request));
        // Otherwise a panic would end the worker, and the 500 by `tiny_http` would not tell the
        // caller whether its request may have run.
        panic::catch_unwind(handle).unwrap_or_else(|_| {
            error!("handler panicked; outcome of the request unknown");
            EntryAnswer::refusal(Refusal::unknown(Reason::LostAnswer))
        })
    }
}
