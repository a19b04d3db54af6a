//! Peer connections with high latency or a process that is scheduled late.

mod peer_support;

use std::thread;
use std::time::Duration;

use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{Authority, Forwarder, Node, WAIT_TIMEOUT, echo, request, wait_for};

/// One-way delay whose round trip is well above the acknowledgement timeout.
const LONG_DELAY: Duration = Duration::from_millis(60);

/// One-way delay well below the acknowledgement timeout, but long enough that the test stalls the
/// client before an answer arrives.
const SHORT_DELAY: Duration = Duration::from_millis(10);

/// Time for which the client is stalled in each round.
const STALL_DURATION: Duration = Duration::from_millis(150);
const ROUNDS: usize = 10;

/// Idle time after which a connection is probed before it is used.
const IDLE_DURATION: Duration = Duration::from_millis(400);

/// Client and server with a forwarder between them.
struct Fixture {
    client: Node,
    server: Node,
    forwarder: Forwarder,
    _authority: Authority,
}

impl Fixture {
    fn new(settings: &PeerSettings, delay: Duration) -> Self {
        let authority = Authority::new();
        let server = Node::start(authority.settings(), |request, _| {
            if request.body == b"slow"[..] {
                thread::sleep(STALL_DURATION / 3);
            }
            echo(request)
        });
        let client = Node::echo(PeerSettings {
            threads: settings.threads,
            connect: settings.connect,
            ..authority.settings()
        });
        let forwarder = Forwarder::start(server.transport.local_addr());
        forwarder.set_delay(delay);
        let fixture = Self { client, server, forwarder, _authority: authority };
        assert_eq!(fixture.request("warm"), answer("warm"));
        fixture
    }

    fn request(&self, body: &str) -> RequestOutcome {
        self.client.transport.blocking_request(self.forwarder.address, request(body), WAIT_TIMEOUT)
    }
}

fn answer(body: &str) -> RequestOutcome {
    RequestOutcome::Answer(echo(request(body)))
}

/// Guards against a new connection per request when the round trip exceeds the acknowledgement
/// timeout.
#[test]
fn a_member_that_answers_late_is_not_taken_for_a_silent_one() {
    let settings = PeerSettings { connect: WAIT_TIMEOUT, ..PeerSettings::default() };
    let fixture = Fixture::new(&settings, LONG_DELAY);
    for round in 0..ROUNDS {
        assert_eq!(fixture.request("a"), answer("a"), "round {round}");
    }
    thread::sleep(IDLE_DURATION);
    assert_eq!(fixture.request("a"), answer("a"), "after a rest");
    assert_eq!(fixture.forwarder.flows(), 1, "connections");
    assert_eq!(fixture.server.runs(), ROUNDS + 2);
}

/// Guards against a stalled process that closes a connection on expired timers before it reads the
/// answer that is already in its socket.
#[test]
fn a_process_that_was_late_itself_does_not_call_others_silent() {
    let fixture =
        Fixture::new(&PeerSettings { threads: 1, ..PeerSettings::default() }, SHORT_DELAY);
    for round in 0..ROUNDS {
        thread::scope(|scope| {
            let runs = fixture.server.runs();
            let waiting = scope.spawn(|| fixture.request("slow"));
            wait_for(|| fixture.server.runs() > runs);
            fixture.client.transport.runtime().spawn(async { thread::sleep(STALL_DURATION) });
            assert_eq!(waiting.join().expect("it ends"), answer("slow"), "round {round}");
        });
    }
    assert_eq!(fixture.forwarder.flows(), 1, "connections");
}
