//! Tests of when slots without owner are assigned.

use std::time::Duration;

use acaciaring_core::Time;
use acaciaring_core::vacancy::Vacancy;

/// Returns when a service is assigned to which servers attach at these times, in milliseconds.
fn assigned(attached: &[u64], first: bool, heartbeat: u64) -> u64 {
    let heartbeat = Duration::from_millis(heartbeat);
    let mut vacancy = Vacancy::new(Time::from_millis(attached[0]), 1);
    for now in attached[0]..60_000 {
        let servers = attached.iter().filter(|at| **at <= now).count();
        vacancy.observe(Time::from_millis(now), servers);
        if vacancy.is_due(Time::from_millis(now), first, heartbeat) {
            return now;
        }
    }
    unreachable!("never assigned");
}

/// Guards against servers without units after a start: a third of them attached after the
/// assignment and was idle while the others refused requests.
#[test]
fn a_new_service_waits_for_servers_that_attach_one_after_the_other() {
    for heartbeat in [300, 500, 870, 2000, 3000] {
        // Servers attach over two heartbeats, eighteen of them.
        let start: Vec<u64> = (0..18).map(|number| 1000 + number * heartbeat / 9).collect();
        assert!(assigned(&start, true, heartbeat) > start[17], "{heartbeat} ms");
    }
    assert_eq!(assigned(&[1000], true, 870), 2740);
}

/// Guards against a service that is never assigned while servers come one by one.
#[test]
fn the_wait_for_further_servers_is_bounded() {
    let start: Vec<u64> = (0..100).map(|number| 1000 + number * 300).collect();
    assert_eq!(assigned(&start, true, 870), 5350);
}

/// Guards against callers that wait for keys that have lost their owners while servers come.
#[test]
fn slots_that_have_lost_their_owner_are_assigned_soon() {
    let start: Vec<u64> = (0..100).map(|number| 1000 + number * 300).collect();
    assert_eq!(assigned(&start, false, 870), 2000);
}
