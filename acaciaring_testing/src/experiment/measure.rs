//! Arithmetic of the measures: imbalance, churn and unavailable time.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::upstream::Run;

/// How unevenly runs fall across servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Imbalance {
    /// Largest count by the mean; 1 is even.
    pub peak: f64,
    /// Standard deviation by the mean; 0 is even.
    pub deviation: f64,
}

/// How many keys have changed server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Churn {
    /// Keys that ran on more than one server.
    pub keys: u64,
    /// Changes of server over all keys.
    pub moves: u64,
    /// Keys that ran at all.
    pub seen: u64,
}

/// How long keys were not answered, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Unavailability {
    /// Longest over all keys.
    pub worst: u64,
    /// Sum over all keys.
    pub total: u64,
    /// Keys that were probed.
    pub keys: u64,
    /// Keys that were never answered; they count with the whole time.
    pub never: u64,
}

/// Returns the imbalance of counts by server, those of idle servers included.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn imbalance(counts: &[u64]) -> Imbalance {
    let servers = counts.len() as f64;
    let mean = counts.iter().sum::<u64>() as f64 / servers;
    if counts.is_empty() || mean <= 0.0 {
        return Imbalance::default();
    }
    let square = |count: &u64| (*count as f64 - mean).powi(2);
    let variance = counts.iter().map(square).sum::<f64>() / servers;
    let most = counts.iter().max().copied().unwrap_or_default() as f64;
    Imbalance { peak: most / mean, deviation: variance.sqrt() / mean }
}

/// Returns the churn of the keys that `key` finds in runs; runs without effect are left out.
#[must_use]
pub fn churn(runs: &[Run], key: impl Fn(&Run) -> Option<&str>) -> Churn {
    let mut servers: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for run in runs.iter().filter(|run| !run.reverted) {
        if let Some(key) = key(run) {
            servers.entry(key).or_default().push((run.start, &run.upstream));
        }
    }
    let mut churn = Churn::default();
    for runs in servers.values_mut() {
        runs.sort_unstable();
        let moves = runs.windows(2).filter(|pair| pair[0].1 != pair[1].1).count() as u64;
        churn.seen += 1;
        churn.moves += moves;
        churn.keys += u64::from(moves > 0);
    }
    churn
}

/// Returns the unavailable time of keys, given the times of their answers within `start` to `end`.
#[must_use]
pub fn unavailability<'a>(
    answers: impl IntoIterator<Item = &'a [u64]>,
    start: u64,
    end: u64,
) -> Unavailability {
    let mut sums = Unavailability::default();
    for times in answers {
        let longest = longest_gap(times, start, end);
        sums.worst = sums.worst.max(longest);
        sums.total += longest;
        sums.keys += 1;
        sums.never += u64::from(times.is_empty());
    }
    sums
}

/// Returns the longest time between two answers, `start` and `end` among them, less the usual one.
#[must_use]
pub fn longest_gap(times: &[u64], start: u64, end: u64) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let mut gaps: Vec<u64> = sorted.windows(2).map(|pair| pair[1] - pair[0]).collect();
    gaps.sort_unstable();
    let usual = gaps.get(gaps.len() / 2).copied().unwrap_or_default();
    let first = sorted.first().map_or(end, |time| *time).saturating_sub(start);
    let last = end.saturating_sub(sorted.last().map_or(end, |time| *time));
    let inner = gaps.last().copied().unwrap_or_default();
    inner.max(first).max(last).saturating_sub(usual)
}
