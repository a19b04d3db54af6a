//! Selection of lessors: spread over data centres and balanced over members.

use std::collections::{BTreeSet, HashMap};

use acaciaring_schema::log;

use super::{Member, Rejection, State};
use crate::id::{MemberId, Offset};

/// Maximum number of lessors of a member.
pub const LESSORS_MAX: usize = 3;

impl State {
    pub(super) fn set_lessors(
        &mut self,
        offset: Offset,
        record: &log::Lessors,
    ) -> Result<(), Rejection> {
        let id = self.require_present(record.member)?;
        let version = self.members.get(&id).map_or(0, |member| member.version);
        if record.base != version {
            return Err(Rejection::Conflict { current: version });
        }
        let lessors: BTreeSet<_> = record.lessors.iter().copied().map(MemberId).collect();
        let distinct = lessors.len() == record.lessors.len();
        let alive =
            lessors.iter().all(|lessor| *lessor != id && self.require_alive(lessor.0).is_ok());
        if !distinct || !alive || !(1..=LESSORS_MAX).contains(&lessors.len()) {
            return Err(Rejection::Lessors);
        }
        if let Some(member) = self.members.get_mut(&id) {
            self.counts.remove_lessors(&member.lessors);
            member.lessors = lessors.into_iter().collect();
            member.version = offset;
            self.counts.add_lessors(&member.lessors);
        }
        Ok(())
    }

    /// Returns up to [`LESSORS_MAX`] lessors for a member, sorted.
    ///
    /// They are in different data centres, preferably of the member's region. Two lessors in one
    /// data centre are the last resort. Ties go to the member that is lessor of the fewest others,
    /// then to the lowest id.
    #[must_use]
    pub fn choose_lessors(&self, member: &Member) -> Vec<MemberId> {
        self.complete(member, Vec::new(), &[])
    }

    /// Returns a better set of lessors, or `None` if the current set needs no change.
    ///
    /// Replaces as few lessors as possible: those that are dead or leaving, that share a data
    /// centre with another lessor while there is an alternative, or that are in another region
    /// while an unused data centre of the member's region has a candidate.
    ///
    /// Guards against a region that stops serving in a network partition because its first
    /// members keep the lessors of other regions that they had to choose at the start.
    #[must_use]
    pub fn better_lessors(&self, member: &Member) -> Option<Vec<MemberId>> {
        self.better_lessors_excluding(member, &[])
    }

    /// Returns the identities whose process has ended, as a later one runs on its VM and address.
    #[must_use]
    pub fn superseded(&self) -> Vec<MemberId> {
        let mut latest: HashMap<(&str, &str), MemberId> = HashMap::new();
        for member in self.members.values() {
            // Members are in the order of their ids.
            latest.insert((&member.vm, &member.peer), member.id);
        }
        let is_latest = |member: &&Member| {
            latest.get(&(&*member.vm, &*member.peer)).is_some_and(|id| *id == member.id)
        };
        let superseded = self.members.values().filter(|member| !is_latest(member));
        superseded.filter(|member| member.alive()).map(|member| member.id).collect()
    }

    /// Same as [`State::better_lessors`], without the lessors in `unresponsive`.
    #[must_use]
    pub fn better_lessors_excluding(
        &self,
        member: &Member,
        unresponsive: &[MemberId],
    ) -> Option<Vec<MemberId>> {
        let mut kept: Vec<&Member> = Vec::new();
        let mut duplicates: Vec<&Member> = Vec::new();
        let present = member.lessors.iter().filter_map(|id| self.members.get(id));
        let (local, foreign): (Vec<&Member>, Vec<&Member>) = present
            .filter(|lessor| lessor.alive() && !unresponsive.contains(&lessor.id))
            .partition(|l| l.region == member.region);
        split_by_data_centre(local, &mut kept, &mut duplicates);
        while kept.len() < LESSORS_MAX
            && let Some(candidate) = self
                .best_in_new_data_centre(member, &kept, unresponsive)
                .filter(|c| c.region == member.region)
        {
            kept.push(candidate);
        }
        split_by_data_centre(foreign, &mut kept, &mut duplicates);
        // A candidate from an unused data centre replaces a duplicate; without one it stays.
        while kept.len() < LESSORS_MAX
            && let Some(candidate) = self.best_in_new_data_centre(member, &kept, unresponsive)
        {
            kept.push(candidate);
        }
        kept.extend(duplicates);
        kept.truncate(LESSORS_MAX);
        let set = self.complete(member, kept, unresponsive);
        (set != member.lessors && !set.is_empty()).then_some(set)
    }

    /// Completes a set of lessors and returns it sorted.
    fn complete<'a>(
        &'a self,
        member: &Member,
        mut chosen: Vec<&'a Member>,
        unresponsive: &[MemberId],
    ) -> Vec<MemberId> {
        while chosen.len() < LESSORS_MAX {
            let any_data_centre = || self.best_candidate(member, &chosen, unresponsive, |_| true);
            let next = self
                .best_in_new_data_centre(member, &chosen, unresponsive)
                .or_else(any_data_centre);
            let Some(next) = next else { break };
            chosen.push(next);
        }
        let mut ids: Vec<_> = chosen.into_iter().map(|lessor| lessor.id).collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the best candidate in a data centre that has no lessor yet.
    fn best_in_new_data_centre(
        &self,
        member: &Member,
        chosen: &[&Member],
        unresponsive: &[MemberId],
    ) -> Option<&Member> {
        let taken = |other: &Member| chosen.iter().any(|c| c.data_centre == other.data_centre);
        self.best_candidate(member, chosen, unresponsive, |other| !taken(other))
    }

    fn best_candidate(
        &self,
        member: &Member,
        chosen: &[&Member],
        unresponsive: &[MemberId],
        fits: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        let eligible = |other: &&Member| {
            let taken = other.id == member.id || chosen.iter().any(|c| c.id == other.id);
            other.alive() && !taken && !unresponsive.contains(&other.id)
        };
        let rank = |other: &&Member| {
            let foreign = other.region != member.region;
            let same_rack = other.data_centre == member.data_centre && other.rack == member.rack;
            (foreign, same_rack, self.counts.holder_count(other.id), other.id)
        };
        self.members.values().filter(eligible).filter(|other| fits(other)).min_by_key(rank)
    }
}

/// Moves the first lessor of each data centre to `kept` and the others to `duplicates`.
fn split_by_data_centre<'a>(
    lessors: Vec<&'a Member>,
    kept: &mut Vec<&'a Member>,
    duplicates: &mut Vec<&'a Member>,
) {
    for lessor in lessors {
        if kept.iter().any(|k| k.data_centre == lessor.data_centre) {
            duplicates.push(lessor);
        } else {
            kept.push(lessor);
        }
    }
}
