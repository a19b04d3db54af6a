//! Sending side of a request: survives a connection that has gone silent.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{self, Instant};
use tracing::{debug, error};

use acaciaring_core::route::Repeat;
use acaciaring_schema::peer::{Answer, Call, Reason, Reply, Request, Verdict, call, reply};

use crate::clock;
use crate::peer::exchange::{self, SentMessage, abandon, cancel, responds, wait_while_alive};
use crate::peer::frame::{self, FrameError, FrameReader};
use crate::peer::search::{AttemptInfo, Found, Search};
use crate::peer::timeouts;
use crate::peer::transport::Shared;

/// Silent intervals after which a connection with a running request is tested.
pub(super) const SILENT_INTERVALS: u32 = 4;

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// The member answered.
    Answer(Answer),
    /// The request never arrived and never will; another member may get it.
    NotDelivered,
    /// The request may have run; there is no whole answer.
    Lost,
}

/// Request that is under way at a member.
///
/// When it is dropped before its end, the member is told that the caller has gone away.
pub struct RunningRequest {
    outcome: Pin<Box<dyn Future<Output = RequestOutcome> + Send>>,
    silence: Arc<Notify>,
}

impl RunningRequest {
    /// Sends a request, and brings back its answer over new connections if need be.
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

    /// Waits for the end; `None` once the member has gone silent.
    ///
    /// Silence is no proof: the member may be without processor and its answer come later.
    pub async fn outcome_or_silence(&mut self) -> Option<RequestOutcome> {
        tokio::select! {
            biased;
            outcome = &mut self.outcome => Some(outcome),
            () = self.silence.notified() => None,
        }
    }

    /// Waits for the end, however long the member is silent.
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
    let call = Call { body: Some(call::Body::Request(request)) };
    let frame = match frame::encode(&call, shared.settings.message_limit) {
        Ok(frame) => frame,
        Err(size) => {
            error!(%to, size, "request exceeds the limit");
            return RequestOutcome::NotDelivered;
        }
    };
    drop(call);
    let size = frame.len();
    let sent = match exchange::send(shared, to, frame, repeat, deadline).await {
        Ok(sent) => sent,
        Err(error) => {
            debug!(%to, attempt, %error, "request not delivered");
            return RequestOutcome::NotDelivered;
        }
    };
    let ack_timeout = exchange::ack_timeout(shared, &sent.link.conn, size);
    let info = AttemptInfo { to, attempt, start, deadline };
    let sent_attempt = SentAttempt { shared, info, silence, arrived: false, sent };
    let mut cancel_on_drop = CancelOnDrop { shared, to, attempt, armed: true };
    let outcome = time::timeout_at(deadline, sent_attempt.run(ack_timeout)).await;
    cancel_on_drop.armed = outcome.is_err();
    outcome.unwrap_or(RequestOutcome::Lost)
}

/// Tells the receiver that nobody waits for an attempt, unless it has ended.
///
/// Guards against work for a caller that has left: the future of its request is dropped at any
/// point, and the receiver would go on until the deadline.
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
async fn read_answer(reader: &mut FrameReader) -> Result<Answer, FrameError> {
    match reader.next::<Reply>().await?.body {
        Some(reply::Body::Answer(answer)) => Ok(answer),
        _ => Err(FrameError::Unknown),
    }
}

/// Returns what an answer says of an attempt that was asked for before it arrived.
///
/// Guards against a request that is refused for good by its own sender's question: it arrived
/// after the question and its refusal was back before the reply to that.
fn outcome_of_answer(answer: Answer) -> RequestOutcome {
    let refused = answer.verdict() == Verdict::NotRun && answer.reason() == Reason::Superseded;
    if refused { RequestOutcome::NotDelivered } else { RequestOutcome::Answer(answer) }
}

/// Returns the outcome if the stream of an attempt has told it.
fn outcome_of_reply(reply: Result<Answer, FrameError>) -> Option<RequestOutcome> {
    match reply {
        Ok(answer) => Some(outcome_of_answer(answer)),
        Err(error) => error.refusal().map(|_| RequestOutcome::NotDelivered),
    }
}

/// One attempt that has been sent.
struct SentAttempt<'a> {
    shared: &'a Arc<Shared>,
    info: AttemptInfo,
    silence: &'a Notify,
    /// Whether the receiver has said that it has the attempt.
    arrived: bool,
    sent: SentMessage,
}

impl SentAttempt<'_> {
    /// Waits for the answer, and at first for a sign that the request has got there.
    ///
    /// The sign is the acknowledgement of its bytes by the connection. It says that the other end
    /// lives, not that it has taken the request in, so a probe still has the last word on that.
    ///
    /// While the other end answers on the connection, bytes that were lost on the way are sent again by
    /// the connection itself. Guards against a question whether the request has arrived that
    /// overtakes it: the request would be refused for good, though it gets there a moment later.
    async fn run(mut self, ack_timeout: Duration) -> RequestOutcome {
        let before = self.sent.link.received();
        let delivered = self.sent.stream.stopped();
        let reply = tokio::select! {
            biased;
            reply = read_answer(&mut self.sent.reader) => Some(reply),
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
        let answer = read_answer(&mut self.sent.reader);
        match wait_while_alive(self.shared, &self.sent.link, SILENT_INTERVALS, answer).await {
            Some(reply) => self.finish(reply).await,
            None => self.recover().await,
        }
    }

    /// Ends with what the stream has brought.
    async fn finish(self, reply: Result<Answer, FrameError>) -> RequestOutcome {
        match reply {
            Ok(answer) => {
                self.sent.link.liveness.touch();
                RequestOutcome::Answer(answer)
            }
            Err(error) => self.handle_error(&error).await,
        }
    }

    /// Goes on after the stream has failed.
    async fn handle_error(self, error: &FrameError) -> RequestOutcome {
        match error {
            error if error.refusal().is_some() => RequestOutcome::NotDelivered,
            FrameError::Broken { .. } | FrameError::Ended => {
                let Self { shared, info, silence, arrived, sent } = self;
                let search = Search { shared, info, silence, arrived, sent: &sent.link };
                match search.run().await {
                    Found::Outcome(outcome) => outcome,
                    Found::Forgotten | Found::Stopped => RequestOutcome::Lost,
                }
            }
            _ => RequestOutcome::Lost,
        }
    }

    /// Looks for the attempt on new connections, still listening on the suspect one.
    async fn recover(self) -> RequestOutcome {
        let Self { shared, info, silence, arrived, mut sent } = self;
        let AttemptInfo { to, attempt, .. } = info;
        debug!(%to, attempt, arrived, link = sent.link.id, "connection is suspect");
        let search = Search { shared, info, silence, arrived, sent: &sent.link };
        let mut search = pin!(search.run());
        let found = tokio::select! {
            reply = read_answer(&mut sent.reader) => match outcome_of_reply(reply) {
                Some(outcome) => Found::Outcome(outcome),
                None => search.await,
            },
            found = &mut search => found,
        };
        let outcome = match found {
            Found::Outcome(outcome) => outcome,
            // Bytes that were lost on the way are sent again for as long as the connection stands.
            Found::Forgotten => {
                read_answer(&mut sent.reader).await.map_or(RequestOutcome::Lost, outcome_of_answer)
            }
            // What had come before the end is read before it is told.
            Found::Stopped => outcome_of_reply(read_answer(&mut sent.reader).await)
                .unwrap_or(RequestOutcome::Lost),
        };
        if outcome == RequestOutcome::NotDelivered {
            abandon(&mut sent.stream);
        }
        outcome
    }
}
