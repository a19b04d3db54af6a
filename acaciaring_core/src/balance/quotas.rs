//! Transfer quotas, so that members that give independently do not give too much in total.
//!
//! All donors derive the same quotas from the same folded state.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::summary::{SlotCount, Summary};
use super::{BalanceSettings, View};
use crate::id::{MemberId, UnitId};

#[cfg(test)]
mod tests;

/// Member that has units or roles to give.
#[derive(Debug, Clone, Copy)]
struct Donor {
    id: MemberId,
    /// Number of units or roles that it holds.
    count: u32,
    /// Number that it could give to this receiver.
    available: u32,
}

/// Returns the members that receive own units of the planning member, and how many each.
pub(super) fn transfer_quotas(
    view: &View<'_>,
    settings: &BalanceSettings,
    summary: &Summary,
) -> Vec<(MemberId, usize)> {
    let deficits = deficits(settings, summary, summary.fair, |count| count.owned);
    let open = |member: &MemberId| {
        let load = view.members[member].load;
        load.is_some_and(|load| !load.saturated())
    };
    let quotas = deficits.into_iter().filter(|(member, _)| open(member)).map(|(member, wanted)| {
        let available = available(view, member);
        let donors =
            donors(summary, |count| count.owned, |id| available.get(&id).copied().unwrap_or(0));
        (member, quota(view.local, member, &donors, wanted, floor(settings, summary.fair)))
    });
    quotas.filter(|(_, quota)| *quota > 0).collect()
}

/// Returns the standby roles that the planning member hands over, and to which member.
pub(super) fn handoffs(
    view: &View<'_>,
    settings: &BalanceSettings,
    summary: &Summary,
) -> Vec<(UnitId, MemberId)> {
    let standbys: u32 = summary.counts.values().map(|count| count.standbys).sum();
    let members = u32::try_from(summary.counts.len()).unwrap_or(u32::MAX);
    let fair = f64::from(standbys) / f64::from(members);
    let mut given = Vec::new();
    let mut deficits = deficits(settings, summary, fair, |count| count.standbys);
    // Each donor has its own order, so that receivers are filled together. With one order at all
    // donors, the last of several newcomers would wait for all others.
    deficits.sort_by_key(|(member, _)| rendezvous_hash(view.local.0, member.0));
    for (member, wanted) in deficits {
        let donors = donors(summary, |count| count.standbys, |_| u32::MAX);
        let quota = quota(view.local, member, &donors, wanted, floor(settings, fair));
        let mut transferable = transferable(view, member);
        transferable.retain(|unit| given.iter().all(|(other, _)| other != unit));
        let block = |unit: &UnitId| view.service.block(unit.slot, view.members.len());
        transferable
            .sort_by_key(|unit| (rendezvous_hash(u64::from(block(unit)), member.0), unit.slot));
        let left = settings.max_handoffs - given.len();
        given.extend(transferable.into_iter().take(quota.min(left)).map(|unit| (unit, member)));
    }
    given
}

/// Returns the members that hold too few, and how many they lack.
fn deficits(
    settings: &BalanceSettings,
    summary: &Summary,
    fair: f64,
    of: impl Fn(&SlotCount) -> u32,
) -> Vec<(MemberId, u32)> {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a u32")]
    let level = (fair * (1.0 - settings.max_deficit)) as u32;
    let deficits = summary.counts.iter().filter(|(_, count)| of(count) < level);
    deficits.map(|(id, count)| (*id, level - of(count))).collect()
}

fn donors(
    summary: &Summary,
    of: impl Fn(&SlotCount) -> u32,
    available: impl Fn(MemberId) -> u32,
) -> Vec<Donor> {
    let donors = summary.counts.iter();
    donors
        .map(|(id, count)| Donor { id: *id, count: of(count), available: available(*id) })
        .collect()
}

/// Returns how many slots each owner has for which `member` is standby.
fn available(view: &View<'_>, member: MemberId) -> BTreeMap<MemberId, u32> {
    let mut available = BTreeMap::new();
    for assignment in view.service.slots.iter().filter(|a| a.standby == Some(member)) {
        if let Some(owner) = assignment.owner {
            *available.entry(owner).or_default() += 1;
        }
    }
    available
}

/// Returns the slots for which the planning member may hand the standby role to `member`.
fn transferable(view: &View<'_>, member: MemberId) -> Vec<UnitId> {
    let slots = (0..).zip(&view.service.slots);
    let fits = slots.filter(|(_, assignment)| {
        let Some(owner) = assignment.owner else { return false };
        assignment.standby == Some(view.local)
            && owner != member
            && view.allows_standby(owner, member)
    });
    fits.map(|(slot, _)| UnitId::slot(slot)).collect()
}

/// Returns the number down to which donors give.
///
/// It is slightly below the fair number: some donors may hold nothing that the receiver may be
/// standby of, as they are in its data centre, and the others make up for them.
fn floor(settings: &BalanceSettings, fair: f64) -> u32 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of a u32")]
    let floor = (fair * (1.0 - settings.max_deficit / 2.0)) as u32;
    floor
}

/// Returns how many of `wanted` the local member gives: the largest donors give until they are
/// level.
fn quota(local: MemberId, receiver: MemberId, donors: &[Donor], wanted: u32, floor: u32) -> usize {
    let surplus =
        |donor: &Donor, level: u32| donor.count.saturating_sub(level).min(donor.available);
    let sum = |level: u32| donors.iter().map(|donor| u64::from(surplus(donor, level))).sum::<u64>();
    let max_count = donors.iter().map(|donor| donor.count).max().unwrap_or(0);
    let Some(local) = donors.iter().find(|donor| donor.id == local) else { return 0 };
    // Finds the lowest level at which all donors together do not give too much.
    let mut low = floor;
    let mut high = max_count.max(floor);
    while low < high {
        let level = u32::midpoint(low, high);
        if sum(level) <= u64::from(wanted) { high = level } else { low = level + 1 }
    }
    let base = surplus(local, low);
    let eligible = low > floor && surplus(local, low - 1) > base;
    let rest = u64::from(wanted).saturating_sub(sum(low));
    // The next lower level would give too much, so only some of the eligible donors give one more.
    let priority = |donor: &Donor| rendezvous_hash(donor.id.0, receiver.0);
    let candidates =
        donors.iter().filter(|donor| low > floor && surplus(donor, low - 1) > surplus(donor, low));
    let before = candidates.filter(|donor| priority(donor) < priority(local)).count();
    let extra = eligible && u64::try_from(before).is_ok_and(|before| before < rest);
    usize::try_from(base).unwrap_or(usize::MAX) + usize::from(extra)
}

/// Returns the hash of a pair of ids, the same at every member, for rendezvous ordering.
fn rendezvous_hash(one: u64, other: u64) -> u64 {
    xxh3_64_with_seed(&one.to_le_bytes(), other)
}
