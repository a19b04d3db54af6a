//! Sending side of a call, and the parts that it shares with the sending side of a request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quinn::{Connection, SendStream, VarInt, WriteError};
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
use crate::peer::volume::Kind;

/// Attempts to deliver a cancellation; if all fail, the attempt runs until its deadline.
const CANCEL_ATTEMPTS: usize = 3;

/// Connections on which a message is tried before it counts as not delivered.
const SEND_ATTEMPTS: usize = 2;

/// Silent intervals after which the connection of a pending call is probed.
const SILENT_INTERVALS: u32 = 1;

/// Reserved attempt id; a probe for it only tests the connection.
const NO_ATTEMPT: u64 = 0;

/// Message that was written completely to a stream.
pub(super) struct SentMessage {
    pub link: Arc<Link>,
    pub stream: SendStream,
    pub reader: FrameReader,
}

impl Drop for SentMessage {
    /// Resets the stream, which stops retransmission unless everything was acknowledged.
    ///
    /// Guards against a request that is retransmitted after its caller has left: it would arrive
    /// late and run for nobody.
    fn drop(&mut self) {
        abandon(&mut self.stream);
    }
}

/// Cancels an attempt at a member, in the background.
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
    let kind = Kind::of_call(Some(&body));
    let frame = frame::encode(&Call { body: Some(body) }, shared.settings.message_limit)
        .or_else(|size| TooLargeSnafu { peer: to, size }.fail())?;
    shared.volume.sent(kind, frame.len());
    let mut sent = send(shared, to, &[frame], Repeat::Once, deadline).await?;
    let reply = wait_while_alive(shared, &sent.link, SILENT_INTERVALS, sent.reader.next::<Reply>());
    match time::timeout_at(deadline, reply).await {
        Ok(Some(Ok(Reply { body: Some(body) }))) => {
            shared.volume.received(Kind::of_reply(Some(&body)), sent.reader.length());
            return Ok(body);
        }
        Ok(Some(Err(error))) if let Some(code) = error.refusal() => {
            return RefusedSnafu { peer: to, code }.fail();
        }
        Ok(None) => shared.pool.mark_suspect(to, sent.link.id, &shared.metrics),
        Ok(Some(_)) | Err(_) => {}
    }
    LostSnafu { peer: to }.fail()
}

/// Returns the silence up to which a connection is used without a probe.
///
/// Guards against a member that has ended while its connection is still open here: a request
/// written to it may have run, whereas a failed probe proves that nothing was sent. A probe costs
/// as much as a request, so idempotent requests are probed for only after a longer silence.
const fn liveness_window(repeat: Repeat) -> Duration {
    match repeat {
        Repeat::Once => Duration::from_millis(300),
        Repeat::Idempotent => Duration::from_secs(3),
    }
}

/// Returns true if the peer is alive, which is probed if it was not heard recently.
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

/// Returns true if the peer answers a probe in time.
pub(super) async fn responds(shared: &Shared, conn: &Connection) -> bool {
    probe(shared, conn, NO_ATTEMPT).await.is_some()
}

/// Writes a complete message, given in parts, on a connection to `to`.
///
/// An error means that the peer never receives the complete message.
pub(super) async fn send(
    shared: &Arc<Shared>,
    to: SocketAddr,
    frame: &[Bytes],
    repeat: Repeat,
    deadline: Instant,
) -> Result<SentMessage, CallError> {
    let size = frame.iter().map(Bytes::len).sum();
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
        let limit = deadline.min(Instant::now() + ack_timeout(shared, &link.conn, size));
        let opened = time::timeout_at(limit, link.open(shared.settings.message_limit)).await;
        let Ok(Some((mut stream, reader))) = opened else {
            continue;
        };
        let pause = ack_timeout(shared, &link.conn, size);
        match write_while_alive(&mut stream, frame, &link, pause, deadline).await {
            Some(Ok(())) => {
                // Fails only if the peer has stopped reading; the reply's error gives the reason.
                let _ = stream.finish();
                return Ok(SentMessage { link, stream, reader });
            }
            // The peer has no room for the message, and says so in its reply.
            Some(Err(WriteError::Stopped(code))) if code == VarInt::from(Code::Busy) => {
                return Ok(SentMessage { link, stream, reader });
            }
            _ => {}
        }
        abandon(&mut stream);
    }
    UnsentSnafu { peer: to }.fail()
}

/// Writes a message, given in parts; `None` if no packet arrives for `pause`, or at the deadline.
///
/// Guards against a member that is suspected, and refused ordinary requests, because many large
/// messages to it share its connection.
async fn write_while_alive(
    stream: &mut SendStream,
    frame: &[Bytes],
    link: &Link,
    pause: Duration,
    deadline: Instant,
) -> Option<Result<(), WriteError>> {
    let mut parts = frame.to_vec();
    let mut write = pin!(stream.write_all_chunks(&mut parts));
    loop {
        let before = link.received();
        let limit = deadline.min(Instant::now() + pause);
        if let Ok(written) = time::timeout_at(limit, &mut write).await {
            return Some(written);
        }
        if link.received() == before || Instant::now() >= deadline {
            return None;
        }
    }
}

/// Waits for a reply while the connection is alive; `None` once it is silent.
///
/// A connection is probed after `silent_intervals` intervals without a packet, and when it has been
/// replaced. If it has closed meanwhile, the reply or its error is returned.
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

/// Asks on a given connection whether an attempt has arrived; `None` without a timely reply.
pub(super) async fn probe(shared: &Shared, conn: &Connection, attempt: u64) -> Option<bool> {
    let body = call::Body::Probe(Probe { attempt });
    let timeout = timeouts::response_timeout(shared, conn);
    match timeouts::reply_within(timeout, call_on(shared, conn, body)).await?? {
        reply::Body::Probe(ProbeReply { arrived }) => Some(arrived),
        _ => None,
    }
}

/// Makes a call on a given connection; `None` if the connection or stream fails.
pub(super) async fn call_on(
    shared: &Shared,
    conn: &Connection,
    body: call::Body,
) -> Option<reply::Body> {
    let limit = shared.settings.message_limit;
    let frame = frame::encode(&Call { body: Some(body) }, limit).ok()?;
    shared.volume.sent(Kind::Control, frame.len());
    let (mut stream, mut reader) = link::open(conn, limit).await?;
    stream.write_chunk(frame).await.ok()?;
    stream.finish().ok()?;
    let reply = reader.next::<Reply>().await.ok()?.body;
    shared.volume.received(Kind::of_reply(reply.as_ref()), reader.length());
    reply
}

/// Resets a stream, which stops sending the rest of its message.
///
/// Guards against a paused process that sends the rest of a refused message after the receiver has
/// dropped its record of the refusal.
pub(super) fn abandon(stream: &mut SendStream) {
    // Fails only when the stream is already over.
    let _ = stream.reset(Code::Abandoned.into());
}

/// Returns the time within which a peer should acknowledge a message of `size` bytes.
pub(super) fn ack_timeout(shared: &Shared, conn: &Connection, size: usize) -> Duration {
    let rate = usize::try_from(shared.settings.link_rate / 1000).unwrap_or(usize::MAX);
    let transfer = u64::try_from(size / rate.max(1)).unwrap_or(u64::MAX);
    timeouts::response_timeout(shared, conn) + Duration::from_millis(transfer)
}

pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
