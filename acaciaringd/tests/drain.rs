//! Planned stops of members that own keys, with real processes.

mod common;

use std::time::Duration;

use common::start_contracts_with_settings;

/// Upper bound on the stop, far below the drain timeout of the member.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);

// Guards against a drain that lasts until its timeout because the acknowledgement of a member that
// becomes owner of some units and standby of others is not counted.
#[test]
fn idle_member_ends_as_soon_as_its_units_are_released() {
    let mut cluster = start_contracts_with_settings(4, "[limits]\ndrain = 5min\n");
    let member = &mut cluster.vms[1].process;
    member.term();
    let status = member.wait(EXIT_TIMEOUT).expect("the member ends before its drain bound");
    assert!(status.success(), "{status}");
}
