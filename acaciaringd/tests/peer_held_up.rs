//! Requests that were held up on their way.

mod peer_support;

use std::thread;
use std::time::Duration;

use acaciaring_schema::peer::{Reason, Verdict};
use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{
    Authority, Forwarder, Node, PacketPolicy, WAIT_TIMEOUT, echo, request, wait_for,
};

/// Time for which a request is held up, well above the bound from which it is doubtful.
const HOLD_DURATION: Duration = Duration::from_millis(600);

/// Two members with a forwarder between them; the sender itself does not look for silence.
struct Fixture {
    client: Node,
    server: Node,
    forwarder: Forwarder,
    _authority: Authority,
}

impl Fixture {
    fn new() -> Self {
        let authority = Authority::new();
        let server = Node::echo(authority.settings());
        let patient = PeerSettings { ack_timeout: WAIT_TIMEOUT, ..authority.settings() };
        let client = Node::echo(patient);
        let forwarder = Forwarder::start(server.transport.local_addr());
        let fixture = Self { client, server, forwarder, _authority: authority };
        // The fastest message is what others are compared with.
        for _ in 0..3 {
            assert!(matches!(fixture.request("warm"), RequestOutcome::Answer(_)));
        }
        fixture
    }

    fn request(&self, body: &str) -> RequestOutcome {
        self.client.transport.blocking_request(self.forwarder.address, request(body), WAIT_TIMEOUT)
    }

    /// Holds a request up, lets it go as `then` says, and returns what came of it.
    fn request_held(&self, then: impl FnOnce()) -> RequestOutcome {
        self.forwarder.set_policies(PacketPolicy::Hold, PacketPolicy::Forward);
        thread::scope(|scope| {
            let outcome = scope.spawn(|| self.request("a"));
            thread::sleep(HOLD_DURATION);
            then();
            outcome.join().expect("an outcome")
        })
    }
}

/// A process without processor time reads a clerk's request long after it came. Whether the clerk
/// still waits would stand in a packet behind it, which is not read yet. The request must not run
/// for nobody: it is refused as not run, and another member can take it.
#[test]
fn a_request_whose_sender_cannot_be_asked_does_not_run() {
    let fixture = Fixture::new();
    let before = fixture.server.runs();
    let outcome = fixture.request_held(|| fixture.forwarder.release());
    let RequestOutcome::Answer(answer) = outcome else { panic!("{outcome:?}") };
    assert_eq!(answer.verdict(), Verdict::NotRun);
    assert_eq!(answer.reason(), Reason::Busy);
    assert_eq!(fixture.server.runs(), before);
}

/// A link loses packets, and a request comes late by their repetition. Its caller still waits and
/// its sender says so: it runs.
#[test]
fn a_request_whose_sender_still_waits_runs() {
    let fixture = Fixture::new();
    let outcome = fixture.request_held(|| {
        fixture.forwarder.set_policies(PacketPolicy::Forward, PacketPolicy::Forward);
        fixture.forwarder.release();
    });
    assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
    wait_for(|| fixture.server.runs() == 4);
}
