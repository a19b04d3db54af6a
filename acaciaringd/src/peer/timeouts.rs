//! Times after which the other end of a connection counts as silent.

use std::future::{Future, pending};
use std::pin::pin;
use std::time::Duration;

use quinn::Connection;
use tokio::time::{self, Instant};

use crate::peer::transport::Shared;

/// Round trips for which a reply may be late.
const ROUND_TRIPS: u32 = 2;

/// Longest round trip that counts, so that a connection which was slow once is given up in the end.
const MAX_RTT: Duration = Duration::from_millis(150);

/// Part of a span by which its timer may be late.
const LATE_DIVISOR: u32 = 4;

/// Spans at most for one reply.
const MAX_WAITS: usize = 3;

/// Returns the time within which the other end of a connection shows a sign of life.
///
/// Guards against a member that is far or short of processor: judged by a fixed time it would be
/// asked on one new connection after the other, none of them faster.
pub(super) fn response_timeout(shared: &Shared, conn: &Connection) -> Duration {
    shared.settings.ack_timeout + conn.rtt().min(MAX_RTT) * ROUND_TRIPS
}

/// Waits for a reply as long as a span; longer when this process was late itself.
///
/// Guards against a process that goes on after a pause: its timers are over, and what came
/// meanwhile lies unread in its socket.
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
    None
}

/// Waits for a span in which signs of life of the other end are read if there are any.
pub(super) async fn wait(timeout: Duration) {
    reply_within(timeout, pending::<()>()).await;
}
