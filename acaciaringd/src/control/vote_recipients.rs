//! Members that act on the expiry of another member's lease.

use std::collections::BTreeSet;

use acaciaring_core::MemberId;
use acaciaring_core::state::{Assignment, State};

/// Returns the lessors of a member and the next owners and standbys of its units, ordered by id.
pub(crate) fn vote_recipients(state: &State, member: MemberId) -> Vec<MemberId> {
    let mut found: BTreeSet<MemberId> = BTreeSet::new();
    found.extend(state.member(member).into_iter().flat_map(|member| &member.lessors));
    for service in state.services() {
        for (_, assignment) in service.units() {
            found.extend(next_servers(assignment, member));
        }
    }
    found.remove(&member);
    found.into_iter().collect()
}

fn next_servers(assignment: &Assignment, member: MemberId) -> impl Iterator<Item = MemberId> {
    let holds =
        [assignment.owner, assignment.prior, assignment.prior_standby].contains(&Some(member));
    let both = [assignment.owner, assignment.standby];
    both.into_iter().flatten().filter(move |_| holds)
}
