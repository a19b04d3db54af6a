//! Planned stops of members that own keys.

mod common;

use std::time::Duration;

use common::start_contracts_with_settings;

/// Bound on the stop, far below the member's own bound on its drain.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);

// An operator restarts a VM by night, and each restart lasts for the whole drain bound although
// nothing runs there: the units go to other members, each of which serves some of them next and
// stands by for others. Its acknowledgement of both together was taken for none, so the units
// counted as not released, were released again and again, and the member never left.
#[test]
fn idle_member_ends_as_soon_as_its_units_are_released() {
    let mut cluster = start_contracts_with_settings(4, "[limits]\ndrain = 5min\n");
    let member = &mut cluster.vms[1].process;
    member.term();
    let status = member.wait(EXIT_TIMEOUT).expect("the member ends before its drain bound");
    assert!(status.success(), "{status}");
}
