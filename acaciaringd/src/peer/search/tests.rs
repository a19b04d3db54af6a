//! Searches for an attempt whose connection has ended, with forced orders of packets and closes.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use quinn::Connection;

use acaciaring_schema::peer::Datagram;

use crate::peer::frame::Code;
use crate::peer::link::Link;
use crate::peer::tests::support::{
    Authority, Forwarder, Node, PacketPolicy, WAIT_TIMEOUT, echo, request, wait_for,
};
use crate::peer::transport::Shared;
use crate::peer::{RequestOutcome, RunningRequest, Transport};

/// Member whose requests wait until the test resumes them, behind a forwarder, and a sender.
struct Pair {
    server: Node,
    client: Node,
    forwarder: Forwarder,
    started: Receiver<()>,
    resume: Sender<()>,
    /// Receives the packets of later flows and answers none.
    sink: UdpSocket,
}

impl Pair {
    fn start() -> Self {
        let authority = Authority::new();
        let (start, started) = bounded(4);
        let (resume, wait) = bounded(4);
        let server = Node::start(authority.settings(), move |request, _| {
            start.send(()).unwrap();
            wait.recv_timeout(WAIT_TIMEOUT).unwrap();
            echo(request)
        });
        let client = Node::echo(authority.settings());
        let forwarder = Forwarder::start(server.transport.local_addr());
        let sink = UdpSocket::bind("127.0.0.1:0").unwrap();
        Self { server, client, forwarder, started, resume, sink }
    }

    fn to(&self) -> SocketAddr {
        self.forwarder.address
    }

    fn sender(&self) -> &Arc<Shared> {
        self.client.transport.shared()
    }

    /// Returns a connection of the sender that is newer than `newer_than`.
    fn link(&self, newer_than: u64) -> Arc<Link> {
        let sender = self.sender();
        sender.runtime.block_on(sender.pool.get(sender, self.to(), newer_than)).unwrap()
    }

    /// Sends a request and waits until the member runs it.
    fn send(&self) -> RunningRequest {
        let transport = self.client.transport.clone();
        let mut running = transport.start_request(self.to(), request("a"), WAIT_TIMEOUT);
        block_until(&transport, &mut running, &self.started);
        running
    }

    /// Waits until the member counts as silent.
    fn wait_for_silence(&self, running: &mut RunningRequest) {
        let outcome = self.sender().runtime.block_on(running.outcome_or_silence());
        assert_eq!(outcome, None, "the member is not silent");
    }

    fn outcome(&self, running: RunningRequest) -> RequestOutcome {
        self.sender().runtime.block_on(running.outcome())
    }

    /// Returns the member's ends of the connections that are open.
    fn member_ends(&self) -> Vec<Connection> {
        self.server.transport.shared().registry.connections()
    }
}

/// Drives a request until a message arrives on `started`.
fn block_until(transport: &Transport, running: &mut RunningRequest, started: &Receiver<()>) {
    let started = started.clone();
    transport.runtime().block_on(async {
        let message = tokio::task::spawn_blocking(move || started.recv_timeout(WAIT_TIMEOUT));
        tokio::select! {
            message = message => message.unwrap().unwrap(),
            outcome = running.outcome_or_silence() => panic!("ended early: {outcome:?}"),
        }
    });
}

fn answered() -> RequestOutcome {
    RequestOutcome::Answer(echo(request("a")))
}

/// Guards against an answer that waits at the member while the sender asks for it on a connection
/// that is closed.
#[test]
fn an_answer_is_asked_for_on_a_newer_connection_once_the_first_has_ended() {
    let pair = Pair::start();
    let first = pair.link(0);
    let mut running = pair.send();
    let ends = pair.member_ends();
    let newer = pair.link(first.id);
    // Further connections cannot be opened, and the newer one is silent until the member is.
    pair.forwarder.retarget(pair.sink.local_addr().unwrap());
    pair.forwarder.set_policies(PacketPolicy::Hold, PacketPolicy::Forward);
    for end in &ends {
        end.close(Code::None.into(), b"test");
    }
    wait_for(|| !first.is_open());
    pair.resume.send(()).unwrap();
    pair.wait_for_silence(&mut running);
    pair.forwarder.set_policies(PacketPolicy::Forward, PacketPolicy::Forward);
    pair.forwarder.release();
    assert!(newer.is_open());
    assert_eq!(pair.outcome(running), answered());
    assert_eq!(pair.server.runs(), 1);
}

/// Guards against a member that closes a connection which it opened, and replaced, while requests
/// on it are unanswered.
#[test]
fn a_replaced_connection_is_open_until_its_requests_are_answered() {
    let pair = Pair::start();
    let (here, there) = (pair.client.transport.local_addr(), pair.server.transport.local_addr());
    let greet = |reconnect| {
        pair.server.transport.send(here, &Datagram::default(), reconnect);
        pair.client.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap();
    };
    greet(false);
    let ends = pair.member_ends();
    let transport = pair.client.transport.clone();
    let mut running = transport.start_request(there, request("a"), WAIT_TIMEOUT);
    block_until(&transport, &mut running, &pair.started);
    assert_eq!(transport.traffic().connections, 1, "it uses the member's connection");
    greet(true);
    wait_for(|| transport.traffic().connections != 1);
    assert!(ends.iter().all(|end| end.close_reason().is_none()), "closed with a request on it");
    pair.resume.send(()).unwrap();
    assert_eq!(pair.outcome(running), answered());
    wait_for(|| ends.iter().all(|end| end.close_reason().is_some()));
}

/// Guards against a search that goes on after the member has stopped, because the first connection
/// had ended before.
#[test]
fn a_stop_that_is_told_on_a_newer_connection_ends_a_search() {
    let pair = Pair::start();
    let first = pair.link(0);
    let running = pair.send();
    let ends = pair.member_ends();
    let newer = pair.link(first.id);
    for end in &ends {
        end.close(Code::None.into(), b"test");
    }
    wait_for(|| !first.is_open());
    let start = Instant::now();
    assert_eq!(pair.server.transport.stop_within(Duration::ZERO), 1);
    wait_for(|| newer.has_stopped());
    assert_eq!(pair.outcome(running), RequestOutcome::Lost);
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "only its deadline ended the search");
    pair.resume.send(()).unwrap();
}
