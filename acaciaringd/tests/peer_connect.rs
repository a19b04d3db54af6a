//! Connections to members that are short of processor.

mod peer_support;

use std::thread;
use std::time::Duration;

use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{Authority, Forwarder, Node, PATIENCE, echo, request};

/// A member had a tenth of a core and all of it was in use, so a handshake with it took longer than
/// the 200 ms for which a request waits. Each handshake was given up then and the next request began
/// another one: 2,508 of them ended half way within seven seconds, each at the cost of one to two
/// milliseconds of processor at both ends, and the requests were told that the member cannot be
/// reached. The handshake that is under way must go on for those that come later.
#[test]
fn a_slow_handshake_serves_the_requests_that_come_later() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let connect = Duration::from_millis(200);
    let client = Node::echo(PeerSettings { connect, ..authority.settings() });
    let forwarder = Forwarder::slow(server.transport.local_addr(), connect * 2);
    let send = || client.transport.blocking_request(forwarder.address, request("a"), PATIENCE);
    let outcomes: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = (0..24_u32)
            .map(|caller| {
                scope.spawn(move || {
                    thread::sleep(connect / 4 * caller);
                    send()
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let answer = RequestOutcome::Answer(echo(request("a")));
    let answered = outcomes.iter().filter(|outcome| **outcome == answer).count();
    assert!(answered >= 12, "{answered} of 24 were answered");
    assert!(forwarder.flows() <= 2, "{} handshakes", forwarder.flows());
}
