//! Timeouts after which a peer counts as silent.

use std::future::{Future, pending};
use std::pin::pin;
use std::time::Duration;

use quinn::Connection;
use tokio::time::{self, Instant};

use crate::peer::transport::Shared;

/// Round trips added to the timeout of a reply.
const ROUND_TRIPS: u32 = 2;

/// Largest round trip time that counts; without it a connection that was slow once would be kept.
const MAX_RTT: Duration = Duration::from_millis(150);

/// Fraction of a timeout, as a divisor, by which its timer may fire late.
const LATE_DIVISOR: u32 = 4;

/// Largest number of timeouts for one reply.
const MAX_WAITS: usize = 3;

/// Time in which packets that are already in the socket are read after a timeout.
const READ_TIME: Duration = Duration::from_millis(5);

/// Returns the time within which a peer should respond on a connection.
///
/// Guards against a member that is distant or short of processor time: with a fixed timeout it
/// would be probed on one new connection after another, none of them faster.
pub(super) fn response_timeout(shared: &Shared, conn: &Connection) -> Duration {
    shared.settings.ack_timeout + conn.rtt().min(MAX_RTT) * ROUND_TRIPS
}

/// Waits for a reply for the duration of a timeout, and again if the timer fired late.
///
/// Guards against a process that was paused: its timers have expired while replies are unread in
/// its socket. A pause that ends soon after the timeout shows no late timer, so what has arrived by
/// then is read in any case.
pub(super) async fn reply_within<T>(
    timeout: Duration,
    reply: impl Future<Output = T>,
) -> Option<T> {
    let mut reply = pin!(reply);
    for _ in 0..MAX_WAITS {
        let end = Instant::now() + timeout;
        if let Ok(reply) = time::timeout_at(end, &mut reply).await {
            return Some(reply);
        }
        if end.elapsed() < timeout / LATE_DIVISOR {
            break;
        }
    }
    time::timeout(READ_TIME, reply).await.ok()
}

/// Waits for a timeout, and longer if this process was paused, so that packets are read meanwhile.
pub(super) async fn wait(timeout: Duration) {
    reply_within(timeout, pending::<()>()).await;
}
