//! Search for an attempt whose connection is silent or has failed.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use quinn::Connection;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

use acaciaring_core::attempt::AttemptSettings;
use acaciaring_schema::peer::{Fetch, FetchReply, Probe, ProbeReply, call, reply};

use crate::metrics::Counter;
use crate::peer::attempt::{RequestOutcome, SILENT_INTERVALS};
use crate::peer::exchange::{self, call_on, probe, wait_while_alive};
use crate::peer::link::{Link, LinkId};
use crate::peer::outgoing::AttemptStage;
use crate::peer::transport::Shared;

/// New connections that are tried without a pause before the member counts as silent.
const MAX_NEW_LINKS: usize = 3;

/// First pause between further probes on the original connection; it doubles.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause, shorter than the time for which a member keeps an answer.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Shortest pause after which a new connection is tried again.
///
/// Guards against constant handshakes with a member short of processor time, which would keep it
/// from catching up.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Identity and times of an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptInfo {
    pub to: SocketAddr,
    pub attempt: u64,
    pub start: Instant,
    pub deadline: Instant,
}

impl AttemptInfo {
    /// Records what the attempt waits for from now on.
    pub fn set_stage(&self, shared: &Shared, stage: AttemptStage) {
        shared.outgoing.set_stage(Instant::now().into_std(), self.attempt, stage);
    }
}

/// Search for an attempt, on new connections and on the original one.
///
/// It ends with an answer, with proof that there will be none, or at the deadline, but not because
/// the member is silent.
pub(super) struct Search<'a> {
    pub shared: &'a Arc<Shared>,
    pub info: AttemptInfo,
    /// Notified once the member counts as silent.
    pub silence: &'a Notify,
    /// Whether the receiver has confirmed the arrival of the attempt.
    pub arrived: bool,
    /// Connection on which the attempt was sent.
    pub sent: &'a Link,
    /// Newest connection on which it was asked for.
    pub newest: Option<Arc<Link>>,
}

/// Result of a search.
pub(super) enum Found {
    /// The outcome of the attempt is known.
    Outcome(RequestOutcome),
    /// The attempt has ended and its answer is no longer kept, except on its own connection.
    AnswerDropped,
    /// The member's process has stopped; its connection may still hold a received answer.
    Stopped,
}

/// Result of asking on one connection.
#[derive(Debug)]
enum Asked {
    /// The attempt has not arrived and is refused from now on.
    NotArrived,
    /// The attempt has arrived, and the reply to a fetch if it came in time.
    Arrived(Option<reply::Body>),
    /// The connection has ended or is silent.
    Silent,
}

impl Asked {
    /// Returns this result, or that of the other connection if this one is silent.
    async fn or(self, other: impl Future<Output = Self>) -> Self {
        match self {
            Self::Silent => other.await,
            asked => asked,
        }
    }
}

/// Result of a pause.
enum PauseOutcome {
    Ended(Found),
    Alive,
    Silent,
}

