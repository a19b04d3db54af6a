//! Receiving side: accepts connections, reads messages and answers them.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use prost::Message;
use quinn::{Connection, ConnectionError, Incoming, RecvStream, SendStream, WriteError};
use snafu::ResultExt;
use tokio::time;
use tracing::{debug, error, warn};

use acaciaring_core::attempt::AttemptSettings;
use acaciaring_schema::peer::{
    Call, Cancel, Datagram, Done, Fetch, FetchReply, Probe, ProbeReply, Reason, Reply, Request,
    call, reply,
};

use crate::peer::error::{BrokenSnafu, ConnectError};
use crate::peer::frame::{self, Code, FrameError, FrameReader};
use crate::peer::inflight::{InflightGuard, Kind, Message as Tracked, Stage};
use crate::peer::large::{self, Delivered};
use crate::peer::link::{Link, Liveness, greet, is_stop, was_unused};
use crate::peer::pool::HANDSHAKE_FACTOR;
use crate::peer::run::{self, serve_request};
use crate::peer::table::{self, Delivery, FetchedAnswer};
use crate::peer::transport::Shared;
use crate::peer::volume;

/// Network delay from which a request runs only after its sender has answered a probe.
///
/// Half of the time within which work for a caller that has left must end.
const DELAY_LIMIT: Duration = Duration::from_millis(250);

/// Accepts connections until the endpoint is closed.
pub(super) async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let from = incoming.remote_address();
            if let Err(error) = accept_connection(&shared, incoming).await {
                warn!(%from, error = &error as &dyn std::error::Error, "refused a connection");
            }
        });
    }
}

/// Completes the handshake of an incoming connection and starts to serve it.
async fn accept_connection(shared: &Arc<Shared>, incoming: Incoming) -> Result<(), ConnectError> {
    let established = time::timeout(shared.settings.connect * HANDSHAKE_FACTOR, async {
        let conn = incoming.await.context(BrokenSnafu)?;
        let process = greet(&conn, shared.process).await?;
        Ok((conn, process))
    });
    let (conn, process) = established.await.unwrap_or(Err(ConnectError::TimedOut))?;
    let from = conn.remote_address();
    let link = Arc::new(Link::new(shared.next_link(), process, conn, None));
    shared.pool.add_incoming(from, Arc::clone(&link));
    start(shared, link, from);
    Ok(())
}

/// Serves a connection in the background until it ends.
///
/// A connection that this process opened closes once it is replaced and no message on it is being
/// answered.
#[allow(clippy::needless_pass_by_value)] // The task must not hold the link, whose drop closes it.
pub(super) fn start(shared: &Arc<Shared>, link: Arc<Link>, peer: SocketAddr) {
    let id = link.id;
    let conn = link.conn.clone();
    let liveness = link.liveness.clone();
    let process = link.process;
    let weak = Arc::downgrade(&link);
    drop(link);
    let stats = conn.stats();
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    shared.volume.sent(volume::Kind::Handshake, size(stats.udp_tx.bytes));
    shared.volume.received(volume::Kind::Handshake, size(stats.udp_rx.bytes));
    shared.registry.open(id, conn.clone());
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let reason = receive_loop(&shared, &conn, process, &liveness, &weak).await;
        debug!(%peer, %reason, "connection ended");
        if is_stop(&reason) {
            shared.stopped_peers.add(Instant::now(), process);
            shared.inflight.release_process(process);
        }
        shared.registry.close(id);
        shared.pool.forget(peer, id, &reason);
    });
}

/// Accepts streams and datagrams until the connection ends, and returns the reason of the end.
async fn receive_loop(
    shared: &Arc<Shared>,
    conn: &Connection,
    process: u64,
    liveness: &Liveness,
    link: &Weak<Link>,
) -> ConnectionError {
    let from = conn.remote_address();
    loop {
        let received = tokio::select! {
            stream = conn.accept_bi() => stream.map(|(send, recv)| {
                let link = link.upgrade();
                let origin = StreamOrigin { address: from, process, conn: conn.clone(), link };
                tokio::spawn(stream_task(Arc::clone(shared), origin, send, recv));
            }),
            datagram = conn.read_datagram() => datagram.map(|bytes| {
                handle_datagram(shared, from, bytes);
            }),
        };
        liveness.touch();
        if let Err(reason) = received {
            return reason;
        }
    }
}

fn handle_datagram(shared: &Shared, from: SocketAddr, bytes: Bytes) {
    shared.volume.received(volume::Kind::Control, bytes.len());
    match Datagram::decode(bytes) {
        Ok(datagram) => shared.handler.datagram(from, datagram),
        Err(error) => warn!(%from, %error, "dropped a datagram that could not be decoded"),
    }
}

