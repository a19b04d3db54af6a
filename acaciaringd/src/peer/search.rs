//! Search for an attempt whose connection has gone silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{self, Instant};

use acaciaring_core::attempt::AttemptSettings;
use acaciaring_schema::peer::{Fetch, FetchReply, Probe, ProbeReply, call, reply};

use crate::metrics::Counter;
use crate::peer::attempt::{PATIENCE, RequestOutcome};
use crate::peer::exchange::{self, ask, probe, watched};
use crate::peer::link::{Link, LinkId};
use crate::peer::transport::Shared;

/// New connections on which a sender asks without a pause, before it calls the member silent.
const ASKS: usize = 3;

/// First pause between further asks on the connection on which the attempt was sent; it doubles.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause, below the time for which a member keeps an answer.
const LONGEST: Duration = Duration::from_secs(2);

/// Shortest pause after which a new connection is tried again.
///
/// Guards against a member without processor that is asked for handshakes all the time: they
/// cost it what it lacks, and it never catches up.
const REST: Duration = Duration::from_secs(1);

/// Attempt that is searched for.
pub(super) struct Subject {
    pub to: SocketAddr,
    pub attempt: u64,
    pub start: Instant,
    pub deadline: Instant,
}

/// Search for an attempt, on new connections and on the one on which it was sent.
///
/// Silence does not end it, only an answer, proof that there will be none, or the deadline.
pub(super) struct Search<'a> {
    pub shared: &'a Arc<Shared>,
    pub subject: Subject,
    /// Told once the member counts as silent.
    pub silence: &'a Notify,
    /// Whether the receiver has said that it has the attempt.
    pub arrived: bool,
    /// Connection on which the attempt was sent.
    pub sent: &'a Link,
}

/// What a search has found.
pub(super) enum Found {
    /// What became of the attempt.
    Outcome(RequestOutcome),
    /// The attempt has ended, and its answer is kept no more: only its own connection can bring it.
    Forgotten,
    /// The member's process has ended: only what its connection has brought tells more.
    Stopped,
}

/// What a pause has brought.
enum Sign {
    Ended(Found),
    Alive,
    Silent,
}

impl Search<'_> {
    pub async fn run(mut self) -> Found {
        let mut older = self.sent.id;
        for _ in 0..ASKS {
            if let Some(found) = self.ask_anew(&mut older).await {
                return found;
            }
        }
        self.shared.metrics.count(Counter::PeerSilent, 1);
        self.silence.notify_one();
        let mut pause = PAUSE;
        while !self.sent.has_stopped() {
            let found = match self.pause(pause).await {
                Sign::Ended(found) => Some(found),
                Sign::Silent if pause >= REST => self.ask_anew(&mut older).await,
                Sign::Alive | Sign::Silent => None,
            };
            if let Some(found) = found {
                return found;
            }
            pause = (pause * 2).min(LONGEST);
        }
        Found::Stopped
    }

    /// Asks on a connection that is newer than `older`; `None` when there is none or it does not work.
    async fn ask_anew(&mut self, older: &mut LinkId) -> Option<Found> {
        let link = self.shared.pool.get(self.shared, self.subject.to, *older).await.ok()?;
        *older = link.id;
        if link.process != self.sent.process {
            return Some(Found::Outcome(RequestOutcome::Lost));
        }
        if !self.arrived {
            self.shared.metrics.count(Counter::PeerProbes, 1);
            let arrived = probe(self.shared, &link.conn, self.subject.attempt).await?;
            if let Some(outcome) = self.learn(arrived) {
                return Some(Found::Outcome(outcome));
            }
        }
        let fetched = ask(self.shared, &link.conn, self.fetch());
        let reply = watched(self.shared, &link, PATIENCE, fetched).await??;
        Some(found_in(reply))
    }

    /// Waits, and asks on the connection on which the attempt was sent meanwhile.
    ///
    /// A member that was without processor answers there first, without a handshake.
    async fn pause(&mut self, pause: Duration) -> Sign {
        let end = Instant::now() + pause;
        let conn = &self.sent.conn;
        let body = call::Body::Probe(Probe { attempt: self.subject.attempt });
        let probed = time::timeout_at(end, ask(self.shared, conn, body)).await;
        let Ok(Some(reply::Body::Probe(ProbeReply { arrived }))) = probed else {
            time::sleep_until(end).await;
            return Sign::Silent;
        };
        if let Some(outcome) = self.learn(arrived) {
            return Sign::Ended(Found::Outcome(outcome));
        }
        let fetched = time::timeout_at(end, ask(self.shared, conn, self.fetch())).await;
        match fetched {
            Ok(Some(reply)) => Sign::Ended(found_in(reply)),
            Ok(None) => {
                time::sleep_until(end).await;
                Sign::Silent
            }
            Err(_) => Sign::Alive,
        }
    }

    /// Takes in whether the attempt has arrived; returns the outcome if that ends it.
    ///
    /// Guards against a request that is called not run although it ran: a receiver forgets an
    /// attempt some time after its end, and would then say that it never arrived.
    fn learn(&mut self, arrived: bool) -> Option<RequestOutcome> {
        self.arrived |= arrived;
        if self.arrived {
            return None;
        }
        if self.subject.start.elapsed() >= AttemptSettings::default().retention / 2 {
            return Some(RequestOutcome::Lost);
        }
        self.shared.metrics.count(Counter::PeerProbesNotRun, 1);
        Some(RequestOutcome::NotDelivered)
    }

    fn fetch(&self) -> call::Body {
        let left = self.subject.deadline.saturating_duration_since(Instant::now());
        call::Body::Fetch(Fetch { attempt: self.subject.attempt, left: exchange::millis(left) })
    }
}

/// Returns what the reply to a fetch says.
fn found_in(reply: reply::Body) -> Found {
    match reply {
        reply::Body::Fetch(FetchReply { answer: Some(answer) }) => {
            Found::Outcome(RequestOutcome::Answer(answer))
        }
        _ => Found::Forgotten,
    }
}
