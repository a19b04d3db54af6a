//! Requests that arrive late because the network or the receiver delayed them.

mod peer_support;

use std::thread;
use std::time::Duration;

use acaciaring_schema::peer::{Reason, Verdict};
use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{
    Authority, Forwarder, Node, PacketPolicy, WAIT_TIMEOUT, echo, request, wait_for,
};

/// Delay of a request, well above the delay from which the receiver asks its sender first.
const HOLD_DURATION: Duration = Duration::from_millis(600);

/// Client and server with a forwarder between them; the client does not probe silent connections.
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
        let settings = PeerSettings { ack_timeout: WAIT_TIMEOUT, ..authority.settings() };
        let client = Node::echo(settings);
        let forwarder = Forwarder::start(server.transport.local_addr());
        let fixture = Self { client, server, forwarder, _authority: authority };
        // The receiver takes the fastest message as the baseline of its delay estimate.
        for _ in 0..3 {
            assert!(matches!(fixture.request("warm"), RequestOutcome::Answer(_)));
        }
        fixture
    }

    fn request(&self, body: &str) -> RequestOutcome {
        self.client.transport.blocking_request(self.forwarder.address, request(body), WAIT_TIMEOUT)
    }

    /// Holds the packets of a request for [`HOLD_DURATION`], then calls `then` to release them.
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

/// Guards against a late request that runs though its caller may be gone: if the sender does not
/// confirm that it still waits, the request is refused as not run.
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

/// Guards against the refusal of a late request whose sender confirms that its caller still waits.
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
