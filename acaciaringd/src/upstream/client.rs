//! The way out to the upstream: what the gate asks of a client of the upstream.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::orders::{Answer, Order};
use acaciaring_core::{Reason, Refusal, RequestId, Time, Verdict};
use tokio::task::spawn_blocking;
use tracing::error;

use crate::header::Headers;
use crate::peer::{BoxFuture, CancelFlag};
use crate::upstream::cancel::Canceller;
use crate::upstream::{Fence, Upstream, UpstreamAnswer, UpstreamCall};

/// One try of a request at the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// Address that the upstream has announced.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Headers of the caller.
    pub headers: Headers,
    /// Whole body.
    pub body: Vec<u8>,
    /// Identity of the request.
    pub id: RequestId,
    /// Number of this try.
    pub attempt: u64,
    /// Time that is left.
    pub left: Duration,
    /// Proof of ownership, for services divided by key.
    pub fence: Option<Fence>,
    /// Trace context of this member, a `traceparent` value.
    pub trace: String,
    /// Start of the upstream that is meant, empty where it names none.
    pub instance: Arc<str>,
}

/// Order to the upstream to hold keys or to give them back.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// Address that the upstream has announced.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// Time at which it is given up: its connection is closed before the answer is returned.
    pub deadline: Time,
    /// True when it may go over a new connection.
    pub may_connect: bool,
    /// Start of the upstream that is meant, empty where it names none.
    pub instance: Arc<str>,
}

/// Client of the upstream.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Sends a request once and waits for its whole answer, at most `left`.
    ///
    /// It is `NotRun` only if the upstream never got it or says so. When the request is
    /// cancelled or the future dropped, the upstream is told or its connection closed.
    fn send<'a>(
        &'a self,
        call: UpstreamRequest,
        cancelled: &'a CancelFlag,
    ) -> BoxFuture<'a, Result<UpstreamAnswer, Refusal>>;

    /// Gives an order once and waits for its answer, up to its deadline.
    ///
    /// An upstream whose protocol knows no orders takes none.
    fn order(&self, _call: OrderCall) -> BoxFuture<'_, Answer> {
        Box::pin(future::ready(Answer::Rejected))
    }
}

/// Outlet over the project's own protocol, whose client blocks a thread for each call.
pub(crate) struct ThreadedClient {
    upstream: Arc<Upstream>,
    canceller: Canceller,
}

impl ThreadedClient {
    /// Makes an outlet over a client.
    pub(crate) fn new(upstream: Upstream) -> Self {
        let upstream = Arc::new(upstream);
        Self { canceller: Canceller::start(Arc::clone(&upstream)), upstream }
    }

    async fn run(
        &self,
        call: UpstreamRequest,
        cancelled: &CancelFlag,
    ) -> Result<UpstreamAnswer, Refusal> {
        let (address, attempt) = (call.address, call.attempt);
        self.canceller.watch(cancelled, address, attempt);
        let mut guard = CancelOnDrop { canceller: &self.canceller, address, attempt, armed: true };
        let upstream = Arc::clone(&self.upstream);
        let job = spawn_blocking(move || upstream.send(&borrow(&call)));
        let result = job.await.unwrap_or_else(|error| {
            error!(%error, "client of the upstream panicked");
            Err(Refusal::unknown(Reason::LostAnswer))
        });
        guard.armed =
            result.as_ref().is_err_and(|refusal: &Refusal| refusal.verdict == Verdict::Unknown);
        result
    }
}

impl UpstreamClient for ThreadedClient {
    fn send<'a>(
        &'a self,
        call: UpstreamRequest,
        cancelled: &'a CancelFlag,
    ) -> BoxFuture<'a, Result<UpstreamAnswer, Refusal>> {
        Box::pin(self.run(call, cancelled))
    }
}

/// Tells the upstream that nobody waits for a try, unless it has ended.
struct CancelOnDrop<'a> {
    canceller: &'a Canceller,
    address: SocketAddr,
    attempt: u64,
    armed: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.canceller.cancel(self.address, self.attempt);
        }
    }
}

fn borrow(call: &UpstreamRequest) -> UpstreamCall<'_> {
    UpstreamCall {
        address: call.address,
        method: &call.method,
        path: &call.path,
        headers: &call.headers,
        body: &call.body,
        id: call.id,
        attempt: call.attempt,
        left: call.left,
        fence: call.fence,
        trace: &call.trace,
    }
}
