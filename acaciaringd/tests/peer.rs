//! Peer transport on a network without faults.

mod peer_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use acaciaring_schema::peer::{
    Datagram, Reason, Renew, StatusQuery, Verdict, call, datagram, reply,
};
use acaciaringd::peer::{self, CallError, PeerError, PeerSettings, RequestOutcome, Transport};
use crossbeam_channel::bounded;

use crate::peer_support::{Authority, Node, WAIT_TIMEOUT, echo, request, wait_for};

fn body(outcome: RequestOutcome) -> Vec<u8> {
    match outcome {
        RequestOutcome::Answer(answer) => answer.body,
        other => panic!("no answer: {other:?}"),
    }
}

fn renew(seq: u64) -> Datagram {
    Datagram { body: Some(datagram::Body::Renew(Renew { seq, ..Renew::default() })) }
}

#[test]
fn requests_and_calls_are_answered_in_both_directions() {
    let authority = Authority::new();
    let nodes = [Node::echo(authority.settings()), Node::echo(authority.settings())];
    for (one, other) in [(&nodes[0], &nodes[1]), (&nodes[1], &nodes[0])] {
        let to = other.transport.local_addr();
        assert_eq!(
            body(one.transport.blocking_request(to, request("flour"), WAIT_TIMEOUT)),
            b"flour"
        );
        let call = call::Body::Status(StatusQuery {});
        let reply = one.transport.blocking_call(to, call, WAIT_TIMEOUT).unwrap();
        assert!(matches!(reply, reply::Body::Done(_)));
    }
    let traffic = nodes[0].transport.traffic();
    assert_eq!(traffic.connections, 1, "both directions share a connection that is in use");
    assert!(traffic.sent > 0 && traffic.received > 0);
}

#[test]
fn each_of_many_parallel_requests_gets_its_own_answer() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    thread::scope(|scope| {
        for caller in 0..32 {
            let transport = client.transport.clone();
            scope.spawn(move || {
                for turn in 0..50_u32 {
                    let size = (caller * 97 + turn * 13) % 5000;
                    let sent = format!("{caller} {turn} {}", "x".repeat(size as usize));
                    let outcome =
                        transport.blocking_request(to, request(sent.clone()), WAIT_TIMEOUT);
                    assert_eq!(body(outcome), sent.as_bytes());
                }
            });
        }
    });
    assert_eq!(server.runs(), 32 * 50);
}

#[test]
fn large_bodies_pass_whole_and_larger_ones_not_at_all() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let sample: Vec<u8> = (0..4_000_000_u32).map(|byte| byte.to_le_bytes()[0]).collect();
    assert_eq!(
        body(client.transport.blocking_request(to, request(sample.clone()), WAIT_TIMEOUT)),
        sample
    );
    let outcome = client.transport.blocking_request(to, request(vec![0; 5 << 20]), WAIT_TIMEOUT);
    assert_eq!(outcome, RequestOutcome::NotDelivered);
    assert_eq!(server.runs(), 1);
}

#[test]
fn datagrams_pass_and_replies_go_back() {
    let authority = Authority::new();
    let lessor = Node::echo(authority.settings());
    let holder = Node::echo(authority.settings());
    holder.transport.send(lessor.transport.local_addr(), &renew(1), false);
    let (from, datagram) = lessor.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(datagram, renew(1));
    assert_eq!(from, holder.transport.local_addr());
    lessor.transport.send(from, &renew(2), false);
    assert_eq!(holder.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap().1, renew(2));
    assert_eq!(lessor.transport.traffic().connections, 1);
    holder.transport.send(lessor.transport.local_addr(), &renew(3), true);
    let (from, datagram) = lessor.datagrams.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(datagram, renew(3));
    assert_ne!(from, holder.transport.local_addr(), "a replacement starts from a new port");
}

/// Guards against members that exchange messages with a process whose certificate another authority
/// issued: requests in either direction are not delivered.
#[test]
fn peer_of_another_authority_is_refused() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    let member = Node::echo(ours.settings());
    let stranger = Node::echo(theirs.settings());
    // This peer trusts our authority, so only the member's check can refuse it.
    let settings = PeerSettings { authority: ours.settings().authority, ..theirs.settings() };
    let one_sided = Node::echo(settings);
    let to = member.transport.local_addr();
    for stranger in [&stranger, &one_sided] {
        let outcome = stranger.transport.blocking_request(to, request("x"), WAIT_TIMEOUT);
        assert_eq!(outcome, RequestOutcome::NotDelivered);
        let call = call::Body::Status(StatusQuery {});
        let error = stranger.transport.blocking_call(to, call, WAIT_TIMEOUT).unwrap_err();
        assert!(matches!(error, CallError::Unreachable { .. }));
        assert!(!error.may_have_run());
    }
    let to = stranger.transport.local_addr();
    let outcome = member.transport.blocking_request(to, request("x"), WAIT_TIMEOUT);
    assert_eq!(outcome, RequestOutcome::NotDelivered);
    assert_eq!(member.runs() + stranger.runs(), 0);
}

#[test]
fn bad_settings_are_named() {
    let authority = Authority::new();
    let node = Node::echo(authority.settings());
    let missing = PeerSettings { key: "/nonexistent/key.pem".into(), ..authority.settings() };
    let error = Transport::start(missing, node.handler.clone()).err().unwrap();
    assert!(error.to_string().contains("/nonexistent/key.pem"));
    let taken = PeerSettings { address: node.transport.local_addr(), ..authority.settings() };
    let error = Transport::start(taken, node.handler.clone()).err().unwrap();
    assert!(matches!(error, PeerError::Bind { .. }));
    let settings = authority.settings();
    let empty = PeerSettings { certificate: settings.key.clone(), ..settings };
    let error = Transport::start(empty, node.handler.clone()).err().unwrap();
    assert!(matches!(error, PeerError::NoCertificate { .. }));
}

