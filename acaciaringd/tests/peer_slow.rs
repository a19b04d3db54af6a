//! Members that hear each other late, for the way is long or a process is late itself.

mod peer_support;

use std::thread;
use std::time::Duration;

use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{Authority, Forwarder, Node, PATIENCE, echo, request, wait_for};

/// Delay in each direction; there and back takes well above the time for an acknowledgement.
const FAR: Duration = Duration::from_millis(60);

/// The same so short that it matters to nobody, and yet nothing is back before the test has gone on.
const NEAR: Duration = Duration::from_millis(10);

/// Time for which a process does nothing, and rounds of it.
const HELD: Duration = Duration::from_millis(150);
const ROUNDS: usize = 10;

/// Pause after which a connection is tested before it is used.
const REST: Duration = Duration::from_millis(400);

/// Two members with a forwarder between them.
struct Stage {
    client: Node,
    server: Node,
    forwarder: Forwarder,
    _authority: Authority,
}

impl Stage {
    fn new(settings: &PeerSettings, delay: Duration) -> Self {
        let authority = Authority::new();
        let server = Node::start(authority.settings(), |request, _| {
            if request.body == b"slow" {
                thread::sleep(HELD / 3);
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
        let stage = Self { client, server, forwarder, _authority: authority };
        assert_eq!(stage.request("warm"), answer("warm"));
        stage
    }

    fn request(&self, body: &str) -> RequestOutcome {
        self.client.transport.blocking_request(self.forwarder.address, request(body), PATIENCE)
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
    let settings = PeerSettings { connect: PATIENCE, ..PeerSettings::default() };
    let stage = Stage::new(&settings, FAR);
    for round in 0..ROUNDS {
        assert_eq!(stage.request("a"), answer("a"), "round {round}");
    }
    thread::sleep(REST);
    assert_eq!(stage.request("a"), answer("a"), "after a rest");
    assert_eq!(stage.forwarder.flows(), 1, "connections");
    assert_eq!(stage.server.runs(), ROUNDS + 2);
}

/// A process gets no processor for a moment while an answer comes to it. When it goes on its timers are over
/// and the answer lies unread in its socket: it must read before it calls the other end silent.
#[test]
fn a_process_that_was_late_itself_does_not_call_others_silent() {
    let stage = Stage::new(&PeerSettings { threads: 1, ..PeerSettings::default() }, NEAR);
    for round in 0..ROUNDS {
        thread::scope(|scope| {
            let runs = stage.server.runs();
            let waiting = scope.spawn(|| stage.request("slow"));
            wait_for(|| stage.server.runs() > runs);
            stage.client.transport.runtime().spawn(async { thread::sleep(HELD) });
            assert_eq!(waiting.join().expect("it ends"), answer("slow"), "round {round}");
        });
    }
    assert_eq!(stage.forwarder.flows(), 1, "connections");
}
