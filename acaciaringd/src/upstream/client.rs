//! Interface of the gate to the local upstream, and its implementation over HTTP/1.1.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::orders::{Answer, Order};
use acaciaring_core::route::Repeat;
use acaciaring_core::{Reason, Refusal, RequestId, Time, Verdict};
use bytes::Bytes;
use tokio::task::spawn_blocking;
use tracing::error;

use crate::header::Headers;
use crate::peer::{BoxFuture, CancelFlag};
use crate::upstream::cancel::Canceller;
use crate::upstream::{Fence, Upstream, UpstreamAnswer, UpstreamCall};

/// One attempt of a request at the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// Announced address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Request headers of the caller.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
    /// Request id.
    pub id: RequestId,
    /// Attempt number.
    pub attempt: u64,
    /// Remaining time until the deadline.
    pub left: Duration,
    /// Proof of ownership, for services partitioned by key.
    pub fence: Option<Fence>,
    /// Trace context of this member, a `traceparent` value.
    pub trace: String,
    /// Identifier of the addressed instance of the upstream, empty if it has none.
    pub instance: Arc<str>,
    /// How often the request may run.
    pub repeat: Repeat,
}

/// Order to the upstream to hold keys or to release them.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// Announced address of the upstream.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// Time at which the order is abandoned; its connection is closed before the call returns.
    pub deadline: Time,
    /// True if a new connection may be opened for the order.
    pub may_connect: bool,
    /// Identifier of the addressed instance of the upstream, empty if it has none.
    pub instance: Arc<str>,
}

/// What the upstream says about itself in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Requests per second that it accepts from all members together; finite and not negative.
    pub limit: Option<f64>,
    /// True if it is leaving.
    pub leaving: bool,
}

/// Result of a request, and what the upstream said about itself.
#[derive(Debug)]
pub struct UpstreamReply {
    /// Complete answer, or a refusal.
    pub result: Result<UpstreamAnswer, Refusal>,
    /// Notice of the response; `None` without a response that belongs to the request.
    pub notice: Option<UpstreamNotice>,
}

impl From<Result<UpstreamAnswer, Refusal>> for UpstreamReply {
    fn from(result: Result<UpstreamAnswer, Refusal>) -> Self {
        Self { result, notice: None }
    }
}

/// Client of the upstream.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Sends a request once and waits for its complete answer, at most `left`.
    ///
    /// Refuses with `NotRun` only if the upstream never received the request or says so. If the
    /// request is cancelled or the future dropped, the upstream is notified or its connection is
    /// closed.
    fn send<'a>(
        &'a self,
        call: UpstreamRequest,
        cancelled: &'a CancelFlag,
    ) -> BoxFuture<'a, UpstreamReply>;

    /// Sends an order once and waits for its answer until the deadline.
    ///
    /// By default every order is rejected, for protocols without orders.
    fn order(&self, _call: OrderCall) -> BoxFuture<'_, Answer> {
        Box::pin(future::ready(Answer::Rejected))
    }
}

/// Client for the acaciaring protocol; blocks one thread for each request.
pub(crate) struct ThreadedClient {
    upstream: Arc<Upstream>,
    canceller: Canceller,
}

impl ThreadedClient {
    /// Creates a client from the blocking one.
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
            error!(%error, "upstream client panicked; outcome of the request unknown");
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
    ) -> BoxFuture<'a, UpstreamReply> {
        Box::pin(async move { self.run(call, cancelled).await.into() })
    }
}

/// Cancels an attempt at the upstream when dropped, unless disarmed.
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
