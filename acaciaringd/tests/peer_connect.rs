//! Reuse of peer connections when handshakes or answers are slow.

mod peer_support;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use acaciaring_schema::peer::{Datagram, Request};
use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{
    Authority, Forwarder, Node, PacketPolicy, WAIT_TIMEOUT, echo, request, wait_for,
};

/// Guards against handshakes that are abandoned at the connect timeout of one request: a pending
/// handshake must go on for later requests instead of being started anew.
#[test]
fn a_slow_handshake_serves_the_requests_that_come_later() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let connect = Duration::from_millis(200);
    let client = Node::echo(PeerSettings { connect, ..authority.settings() });
    let forwarder = Forwarder::with_hold(server.transport.local_addr(), connect * 2);
    let send = || client.transport.blocking_request(forwarder.address, request("a"), WAIT_TIMEOUT);
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

/// Guards against a second connection between two members because the one that the peer opened has
/// been idle for a few seconds.
#[test]
fn a_connection_that_the_peer_opened_a_while_ago_is_used() {
    let authority = Authority::new();
    let (one, other) = (Node::echo(authority.settings()), Node::echo(authority.settings()));
    let answer = RequestOutcome::Answer(echo(request("a")));
    for (from, to) in [(&one, &other), (&other, &one)] {
        let to = to.transport.local_addr();
        assert_eq!(from.transport.blocking_request(to, request("a"), WAIT_TIMEOUT), answer);
        thread::sleep(Duration::from_secs(3));
    }
    assert_eq!(one.transport.traffic().connections, 1);
}

/// Guards against a peer that counts as unreachable until a replacement connection is up, although
/// the suspect connection has received from it again.
#[test]
fn a_connection_on_which_the_peer_is_heard_again_is_used_before_another_is_there() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let connect = Duration::from_millis(200);
    let client = Node::echo(PeerSettings { connect, ..authority.settings() });
    let forwarder = Forwarder::with_hold(server.transport.local_addr(), connect);
    let once = || Request { once: true, ..request("a") };
    let send = || client.transport.blocking_request(forwarder.address, once(), WAIT_TIMEOUT);
    wait_for(|| matches!(send(), RequestOutcome::Answer(_)));
    client.transport.send(forwarder.address, &Datagram::default(), false);
    let (back, _) = server.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap();
    thread::sleep(Duration::from_millis(400));
    forwarder.set_hold(connect * 10);
    forwarder.set_policies(PacketPolicy::Discard, PacketPolicy::Discard);
    assert_eq!(send(), RequestOutcome::NotDelivered);
    forwarder.set_policies(PacketPolicy::Forward, PacketPolicy::Forward);
    server.transport.send(back, &Datagram::default(), false);
    client.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(send(), RequestOutcome::Answer(echo(request("a"))));
}

/// Guards against a handshake per lease renewal: a connection that was just replaced is not
/// replaced again.
#[test]
fn a_datagram_does_not_replace_what_has_just_been_replaced() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let from: BTreeSet<_> = (0..6)
        .map(|_| {
            client.transport.send(to, &Datagram::default(), true);
            server.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap().0
        })
        .collect();
    assert!(from.len() <= 2, "{} connections", from.len());
}
