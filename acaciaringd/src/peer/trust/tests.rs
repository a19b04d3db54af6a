//! Tests of trust in self-signed certificates.

use std::time::Duration;

use crate::peer::tests::support::{Node, WAIT_TIMEOUT, echo, request};
use crate::peer::{PeerSettings, RequestOutcome};

/// Guards against connections, in either direction, with a process that is not listed in the log.
#[test]
fn only_certificates_that_the_log_names_are_accepted() {
    let (one, other) = (Node::echo(PeerSettings::default()), Node::echo(PeerSettings::default()));
    let to = other.transport.local_addr();
    let ask = || one.transport.blocking_request(to, request("a"), Duration::from_secs(2));
    assert_eq!(ask(), RequestOutcome::NotDelivered, "neither knows the other");
    one.transport.trust([other.transport.fingerprint()].into_iter());
    assert_eq!(ask(), RequestOutcome::NotDelivered, "the other does not know this one");
    other.transport.trust([one.transport.fingerprint()].into_iter());
    let outcome = one.transport.blocking_request(to, request("a"), WAIT_TIMEOUT);
    assert_eq!(outcome, RequestOutcome::Answer(echo(request("a"))));
    assert_eq!(other.runs(), 1);
    assert_ne!(one.transport.fingerprint(), other.transport.fingerprint());
}
