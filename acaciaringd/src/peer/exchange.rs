//! Sending side of a call, and what it shares with that of a request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, SendStream};
use snafu::ResultExt;
use tokio::time::{self, Instant};
use tracing::debug;

use acaciaring_core::route::Repeat;
use acaciaring_schema::peer::{Call, Cancel, Probe, ProbeReply, Reply, call, reply};

use crate::peer::error::{
    CallError, LostSnafu, RefusedSnafu, TooLargeSnafu, UnreachableSnafu, UnsentSnafu,
};
use crate::peer::frame::{self, Code, FrameReader};
use crate::peer::link::{self, Link};
use crate::peer::timeouts;
use crate::peer::transport::Shared;

/// Tries to deliver a cancellation; the deadline of the attempt ends its work in the end.
const CANCEL_ATTEMPTS: usize = 3;

/// Connections on which a message is written before it counts as not delivered.
const SEND_ATTEMPTS: usize = 2;

/// Silent intervals after which a connection with a call is tested.
const SILENT_INTERVALS: u32 = 1;

/// Bytes for which the receiver gets a further millisecond to acknowledge a request.
const BYTES_PER_MS: usize = 16 << 10;

/// Attempt that no request has; a probe for it only tests the connection.
const NO_ATTEMPT: u64 = 0;

/// Message written whole on a stream of a connection.
pub(super) struct SentMessage {
    pub link: Arc<Link>,
    pub stream: SendStream,
    pub reader: FrameReader,
}

impl Drop for SentMessage {
    /// Ends the repetition of what was lost on the way, without effect once all has got there.
    ///
    /// Guards against a request that reaches its receiver after its caller has left: over a link
    /// that loses packets it would be sent again, and run for nobody.
    fn drop(&mut self) {
        abandon(&mut self.stream);
    }
}

/// Tells a member, in the background, that the caller of an attempt has gone away.
pub(super) fn cancel(shared: &Arc<Shared>, to: SocketAddr, attempt: u64) {
    let task = Arc::clone(shared);
    shared.runtime.spawn(async move {
        for _ in 0..CANCEL_ATTEMPTS {
            let body = call::Body::Cancel(Cancel { attempt });
            match call(&task, to, body, task.settings.connect).await {
                Ok(_) => return,
                Err(error) => debug!(%to, attempt, %error, "cancellation not delivered"),
            }
        }
    });
}

/// Makes a call and returns its reply.
pub(super) async fn call(
    shared: &Arc<Shared>,
    to: SocketAddr,
    body: call::Body,
    left: Duration,
) -> Result<reply::Body, CallError> {
    let deadline = Instant::now() + left;
    let frame = frame::encode(&Call { body: Some(body) }, shared.settings.message_limit)
        .or_else(|size| TooLargeSnafu { peer: to, size }.fail())?;
    let mut sent = send(shared, to, frame, Repeat::Once, deadline).await?;
    let reply = wait_while_alive(shared, &sent.link, SILENT_INTERVALS, sent.reader.next::<Reply>());
    match time::timeout_at(deadline, reply).await {
        Ok(Some(Ok(Reply { body: Some(body) }))) => return Ok(body),
        Ok(Some(Err(error))) if let Some(code) = error.refusal() => {
            return RefusedSnafu { peer: to, code }.fail();
        }
        Ok(None) => shared.pool.mark_suspect(to, sent.link.id, &shared.metrics),
        Ok(Some(_)) | Err(_) => {}
    }
    LostSnafu { peer: to }.fail()
}

/// Returns the time since the peer was last heard within which a message is sent without a test.
///
/// Guards against a member that has ended while the connection to it stays open here: a
/// message that was written has perhaps arrived, so each request that meets such a connection
/// would end as one that may have run. A test beforehand tells that nothing was sent. It costs
/// as much as a request, so one that may run again is tested only after a longer silence.
const fn liveness_window(repeat: Repeat) -> Duration {
    match repeat {
        Repeat::Once => Duration::from_millis(300),
        Repeat::Idempotent => Duration::from_secs(3),
    }
}

/// Returns true when the other end of a connection is there, asked if it was not heard lately.
async fn is_alive(shared: &Shared, link: &Link, repeat: Repeat) -> bool {
    if link.liveness.heard_within(liveness_window(repeat)) {
        return true;
    }
    let alive = responds(shared, &link.conn).await;
    if alive {
        link.liveness.touch();
    }
    alive
}

