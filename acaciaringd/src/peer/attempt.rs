//! Sending side of a request, which survives the loss of its connection.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{self, Instant};
use tracing::{debug, error};

use acaciaring_core::route::Repeat;
use acaciaring_schema::peer::{Answer, Reason, Reply, Request, Verdict, reply};
use bytes::Bytes;

use crate::clock;
use crate::peer::exchange::{self, SentMessage, abandon, cancel, responds, wait_while_alive};
use crate::peer::frame::{self, FrameError, FrameReader};
use crate::peer::outgoing::AttemptStage;
use crate::peer::search::{AttemptInfo, Found, Search};
use crate::peer::timeouts;
use crate::peer::transport::Shared;
use crate::peer::volume::Kind;

/// Silent intervals after which the connection of a running request is probed.
pub(super) const SILENT_INTERVALS: u32 = 4;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// The member answered.
    Answer(Answer),
    /// The request did not arrive and cannot arrive later; it may be sent to another member.
    NotDelivered,
    /// The request may have run, but there is no complete answer.
    Lost,
}

/// Request that was sent to a member.
///
/// Dropping it before its end cancels the request at the member.
pub struct RunningRequest {
    outcome: Pin<Box<dyn Future<Output = RequestOutcome> + Send>>,
    silence: Arc<Notify>,
}

impl RunningRequest {
    /// Sends a request; its answer is fetched over a new connection if the first one fails.
    pub(super) fn start(
        shared: Arc<Shared>,
        to: SocketAddr,
        message: Request,
        left: Duration,
    ) -> Self {
        let silence = Arc::new(Notify::new());
        let notify = Arc::clone(&silence);
        let outcome = async move {
            if shared.is_stopped() {
                return RequestOutcome::NotDelivered;
            }
            request(&shared, to, message, left, &notify).await
        };
        Self { outcome: Box::pin(outcome), silence }
    }

    /// Waits for the outcome; `None` once the member stops responding.
    ///
    /// The answer may still arrive, since the member may only lack processor time.
    pub async fn outcome_or_silence(&mut self) -> Option<RequestOutcome> {
        tokio::select! {
            biased;
            outcome = &mut self.outcome => Some(outcome),
            () = self.silence.notified() => None,
        }
    }

    /// Waits for the outcome, even if the member stops responding.
    pub async fn outcome(self) -> RequestOutcome {
        self.outcome.await
    }
}

async fn request(
    shared: &Arc<Shared>,
    to: SocketAddr,
    mut request: Request,
    left: Duration,
    silence: &Notify,
) -> RequestOutcome {
    let start = Instant::now();
    let deadline = start + left;
    let attempt = request.attempt;
    let repeat = if request.once { Repeat::Once } else { Repeat::Idempotent };
    request.left = exchange::millis(left);
    let clock = clock::now().since_start().as_micros();
    request.clock = u64::try_from(clock).unwrap_or(0);
    let frame = match frame::encode_request(request, shared.settings.message_limit) {
        Ok(frame) => frame,
        Err(size) => {
            error!(%to, size, "request exceeds the message limit; not sent");
            return RequestOutcome::NotDelivered;
        }
    };
    let size = frame.iter().map(Bytes::len).sum();
    shared.volume.sent(Kind::Request, size);
    let _pending = shared.outgoing.add(start.into_std(), attempt, to);
    let sent = match exchange::send(shared, to, &frame, repeat, deadline).await {
        Ok(sent) => sent,
        Err(error) => {
            debug!(%to, attempt, %error, "request not delivered");
            return RequestOutcome::NotDelivered;
        }
    };
    shared.outgoing.sent(Instant::now().into_std(), attempt, &sent.link.conn);
    let ack_timeout = exchange::ack_timeout(shared, &sent.link.conn, size);
    let info = AttemptInfo { to, attempt, start, deadline };
    let sent_attempt = SentAttempt { shared, info, silence, arrived: false, sent };
    let mut cancel_on_drop = CancelOnDrop { shared, to, attempt, armed: true };
    let outcome = time::timeout_at(deadline, sent_attempt.run(ack_timeout)).await;
    cancel_on_drop.armed = outcome.is_err();
    outcome.unwrap_or(RequestOutcome::Lost)
}

/// Cancels an attempt on drop, unless it has ended.
///
/// Guards against work for a caller that has left: its future may be dropped at any point, and the
/// receiver would continue until the deadline.
struct CancelOnDrop<'a> {
    shared: &'a Arc<Shared>,
    to: SocketAddr,
    attempt: u64,
    armed: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            cancel(self.shared, self.to, self.attempt);
        }
    }
}

/// Reads an answer.
async fn read_answer(shared: &Shared, reader: &mut FrameReader) -> Result<Answer, FrameError> {
    let reply = reader.next::<Reply>().await?.body;
    shared.volume.received(Kind::Answer, reader.length());
    match reply {
        Some(reply::Body::Answer(answer)) => Ok(answer),
        _ => Err(FrameError::Unknown),
    }
}

