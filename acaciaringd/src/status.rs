//! Status of this member, as reported to other members and operators.

use acaciaring_schema::peer::StatusReply;

use crate::clock;
use crate::gate::Gate;
use crate::view::Shared;

/// Returns the status of this member.
pub(crate) fn reply(shared: &Shared, gate: &Gate) -> StatusReply {
    let view = shared.view();
    let (busy, capacity) = gate.load();
    let member = view.me.and_then(|me| view.state.member(me));
    let owned = view.me.map_or(0, |me| view.state.owned_count(me));
    StatusReply {
        member: view.me.map_or(0, |me| me.0),
        vm: member.map_or_else(String::new, |member| member.vm.to_string()),
        applied: view.state.next(),
        leased: clock::now() < shared.lease.get(),
        busy,
        capacity,
        owned: u32::try_from(owned).unwrap_or(u32::MAX),
        rate: gate.rate(),
    }
}