/// Peer that has opened a stream, and its connection.
struct StreamOrigin {
    address: SocketAddr,
    /// Random id of this run of its process.
    process: u64,
    conn: Connection,
    /// Keeps the connection open while the message is answered, even if it is replaced.
    link: Option<Arc<Link>>,
}

/// Answers the message on one stream.
async fn stream_task(
    shared: Arc<Shared>,
    origin: StreamOrigin,
    mut send: SendStream,
    recv: RecvStream,
) {
    let StreamOrigin { address: from, process, conn, link } = origin;
    let reader = FrameReader::new(recv, shared.settings.message_limit);
    let mut reader = reader.limited(shared.bodies.clone());
    let call = reader.next::<Call>().await;
    let body = call.and_then(|call| call.body.ok_or(FrameError::Unknown));
    let body = match body {
        Ok(body) => {
            shared.volume.received(volume::Kind::of_call(Some(&body)), reader.length());
            body
        }
        Err(FrameError::NoRoom { .. }) => {
            reader.stop(Code::Busy);
            let refusal = run::not_run(Reason::Busy);
            write_last(&shared, &mut send, reply::Body::Answer(refusal)).await;
            return;
        }
        Err(error) => {
            // A reset stream or closed connection is not the message's fault; the rest is invalid.
            if error.code() != Code::None {
                let error = &error as &dyn std::error::Error;
                warn!(%from, error, "refused an invalid message");
            }
            reader.stop(error.code());
            return reset(&mut send, error.code());
        }
    };
    let Some(body) = serve_attempt_query(&shared, (from, process), body, &mut send).await else {
        return;
    };
    let Some(guard) = shared.inflight.try_track(tracked(Instant::now(), &body, from, process))
    else {
        return reset(&mut send, Code::Busy);
    };
    let answered = match body {
        call::Body::Request(mut request) => {
            let until = Instant::now() + Duration::from_millis(request.left.into());
            let delay = shared.lags.delay(process, request.clock);
            deduct_delay(&mut request, delay);
            let delayed_conn = (delay >= DELAY_LIMIT).then(|| conn.clone());
            let delivered = serve_request(&shared, request, &mut send, delayed_conn, &guard).await;
            let abandoned = || conn.close_reason().is_some_and(|reason| was_unused(&reason));
            if !delivered && !abandoned() {
                drop(link);
                keep(until, &guard).await;
            }
            true
        }
        body => serve_call(&shared, body, &mut send).await,
    };
    if answered {
        guard.settle();
    }
}

/// Returns what is tracked of a request or call.
fn tracked(now: Instant, body: &call::Body, from: SocketAddr, process: u64) -> Tracked {
    let call::Body::Request(request) = body else {
        return Tracked { process, ..Tracked::new(now, Kind::Call, 0, from) };
    };
    let until = Some(now + Duration::from_millis(request.left.into()));
    Tracked { process, until, ..Tracked::new(now, Kind::Request, request.attempt, from) }
}

fn tracked_fetch(now: Instant, fetch: &Fetch, from: SocketAddr, process: u64) -> Tracked {
    let until = Some(now + Duration::from_millis(fetch.left.into()));
    Tracked { process, until, ..Tracked::new(now, Kind::Fetch, fetch.attempt, from) }
}

/// Keeps a request in flight whose connection has ended before its answer was acknowledged.
///
/// Its sender fetches the answer over another connection. Guards against a stop that ends before a
/// sender short of processor time has asked.
async fn keep(until: Instant, guard: &InflightGuard) {
    guard.set_stage(Instant::now(), Stage::Kept);
    let kept = Instant::now() + AttemptSettings::default().answer_retention;
    time::sleep_until(until.min(kept).into()).await;
}

/// Answers a probe, fetch or cancellation of an attempt; returns any other message.
///
/// These are answered during a stop too, since the answer of an attempt whose connection has failed
/// is fetched on another one.
async fn serve_attempt_query(
    shared: &Shared,
    (from, process): (SocketAddr, u64),
    body: call::Body,
    send: &mut SendStream,
) -> Option<call::Body> {
    let reply = match body {
        call::Body::Probe(Probe { attempt }) => {
            reply::Body::Probe(ProbeReply { arrived: shared.table.probe(attempt) })
        }
        call::Body::Fetch(fetch) => {
            // Counted as in flight: if the first connection has failed, only this one delivers the
            // answer.
            let attempt = fetch.attempt;
            let guard = shared.inflight.track(tracked_fetch(Instant::now(), &fetch, from, process));
            let (answer, delivery) = serve_fetch(shared, fetch).await.unzip();
            guard.set_stage(Instant::now(), Stage::Answering);
            let answered = answer.is_some();
            let delivery = delivery.flatten();
            let reply = reply::Body::Fetch(FetchReply { answer });
            if write_fetched(shared, send, reply, delivery.as_ref(), &guard).await && answered {
                if let Some(delivery) = delivery {
                    delivery.fetched.set();
                }
                shared.inflight.release(attempt);
            }
            guard.settle();
            return None;
        }
        call::Body::Cancel(Cancel { attempt }) => {
            shared.table.cancel(attempt);
            shared.inflight.release(attempt);
            reply::Body::Done(Done { accepted: true })
        }
        other => return Some(other),
    };
    write_last(shared, send, reply).await;
    None
}

