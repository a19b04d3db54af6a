//! Receiving side of a request: runs it once and keeps its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quinn::SendStream;
use tokio::task::{JoinError, JoinHandle};
use tokio::time;
use tracing::{Instrument, error, info_span};

use acaciaring_core::attempt::Arrival;
use acaciaring_schema::peer::{Answer, Arrived, Reason, Reply, Request, Verdict, reply};

use crate::peer::cancel::CancelFlag;
use crate::peer::frame;
use crate::peer::serve::{encode, write_frame, write_last};
use crate::peer::transport::Shared;
use crate::trace::TraceContext;

/// Time for which an acknowledgement waits for the answer, which then takes its place.
///
/// The table has the attempt before it runs, so a probe is answered rightly at
/// any moment; the sender waits much longer before it takes a connection for suspect.
const ACKNOWLEDGE: Duration = Duration::from_millis(2);

/// Takes in a request: acknowledges it, runs it once and writes its answer.
pub(super) async fn serve_request(shared: &Arc<Shared>, request: Request, send: &mut SendStream) {
    let attempt = request.attempt;
    let flag = match shared.table.arrive(attempt) {
        Ok(flag) => flag,
        Err(arrival) => {
            return write_last(shared, send, reply::Body::Answer(refused(arrival))).await;
        }
    };
    let arrival = Instant::now();
    let worker = Arc::clone(shared);
    let left = flag.clone();
    // A task of its own: the answer can be fetched after this stream has broken off.
    let mut job = tokio::spawn(async move {
        let answer = run(&worker, request, flag, arrival).await;
        finish(&worker, attempt, answer)
    });
    let answered = if let Ok(answered) = time::timeout(ACKNOWLEDGE, &mut job).await {
        answered
    } else {
        if let Ok(frame) = encode(shared, reply::Body::Arrived(Arrived {})) {
            write_frame(send, frame, false).await;
        }
        wait(job, send, &left).await
    };
    match answered {
        Ok(frame) => write_frame(send, frame, true).await,
        Err(error) => error!(attempt, %error, "request ended without answer"),
    }
}

/// Waits for the answer of a request; cancels it when the sender no longer listens.
///
/// A sender that gives an attempt up drops its stream, which is heard at once where the
/// cancellation that it sends may be lost. A stream that dies with its connection says nothing.
async fn wait(
    mut job: JoinHandle<Bytes>,
    send: &mut SendStream,
    flag: &CancelFlag,
) -> Result<Bytes, JoinError> {
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
    shared: &Arc<Shared>,
    mut request: Request,
    flag: CancelFlag,
    arrival: Instant,
) -> Answer {
    // The sender cancels what it gives up. An answer at the end of its time would cross with that,
    // and whether the sender hears it or its own time-out first would be chance.
    let turn = tokio::select! {
        turn = shared.lanes.enter() => turn,
        () = flag.cancelled() => return not_run(Reason::Cancelled),
    };
    let Some(_turn) = turn else { return not_run(Reason::Busy) };
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
    let handler = Arc::clone(&shared.handler);
    let job = async move { handler.request(request, &flag).await };
    // A handler that panics must answer, else the sender would wait in vain.
    tokio::spawn(job.instrument(span)).await.unwrap_or_else(|error| {
        error!(%error, "handler of a request panicked");
        lost_answer()
    })
}

/// Records the answer of an attempt and returns its frame.
fn finish(shared: &Shared, attempt: u64, answer: Answer) -> Bytes {
    let body = reply::Body::Answer(answer);
    let reply = Reply { body: Some(body) };
    let (reply, frame) = match frame::encode(&reply, shared.settings.limit) {
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

fn refused(arrival: Arrival) -> Answer {
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
