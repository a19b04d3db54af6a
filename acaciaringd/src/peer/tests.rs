//! Tests of faults that need access to the internals of the transport.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use crossbeam_channel::bounded;
use prost::Message as _;
use quinn::{ReadError, VarInt};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use acaciaring_schema::peer::{
    Call, Fetch, Reason, Reply, Request, StatusQuery, Verdict, call, reply,
};

use crate::body_memory::BodyMemory;
use crate::clock;
use crate::egress::Egress;
use crate::metrics::Metrics;
use crate::peer;
use crate::peer::exchange;
use crate::peer::frame::{self, Code, FrameError};
use crate::peer::inflight::{InflightTracker, Kind, Message};
use crate::peer::timeouts;
use crate::peer::tls;
use crate::peer::transport::Shared;
use crate::peer::{PeerSettings, RequestOutcome, Transport};

use self::support::{Authority, Forwarder, Node, WAIT_TIMEOUT, echo, request};

#[path = "../../tests/peer_support/mod.rs"]
pub(crate) mod support;

fn shared(transport: &Transport) -> &Arc<Shared> {
    transport.shared()
}

fn message() -> Message {
    Message::new(Instant::now(), Kind::Call, 0, SocketAddr::from(([127, 0, 0, 1], 1)))
}

/// Writes raw bytes on a new stream and returns the error of reading the reply.
async fn send_raw(shared: &Arc<Shared>, to: SocketAddr, bytes: Bytes, finish: bool) -> FrameError {
    let link = shared.pool.get(shared, to, 0).await.unwrap();
    let (mut stream, mut reader) = link.open(shared.settings.message_limit).await.unwrap();
    stream.write_chunk(bytes).await.unwrap();
    if finish {
        stream.finish().unwrap();
    }
    reader.next::<Reply>().await.unwrap_err()
}

fn frame_of(bytes: &[u8]) -> Bytes {
    let mut frame = BytesMut::new();
    frame.put_u32(u32::try_from(bytes.len()).unwrap());
    frame.put_slice(bytes);
    frame.freeze()
}

/// Guards against an invalid message that ends other streams or has an effect.
#[test]
fn bad_messages_are_refused_and_harm_nothing_else() {
    let authority = Authority::new();
    let (server, client) = (Node::echo(authority.settings()), Node::echo(authority.settings()));
    let to = server.transport.local_addr();
    let sender = shared(&client.transport);
    let unknown = frame::encode(&Call::default(), 10).unwrap();
    let half = frame_of(b"whole").slice(..6);
    let huge = Bytes::copy_from_slice(&u32::MAX.to_be_bytes());
    let cases = [
        (frame_of(&[0xff; 40]), true, Code::Malformed),
        (unknown, true, Code::Malformed),
        (half, true, Code::Malformed),
        (huge, false, Code::TooLarge),
    ];
    for (bytes, finish, code) in cases {
        let error = sender.runtime.block_on(send_raw(sender, to, bytes, finish));
        let expected = VarInt::from(code);
        assert!(
            matches!(error, FrameError::Broken { source: ReadError::Reset(code) } if code == expected)
        );
        assert_eq!(error.refusal(), Some(expected.into_inner()));
    }
    let link = sender.runtime.block_on(sender.pool.get(sender, to, 0)).unwrap();
    link.conn.send_datagram(Bytes::from_static(&[0xff; 9])).unwrap();
    let outcome = client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT);
    assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
    assert_eq!(client.transport.traffic().connections, 1);
    assert_eq!(server.runs(), 1);
    assert!(server.datagrams.is_empty());
}

/// Returns the number of streams opened on the connection to `to`, including a new one.
async fn stream_count(shared: &Arc<Shared>, to: SocketAddr) -> u64 {
    let link = shared.pool.get(shared, to, 0).await.unwrap();
    let (stream, _) = link.conn.open_bi().await.unwrap();
    stream.id().index() + 1
}

