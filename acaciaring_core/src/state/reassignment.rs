//! What becomes of a member's roles when it attaches, leaves or dies.

use super::standby::Picker;
use super::{Assignment, Service, State};
use crate::id::{MemberId, Offset};

/// How a member gives up its roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Departure {
    /// It only stops to stand by; it owns nothing.
    Detaches,
    /// It serves its units until it releases them to their new owners.
    Leaves,
    /// It serves nothing any more.
    Dies,
}

impl State {
    /// Passes on the roles of a member that is no longer a candidate for them.
    pub(super) fn pass_on(&mut self, offset: Offset, lost: MemberId, departure: Departure) {
        for service in self.services.values_mut() {
            let mut picker = Picker::new(&mut self.counts, &self.members, &service.workspace);
            let touched = |place: &Assignment| {
                [place.owner, place.standby, place.prior, place.prior_standby].contains(&Some(lost))
            };
            let blocks = blocks(service, picker.members());
            for (place, block) in assignments(service).zip(blocks).filter(|(p, _)| touched(p)) {
                let Some(mut next) = successor(place, lost, departure) else { continue };
                next.version = offset;
                if next.owner != place.owner {
                    next.token = offset;
                }
                // The old roles must not count while the new standby is picked.
                picker.take(place);
                next.standby = next.standby.or_else(|| picker.pick_in(next.owner?, block));
                picker.give(&next);
                *place = next;
            }
        }
    }

    /// Gives all roles of a former member to the later one in its place.
    ///
    /// The tokens of what it owned rise: its standby may have taken over under a higher one than
    /// the former member had, before it reads this. The owner waits for the standby's release.
    pub(super) fn replace(&mut self, offset: Offset, former: MemberId, later: MemberId) {
        for service in self.services.values_mut() {
            for place in assignments(service) {
                let Assignment { owner, standby, prior, prior_standby, token, .. } = *place;
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
                self.counts.remove(place);
                self.counts.add(&next);
                *place = next;
            }
        }
    }

    /// Makes a newcomer the standby of each unit that has an owner but no standby.
    pub(super) fn fill_standbys(&mut self, offset: Offset, newcomer: MemberId, workspace: &str) {
        let Some(service) = self.services.get_mut(workspace) else { return };
        for place in assignments(service) {
            let needed = place.standby.is_none() && place.owner.is_some_and(|o| o != newcomer);
            if needed {
                let next = Assignment { standby: Some(newcomer), version: offset, ..*place };
                self.counts.remove(place);
                self.counts.add(&next);
                *place = next;
            }
        }
    }
}

/// Returns every assignment of a service, slots first.
pub(super) fn assignments(service: &mut Service) -> impl Iterator<Item = &mut Assignment> {
    let hot = service.hot.values_mut().map(|hot| &mut hot.assignment);
    service.slots.iter_mut().chain(hot)
}

/// Returns the block of each assignment in the order of [`assignments`], none where each stands alone.
pub(super) fn blocks(service: &Service, members: usize) -> Vec<Option<u32>> {
    let slots = (0..).zip(&service.slots);
    let block = |slot| service.numeric.then(|| service.block(slot, members));
    let slots = slots.map(|(slot, _)| block(slot));
    slots.chain(service.hot.iter().map(|_| None)).collect()
}

/// Returns the assignment without the lost member, or `None` when it has no part in it.
///
/// A missing standby is to be picked; version and token are to be set.
fn successor(place: &Assignment, lost: MemberId, departure: Departure) -> Option<Assignment> {
    let lost = Some(lost);
    let Assignment { owner, standby, prior, prior_standby, .. } = *place;
    let dies = departure == Departure::Dies;
    let prior = if dies && prior == lost { None } else { prior };
    let prior_standby = if dies && prior_standby == lost { None } else { prior_standby };
    if owner == lost && (dies || standby.is_some()) {
        // A former owner that becomes the owner again has nobody to wait for.
        let prior = if dies { prior.filter(|prior| Some(*prior) != standby) } else { lost };
        let prior_standby = prior_standby.filter(|prior_standby| Some(*prior_standby) != standby);
        return Some(Assignment { owner: standby, standby: None, prior, prior_standby, ..*place });
    }
    if standby == lost {
        return Some(Assignment { standby: None, prior, prior_standby, ..*place });
    }
    let changed = prior != place.prior || prior_standby != place.prior_standby;
    changed.then_some(Assignment { prior, prior_standby, ..*place })
}
