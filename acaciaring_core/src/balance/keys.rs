//! Decisions to split hot keys out of their slots and to merge cold ones back.

use super::summary::Summary;
use super::{BalanceSettings, History, View};
use crate::id::{KeyHash, MemberId, UnitId};
use crate::rates::HotKeyRate;
use crate::time::Time;

/// Number of least loaded members among which the next standby of a hot key is chosen.
const COOL_CANDIDATES: usize = 4;

/// Decisions on hot keys.
#[derive(Debug, Default)]
pub(super) struct KeyMoves {
    pub(super) splits: Vec<UnitId>,
    pub(super) merges: Vec<UnitId>,
    /// Cold keys to move to their slot's owner, which can then merge them.
    pub(super) returning: Vec<UnitId>,
    /// Hot keys whose standby role goes to a less loaded member or to the slot's owner.
    pub(super) handoffs: Vec<(UnitId, MemberId)>,
}

pub(super) fn decide(
    now: Time,
    view: &View<'_>,
    settings: &BalanceSettings,
    summary: &Summary,
    history: &mut History,
) -> KeyMoves {
    let mut moves = KeyMoves {
        splits: splits(now, view, settings, summary),
        handoffs: cooler_handoffs(now, view, settings, summary, history),
        ..KeyMoves::default()
    };
    moves.handoffs.extend(return_handoffs(view, history));
    let own = view.service.hot.iter().filter(|(_, hot)| hot.assignment.owner == Some(view.local));
    for (key, hot) in own {
        let unit = UnitId { slot: hot.slot, key: Some(*key) };
        let load = view.rates.rate(now, unit) * summary.rate_factor;
        let cold = load < settings.merge_load * summary.mean || summary.load < settings.min_load;
        if history.cold_duration(now, *key, cold) < settings.merge_after {
            continue;
        }
        let slot = view.service.assignment(UnitId::slot(hot.slot));
        if slot.is_some_and(|slot| slot.owner == Some(view.local)) {
            moves.merges.push(unit);
        } else {
            // A standby that does not own the slot does not know that the key is cold. After the
            // switchover this member is standby and hands the role to the slot's owner.
            moves.returning.push(unit);
        }
    }
    moves
}

/// Returns the keys to split out: those that dominate their slot, at an overloaded member.
fn splits(
    now: Time,
    view: &View<'_>,
    settings: &BalanceSettings,
    summary: &Summary,
) -> Vec<UnitId> {
    // The slots of a numeric service are so small that a hot key moves with its slot.
    if !summary.overloaded(settings) || summary.rate_factor <= 0.0 || view.service.numeric {
        return Vec::new();
    }
    let least = settings.split_load * summary.mean / summary.rate_factor;
    let room = settings.hot_keys.saturating_sub(view.service.hot.len());
    let most = |hot: &HotKeyRate| hot.rate >= settings.split_share * view.rates.rate(now, hot.unit);
    let hot = view.rates.hot_keys(now, least).into_iter();
    hot.filter(|hot| hot.unit.key.is_none() && owned(view, hot.unit, hot.key) && most(hot))
        .take(settings.max_splits.min(room))
        .map(|hot| UnitId { slot: hot.unit.slot, key: Some(hot.key) })
        .collect()
}

/// Returns hot keys whose standby role this member hands over because of its own load.
///
/// A unit moves only to its standby, so a hot key with a loaded standby would stay where it is. The
/// new standby is chosen by hash among the least loaded members, so that keys spread over them.
fn cooler_handoffs(
    now: Time,
    view: &View<'_>,
    settings: &BalanceSettings,
    summary: &Summary,
    history: &History,
) -> Vec<(UnitId, MemberId)> {
    let cool = settings.cool_load * summary.mean;
    if summary.load <= cool || summary.load < settings.min_load {
        return Vec::new();
    }
    let mut members: Vec<_> = summary.loads.iter().filter(|(_, load)| **load < cool).collect();
    members.sort_by(|a, b| a.1.total_cmp(b.1).then(a.0.cmp(b.0)));
    let hot = view.service.hot.iter().filter(|(key, hot)| {
        let is_standby = hot.assignment.standby == Some(view.local);
        is_standby && !history.handed_off(now, **key) && !history.is_cold(**key)
    });
    hot.filter_map(|(key, hot)| {
        let owner = hot.assignment.owner?;
        let fits = |id: &MemberId| *id != owner && view.allows_standby(owner, *id);
        let mut open: Vec<_> = members.iter().map(|(id, _)| **id).filter(fits).collect();
        open.truncate(COOL_CANDIDATES);
        let index = key.0 % u64::try_from(open.len().max(1)).ok()?;
        let target = *open.get(usize::try_from(index).ok()?)?;
        Some((UnitId { slot: hot.slot, key: Some(*key) }, target))
    })
    .collect()
}

/// Returns standby roles of keys, cold when this member owned them, to hand to the slot's owner.
fn return_handoffs(view: &View<'_>, history: &History) -> Vec<(UnitId, MemberId)> {
    let cold =
        view.service.hot.iter().filter(|(key, hot)| {
            hot.assignment.standby == Some(view.local) && history.is_cold(**key)
        });
    cold.filter_map(|(key, hot)| {
        let home = view.service.assignment(UnitId::slot(hot.slot))?.owner?;
        let away = home != view.local && hot.assignment.owner != Some(home);
        away.then_some((UnitId { slot: hot.slot, key: Some(*key) }, home))
    })
    .collect()
}

fn owned(view: &View<'_>, unit: UnitId, key: KeyHash) -> bool {
    let assignment = view.service.assignment(unit);
    let mine = assignment.is_some_and(|assignment| assignment.owner == Some(view.local));
    mine && !view.service.hot.contains_key(&key)
}