impl Search<'_> {
    pub async fn run(mut self) -> Found {
        self.info.set_stage(self.shared, AttemptStage::Searching);
        let mut newer_than = self.sent.id;
        for _ in 0..MAX_NEW_LINKS {
            if self.has_stopped() {
                return Found::Stopped;
            }
            if let Some(found) = self.ask_on_new_link(&mut newer_than).await {
                return found;
            }
        }
        self.shared.metrics.count(Counter::PeerSilent, 1);
        self.silence.notify_one();
        self.info.set_stage(self.shared, AttemptStage::Silent);
        let mut pause = MIN_PAUSE;
        while !self.has_stopped() {
            let found = match self.ask_during_pause(pause).await {
                PauseOutcome::Ended(found) => Some(found),
                PauseOutcome::Silent if pause >= MIN_RECONNECT_PAUSE || !self.is_open() => {
                    self.ask_on_new_link(&mut newer_than).await
                }
                PauseOutcome::Alive | PauseOutcome::Silent => None,
            };
            if let Some(found) = found {
                return found;
            }
            pause = (pause * 2).min(MAX_PAUSE);
        }
        Found::Stopped
    }

    /// Asks on a connection newer than `newer_than`; `None` if none can be opened or it fails.
    async fn ask_on_new_link(&mut self, newer_than: &mut LinkId) -> Option<Found> {
        let link = self.shared.pool.get(self.shared, self.info.to, *newer_than).await.ok()?;
        *newer_than = link.id;
        if link.process != self.sent.process {
            return Some(Found::Outcome(RequestOutcome::Lost));
        }
        self.newest = Some(Arc::clone(&link));
        if !self.arrived {
            self.shared.metrics.count(Counter::PeerProbes, 1);
            let arrived = probe(self.shared, &link.conn, self.info.attempt).await?;
            if let Some(outcome) = self.record_arrival(arrived) {
                return Some(Found::Outcome(outcome));
            }
        }
        let fetched = call_on(self.shared, &link.conn, self.fetch());
        let reply = wait_while_alive(self.shared, &link, SILENT_INTERVALS, fetched).await??;
        Some(fetch_result(reply))
    }

    /// Returns whether the member's process has told on any connection that it stops.
    fn has_stopped(&self) -> bool {
        self.sent.has_stopped() || self.shared.stopped_peers.contains(self.sent.process)
    }

    /// Returns whether a connection is open on which to ask during a pause.
    fn is_open(&self) -> bool {
        self.sent.is_open() || self.newest.as_ref().is_some_and(|link| link.is_open())
    }

    /// Waits, and meanwhile asks on the original connection and on the newest one.
    ///
    /// A member that lacked processor time answers there first, since they need no handshake. The
    /// original connection may have ended, and the newest one may have been slow only at its start.
    async fn ask_during_pause(&mut self, pause: Duration) -> PauseOutcome {
        let end = Instant::now() + pause;
        let newest = self.newest.clone();
        let asked = {
            let mut first = pin!(self.ask(&self.sent.conn, end));
            let mut second = pin!(async {
                match &newest {
                    Some(link) => self.ask(&link.conn, end).await,
                    None => Asked::Silent,
                }
            });
            tokio::select! {
                biased;
                asked = &mut first => asked.or(second).await,
                asked = &mut second => asked.or(first).await,
            }
        };
        match asked {
            Asked::NotArrived => match self.record_arrival(false) {
                Some(outcome) => PauseOutcome::Ended(Found::Outcome(outcome)),
                None => PauseOutcome::Alive,
            },
            Asked::Arrived(reply) => {
                self.arrived = true;
                reply.map_or(PauseOutcome::Alive, |reply| PauseOutcome::Ended(fetch_result(reply)))
            }
            Asked::Silent if self.has_stopped() => PauseOutcome::Silent,
            Asked::Silent => {
                time::sleep_until(end).await;
                PauseOutcome::Silent
            }
        }
    }

    /// Asks on a connection whether the attempt has arrived, and then for its answer, until `end`.
    async fn ask(&self, conn: &Connection, end: Instant) -> Asked {
        let body = call::Body::Probe(Probe { attempt: self.info.attempt });
        let probed = time::timeout_at(end, call_on(self.shared, conn, body)).await;
        let Ok(Some(reply::Body::Probe(ProbeReply { arrived }))) = probed else {
            return Asked::Silent;
        };
        if !arrived && !self.arrived {
            return Asked::NotArrived;
        }
        match time::timeout_at(end, call_on(self.shared, conn, self.fetch())).await {
            Ok(Some(reply)) => Asked::Arrived(Some(reply)),
            Ok(None) => Asked::Silent,
            Err(_) => Asked::Arrived(None),
        }
    }

    /// Records whether the attempt has arrived; returns the outcome if it is thereby known.
    ///
    /// Guards against reporting a request as not run although it ran: a receiver drops its record
    /// of an attempt some time after its end and then replies that it has not arrived.
    fn record_arrival(&mut self, arrived: bool) -> Option<RequestOutcome> {
        self.arrived |= arrived;
        if self.arrived {
            return None;
        }
        if self.info.start.elapsed() >= AttemptSettings::default().retention / 2 {
            return Some(RequestOutcome::Lost);
        }
        self.shared.metrics.count(Counter::PeerProbesNotRun, 1);
        Some(RequestOutcome::NotDelivered)
    }

    fn fetch(&self) -> call::Body {
        let left = self.info.deadline.saturating_duration_since(Instant::now());
        call::Body::Fetch(Fetch { attempt: self.info.attempt, left: exchange::millis(left) })
    }
}

/// Converts the reply to a fetch.
fn fetch_result(reply: reply::Body) -> Found {
    match reply {
        reply::Body::Fetch(FetchReply { answer: Some(answer) }) => {
            Found::Outcome(RequestOutcome::Answer(answer))
        }
        _ => Found::AnswerDropped,
    }
}

#[cfg(test)]
mod tests;