/// Subtracts the network delay of a request from its remaining times.
///
/// Guards against a lossy link or a member short of processor time: the request would start
/// again with its full time there, and could reach an upstream long after its caller has left.
fn deduct_delay(request: &mut Request, delay: Duration) {
    let delay = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
    request.left = request.left.saturating_sub(delay);
    if request.aim > 0 {
        request.aim = request.aim.saturating_sub(delay).max(1);
    }
}

/// Runs a call and writes its reply; returns false if there is none.
async fn serve_call(shared: &Arc<Shared>, body: call::Body, send: &mut SendStream) -> bool {
    let handler = Arc::clone(&shared.handler);
    // Spawned, so that a panic of the handler affects only this call.
    let reply = tokio::spawn(async move { handler.call(body).await });
    match reply.await {
        Ok(body) => write_last(shared, send, body).await,
        Err(error) => {
            error!(%error, "handler of a call panicked; the call may have had an effect");
            reset(send, Code::None);
            false
        }
    }
}

/// Waits for the answer of an attempt, up to the sender's deadline.
async fn serve_fetch(shared: &Shared, fetch: Fetch) -> Option<FetchedAnswer> {
    match shared.table.fetch(fetch.attempt) {
        table::Fetch::Ready(answer) => Some(answer),
        table::Fetch::Absent => None,
        table::Fetch::Later(receiver) => {
            let left = Duration::from_millis(fetch.left.into());
            time::timeout(left, receiver).await.ok()?.ok()
        }
    }
}

pub(super) fn encode(shared: &Shared, body: reply::Body) -> Result<Bytes, usize> {
    frame::encode(&Reply { body: Some(body) }, shared.settings.message_limit)
}

/// Writes the only message of a stream; returns false if it exceeds the message limit.
pub(super) async fn write_last(shared: &Shared, send: &mut SendStream, body: reply::Body) -> bool {
    write_reply(shared, send, body).await.is_some()
}

/// Writes the reply to a fetch, with a permit if it has a delivery; returns whether the peer has
/// acknowledged it.
async fn write_fetched(
    shared: &Shared,
    send: &mut SendStream,
    body: reply::Body,
    delivery: Option<&Delivery>,
    guard: &InflightGuard,
) -> bool {
    let Some(frame) = encode_reply(shared, send, body) else { return false };
    match delivery {
        // A sender that leaves this stream may ask again: the answer is still in flight.
        Some(delivery) => {
            let delivered = large::write(shared, send, frame, &delivery.copy(), guard).await;
            delivered == Delivered::Acknowledged
        }
        None => write_frame(send, frame).await,
    }
}

/// Writes the only message of a stream; returns whether the peer has acknowledged it, `None` if it
/// exceeds the message limit.
async fn write_reply(shared: &Shared, send: &mut SendStream, body: reply::Body) -> Option<bool> {
    let frame = encode_reply(shared, send, body)?;
    Some(write_frame(send, frame).await)
}

/// Encodes the only message of a stream; resets the stream if it exceeds the message limit.
fn encode_reply(shared: &Shared, send: &mut SendStream, body: reply::Body) -> Option<Bytes> {
    let kind = volume::Kind::of_reply(Some(&body));
    match encode(shared, body) {
        Ok(frame) => {
            shared.volume.sent(kind, frame.len());
            Some(frame)
        }
        Err(size) => {
            error!(size, "reply exceeds the message limit; resetting its stream");
            reset(send, Code::None);
            None
        }
    }
}

/// Writes the only message of a stream and waits until the peer has acknowledged it.
///
/// Returns false if the connection ended before that. Without the wait a stop would drop data that
/// is still in the buffers of the connection.
pub(super) async fn write_frame(send: &mut SendStream, frame: Bytes) -> bool {
    match send.write_chunk(frame).await {
        Ok(()) => {
            let _ = send.finish();
            send.stopped().await.is_ok()
        }
        Err(error) => !matches!(error, WriteError::ConnectionLost(_)),
    }
}

pub(super) fn reset(send: &mut SendStream, code: Code) {
    // Fails only if the stream has already ended.
    let _ = send.reset(code.into());
}
