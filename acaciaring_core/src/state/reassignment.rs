//! Reassignment of roles when a member attaches, detaches, leaves, dies or is replaced.

use super::standby::Picker;
use super::{Assignment, Service, State};
use crate::id::{MemberId, Offset};

/// How a member stops being a candidate for roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Departure {
    /// Stops being a standby; it owns no units.
    Detaches,
    /// Serves its units until it releases them to their new owners.
    Leaves,
    /// Serves nothing any more.
    Dies,
}

impl State {
    /// Reassigns the roles of a member that is no longer a candidate for them.
    pub(super) fn reassign_roles(
        &mut self,
        offset: Offset,
        departed: MemberId,
        departure: Departure,
    ) {
        for service in self.services.values_mut() {
            let mut picker = Picker::new(&mut self.counts, &self.members, &service.workspace);
            let is_affected = |current: &Assignment| {
                [current.owner, current.standby, current.prior, current.prior_standby]
                    .contains(&Some(departed))
            };
            let blocks = blocks(service, picker.members());
            for (current, block) in assignments(service).zip(blocks).filter(|(p, _)| is_affected(p))
            {
                let Some(mut next) = without_member(current, departed, departure) else { continue };
                next.version = offset;
                if next.owner != current.owner {
                    next.token = offset;
                }
                // Excludes the old roles from the counts by which the new standby is picked.
                picker.remove(current);
                next.standby = next.standby.or_else(|| picker.pick_for_block(next.owner?, block));
                picker.add(&next);
                *current = next;
            }
        }
    }

    /// Transfers all roles of a former member to the later one that replaces it.
    ///
    /// Units that it owned get a new token: the standby may have taken over under a higher token
    /// than the former member's before it reads this record. The new owner waits for its release.
    pub(super) fn transfer_roles(&mut self, offset: Offset, former: MemberId, later: MemberId) {
        for service in self.services.values_mut() {
            for current in assignments(service) {
                let Assignment { owner, standby, prior, prior_standby, token, .. } = *current;
                if ![owner, standby, prior, prior_standby].contains(&Some(former)) {
                    continue;
                }
                let swap = |id: Option<MemberId>| if id == Some(former) { Some(later) } else { id };
                let owned = owner == Some(former);
                let next = Assignment {
                    owner: swap(owner),
                    standby: swap(standby),
                    prior: swap(prior),
                    prior_standby: if owned {
                        standby.or(prior_standby)
                    } else {
                        swap(prior_standby)
                    },
                    version: offset,
                    token: if owned { offset } else { token },
                };
                self.counts.remove(current);
                self.counts.add(&next);
                *current = next;
            }
        }
    }

    /// Makes a newly attached member the standby of each unit that has an owner but no standby.
    pub(super) fn fill_standbys(&mut self, offset: Offset, newcomer: MemberId, workspace: &str) {
        let Some(service) = self.services.get_mut(workspace) else { return };
        for current in assignments(service) {
            let needed = current.standby.is_none() && current.owner.is_some_and(|o| o != newcomer);
            if needed {
                let next = Assignment { standby: Some(newcomer), version: offset, ..*current };
                self.counts.remove(current);
                self.counts.add(&next);
                *current = next;
            }
        }
    }
}

/// Returns all assignments of a service, slots first.
pub(super) fn assignments(service: &mut Service) -> impl Iterator<Item = &mut Assignment> {
    let hot = service.hot.values_mut().map(|hot| &mut hot.assignment);
    service.slots.iter_mut().chain(hot)
}

/// Returns the block of each assignment in the order of [`assignments`].
///
/// It is `None` for hot keys and for slots that are assigned individually.
pub(super) fn blocks(service: &Service, members: usize) -> Vec<Option<u32>> {
    let slots = (0..).zip(&service.slots);
    let block = |slot| service.numeric.then(|| service.block(slot, members));
    let slots = slots.map(|(slot, _)| block(slot));
    slots.chain(service.hot.iter().map(|_| None)).collect()
}

/// Returns the assignment without the departed member, or `None` if nothing changes.
///
/// The caller picks a missing standby and sets version and token.
fn without_member(
    current: &Assignment,
    departed: MemberId,
    departure: Departure,
) -> Option<Assignment> {
    let departed = Some(departed);
    let Assignment { owner, standby, prior, prior_standby, .. } = *current;
    let dies = departure == Departure::Dies;
    let prior = if dies && prior == departed { None } else { prior };
    let prior_standby = if dies && prior_standby == departed { None } else { prior_standby };
    if owner == departed && (dies || standby.is_some()) {
        // A former owner that becomes the owner again need not wait for itself.
        let prior = if dies { prior.filter(|prior| Some(*prior) != standby) } else { departed };
        let prior_standby = prior_standby.filter(|prior_standby| Some(*prior_standby) != standby);
        return Some(Assignment {
            owner: standby,
            standby: None,
            prior,
            prior_standby,
            ..*current
        });
    }
    if standby == departed {
        return Some(Assignment { standby: None, prior, prior_standby, ..*current });
    }
    let changed = prior != current.prior || prior_standby != current.prior_standby;
    changed.then_some(Assignment { prior, prior_standby, ..*current })
}
