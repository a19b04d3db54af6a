//! Which members act on the end of a member's lease.

use std::collections::BTreeSet;

use acaciaring_core::MemberId;
use acaciaring_core::state::{Assignment, State};

/// Returns, in order, the lessors of a member and all that wait for its units.
pub(crate) fn concerned(state: &State, member: MemberId) -> Vec<MemberId> {
    let mut found: BTreeSet<MemberId> = BTreeSet::new();
    found.extend(state.member(member).into_iter().flat_map(|member| &member.lessors));
    for service in state.services() {
        for (_, assignment) in service.units() {
            found.extend(waiting(assignment, member));
        }
    }
    found.remove(&member);
    found.into_iter().collect()
}

fn waiting(assignment: &Assignment, member: MemberId) -> impl Iterator<Item = MemberId> {
    let holds =
        [assignment.owner, assignment.prior, assignment.prior_standby].contains(&Some(member));
    let both = [assignment.owner, assignment.standby];
    both.into_iter().flatten().filter(move |_| holds)
}
