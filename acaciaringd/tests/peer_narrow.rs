//! Peer connections over a link that is narrow and drops what its queue has no room for.

mod peer_support;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_schema::peer::{Datagram, Loads, datagram};
use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{Authority, Node, WAIT_TIMEOUT, request};

/// Width of the link in bytes per second, 10 Mbit/s, and the bytes that wait for it at most.
const LINK_RATE: u64 = 1_250_000;
const QUEUE_BYTES: u64 = 40_000;

/// Bytes of a long body.
const BODY_BYTES: usize = 360_000;
const BODIES: usize = 3;

/// Bytes of the largest packet.
const PACKET_BYTES: usize = 2048;

/// Interval of datagrams, as lease renewals are.
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(20);

/// Link from one client to a target; what the target sends back is not limited.
struct NarrowLink {
    address: SocketAddr,
    dropped: Arc<AtomicUsize>,
    flows: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

impl NarrowLink {
    fn start(target: SocketAddr) -> Self {
        let bind = || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("bind");
            socket.set_read_timeout(Some(Duration::from_millis(50))).expect("timeout");
            socket
        };
        let (front, back) = (bind(), bind());
        back.connect(target).expect("connect");
        let address = front.local_addr().expect("address");
        let [dropped, flows] = [Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0))];
        let stopped = Arc::new(AtomicBool::new(false));
        let link = Self { address, dropped, flows, stopped };
        let (packets, queued) = mpsc::channel();
        let sender = back.try_clone().expect("clone");
        thread::spawn(move || drain(&queued, &sender));
        let replies = (front.try_clone().expect("clone"), back);
        let (dropped, flows) = (Arc::clone(&link.dropped), Arc::clone(&link.flows));
        let stop = Arc::clone(&link.stopped);
        thread::spawn(move || receive(&front, &packets, &dropped, &flows, &stop, replies));
        link
    }
}

impl Drop for NarrowLink {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Takes packets of clients into the queue, and drops those for which it has no room.
fn receive(
    front: &UdpSocket,
    packets: &Sender<(Instant, Vec<u8>)>,
    dropped: &AtomicUsize,
    flows: &AtomicUsize,
    stopped: &Arc<AtomicBool>,
    replies: (UdpSocket, UdpSocket),
) {
    let mut replies = Some(replies);
    let mut client = None;
    let mut free_at = Instant::now();
    let mut packet = [0; PACKET_BYTES];
    while !stopped.load(Ordering::SeqCst) {
        let Ok((size, from)) = front.recv_from(&mut packet) else { continue };
        if client.replace(from) != Some(from) {
            flows.fetch_add(1, Ordering::SeqCst);
        }
        if let Some((front, back)) = replies.take() {
            let stopped = Arc::clone(stopped);
            thread::spawn(move || return_replies(&front, &back, from, &stopped));
        }
        let now = Instant::now();
        let waiting = free_at.saturating_duration_since(now).as_micros() * u128::from(LINK_RATE);
        if waiting > u128::from(QUEUE_BYTES) * 1_000_000 {
            dropped.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        let time = Duration::from_micros(size as u64 * 1_000_000 / LINK_RATE);
        free_at = free_at.max(now) + time;
        packets.send((free_at, packet[..size].to_vec())).expect("the queue is drained");
    }
}

fn drain(packets: &Receiver<(Instant, Vec<u8>)>, target: &UdpSocket) {
    for (due, packet) in packets {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        target.send(&packet).expect("send");
    }
}

fn return_replies(front: &UdpSocket, back: &UdpSocket, to: SocketAddr, stopped: &AtomicBool) {
    let mut packet = [0; PACKET_BYTES];
    while !stopped.load(Ordering::SeqCst) {
        if let Ok(size) = back.recv(&mut packet) {
            front.send_to(&packet[..size], to).expect("send");
        }
    }
}

/// Guards against long bodies that fill the queue of a narrow link, so that renewals of leases are
/// lost with their packets and the member counts as silent.
#[test]
fn long_bodies_leave_room_for_datagrams_on_a_narrow_link() {
    let authority = Authority::new();
    let server = Node::start(authority.settings(), |mut request, _| {
        request.body.clear();
        peer_support::echo(request)
    });
    let client = Node::echo(PeerSettings { link_rate: LINK_RATE, ..authority.settings() });
    let link = NarrowLink::start(server.transport.local_addr());
    let (transport, to) = (&client.transport, link.address);
    let sent = AtomicUsize::new(0);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::SeqCst) {
                let body = Some(datagram::Body::Loads(Loads::default()));
                transport.send(to, &Datagram { body }, false);
                sent.fetch_add(1, Ordering::SeqCst);
                thread::sleep(DATAGRAM_INTERVAL);
            }
        });
        let bodies: Vec<_> = (0..BODIES)
            .map(|_| {
                let body = vec![7; BODY_BYTES];
                scope.spawn(|| transport.blocking_request(to, request(body), WAIT_TIMEOUT))
            })
            .collect();
        for body in bodies {
            let outcome = body.join().expect("it ends");
            assert!(matches!(outcome, RequestOutcome::Answer(_)), "{outcome:?}");
        }
        done.store(true, Ordering::SeqCst);
    });
    let dropped = link.dropped.load(Ordering::SeqCst);
    assert_eq!(dropped, 0, "packets that the queue of the link had no room for");
    assert_eq!(link.flows.load(Ordering::SeqCst), 1, "connections");
    let sent = sent.load(Ordering::SeqCst);
    let arrived = server.datagrams.try_iter().count();
    assert!(arrived + 2 >= sent, "{arrived} of {sent} datagrams");
}