/// Guards against a cancellation that does not reach the handler of a request whose caller is gone.
#[test]
fn cancelled_request_is_told() {
    let authority = Authority::new();
    let (started, start) = bounded(1);
    let (told, tell) = bounded(1);
    let server = Node::start(authority.settings(), move |request, cancelled| {
        let told = told.clone();
        cancelled.on_cancel(move || told.send(()).unwrap());
        started.send(()).unwrap();
        tell.recv_timeout(WAIT_TIMEOUT).unwrap();
        assert!(cancelled.is_set());
        echo(request)
    });
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let permit = request("permit");
    let attempt = permit.attempt;
    thread::scope(|scope| {
        let waiting = scope.spawn(|| client.transport.blocking_request(to, permit, WAIT_TIMEOUT));
        start.recv_timeout(WAIT_TIMEOUT).unwrap();
        client.transport.cancel(to, attempt);
        assert_eq!(body(waiting.join().unwrap()), b"permit");
    });
}

/// Guards against an expired request whose caller is not told that it may have run, whose handler
/// is not cancelled, or that still runs after waiting for a worker.
#[test]
fn request_whose_time_runs_out_is_lost_and_cancelled() {
    let authority = Authority::new();
    let settings = PeerSettings { workers: 1, ..authority.settings() };
    let server = Node::start(settings, |request, cancelled| {
        if request.body != b"c"[..] {
            wait_for(|| cancelled.is_set());
        }
        echo(request)
    });
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let left = Duration::from_millis(400);
    thread::scope(|scope| {
        let running =
            scope.spawn(|| client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT / 20));
        wait_for(|| server.runs() == 1);
        let queued = client.transport.blocking_request(to, request("b"), left);
        assert_eq!(queued, RequestOutcome::Lost);
        assert_eq!(running.join().unwrap(), RequestOutcome::Lost);
    });
    assert_eq!(body(client.transport.blocking_request(to, request("c"), WAIT_TIMEOUT)), b"c");
    assert_eq!(server.runs(), 2, "the queued request did not run before the third");
}

/// Guards against a panic in a handler that leaves the caller without an answer or ends the worker.
#[test]
fn handler_that_panics_answers_unknown() {
    let authority = Authority::new();
    let settings = PeerSettings { workers: 1, ..authority.settings() };
    let server = Node::start(settings, |request, _| {
        assert_ne!(request.body, b"bad"[..], "provoked by the test");
        echo(request)
    });
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let RequestOutcome::Answer(answer) =
        client.transport.blocking_request(to, request("bad"), WAIT_TIMEOUT)
    else {
        panic!("no answer");
    };
    assert_eq!(answer.verdict(), Verdict::Unknown);
    assert_eq!(answer.reason(), Reason::LostAnswer);
    assert_eq!(body(client.transport.blocking_request(to, request("good"), WAIT_TIMEOUT)), b"good");
}

/// Guards against peers that notice a stopped transport only at the idle timeout, and against sends
/// after the stop.
#[test]
fn stopped_transport_is_gone_at_once() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    assert_eq!(body(client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT)), b"a");
    server.transport.stop();
    wait_for(|| client.transport.traffic().connections == 0);
    let outcome = client.transport.blocking_request(to, request("b"), WAIT_TIMEOUT);
    assert_eq!(outcome, RequestOutcome::NotDelivered);
    client.transport.stop();
    let outcome = client.transport.blocking_request(to, request("c"), WAIT_TIMEOUT);
    assert_eq!(outcome, RequestOutcome::NotDelivered);
    assert_eq!(Arc::strong_count(&client.handler), 2, "the transport lives until it is dropped");
}

/// Guards against a stop that closes a connection while an answer of a finished request is still
/// being sent.
#[test]
fn a_stop_delivers_the_answers_that_are_due() {
    let authority = Authority::new();
    let (started, start) = bounded(1);
    let (go, wait) = bounded::<()>(1);
    let server = Node::start(authority.settings(), move |request, _| {
        started.send(()).unwrap();
        wait.recv_timeout(WAIT_TIMEOUT).unwrap();
        echo(request)
    });
    let client = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let sent = vec![b'x'; 3 << 20];
    thread::scope(|scope| {
        let waiting = scope
            .spawn(|| client.transport.blocking_request(to, request(sent.clone()), WAIT_TIMEOUT));
        start.recv_timeout(WAIT_TIMEOUT).unwrap();
        go.send(()).unwrap();
        server.transport.stop();
        assert!(body(waiting.join().unwrap()) == sent, "the whole answer");
    });
}

/// Guards against requests with an unknown outcome during a stop: each is answered or refused as
/// not run.
#[test]
fn requests_that_meet_a_stop_are_answered_or_have_not_run() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let to = server.transport.local_addr();
    let clients = [Node::echo(authority.settings()), Node::echo(authority.settings())];
    let answered = AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in clients.iter().cycle().take(16) {
            let answered = &answered;
            scope.spawn(move || {
                loop {
                    match client.transport.blocking_request(to, request("a"), WAIT_TIMEOUT) {
                        RequestOutcome::Answer(_) => answered.fetch_add(1, Ordering::SeqCst),
                        RequestOutcome::NotDelivered => return,
                        RequestOutcome::Lost => panic!("a request with an unknown outcome"),
                    };
                }
            });
        }
        wait_for(|| answered.load(Ordering::SeqCst) > 200);
        server.transport.stop();
    });
    assert_eq!(server.runs(), answered.load(Ordering::SeqCst));
}