/// Returns the outcome of an answer to an attempt that was probed for.
///
/// Guards against a probe that overtakes its request: the request is then refused as superseded,
/// and its refusal may arrive before the reply to the probe.
fn outcome_of_answer(answer: Answer) -> RequestOutcome {
    let refused = answer.verdict() == Verdict::NotRun && answer.reason() == Reason::Superseded;
    if refused { RequestOutcome::NotDelivered } else { RequestOutcome::Answer(answer) }
}

/// Returns the outcome if the reply on the stream of an attempt determines it.
fn outcome_of_reply(reply: Result<Answer, FrameError>) -> Option<RequestOutcome> {
    match reply {
        Ok(answer) => Some(outcome_of_answer(answer)),
        Err(error) => error.refusal().map(|_| RequestOutcome::NotDelivered),
    }
}

/// Attempt that was written to a stream.
struct SentAttempt<'a> {
    shared: &'a Arc<Shared>,
    info: AttemptInfo,
    silence: &'a Notify,
    /// Whether the receiver has confirmed the arrival of the attempt.
    arrived: bool,
    sent: SentMessage,
}

impl SentAttempt<'_> {
    /// Waits for the acknowledgement of the request and then for its answer.
    ///
    /// The QUIC acknowledgement shows that the peer is alive, not that it has read the request,
    /// which only a probe can confirm.
    ///
    /// While the peer responds on the connection, QUIC retransmits lost packets. Guards against a
    /// probe that overtakes the request: the request would be refused, though it arrives a moment
    /// later.
    async fn run(mut self, ack_timeout: Duration) -> RequestOutcome {
        let before = self.sent.link.received();
        let delivered = self.sent.stream.stopped();
        let reply = tokio::select! {
            biased;
            reply = read_answer(self.shared, &mut self.sent.reader) => Some(reply),
            Ok(None) = delivered => None,
            () = timeouts::wait(ack_timeout) => {
                let silent = self.sent.link.received() == before;
                if silent || !responds(self.shared, &self.sent.link.conn).await {
                    return self.recover().await;
                }
                None
            }
        };
        if let Some(reply) = reply {
            return self.finish(reply).await;
        }
        self.sent.link.liveness.touch();
        self.info.set_stage(self.shared, AttemptStage::Acknowledged);
        let answer = read_answer(self.shared, &mut self.sent.reader);
        match wait_while_alive(self.shared, &self.sent.link, SILENT_INTERVALS, answer).await {
            Some(reply) => self.finish(reply).await,
            None => self.recover().await,
        }
    }

    /// Returns the outcome of the reply on the stream.
    async fn finish(self, reply: Result<Answer, FrameError>) -> RequestOutcome {
        match reply {
            Ok(answer) => {
                self.sent.link.liveness.touch();
                RequestOutcome::Answer(answer)
            }
            Err(error) => self.handle_error(&error).await,
        }
    }

    /// Determines the outcome after the stream has failed.
    async fn handle_error(self, error: &FrameError) -> RequestOutcome {
        match error {
            error if error.refusal().is_some() => RequestOutcome::NotDelivered,
            FrameError::Broken { .. } | FrameError::Ended => {
                let Self { shared, info, silence, arrived, sent } = self;
                let search =
                    Search { shared, info, silence, arrived, sent: &sent.link, newest: None };
                match search.run().await {
                    Found::Outcome(outcome) => outcome,
                    Found::AnswerDropped | Found::Stopped => RequestOutcome::Lost,
                }
            }
            _ => RequestOutcome::Lost,
        }
    }

    /// Searches for the attempt on new connections while still reading from the suspect one.
    async fn recover(self) -> RequestOutcome {
        let Self { shared, info, silence, arrived, mut sent } = self;
        let AttemptInfo { to, attempt, .. } = info;
        debug!(
            %to, attempt, arrived, link = sent.link.id,
            "connection is suspect, searching for the attempt on new connections"
        );
        let search = Search { shared, info, silence, arrived, sent: &sent.link, newest: None };
        let mut search = pin!(search.run());
        let found = tokio::select! {
            reply = read_answer(shared, &mut sent.reader) => match outcome_of_reply(reply) {
                Some(outcome) => Found::Outcome(outcome),
                None => search.await,
            },
            found = &mut search => found,
        };
        let outcome = match found {
            Found::Outcome(outcome) => outcome,
            // QUIC retransmits the answer for as long as the connection is open.
            Found::AnswerDropped => {
                info.set_stage(shared, AttemptStage::Dropped);
                let answer = read_answer(shared, &mut sent.reader).await;
                answer.map_or(RequestOutcome::Lost, outcome_of_answer)
            }
            // An answer that arrived before the close can still be read.
            Found::Stopped => {
                let timeout = timeouts::response_timeout(shared, &sent.link.conn);
                let answer = read_answer(shared, &mut sent.reader);
                let reply = timeouts::reply_within(timeout, answer).await;
                reply.and_then(outcome_of_reply).unwrap_or(RequestOutcome::Lost)
            }
        };
        if outcome == RequestOutcome::NotDelivered {
            abandon(&mut sent.stream);
        }
        outcome
    }
}