/// Guards against a probe before each request between members that rarely communicate.
#[test]
fn a_repeatable_request_after_a_second_asks_nothing_first() {
    let authority = Authority::new();
    let (server, client) = (Node::echo(authority.settings()), Node::echo(authority.settings()));
    let to = server.transport.local_addr();
    let sender = shared(&client.transport);
    let send = |once| {
        let message = Request { once, ..request("a") };
        let outcome = client.transport.blocking_request(to, message, WAIT_TIMEOUT);
        assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
    };
    send(false);
    thread::sleep(Duration::from_millis(900));
    send(false);
    assert_eq!(sender.runtime.block_on(stream_count(sender, to)), 2 + 1);
    thread::sleep(Duration::from_millis(900));
    send(true);
    assert_eq!(sender.runtime.block_on(stream_count(sender, to)), 3 + 2 + 1);
}

/// Guards against `STOP_SENDING` frames for streams that were read to their end.
#[test]
fn streams_that_were_read_whole_are_not_stopped() {
    let authority = Authority::new();
    // With two threads a packet may be sent between the message and the end of the stream.
    let node = || Node::echo(PeerSettings { threads: 1, ..authority.settings() });
    let (server, client) = (node(), node());
    let to = server.transport.local_addr();
    let runtime = client.transport.runtime();
    for _ in 0..20 {
        let transport = client.transport.clone();
        let task =
            runtime.spawn(async move { transport.request(to, request("a"), WAIT_TIMEOUT).await });
        let outcome = runtime.block_on(task).unwrap();
        assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
    }
    for node in [&client, &server] {
        for conn in shared(&node.transport).registry.connections() {
            assert_eq!(conn.stats().frame_tx.stop_sending, 0);
        }
    }
}

/// Guards against losing an answer with its connection, closed at either end.
#[test]
fn answer_is_fetched_after_the_connection_died() {
    for at_client in [true, false] {
        let authority = Authority::new();
        let (started, start) = bounded(1);
        let (go, wait) = bounded::<()>(1);
        let server = Node::start(authority.settings(), move |request, _| {
            started.send(()).unwrap();
            wait.recv_timeout(WAIT_TIMEOUT).unwrap();
            echo(request)
        });
        let client = Node::echo(authority.settings());
        let to = server.transport.local_addr();
        thread::scope(|scope| {
            let waiting =
                scope.spawn(|| client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT));
            start.recv_timeout(WAIT_TIMEOUT).unwrap();
            let end = if at_client { &client } else { &server };
            for conn in shared(&end.transport).registry.connections() {
                conn.close(VarInt::from(Code::None), b"test");
            }
            go.send(()).unwrap();
            let outcome = waiting.join().unwrap();
            assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
        });
        assert_eq!(server.runs(), 1);
    }
}

/// Guards against a deadlock of two members whose requests hold all permits.
#[test]
fn calls_are_answered_while_all_request_threads_wait() {
    let authority = Authority::new();
    let (go, wait) = bounded::<()>(64);
    let server = Node::start(authority.settings(), move |request, _| {
        wait.recv_timeout(WAIT_TIMEOUT).unwrap();
        echo(request)
    });
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    thread::scope(|scope| {
        for _ in 0..32 {
            scope.spawn(|| client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT));
        }
        support::wait_for(|| server.runs() == 16);
        client
            .transport
            .blocking_call(to, call::Body::Status(StatusQuery {}), WAIT_TIMEOUT)
            .unwrap();
        for _ in 0..32 {
            go.send(()).unwrap();
        }
    });
    assert_eq!(server.runs(), 32);
}

