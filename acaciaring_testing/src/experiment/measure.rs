//! Metrics of an experiment: imbalance, churn and unavailability.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::upstream::Run;

/// Imbalance of executed requests across servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Imbalance {
    /// Largest count divided by the mean; 1 when balanced.
    pub peak: f64,
    /// Standard deviation divided by the mean; 0 when balanced.
    pub deviation: f64,
}

/// Changes of the server that executes the requests of a key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Churn {
    /// Keys with requests executed on more than one server.
    pub keys: u64,
    /// Changes of server over all keys.
    pub moves: u64,
    /// Keys with at least one executed request.
    pub seen: u64,
}

/// Unavailability of probed keys, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Unavailability {
    /// Longest unavailability of any key.
    pub worst: u64,
    /// Sum of the unavailability of all keys.
    pub total: u64,
    /// Probed keys.
    pub keys: u64,
    /// Keys without any answer; each counts as unavailable for the whole interval.
    pub never: u64,
}

/// Returns the imbalance of request counts, one per server, idle servers included.
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

/// Returns the churn of the keys that `key` extracts from runs; reverted runs are ignored.
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

/// Returns the unavailability of keys from the times of their answers between `start` and `end`.
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

/// Returns the longest gap between answers, `start` and `end` included, minus the median gap.
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
