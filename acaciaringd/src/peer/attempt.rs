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
use crate::peer::exchange::{self, Sent, abandon, answers, cancel, watched};
use crate::peer::frame::{self, FrameError, FrameReader};
use crate::peer::search::{Found, Search, Subject};
use crate::peer::timeouts;
use crate::peer::transport::Shared;

/// Silent intervals after which a connection with a running request is tested.
pub(super) const PATIENCE: u32 = 4;

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
pub struct Running {
    outcome: Pin<Box<dyn Future<Output = RequestOutcome> + Send>>,
    silence: Arc<Notify>,
}

impl Running {
    /// Sends a request, and brings back its answer over new connections if need be.
    pub(super) fn start(
        shared: Arc<Shared>,
        to: SocketAddr,
        message: Request,
        left: Duration,
    ) -> Self {
        let silence = Arc::new(Notify::new());
        let told = Arc::clone(&silence);
        let outcome = async move {
            if shared.is_stopped() {
                return RequestOutcome::NotDelivered;
            }
            request(&shared, to, message, left, &told).await
        };
        Self { outcome: Box::pin(outcome), silence }
    }

    /// Waits for the end; `None` once the member has gone silent.
    ///
    /// Silence is no proof: the member may be without processor and its answer come later.
    pub async fn heard(&mut self) -> Option<RequestOutcome> {
        tokio::select! {
            biased;
            outcome = &mut self.outcome => Some(outcome),
            () = self.silence.notified() => None,
        }
    }

    /// Waits for the end, however long the member is silent.
    pub async fn end(self) -> RequestOutcome {
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
    let patience = exchange::patience(shared, &sent.link.conn, size);
    let subject = Subject { to, attempt, start, deadline };
    let hop = Hop { shared, subject, silence, arrived: false, sent };
    let mut abandoned = Abandoned { shared, to, attempt, armed: true };
    let outcome = time::timeout_at(deadline, hop.run(patience)).await;
    abandoned.armed = outcome.is_err();
    outcome.unwrap_or(RequestOutcome::Lost)
}

/// Tells the receiver that nobody waits for an attempt, unless it has ended.
///
/// Guards against work for a caller that has left: the future of its request is dropped at any
/// point, and the receiver would go on until the deadline.
struct Abandoned<'a> {
    shared: &'a Arc<Shared>,
    to: SocketAddr,
    attempt: u64,
    armed: bool,
}

impl Drop for Abandoned<'_> {
    fn drop(&mut self) {
        if self.armed {
            cancel(self.shared, self.to, self.attempt);
        }
    }
}

/// Reads an answer.
async fn answer(reader: &mut FrameReader) -> Result<Answer, FrameError> {
    match reader.next::<Reply>().await?.body {
        Some(reply::Body::Answer(answer)) => Ok(answer),
        _ => Err(FrameError::Unknown),
    }
}

/// Returns what an answer says of an attempt that was asked for before it arrived.
///
/// Guards against a request that is refused for good by its own sender's question: it arrived
/// after the question and its refusal was back before the reply to that.
fn taken(answer: Answer) -> RequestOutcome {
    let refused = answer.verdict() == Verdict::NotRun && answer.reason() == Reason::Superseded;
    if refused { RequestOutcome::NotDelivered } else { RequestOutcome::Answer(answer) }
}

/// Returns the outcome if the stream of an attempt has told it.
fn known(reply: Result<Answer, FrameError>) -> Option<RequestOutcome> {
    match reply {
        Ok(answer) => Some(taken(answer)),
        Err(error) => error.refusal().map(|_| RequestOutcome::NotDelivered),
    }
}

/// One attempt that has been sent.
struct Hop<'a> {
    shared: &'a Arc<Shared>,
    subject: Subject,
    silence: &'a Notify,
    /// Whether the receiver has said that it has the attempt.
    arrived: bool,
    sent: Sent,
}

impl Hop<'_> {
    /// Waits for the answer, and at first for a sign that the request has got there.
    ///
    /// The sign is the acknowledgement of its bytes by the connection. It says that the other end
    /// lives, not that it has taken the request in, so a probe still has the last word on that.
    ///
    /// While the other end answers on the connection, bytes that were lost on the way are sent again by
    /// the connection itself. Guards against a question whether the request has arrived that
    /// overtakes it: the request would be refused for good, though it gets there a moment later.
    async fn run(mut self, patience: Duration) -> RequestOutcome {
        let before = self.sent.link.received();
        let delivered = self.sent.stream.stopped();
        let reply = tokio::select! {
            biased;
            reply = answer(&mut self.sent.reader) => Some(reply),
            Ok(None) = delivered => None,
            () = timeouts::pass(patience) => {
                let silent = self.sent.link.received() == before;
                if silent || !answers(self.shared, &self.sent.link.conn).await {
                    return self.recover().await;
                }
                None
            }
        };
        if let Some(reply) = reply {
            return self.end(reply).await;
        }
        self.sent.link.heard.touch();
        let answer = answer(&mut self.sent.reader);
        match watched(self.shared, &self.sent.link, PATIENCE, answer).await {
            Some(reply) => self.end(reply).await,
            None => self.recover().await,
        }
    }

    /// Ends with what the stream has brought.
    async fn end(self, reply: Result<Answer, FrameError>) -> RequestOutcome {
        match reply {
            Ok(answer) => {
                self.sent.link.heard.touch();
                RequestOutcome::Answer(answer)
            }
            Err(error) => self.broken(&error).await,
        }
    }

    /// Goes on after the stream has failed.
    async fn broken(self, error: &FrameError) -> RequestOutcome {
        match error {
            error if error.refusal().is_some() => RequestOutcome::NotDelivered,
            FrameError::Broken { .. } | FrameError::Ended => {
                let Self { shared, subject, silence, arrived, sent } = self;
                let search = Search { shared, subject, silence, arrived, sent: &sent.link };
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
        let Self { shared, subject, silence, arrived, mut sent } = self;
        let Subject { to, attempt, .. } = subject;
        debug!(%to, attempt, arrived, link = sent.link.id, "connection is suspect");
        let search = Search { shared, subject, silence, arrived, sent: &sent.link };
        let mut search = pin!(search.run());
        let found = tokio::select! {
            reply = answer(&mut sent.reader) => match known(reply) {
                Some(outcome) => Found::Outcome(outcome),
                None => search.await,
            },
            found = &mut search => found,
        };
        let outcome = match found {
            Found::Outcome(outcome) => outcome,
            // Bytes that were lost on the way are sent again for as long as the connection stands.
            Found::Forgotten => answer(&mut sent.reader).await.map_or(RequestOutcome::Lost, taken),
            // What had come before the end is read before it is told.
            Found::Stopped => known(answer(&mut sent.reader).await).unwrap_or(RequestOutcome::Lost),
        };
        if outcome == RequestOutcome::NotDelivered {
            abandon(&mut sent.stream);
        }
        outcome
    }
}