/// Guards against a stop that drops an answer while it is fetched over a second connection.
#[test]
fn a_stop_delivers_an_answer_that_is_fetched() {
    for at_client in [true, false] {
        let authority = Authority::new();
        let (started, start) = bounded(1);
        let (go, wait) = bounded::<()>(1);
        let server = Node::start(authority.settings(), move |request, _| {
            started.send(()).unwrap();
            wait.recv_timeout(WAIT_TIMEOUT).unwrap();
            echo(request)
        });
        let client = Node::echo(authority.settings());
        let forwarder = Forwarder::start(server.transport.local_addr());
        forwarder.set_delay(Duration::from_millis(20));
        let to = forwarder.address;
        let body = b"a".repeat(5000);
        thread::scope(|scope| {
            let send =
                || client.transport.blocking_request(to, request(body.clone()), WAIT_TIMEOUT);
            let waiting = scope.spawn(send);
            start.recv_timeout(WAIT_TIMEOUT).unwrap();
            let end = if at_client { &client } else { &server };
            for conn in shared(&end.transport).registry.connections() {
                conn.close(VarInt::from(Code::None), b"test");
            }
            go.send(()).unwrap();
            server.transport.stop();
            let RequestOutcome::Answer(answer) = waiting.join().unwrap() else {
                panic!("no answer, closed at client: {at_client}");
            };
            assert!(answer.body == body, "the whole answer");
        });
    }
}

/// Guards against a first copy of a large answer that leaves the queue of the link, and a stop that
/// does not wait for it, when the sender gives up a fetch of the second one to ask again.
#[test]
fn a_fetch_that_is_given_up_ends_no_delivery() {
    const ENDLESS: u64 = 1 << 34;
    let authority = Authority::new();
    let egress = Egress::new(1_250_000);
    let (settings, permits) = (authority.settings(), egress.clone());
    let server = Node::start_with(
        |request, _| echo(request),
        |handler| Transport::metered(settings, handler, Metrics::none(), permits).unwrap(),
    );
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let expiry = clock::now() + WAIT_TIMEOUT;
    let occupied =
        [(); 2].map(|()| server.transport.runtime().block_on(egress.cross(ENDLESS, None, expiry)));
    let sender = shared(&client.transport);
    let sent = Request { large: true, ..request(b"a".repeat(50_000)) };
    let (attempt, expected) = (sent.attempt, RequestOutcome::Answer(echo(sent.clone())));
    let transport = client.transport.clone();
    let waiting =
        sender.runtime.spawn(async move { transport.request(to, sent, WAIT_TIMEOUT).await });
    support::wait_for(|| egress.backlog() > 2 * ENDLESS);
    let once = egress.backlog();
    for _ in 0..3 {
        let fetch = call::Body::Fetch(Fetch { attempt, left: 20_000 });
        let task = Arc::clone(sender);
        let link = sender.runtime.block_on(sender.pool.get(sender, to, 0)).unwrap();
        let fetching =
            sender.runtime.spawn(async move { exchange::call_on(&task, &link.conn, fetch).await });
        support::wait_for(|| egress.backlog() > once);
        fetching.abort();
        support::wait_for(|| egress.backlog() <= once);
        // A delivery that ends does so after the fetch has.
        thread::sleep(Duration::from_millis(20));
        assert_eq!(egress.backlog(), once);
        assert_eq!(server.transport.refuse_requests(), 1);
    }
    drop(occupied);
    let outcome = sender.runtime.block_on(waiting).unwrap();
    assert!(outcome == expected, "the whole answer");
}

/// Guards against reporting a request as not run although its answer arrived before the close.
#[test]
fn an_answer_that_has_come_is_read_after_a_stop() {
    let authority = Authority::new();
    let (server, client) = (Node::echo(authority.settings()), Node::echo(authority.settings()));
    let to = server.transport.local_addr();
    let sender = shared(&client.transport);
    let sent = Request { left: 5000, ..request("a") };
    let call = Call { body: Some(call::Body::Request(sent)) };
    let frame = frame::encode(&call, sender.settings.message_limit).unwrap();
    let (link, mut reader) = sender.runtime.block_on(async {
        let link = sender.pool.get(sender, to, 0).await.unwrap();
        let (mut stream, reader) = link.open(sender.settings.message_limit).await.unwrap();
        stream.write_chunk(frame).await.unwrap();
        stream.finish().unwrap();
        (link, reader)
    });
    support::wait_for(|| server.runs() == 1);
    server.transport.stop();
    support::wait_for(|| link.has_stopped());
    let reply = sender.runtime.block_on(reader.next::<Reply>()).unwrap();
    assert_eq!(reply.body, Some(reply::Body::Answer(echo(request("a")))));
}

