//! Receiving side of a request: runs it at most once and keeps its answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use quinn::{Connection, SendStream};
use tokio::task::{JoinError, JoinHandle};
use tracing::{Instrument, error, info_span};

use acaciaring_core::attempt::Arrival;
use acaciaring_schema::peer::{Answer, Reason, Reply, Request, Verdict, reply};

use crate::metrics::Counter;
use crate::peer::cancel::CancelFlag;
use crate::peer::exchange::responds;
use crate::peer::frame;
use crate::peer::inflight::{InflightGuard, Stage};
use crate::peer::large::{self, Delivered};
use crate::peer::serve::{write_frame, write_last};
use crate::peer::transport::Shared;
use crate::peer::volume::Kind;
use crate::trace::TraceContext;

/// Runs a request at most once and writes its answer.
///
/// Returns false if the connection ended before the answer was acknowledged. `delayed_conn` is the
/// connection of a request whose sender must confirm that it still waits; `guard` tracks the
/// request.
pub(super) async fn serve_request(
    shared: &Arc<Shared>,
    request: Request,
    send: &mut SendStream,
    delayed_conn: Option<Connection>,
    guard: &InflightGuard,
) -> bool {
    let attempt = request.attempt;
    let delivery = large::expected(&request);
    let flag = match shared.table.arrive(attempt) {
        Ok(flag) => flag,
        Err(arrival) => {
            return write_last(shared, send, reply::Body::Answer(refusal(arrival))).await;
        }
    };
    let worker = Arc::clone(shared);
    let cancel_flag = flag.clone();
    // Spawned, so that a request whose handler panics is still answered.
    let job = tokio::spawn(run(worker, request, flag, delayed_conn));
    let answer = wait_for_answer(job, send, &cancel_flag).await.unwrap_or_else(|error| {
        error!(attempt, %error, "handler of a request panicked; reporting its answer as lost");
        lost_answer()
    });
    let delivery = large::needed(delivery, &answer);
    // Recorded before the answer, so that a fetch or cancellation finds it.
    if let Some(delivery) = &delivery {
        shared.table.deliver(attempt, delivery.clone());
    }
    // Recorded even if the stream has failed, since the answer can be fetched on another one.
    let frame = finish(shared, attempt, answer);
    let Some(delivery) = delivery else {
        guard.set_stage(Instant::now(), Stage::Answering);
        return write_frame(send, frame).await;
    };
    if cancel_flag.is_set() {
        delivery.left.set();
    }
    large::write(shared, send, frame, &delivery, guard).await != Delivered::Lost
}

/// Waits for the answer of a request, and cancels the request if the sender stops its stream.
///
/// A sender that abandons a request stops the stream, which cancels the request even if the
/// cancellation message is lost. The loss of the connection does not cancel the request.
async fn wait_for_answer(
    mut job: JoinHandle<Answer>,
    send: &mut SendStream,
    flag: &CancelFlag,
) -> Result<Answer, JoinError> {
    let stopped = send.stopped();
    tokio::select! {
        answered = &mut job => return answered,
        stopped = stopped => {
            if matches!(stopped, Ok(Some(_))) {
                flag.set();
            }
        }
    }
    job.await
}

/// Runs a request once it has a permit, unless it is cancelled or expired by then.
async fn run(
    shared: Arc<Shared>,
    mut request: Request,
    flag: CancelFlag,
    delayed_conn: Option<Connection>,
) -> Answer {
    let arrival = Instant::now();
    if let Some(conn) = delayed_conn
        && !is_still_wanted(&shared, &conn).await
    {
        return not_run(Reason::Busy);
    }
    // The wait has no timeout of its own: the sender cancels at its deadline, and an answer at the
    // same moment would race with the sender's timeout.
    let permit = tokio::select! {
        permit = shared.limiter.acquire() => permit,
        () = flag.cancelled() => return not_run(Reason::Cancelled),
    };
    let Some(_permit) = permit else { return not_run(Reason::Busy) };
    let waited = u32::try_from(arrival.elapsed().as_millis()).unwrap_or(u32::MAX);
    request.left = request.left.saturating_sub(waited);
    if flag.is_set() {
        return not_run(Reason::Cancelled);
    }
    if request.left == 0 {
        return not_run(Reason::Expired);
    }
    let context = TraceContext::receive(Some(&request.trace));
    request.trace = context.to_string();
    let span = info_span!(
        "hop",
        trace = %context.trace_id(),
        span = %context.span_id(),
        workspace = %request.workspace,
        attempt = request.attempt,
    );
    shared.handler.request(request, &flag).instrument(span).await
}

/// Returns true if the sender of a delayed request answers a probe.
///
/// Guards against work for callers that have left: while packets queue up at a process short of
/// processor time, a request is read long before its cancellation. The answer to the probe arrives
/// behind a cancellation sent earlier, so that is read first. Without a timely answer this process
/// is still overloaded, and another member should run the request.
async fn is_still_wanted(shared: &Shared, conn: &Connection) -> bool {
    let wanted = responds(shared, conn).await;
    let counter = if wanted { Counter::PeerHeldUp } else { Counter::PeerHeldUpRefused };
    shared.metrics.count(counter, 1);
    wanted
}

/// Records the answer of an attempt and returns its frame.
fn finish(shared: &Shared, attempt: u64, answer: Answer) -> Bytes {
    let body = reply::Body::Answer(answer);
    let reply = Reply { body: Some(body) };
    let (reply, frame) = match frame::encode(&reply, shared.settings.message_limit) {
        Ok(frame) => (reply, frame),
        Err(size) => {
            error!(attempt, size, "answer exceeds the message limit; reporting it as lost");
            let reply = Reply { body: Some(reply::Body::Answer(lost_answer())) };
            let frame = frame::encode(&reply, usize::MAX).unwrap_or_default();
            (reply, frame)
        }
    };
    shared.volume.sent(Kind::Answer, frame.len());
    if let Some(reply::Body::Answer(answer)) = reply.body {
        shared.table.finish(attempt, answer);
    }
    frame
}

fn refusal(arrival: Arrival) -> Answer {
    match arrival {
        Arrival::Full => not_run(Reason::Busy),
        Arrival::Superseded => not_run(Reason::Superseded),
        Arrival::Repeated | Arrival::Run => {
            Answer { reason: Reason::Superseded.into(), ..lost_answer() }
        }
    }
}

/// Returns the answer to a request that was refused.
pub(super) fn not_run(reason: Reason) -> Answer {
    Answer { verdict: Verdict::NotRun.into(), reason: reason.into(), ..Answer::default() }
}

fn lost_answer() -> Answer {
    Answer {
        verdict: Verdict::Unknown.into(),
        reason: Reason::LostAnswer.into(),
        ..Answer::default()
    }
}
