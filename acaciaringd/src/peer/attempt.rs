//! Sending side of a request: survives a connection that has gone silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};
use tracing::{debug, error};

use acaciaring_core::route::Repeat;
use acaciaring_schema::peer::{Answer, Call, Fetch, FetchReply, Reply, Request, call, reply};

use crate::clock;
use crate::metrics::Counter;
use crate::peer::exchange::{self, Sent, abandon, ask, cancel, probe, watched};
use crate::peer::frame::{self, FrameError, FrameReader};
use crate::peer::link::Link;
use crate::peer::transport::Shared;

/// New connections on which a sender asks for an attempt before it counts as lost.
///
/// With half a second for each this is about the term of a lease: by then
/// another member may take over.
const ASKS: usize = 3;

/// Silent intervals after which a connection with a running request is tested.
const PATIENCE: u32 = 4;

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

/// Sends a request and brings back its answer, over new connections if need be.
pub(super) async fn request(
    shared: &Arc<Shared>,
    to: SocketAddr,
    mut request: Request,
    left: Duration,
) -> RequestOutcome {
    let deadline = Instant::now() + left;
    let attempt = request.attempt;
    let repeat = if request.once { Repeat::Once } else { Repeat::Idempotent };
    request.left = exchange::millis(left);
    let clock = clock::now().since_start().as_micros();
    request.clock = u64::try_from(clock).unwrap_or(0);
    let call = Call { body: Some(call::Body::Request(request)) };
    let frame = match frame::encode(&call, shared.settings.limit) {
        Ok(frame) => frame,
        Err(size) => {
            error!(%to, size, "request exceeds the limit");
            return RequestOutcome::NotDelivered;
        }
    };
    drop(call);
    let patience = exchange::patience(shared, &frame);
    let sent = match exchange::send(shared, to, frame, repeat, deadline).await {
        Ok(sent) => sent,
        Err(error) => {
            debug!(%to, attempt, %error, "request not delivered");
            return RequestOutcome::NotDelivered;
        }
    };
    let hop = Hop { shared, to, attempt, deadline, arrived: false, sent };
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

/// One attempt that has been sent.
struct Hop<'a> {
    shared: &'a Arc<Shared>,
    to: SocketAddr,
    attempt: u64,
    deadline: Instant,
    /// Whether the receiver has said that it has the attempt.
    arrived: bool,
    sent: Sent,
}

impl Hop<'_> {
    /// Waits for the answer, and at first for a sign that the request has got there.
    ///
    /// The sign is the acknowledgement of its bytes by the connection. It says that the other end
    /// lives, not that it has taken the request in, so a probe still has the last word on that.
    async fn run(mut self, patience: Duration) -> RequestOutcome {
        let before = self.sent.link.received();
        let delivered = self.sent.stream.stopped();
        let reply = tokio::select! {
            biased;
            reply = answer(&mut self.sent.reader) => Some(reply),
            Ok(None) = delivered => None,
            () = time::sleep(patience) => {
                if self.sent.link.received() == before {
                    return self.recover().await;
                }
                match probe(self.shared, &self.sent.link.conn, self.attempt).await {
                    Some(true) => self.arrived = true,
                    Some(false) => return self.give_up(),
                    None => return self.recover().await,
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
                let Self { shared, to, attempt, deadline, arrived, sent } = self;
                let search = Search { shared, to, attempt, deadline, arrived, sent: &sent.link };
                search.run().await
            }
            _ => RequestOutcome::Lost,
        }
    }

    /// Looks for the attempt on new connections, still listening on the suspect one.
    async fn recover(self) -> RequestOutcome {
        let Self { shared, to, attempt, deadline, arrived, mut sent } = self;
        debug!(%to, attempt, arrived, link = sent.link.id, "connection is suspect");
        let search = Search { shared, to, attempt, deadline, arrived, sent: &sent.link };
        let outcome = tokio::select! {
            Ok(answer) = answer(&mut sent.reader) => RequestOutcome::Answer(answer),
            outcome = search.run() => outcome,
        };
        if outcome == RequestOutcome::NotDelivered {
            abandon(&mut sent.stream);
        }
        outcome
    }

    /// Ends an attempt that the receiver refuses from now on.
    fn give_up(mut self) -> RequestOutcome {
        abandon(&mut self.sent.stream);
        RequestOutcome::NotDelivered
    }
}

/// Search for an attempt on connections newer than the one on which it was sent.
struct Search<'a> {
    shared: &'a Arc<Shared>,
    to: SocketAddr,
    attempt: u64,
    deadline: Instant,
    arrived: bool,
    /// Connection on which the attempt was sent.
    sent: &'a Link,
}

impl Search<'_> {
    async fn run(mut self) -> RequestOutcome {
        let mut older = self.sent.id;
        for _ in 0..ASKS {
            let Ok(link) = self.shared.pool.get(self.shared, self.to, older).await else {
                continue;
            };
            older = link.id;
            if let Some(outcome) = self.ask(&link).await {
                return outcome;
            }
        }
        RequestOutcome::Lost
    }

    /// Asks on one connection; `None` when it does not work.
    async fn ask(&mut self, link: &Link) -> Option<RequestOutcome> {
        if link.process != self.sent.process {
            return Some(RequestOutcome::Lost);
        }
        if !self.arrived {
            self.shared.metrics.count(Counter::PeerProbes, 1);
            self.arrived = probe(self.shared, &link.conn, self.attempt).await?;
            if !self.arrived {
                self.shared.metrics.count(Counter::PeerProbesNotRun, 1);
                return Some(RequestOutcome::NotDelivered);
            }
        }
        let left = exchange::millis(self.deadline.saturating_duration_since(Instant::now()));
        let fetch = call::Body::Fetch(Fetch { attempt: self.attempt, left });
        let fetched = ask(self.shared, &link.conn, fetch);
        match watched(self.shared, link, PATIENCE, fetched).await?? {
            reply::Body::Fetch(FetchReply { answer: Some(answer) }) => {
                Some(RequestOutcome::Answer(answer))
            }
            _ => Some(RequestOutcome::Lost),
        }
    }
}