/// Guards against reporting a call as not run that had an effect before its handler panicked.
#[test]
fn a_stop_after_a_panic_is_not_settled() {
    let tracker = Arc::new(InflightTracker::default());
    let guard = tracker.try_track(message()).unwrap();
    assert_eq!(tracker.awaited(Instant::now()).len(), 1);
    drop(guard);
    tracker.close();
    assert!(tracker.awaited(Instant::now()).is_empty());
    assert!(!tracker.is_settled());
}

/// Guards against a stop that counts refused messages as having an unknown effect.
#[test]
fn a_stop_that_refuses_messages_settles_earlier_ones() {
    let tracker = Arc::new(InflightTracker::default());
    let guard = tracker.try_track(message()).unwrap();
    tracker.close();
    assert!(tracker.try_track(message()).is_none());
    assert!(!tracker.is_settled());
    guard.settle();
    assert!(tracker.is_settled());
}

/// Guards against "not run" at a late sender for a request that ran: it may read the close before it
/// notices its deadline, or before an answer that it fetched over another connection.
#[test]
fn a_stop_settles_no_message_that_is_only_no_longer_awaited() {
    let now = Instant::now();
    let request = Message { attempt: 1, kind: Kind::Request, ..message() };
    let expired = Message { until: Some(now), ..request.clone() };
    for (message, fetched) in [(request, true), (expired, false)] {
        let tracker = Arc::new(InflightTracker::default());
        let guard = tracker.try_track(message).unwrap();
        if fetched {
            tracker.release(1);
        }
        tracker.close();
        assert!(tracker.awaited(now).is_empty());
        assert!(!tracker.is_settled(), "fetched: {fetched}");
        guard.settle();
        assert!(tracker.is_settled());
    }
}

/// Guards against a peer that counts as silent although its reply is in the socket, after a pause of
/// this process that ends too soon after the timeout for its timer to count as late.
#[test]
fn a_reply_that_arrived_in_a_pause_is_read_after_the_timeout() {
    const TIMEOUT: Duration = Duration::from_millis(200);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let reply = runtime.block_on(async {
        let peer = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let to = socket.local_addr().unwrap();
        // As in QUIC, a packet passes through the tasks of the socket and of the connection.
        let (packet, packets) = oneshot::channel();
        let (reply, replies) = oneshot::channel();
        tokio::spawn(async move { packet.send(socket.recv(&mut [0; 8]).await.unwrap()) });
        tokio::spawn(async move { reply.send(packets.await.unwrap()) });
        tokio::spawn(async move {
            peer.send_to(b"reply", to).unwrap();
            thread::sleep(TIMEOUT + TIMEOUT / 20);
        });
        timeouts::reply_within(TIMEOUT, replies).await
    });
    assert_eq!(reply, Some(Ok(b"reply".len())));
}

/// Accepts connections and sends the same bytes on each of their streams, until they end; counts the
/// requests that arrive.
async fn pour(endpoint: quinn::Endpoint, block: Bytes, arrived: Arc<AtomicUsize>) {
    while let Some(incoming) = endpoint.accept().await {
        let (block, arrived) = (block.clone(), Arc::clone(&arrived));
        tokio::spawn(async move {
            let Ok(conn) = incoming.await else { return };
            while let Ok((mut stream, mut recv)) = conn.accept_bi().await {
                let (block, arrived) = (block.clone(), Arc::clone(&arrived));
                tokio::spawn(async move {
                    let frame = recv.read_to_end(1 << 20).await.unwrap_or_default();
                    let call = Call::decode(frame.get(4..).unwrap_or_default());
                    if matches!(call, Ok(Call { body: Some(call::Body::Request(_)) })) {
                        arrived.fetch_add(1, Ordering::SeqCst);
                    }
                    while stream.write_chunk(block.clone()).await.is_ok() {}
                });
            }
        });
    }
}

