//! Outcome of a trial, computed from the answers to callers and the records of upstreams.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::experiment::baseline::Baseline;
use crate::experiment::deployment::{Deployment, Service};
use crate::experiment::measure::{Churn, Imbalance, Unavailability, churn, imbalance};
use crate::experiment::probe::PROBE_SUFFIX;
use crate::experiment::scenario::Scenario;
use crate::experiment::system::System;
use crate::load::{ClassFigures, LoadFigures, Report, Verdict};
use crate::upstream::Run;

use super::TrialOptions;

/// Outcome of a trial.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Settings of the daemons.
    pub baseline: Baseline,
    /// Seed of the load.
    pub seed: u64,
    /// Imbalance of the keyed service over the whole run, across the servers present throughout.
    pub whole: Imbalance,
    /// Imbalance of the keyed service in the last third, across the servers present then.
    pub end: Imbalance,
    /// Changes of the servers of keys.
    pub churn: Churn,
    /// Units of the probed keys that changed owner, detected by their fencing tokens.
    pub units: usize,
    /// Number of units of the probed keys.
    pub known: usize,
    /// Unavailability of the probed keys.
    pub unavailable: Unavailability,
    /// Answered requests per second over all classes.
    pub goodput: f64,
    /// Figures by request class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Number of attempts by result.
    pub told: BTreeMap<Verdict, u64>,
    /// Number of requests by the reason of their last attempt.
    pub reasons: BTreeMap<String, u64>,
    /// At-most-once requests that were executed more than once; must be 0.
    pub duplicates: usize,
    /// Attempts with the verdict `not-run` that were executed; must be 0.
    pub refused: usize,
    /// Answers that were corrupt or belonged to another request; must be 0.
    pub wrong: usize,
    /// Answered requests that no upstream executed; must be 0.
    pub missing: usize,
    /// Overlapping executions of a key on two servers, both with effect; must be 0.
    pub overlaps: usize,
}

impl Outcome {
    /// Whether no guarantee of the router was violated.
    #[must_use]
    pub const fn is_correct(&self) -> bool {
        self.duplicates + self.refused + self.wrong + self.missing + self.overlaps == 0
    }
}

/// Measurements besides those of the load generator.
pub(super) struct Measures {
    pub(super) unavailable: Unavailability,
    pub(super) moved_units: usize,
    pub(super) known_units: usize,
    pub(super) lost_vm: Option<usize>,
    /// Start and end of the run in microseconds of Unix time.
    pub(super) window: (u64, u64),
}

/// Returns the requests executed by all upstreams, those of lost VMs included.
pub(super) fn all_runs(system: &System) -> Vec<Run> {
    let upstreams = system.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
    upstreams.flat_map(|upstream| upstream.handle().records()).collect()
}

/// Computes the outcome of a trial from its measurements.
pub(super) fn build_outcome(
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
    let servers = servers(system, &keyed, measures.lost_vm);
    let first: BTreeSet<&str> = servers.iter().copied().take(keyed.servers).collect();
    Outcome {
        deployment: options.deployment,
        scenario: options.scenario,
        baseline: options.baseline,
        seed: options.seed,
        whole: imbalance(&runs_by_server(runs, &first, start..end)),
        end: imbalance(&runs_by_server(runs, &servers.into_iter().collect(), last..end)),
        churn: churn(runs, |run| key(run, &keyed)),
        units: measures.moved_units,
        known: measures.known_units,
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

/// Returns the names of the servers of a service, the lost one excluded.
fn servers<'a>(system: &'a System, service: &Service, lost_vm: Option<usize>) -> Vec<&'a str> {
    let vms = system.cluster.vms.iter().enumerate();
    let serving = vms.filter(|(index, vm)| {
        vm.options.workspace.as_deref() == Some(service.workspace) && Some(*index) != lost_vm
    });
    serving.map(|(_, vm)| vm.options.vm.as_str()).collect()
}

/// Counts the executed requests by server, probes excluded.
fn runs_by_server(
    runs: &[Run],
    servers: &BTreeSet<&str>,
    window: std::ops::Range<u64>,
) -> Vec<u64> {
    let mut counts: BTreeMap<&str, u64> = servers.iter().map(|server| (*server, 0)).collect();
    let load =
        runs.iter().filter(|run| !run.path.ends_with(PROBE_SUFFIX) && window.contains(&run.start));
    for run in load {
        if let Some(count) = counts.get_mut(run.upstream.as_str()) {
            *count += 1;
        }
    }
    counts.into_values().collect()
}

/// Returns the key of a request, `None` when it belongs to another service.
fn key<'a>(run: &'a Run, service: &Service) -> Option<&'a str> {
    let path = run.path.strip_prefix('/')?.strip_prefix(service.name)?.strip_prefix('/')?;
    path.split('/').next()
}
