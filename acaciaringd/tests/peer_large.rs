//! Large answers, which wait for their turn on the link of the answering member.

mod peer_support;

use std::time::Duration;

use acaciaring_schema::peer::{Answer, Request};
use acaciaringd::clock;
use acaciaringd::egress::{Egress, Permit};
use acaciaringd::metrics::Metrics;
use acaciaringd::peer::{self, PeerSettings, RequestOutcome, Transport};

use crate::peer_support::{
    Authority, Forwarder, Node, PacketPolicy, WAIT_TIMEOUT, echo, request, wait_for,
};

/// Width of the link in bytes per second, 10 Mbit/s.
const LINK_RATE: u64 = 1_250_000;

/// Bytes of a large answer.
const BODY_BYTES: usize = 90_000;

/// Bytes that occupy the link for hours.
const ENDLESS: u64 = 1 << 34;

/// Backlog while two endless answers are transmitted.
const OCCUPIED: u64 = 2 * ENDLESS;

/// Member that echoes requests, with the permits of its link.
struct Fixture {
    _authority: Authority,
    egress: Egress,
    server: Node,
    client: Node,
}

impl Fixture {
    fn new() -> Self {
        let authority = Authority::new();
        let egress = Egress::new(LINK_RATE);
        let settings = PeerSettings { link_rate: LINK_RATE, ..authority.settings() };
        let permits = egress.clone();
        let server = Node::start_with(
            |request, _| echo(request),
            |handler| Transport::metered(settings, handler, Metrics::none(), permits).unwrap(),
        );
        let client = Node::echo(authority.settings());
        Self { _authority: authority, egress, server, client }
    }

    /// Takes both places on the link.
    fn occupy(&self) -> [Permit; 2] {
        let expiry = clock::now() + Duration::from_hours(1);
        let runtime = self.server.transport.runtime();
        [(); 2].map(|()| runtime.block_on(self.egress.cross(ENDLESS, None, expiry)))
    }

    /// Sends a request in the background and waits until `backlog` bytes wait for the link.
    fn send(
        &self,
        to: std::net::SocketAddr,
        request: Request,
    ) -> tokio::task::JoinHandle<RequestOutcome> {
        let transport = self.client.transport.clone();
        let runtime = transport.runtime().clone();
        let before = self.egress.backlog();
        let task = runtime.spawn(async move { transport.request(to, request, WAIT_TIMEOUT).await });
        wait_for(|| self.egress.backlog() > before);
        task
    }

    fn outcome(&self, task: tokio::task::JoinHandle<RequestOutcome>) -> Answer {
        match self.client.transport.runtime().block_on(task).unwrap() {
            RequestOutcome::Answer(answer) => answer,
            outcome => panic!("no answer: {outcome:?}"),
        }
    }
}

/// Returns a request whose answer is large.
fn large() -> Request {
    Request { large: true, ..request(body()) }
}

fn body() -> Vec<u8> {
    (0..=250).cycle().take(BODY_BYTES).collect()
}

/// Guards against large answers that do not wait, and others that do.
#[test]
fn only_large_answers_wait_for_a_permit() {
    let fixture = Fixture::new();
    let to = fixture.server.transport.local_addr();
    let permits = fixture.occupy();
    let others = [request(body()), Request { large: true, ..request("short") }];
    for request in others {
        let expected = RequestOutcome::Answer(echo(request.clone()));
        let outcome = fixture.client.transport.blocking_request(to, request, WAIT_TIMEOUT);
        assert!(outcome == expected, "an answer at once");
        assert_eq!(fixture.egress.backlog(), OCCUPIED);
    }
    let waiting = fixture.send(to, large());
    assert!(fixture.egress.backlog() >= OCCUPIED + BODY_BYTES as u64);
    assert!(!waiting.is_finished());
    let [first, _second] = permits;
    drop(first);
    assert!(fixture.outcome(waiting).body == body(), "the whole answer");
    wait_for(|| fixture.egress.backlog() == ENDLESS);
}

/// Guards against an answer that keeps its place in the queue after its caller has left.
#[test]
fn a_sender_that_leaves_ends_the_wait() {
    let fixture = Fixture::new();
    let to = fixture.server.transport.local_addr();
    let _permits = fixture.occupy();
    let waiting = fixture.send(to, large());
    waiting.abort();
    wait_for(|| fixture.egress.backlog() == OCCUPIED);
    assert_eq!(fixture.server.transport.refuse_requests(), 0);
}

/// Guards against an answer that waits for a sender whose connection has gone silent: the
/// cancellation arrives on another one, when the request has already run.
#[test]
fn a_cancellation_on_another_connection_ends_the_wait() {
    let fixture = Fixture::new();
    let forwarder = Forwarder::start(fixture.server.transport.local_addr());
    let _permits = fixture.occupy();
    let waiting = fixture.send(forwarder.address, large());
    forwarder.set_policies(PacketPolicy::Discard, PacketPolicy::Discard);
    waiting.abort();
    wait_for(|| fixture.egress.backlog() == OCCUPIED);
    assert!(forwarder.flows() > 1);
}

/// Guards against fetched answers that pass by the queue, and against the first copy that keeps its
/// place when the second one has arrived.
#[test]
fn an_answer_that_is_fetched_waits_too() {
    let fixture = Fixture::new();
    let forwarder = Forwarder::start(fixture.server.transport.local_addr());
    let permits = fixture.occupy();
    let waiting = fixture.send(forwarder.address, large());
    let once = fixture.egress.backlog();
    forwarder.set_policies(PacketPolicy::Discard, PacketPolicy::Discard);
    wait_for(|| fixture.egress.backlog() > once);
    assert!(!waiting.is_finished());
    drop(permits);
    assert!(fixture.outcome(waiting).body == body(), "the whole answer");
    wait_for(|| fixture.egress.backlog() == 0);
    assert_eq!(fixture.server.runs(), 1);
}

/// Guards against a stop that cuts off an answer which waits for the link.
#[test]
fn a_stop_waits_for_an_answer_that_waits() {
    let fixture = Fixture::new();
    let to = fixture.server.transport.local_addr();
    let permits = fixture.occupy();
    let waiting = fixture.send(to, large());
    assert_eq!(fixture.server.transport.refuse_requests(), 1);
    let server = fixture.server.transport.clone();
    let stop = std::thread::spawn(move || server.stop_within(WAIT_TIMEOUT));
    std::thread::sleep(Duration::from_millis(50));
    assert!(!stop.is_finished());
    drop(permits);
    assert!(fixture.outcome(waiting).body == body(), "the whole answer");
    assert_eq!(stop.join().unwrap(), 0);
}