/// Guards against a member that answers calls and requests with bytes without end: they end by their
/// deadline and may have run.
#[test]
fn bytes_without_end_of_a_member_are_no_answer() {
    let authority = Authority::new();
    let client = Node::echo(authority.settings());
    let sender = shared(&client.transport);
    let huge = Bytes::from_static(&[0xff; 4096]);
    let malformed = frame_of(&[0xff; 4096]);
    // Its first frame never ends.
    let long = [&frame_of(&[0; 4096])[1..4], &[0; 4096]].concat();
    for block in [huge, malformed, long.into()] {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = sender.runtime.block_on(async {
            let configs = tls::configs(&authority.settings()).unwrap();
            quinn::Endpoint::server(configs.server, address).unwrap()
        });
        let to = endpoint.local_addr().unwrap();
        let arrived = Arc::new(AtomicUsize::new(0));
        let pouring = sender.runtime.spawn(pour(endpoint, block, Arc::clone(&arrived)));
        let left = Duration::from_secs(1);
        let start = Instant::now();
        let outcome = client.transport.blocking_request(to, request("a"), left);
        let reached = arrived.load(Ordering::SeqCst) > 0;
        let expected = if reached { RequestOutcome::Lost } else { RequestOutcome::NotDelivered };
        assert_eq!(outcome, expected);
        let called = client.transport.blocking_call(to, call::Body::Status(StatusQuery {}), left);
        assert!(called.is_err(), "{called:?}");
        assert!(start.elapsed() < left * 2 + WAIT_TIMEOUT / 4, "{:?}", start.elapsed());
        pouring.abort();
    }
    let server = Node::echo(authority.settings());
    let outcome = client.transport.blocking_request(
        server.transport.local_addr(),
        request("a"),
        WAIT_TIMEOUT,
    );
    assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
}

/// Guards against a request that is decoded as another one because its body is sent apart.
#[test]
fn a_request_in_parts_is_the_message_that_it_would_be_as_a_whole() {
    for size in [0, 1, 127, 128, 1 << 20] {
        let request = Request { target: 7, large: true, ..request(vec![b'x'; size]) };
        let parts = frame::encode_request(request.clone(), 2 << 20).expect("below the limit");
        let bytes = parts.concat();
        let length = u32::try_from(bytes.len() - 4).expect("a length");
        assert_eq!(bytes[..4], length.to_be_bytes(), "{size}");
        let call = Call::decode(&bytes[4..]).expect("a call");
        assert!(call.body == Some(call::Body::Request(request)), "{size}");
    }
    let large = request(vec![b'x'; 2 << 20]);
    assert!(frame::encode_request(large, 2 << 20).is_err(), "above the limit");
}

/// Guards against a member that takes requests for which it has no memory, and against a sender
/// that does not learn that such a request has not run.
#[test]
fn a_request_without_room_is_refused_as_not_run() {
    let authority = Authority::new();
    let egress = Egress::new(125_000_000);
    let bodies = BodyMemory::new(4 << 20, Metrics::none());
    let (settings, memory) = (authority.settings(), bodies.clone());
    let server = Node::start_with(
        |request, _| echo(request),
        |handler| {
            let metrics = Metrics::none();
            Transport::limited(settings, handler, metrics, egress, memory).unwrap()
        },
    );
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let held = bodies.take(clock::now(), 3 << 20).expect("room");
    let outcome = client.transport.blocking_request(to, request(vec![b'x'; 1 << 20]), WAIT_TIMEOUT);
    let RequestOutcome::Answer(answer) = outcome else { panic!("{outcome:?}") };
    assert_eq!((answer.verdict(), answer.reason()), (Verdict::NotRun, Reason::Busy));
    assert_eq!(server.runs(), 0);
    drop(held);
    let body = vec![b'x'; 1 << 20];
    let outcome = client.transport.blocking_request(to, request(body.clone()), WAIT_TIMEOUT);
    assert!(outcome == RequestOutcome::Answer(echo(request(body))), "it runs once there is room");
    support::wait_for(|| bodies.used() == 0);
}