/// Returns true when the other end of a connection answers a test in time.
pub(super) async fn responds(shared: &Shared, conn: &Connection) -> bool {
    probe(shared, conn, NO_ATTEMPT).await.is_some()
}

/// Writes a message whole on a connection to `to`.
///
/// An error means that the peer never gets the whole message.
pub(super) async fn send(
    shared: &Arc<Shared>,
    to: SocketAddr,
    frame: Bytes,
    repeat: Repeat,
    deadline: Instant,
) -> Result<SentMessage, CallError> {
    let mut newer_than = 0;
    for _ in 0..SEND_ATTEMPTS {
        let link = time::timeout_at(deadline, shared.pool.get(shared, to, newer_than)).await;
        let Ok(link) = link else {
            break;
        };
        let link = link.context(UnreachableSnafu { peer: to })?;
        newer_than = link.id;
        if !is_alive(shared, &link, repeat).await {
            continue;
        }
        let limit = deadline.min(Instant::now() + ack_timeout(shared, &link.conn, frame.len()));
        let opened = time::timeout_at(limit, link.open(shared.settings.message_limit)).await;
        let Ok(Some((mut stream, reader))) = opened else {
            continue;
        };
        if let Ok(Ok(())) = time::timeout_at(limit, stream.write_chunk(frame.clone())).await {
            // Fails only when the peer no longer reads; its reset says why.
            let _ = stream.finish();
            return Ok(SentMessage { link, stream, reader });
        }
        abandon(&mut stream);
    }
    UnsentSnafu { peer: to }.fail()
}

/// Waits for a reply as long as the connection shows signs of life; `None` when it has gone silent.
///
/// A connection that something in between has lost track of shows no packet at
/// all, so after `patience` intervals without one it is tested. One that has ended meanwhile tells
/// by the reply itself what came before its end, and why it ended.
pub(super) async fn wait_while_alive<T>(
    shared: &Shared,
    link: &Link,
    silent_intervals: u32,
    reply: impl Future<Output = T>,
) -> Option<T> {
    let mut reply = pin!(reply);
    let mut received = None;
    let mut silent = 0;
    loop {
        let timeout = timeouts::response_timeout(shared, &link.conn);
        if let Some(reply) = timeouts::reply_within(timeout, &mut reply).await {
            return Some(reply);
        }
        let seen = link.received();
        let alive = received.replace(seen).is_some_and(|before| before != seen);
        silent = if alive { 0 } else { silent + 1 };
        if silent >= silent_intervals || link.is_retired() {
            if !responds(shared, &link.conn).await {
                return if link.is_open() { None } else { Some(reply.await) };
            }
            silent = 0;
        }
    }
}

/// Asks on one connection whether an attempt has arrived; `None` without a timely reply.
pub(super) async fn probe(shared: &Shared, conn: &Connection, attempt: u64) -> Option<bool> {
    let body = call::Body::Probe(Probe { attempt });
    let timeout = timeouts::response_timeout(shared, conn);
    match timeouts::reply_within(timeout, call_on(shared, conn, body)).await?? {
        reply::Body::Probe(ProbeReply { arrived }) => Some(arrived),
        _ => None,
    }
}

/// Makes a call on one connection; `None` when it breaks off.
pub(super) async fn call_on(
    shared: &Shared,
    conn: &Connection,
    body: call::Body,
) -> Option<reply::Body> {
    let limit = shared.settings.message_limit;
    let frame = frame::encode(&Call { body: Some(body) }, limit).ok()?;
    let (mut stream, mut reader) = link::open(conn, limit).await?;
    stream.write_chunk(frame).await.ok()?;
    stream.finish().ok()?;
    reader.next::<Reply>().await.ok()?.body
}

/// Stops sending what is left of a message.
///
/// Without this a paused process could go on sending it after the receiver has
/// forgotten that it refuses it.
pub(super) fn abandon(stream: &mut SendStream) {
    // Fails only when the stream is already over.
    let _ = stream.reset(Code::Abandoned.into());
}

/// Returns the time within which the receiver acknowledges a message of so many bytes.
pub(super) fn ack_timeout(shared: &Shared, conn: &Connection, size: usize) -> Duration {
    let transfer = u64::try_from(size / BYTES_PER_MS).unwrap_or(u64::MAX);
    timeouts::response_timeout(shared, conn) + Duration::from_millis(transfer)
}

pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
