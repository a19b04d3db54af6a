//! Members that hear each other late, for the way is long or a process is late itself.

mod peer_support;

use std::thread;
use std::time::Duration;

use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{Authority, Forwarder, Node, WAIT_TIMEOUT, echo, request, wait_for};

/// Delay in each direction; there and back takes well above the time for an acknowledgement.
const LONG_DELAY: Duration = Duration::from_millis(60);

/// The same so short that it matters to nobody, and yet nothing is back before the test has gone on.
const SHORT_DELAY: Duration = Duration::from_millis(10);

/// Time for which a process does nothing, and rounds of it.
const STALL_DURATION: Duration = Duration::from_millis(150);
const ROUNDS: usize = 10;

/// Pause after which a connection is tested before it is used.
const IDLE_DURATION: Duration = Duration::from_millis(400);

/// Two members with a forwarder between them.
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
            if request.body == b"slow" {
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

/// Two members are 120 ms apart, by the length of the way or by the processor that one of them lacks. Each request
/// was without acknowledgement after 60 ms, so its connection was given up for a new one, which was no
/// faster: in a saturated fleet 22,424 connections in 30 s. A request must cost no connection.
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

/// A process gets no processor for a moment while an answer comes to it. When it goes on its timers are over
/// and the answer lies unread in its socket: it must read before it calls the other end silent.
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
