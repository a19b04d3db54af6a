//! What a run has shown, from what callers were told and what the servers ran.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::experiment::baseline::Baseline;
use crate::experiment::deployment::{Deployment, Service};
use crate::experiment::measure::{Churn, Imbalance, Unavailable, churn, imbalance};
use crate::experiment::probe::MARK;
use crate::experiment::scenario::Scenario;
use crate::experiment::system::System;
use crate::load::{ClassFigures, LoadFigures, Report, Verdict};
use crate::upstream::Run;

use super::TrialOptions;

/// What a run has shown.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Settings to compare.
    pub baseline: Baseline,
    /// Seed.
    pub seed: u64,
    /// Imbalance of the keyed service over the whole run, servers that are there throughout.
    pub whole: Imbalance,
    /// Imbalance of the keyed service in the last third of the run, servers that are there then.
    pub end: Imbalance,
    /// Keys that changed server.
    pub churn: Churn,
    /// Units of the probed keys that changed owner by the log.
    pub units: usize,
    /// Units of the probed keys.
    pub known: usize,
    /// Time during which probed keys were not answered.
    pub unavailable: Unavailable,
    /// Answered requests a second over all classes.
    pub goodput: f64,
    /// Figures by class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Tries by what was told.
    pub told: BTreeMap<Verdict, u64>,
    /// Requests by the reason of their last try.
    pub reasons: BTreeMap<String, u64>,
    /// Requests that may run once and ran more often; must be 0.
    pub duplicates: usize,
    /// Tries that were told "not run" and ran; must be 0.
    pub refused: usize,
    /// Answers that were another request's or broken; must be 0.
    pub wrong: usize,
    /// Requests that were answered and ran nowhere; must be 0.
    pub missing: usize,
    /// Runs of one key with effect on two servers at the same time; must be 0.
    pub overlaps: usize,
}

impl Outcome {
    /// Whether nothing has happened that must not happen.
    #[must_use]
    pub const fn sound(&self) -> bool {
        self.duplicates + self.refused + self.wrong + self.missing + self.overlaps == 0
    }
}

/// What was measured beside the load.
pub(super) struct Measures {
    pub(super) unavailable: Unavailable,
    pub(super) units: usize,
    pub(super) known: usize,
    pub(super) gone: Option<usize>,
    /// Start and end of the run in microseconds of Unix time.
    pub(super) window: (u64, u64),
}

/// Returns what ran on all servers, those that are gone included.
pub(super) fn records(system: &System) -> Vec<Run> {
    let upstreams = system.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
    upstreams.flat_map(|upstream| upstream.handle().records()).collect()
}

/// Puts the figures of a run together.
pub(super) fn outcome(
    options: &TrialOptions,
    system: &System,
    figures: LoadFigures,
    report: &Report,
    runs: &[Run],
    measures: &Measures,
) -> Outcome {
    let keyed = options.deployment.keyed();
    let (start, end) = measures.window;
    let last = start + (end - start) / 3 * 2;
    let servers = servers(system, &keyed, measures.gone);
    let first: BTreeSet<&str> = servers.iter().copied().take(keyed.servers).collect();
    Outcome {
        deployment: options.deployment,
        scenario: options.scenario,
        baseline: options.baseline,
        seed: options.seed,
        whole: imbalance(&counts(runs, &first, start..end)),
        end: imbalance(&counts(runs, &servers.into_iter().collect(), last..end)),
        churn: churn(runs, |run| key(run, &keyed)),
        units: measures.units,
        known: measures.known,
        unavailable: measures.unavailable,
        goodput: figures.classes.values().map(|class| class.goodput).sum(),
        classes: figures.classes,
        told: figures.told,
        reasons: figures.reasons,
        duplicates: report.duplicates.len(),
        refused: report.refused.len(),
        wrong: report.wrong.len(),
        missing: report.missing.len(),
        overlaps: report.overlaps.len(),
    }
}

/// Names of the servers of a service but the one that is gone.
fn servers<'a>(system: &'a System, service: &Service, gone: Option<usize>) -> Vec<&'a str> {
    let vms = system.cluster.vms.iter().enumerate();
    let serving = vms.filter(|(index, vm)| {
        vm.options.workspace.as_deref() == Some(service.workspace) && Some(*index) != gone
    });
    serving.map(|(_, vm)| vm.options.vm.as_str()).collect()
}

/// Counts the runs of the load, without probes, by server.
fn counts(runs: &[Run], servers: &BTreeSet<&str>, window: std::ops::Range<u64>) -> Vec<u64> {
    let mut counts: BTreeMap<&str, u64> = servers.iter().map(|server| (*server, 0)).collect();
    let load = runs.iter().filter(|run| !run.path.ends_with(MARK) && window.contains(&run.start));
    for run in load {
        if let Some(count) = counts.get_mut(run.upstream.as_str()) {
            *count += 1;
        }
    }
    counts.into_values().collect()
}

/// Key of a run of a service.
fn key<'a>(run: &'a Run, service: &Service) -> Option<&'a str> {
    let path = run.path.strip_prefix('/')?.strip_prefix(service.name)?.strip_prefix('/')?;
    path.split('/').next()
}
