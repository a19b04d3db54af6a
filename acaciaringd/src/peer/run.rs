//! Receiving side of a request: runs it once and keeps its answer.

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
use crate::peer::serve::{write_frame, write_last};
use crate::peer::transport::Shared;
use crate::trace::TraceContext;

/// Takes in a request, runs it once and writes its answer; returns false when its connection has ended before.
///
/// `doubtful` is the connection of a request that was held up on its way.
pub(super) async fn serve_request(
    shared: &Arc<Shared>,
    request: Request,
    send: &mut SendStream,
    delayed_conn: Option<Connection>,
) -> bool {
    let attempt = request.attempt;
    let flag = match shared.table.arrive(attempt) {
        Ok(flag) => flag,
        Err(arrival) => {
            return write_last(shared, send, reply::Body::Answer(refusal(arrival))).await;
        }
    };
    let worker = Arc::clone(shared);
    let cancel_flag = flag.clone();
    // A task of its own, for a handler that panics must answer, else the sender would wait in vain.
    let job = tokio::spawn(run(worker, request, flag, delayed_conn));
    let answer = wait_for_answer(job, send, &cancel_flag).await.unwrap_or_else(|error| {
        error!(attempt, %error, "handler of a request panicked");
        lost_answer()
    });
    // Also when the stream has broken off: the answer can be fetched on another one.
    let frame = finish(shared, attempt, answer);
    write_frame(send, frame).await
}

/// Waits for the answer of a request; cancels it when the sender no longer listens.
///
/// A sender that gives an attempt up drops its stream, which is heard at once where the
/// cancellation that it sends may be lost. A stream that dies with its connection says nothing.
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

/// Runs a request when it is its turn, unless it is cancelled or late by then.
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
    // The sender cancels what it gives up. An answer at the end of its time would cross with that,
    // and whether the sender hears it or its own time-out first would be chance.
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

/// Returns true when the sender of a request that was held up says that it still waits.
///
/// Guards against work for callers that have left: where packets wait for a process without
/// processor, the request is read long before the cancellation that waits behind it. What the
/// sender answers now waits behind both, so a cancellation that was sent has been read by then;
/// and without a timely answer this process is still late, and the request is better elsewhere.
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
            error!(attempt, size, "answer exceeds the limit");
            let reply = Reply { body: Some(reply::Body::Answer(lost_answer())) };
            let frame = frame::encode(&reply, usize::MAX).unwrap_or_default();
            (reply, frame)
        }
    };
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

fn not_run(reason: Reason) -> Answer {
    Answer { verdict: Verdict::NotRun.into(), reason: reason.into(), ..Answer::default() }
}

fn lost_answer() -> Answer {
    Answer {
        verdict: Verdict::Unknown.into(),
        reason: Reason::LostAnswer.into(),
        ..Answer::default()
    }
}
