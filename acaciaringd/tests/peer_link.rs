//! Large answers over a narrow link that many connections of one member share.

mod peer_support;

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_schema::peer::{Request, StatusQuery, call};
use acaciaringd::peer::{self, PeerSettings, RequestOutcome};
use parking_lot::Mutex;

use crate::peer_support::{Authority, Node, WAIT_TIMEOUT, echo, request};

/// Width of the link in bytes per second, 10 Mbit/s.
const LINK_RATE: u64 = 1_250_000;

/// Bytes that one connection has in flight at most: what the link carries in 10 ms.
const WINDOW_BYTES: u64 = LINK_RATE / 100;

/// Large answers, each on a connection of its own.
const ANSWERS: usize = 8;

/// Bytes of a large answer.
const BODY_BYTES: usize = 90_000;

/// Time within which most calls return.
const CALL_TIME: Duration = Duration::from_millis(100);

/// Bytes of the largest packet.
const PACKET_BYTES: usize = 2048;

/// Packet that a client receives at a time.
struct Queued {
    due: Instant,
    to: SocketAddr,
    packet: Vec<u8>,
}

/// Link of a server to many clients; what the clients send is not limited.
struct SharedLink {
    address: SocketAddr,
    state: Arc<State>,
}

struct State {
    front: UdpSocket,
    target: SocketAddr,
    /// When the link has sent what waits for it.
    free_at: Mutex<Instant>,
    /// Most bytes that have waited for the link.
    longest: AtomicU64,
    stopped: AtomicBool,
}

impl SharedLink {
    fn start(target: SocketAddr) -> Self {
        let front = bind();
        let address = front.local_addr().unwrap();
        let state = Arc::new(State {
            front,
            target,
            free_at: Mutex::new(Instant::now()),
            longest: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        });
        let (packets, queued) = mpsc::channel();
        let (sender, receiver) = (Arc::clone(&state), Arc::clone(&state));
        thread::spawn(move || send_queued(&sender, &queued));
        thread::spawn(move || receive(&receiver, &packets));
        Self { address, state }
    }

    /// Forgets the bytes that have waited so far.
    fn reset(&self) {
        self.state.longest.store(0, Ordering::SeqCst);
    }

    fn longest(&self) -> u64 {
        self.state.longest.load(Ordering::SeqCst)
    }
}

impl Drop for SharedLink {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

fn bind() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    socket
}

/// Forwards the packets of clients, each from a socket of its own.
fn receive(state: &Arc<State>, packets: &Sender<Queued>) {
    let mut flows = HashMap::new();
    let mut packet = [0; PACKET_BYTES];
    while !state.stopped.load(Ordering::SeqCst) {
        let Ok((size, from)) = state.front.recv_from(&mut packet) else { continue };
        let flow = flows.entry(from).or_insert_with(|| {
            let flow = bind();
            flow.connect(state.target).unwrap();
            let (replies, state, packets) =
                (flow.try_clone().unwrap(), Arc::clone(state), packets.clone());
            thread::spawn(move || queue_replies(&state, &replies, from, &packets));
            flow
        });
        drop(flow.send(&packet[..size]));
    }
}

/// Puts the packets for a client into the queue of the link.
fn queue_replies(state: &State, flow: &UdpSocket, to: SocketAddr, packets: &Sender<Queued>) {
    let mut packet = [0; PACKET_BYTES];
    while !state.stopped.load(Ordering::SeqCst) {
        let Ok(size) = flow.recv(&mut packet) else { continue };
        let mut free_at = state.free_at.lock();
        let now = Instant::now();
        let time = Duration::from_micros(size as u64 * 1_000_000 / LINK_RATE);
        *free_at = (*free_at).max(now) + time;
        let due = *free_at;
        let waiting = due.duration_since(now).as_micros() * u128::from(LINK_RATE) / 1_000_000;
        let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
        state.longest.fetch_max(waiting, Ordering::SeqCst);
        // Fails only at the end of the test.
        drop(packets.send(Queued { due, to, packet: packet[..size].to_vec() }));
    }
}

fn send_queued(state: &State, queued: &Receiver<Queued>) {
    for Queued { due, to, packet } in queued {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        drop(state.front.send_to(&packet, to));
    }
}

/// Returns the body of one answer, which differs from those of the others.
fn body(answer: usize) -> Vec<u8> {
    (0..=250).cycle().skip(answer * 31).take(BODY_BYTES).collect()
}

/// Guards against large answers on many connections that fill the queue of the link together, so
/// that leases, calls and acknowledgements wait behind them.
#[test]
fn a_call_does_not_wait_behind_large_answers() {
    let authority = Authority::new();
    let settings = PeerSettings { link_rate: LINK_RATE, ..authority.settings() };
    let server = Node::start(settings, |mut request, _| {
        if request.large {
            request.body = body(usize::from(request.body[0])).into();
        }
        echo(request)
    });
    let link = SharedLink::start(server.transport.local_addr());
    let to = link.address;
    let clients: Vec<_> = (0..=ANSWERS).map(|_| Node::echo(authority.settings())).collect();
    let (caller, clients) = clients.split_first().unwrap();
    let status = |client: &Node| {
        let call = call::Body::Status(StatusQuery {});
        client.transport.blocking_call(to, call, WAIT_TIMEOUT).unwrap();
    };
    clients.iter().chain([caller]).for_each(status);
    link.reset();

    let open = AtomicUsize::new(ANSWERS);
    let mut calls = Vec::new();
    let start = Instant::now();
    thread::scope(|scope| {
        for (answer, client) in clients.iter().enumerate() {
            let open = &open;
            scope.spawn(move || {
                let number = u8::try_from(answer).unwrap();
                let sent = Request { large: true, ..request([number]) };
                let outcome = client.transport.blocking_request(to, sent, WAIT_TIMEOUT);
                open.fetch_sub(1, Ordering::SeqCst);
                let RequestOutcome::Answer(received) = outcome else { panic!("{outcome:?}") };
                assert!(received.body == body(answer), "answer {answer} is intact");
            });
        }
        while open.load(Ordering::SeqCst) > 0 {
            let start = Instant::now();
            status(caller);
            calls.push(start.elapsed());
        }
    });
    let took = start.elapsed();
    calls.sort();
    let (median, slowest) = (calls[calls.len() / 2], calls[calls.len() - 1]);
    let longest = link.longest();
    println!(
        "{ANSWERS} answers in {took:?}; {} calls, median {median:?}, slowest {slowest:?}; \
         at most {longest} bytes waited for the link",
        calls.len()
    );
    assert!(median < CALL_TIME, "{median:?}");
    assert!(longest < 4 * WINDOW_BYTES, "{longest} bytes waited for the link");
}
