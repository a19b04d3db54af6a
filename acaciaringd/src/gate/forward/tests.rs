//! Tests of the lease check before a request is sent to the upstream.

use acaciaring_core::{MemberId, Reason, Time, Token, UnitId};

use super::lease_end;
use crate::gate::Grant;
use crate::view::{Shared, View};

const FORMER: MemberId = MemberId(3);
const LATER: MemberId = MemberId(9);

fn publish(shared: &Shared, me: MemberId, end: Time) {
    shared.publish(View { me: Some(me), ..View::default() });
    shared.lease.set(end);
}

// Guards against a queued request that runs after its process was evicted and has rejoined: the new
// owner of the key may have run a retry of it.
#[test]
fn a_right_ends_with_the_identity_that_had_it() {
    let shared = Shared::default();
    let grant = Grant { member: FORMER, unit: UnitId::slot(1), token: Token(6), version: 3 };
    let (now, end) = (Time::from_millis(5000), Time::from_millis(6000));
    publish(&shared, FORMER, end);
    assert_eq!(lease_end(&shared, now, grant), Ok(end));
    publish(&shared, LATER, end);
    let refusal = lease_end(&shared, now, grant).expect_err("the identity has ended");
    assert_eq!(refusal.reason, Reason::NoLease);
}

#[test]
fn a_right_ends_shortly_before_the_lease() {
    let shared = Shared::default();
    let grant = Grant { member: FORMER, unit: UnitId::slot(1), token: Token(6), version: 3 };
    let end = Time::from_millis(6000);
    publish(&shared, FORMER, end);
    assert!(lease_end(&shared, Time::from_millis(5990), grant).is_err());
}
