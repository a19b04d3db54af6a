//! Verdicts of messages that are in flight while the receiving transport stops.

mod peer_support;

use std::thread;
use std::time::{Duration, Instant};

use acaciaring_schema::peer::{StatusQuery, call};
use acaciaringd::peer::{self, RequestOutcome};
use crossbeam_channel::bounded;

use crate::peer_support::{
    Authority, Forwarder, Node, PacketPolicy, WAIT_TIMEOUT, echo, request, wait_for,
};

/// Timeout of a stop that does not wait for running requests.
const SHORT_STOP_TIMEOUT: Duration = Duration::from_millis(50);

/// Time in which an answer is acknowledged, well below the idle time after which a connection is
/// probed.
const ACK_DURATION: Duration = Duration::from_millis(100);

/// Time for which packets are lost, longer than a stopped process waits once its lease ends.
const LOSS_DURATION: Duration = Duration::from_millis(1500);

/// Member whose requests report their start and wait until the test resumes them.
struct PausedServer {
    node: Node,
    started: crossbeam_channel::Receiver<()>,
    resume: crossbeam_channel::Sender<()>,
}

impl PausedServer {
    fn start(authority: &Authority) -> Self {
        let (start, started) = bounded(4);
        let (resume, wait) = bounded(4);
        let node = Node::start(authority.settings(), move |request, _| {
            start.send(()).unwrap();
            wait.recv_timeout(WAIT_TIMEOUT).unwrap();
            echo(request)
        });
        Self { node, started, resume }
    }

    fn wait_for_start(&self) {
        self.started.recv_timeout(WAIT_TIMEOUT).unwrap();
    }
}

/// Guards against the outcome "may have run" for a request that never reached the member.
#[test]
fn a_request_on_its_way_to_a_member_that_stops_has_not_run() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    let forwarder = Forwarder::start(server.transport.local_addr());
    let send = || client.transport.blocking_request(forwarder.address, request("a"), WAIT_TIMEOUT);
    assert!(matches!(send(), RequestOutcome::Answer(_)));
    thread::sleep(ACK_DURATION);
    forwarder.set_policies(PacketPolicy::Hold, PacketPolicy::Forward);
    thread::scope(|scope| {
        let waiting = scope.spawn(send);
        wait_for(|| forwarder.held() > 0);
        server.transport.stop();
        assert_eq!(waiting.join().unwrap(), RequestOutcome::NotDelivered);
    });
    assert_eq!(server.runs(), 1);
}

/// Guards against a call that is reported as possibly executed although it never reached the
/// member.
#[test]
fn a_call_on_its_way_to_a_member_that_stops_had_no_effect() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    let forwarder = Forwarder::start(server.transport.local_addr());
    let send = || {
        let call = call::Body::Status(StatusQuery {});
        client.transport.blocking_call(forwarder.address, call, WAIT_TIMEOUT)
    };
    send().unwrap();
    thread::sleep(ACK_DURATION);
    forwarder.set_policies(PacketPolicy::Hold, PacketPolicy::Forward);
    thread::scope(|scope| {
        let waiting = scope.spawn(send);
        wait_for(|| forwarder.held() > 0);
        server.transport.stop();
        assert!(!waiting.join().unwrap().unwrap_err().may_have_run());
    });
}

/// Guards against the outcome "not run" for a request that was still running when the stop timed
/// out.
#[test]
fn a_request_that_a_stop_cuts_off_may_have_run() {
    let authority = Authority::new();
    let server = PausedServer::start(&authority);
    let client = Node::echo(authority.settings());
    let to = server.node.transport.local_addr();
    thread::scope(|scope| {
        let waiting =
            scope.spawn(|| client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT));
        server.wait_for_start();
        assert_eq!(server.node.transport.stop_within(SHORT_STOP_TIMEOUT), 1);
        assert_eq!(waiting.join().unwrap(), RequestOutcome::Lost);
        server.resume.send(()).unwrap();
    });
}

/// Guards against a stop that ends while the sender of a request has not received its answer.
#[test]
fn a_stop_can_wait_for_a_sender_that_has_lost_the_answer() {
    let authority = Authority::new();
    let server = PausedServer::start(&authority);
    let client = Node::echo(authority.settings());
    let forwarder = Forwarder::start(server.node.transport.local_addr());
    let send = || client.transport.blocking_request(forwarder.address, request("a"), WAIT_TIMEOUT);
    thread::scope(|scope| {
        let waiting = scope.spawn(send);
        server.wait_for_start();
        forwarder.set_cut(true);
        server.resume.send(()).unwrap();
        let start = Instant::now();
        while start.elapsed() < LOSS_DURATION {
            assert_eq!(server.node.transport.refuse_requests(), 1, "{:?}", start.elapsed());
            thread::sleep(ACK_DURATION / 2);
        }
        forwarder.set_cut(false);
        wait_for(|| server.node.transport.refuse_requests() == 0);
        server.node.transport.stop();
        assert_eq!(waiting.join().unwrap(), RequestOutcome::Answer(echo(request("a"))));
    });
}

/// Guards against a stop that waits for the deadline of a request whose sender has given it up.
#[test]
fn a_stop_does_not_wait_for_a_sender_that_has_left() {
    let authority = Authority::new();
    let server = PausedServer::start(&authority);
    let client = Node::echo(authority.settings());
    let to = server.node.transport.local_addr();
    let running = client.transport.start_request(to, request("a"), WAIT_TIMEOUT);
    let task = client.transport.runtime().spawn(running.outcome());
    server.wait_for_start();
    assert_eq!(server.node.transport.refuse_requests(), 1);
    task.abort();
    wait_for(|| server.node.transport.refuse_requests() == 0);
    server.resume.send(()).unwrap();
}

/// Guards against a caller that waits until its deadline because the stop is not announced on
/// connections that the stopping member opened.
#[test]
fn a_stop_is_told_on_connections_that_the_member_made() {
    let authority = Authority::new();
    let server = PausedServer::start(&authority);
    let client = Node::echo(authority.settings());
    let (here, there) = (client.transport.local_addr(), server.node.transport.local_addr());
    let outcome = server.node.transport.blocking_request(here, request("a"), WAIT_TIMEOUT);
    assert!(matches!(outcome, RequestOutcome::Answer(_)));
    thread::scope(|scope| {
        let send = || client.transport.blocking_request(there, request("b"), WAIT_TIMEOUT);
        let waiting = scope.spawn(send);
        server.wait_for_start();
        assert_eq!(client.transport.traffic().connections, 1);
        let start = Instant::now();
        assert_eq!(server.node.transport.stop_within(SHORT_STOP_TIMEOUT), 1);
        assert_eq!(waiting.join().unwrap(), RequestOutcome::Lost);
        assert!(start.elapsed() < WAIT_TIMEOUT / 2, "the stop is announced");
        server.resume.send(()).unwrap();
    });
}
