//! A trial: one run of a scenario on a deployment under a baseline.

mod inject;
mod outcome;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use snafu::OptionExt;

use crate::error::{OptionsSnafu, Result};
use crate::load::{LoadOptions, check_records, run_load};
use crate::upstream::{UpstreamControl, UpstreamOptions, micros};

use super::baseline::Baseline;
use super::deployment::Deployment;
use super::measure::unavailability;
use super::probe::{self, PROBE_SUFFIX, ProbeOptions};
use super::scenario::Scenario;
use super::system::{System, SystemOptions};

use self::inject::inject_events;
use self::outcome::{Measures, all_runs, build_outcome};

pub use self::outcome::Outcome;

/// Service time of a request at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Service time of a probe at an upstream.
const PROBE_COST_MS: f64 = 1.0;

/// Requests that an upstream executes concurrently.
const SLOTS: usize = 20;

/// Concurrent requests of an upstream in the overload scenario; low enough that the load generator
/// can offer twice the capacity.
const OVERLOAD_SLOTS: usize = 5;

/// Ratio of offered load to the capacity of the servers.
const LOAD_RATIO: f64 = 0.4;

/// Ratio of offered load to the capacity of the servers in the overload scenario.
const OVERLOAD_RATIO: f64 = 2.0;

/// Callers, each with one outstanding request.
const CALLERS: usize = 240;

/// Callers in the overload scenario.
const OVERLOAD_CALLERS: usize = 600;

/// Number of distinct keys in the load.
const KEYS: u64 = 10_000;

/// Number of probed keys.
const PROBED_KEYS: usize = 200;

/// Interval between probes of a key.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Attempts that a caller makes for each request.
const MAX_ATTEMPTS: u32 = 3;

/// Timeout of each attempt of a caller.
const ATTEMPT_TIMEOUT_MS: u64 = 3500;

/// Options of a trial.
#[derive(Debug, Clone)]
pub struct TrialOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Deployment.
    pub deployment: Deployment,
    /// Scenario.
    pub scenario: Scenario,
    /// Settings of the daemons.
    pub baseline: Baseline,
    /// Seed of the load; it also selects the VM that the fault affects.
    pub seed: u64,
    /// Duration of the load.
    pub length: Duration,
}

/// Runs a trial and returns its outcome.
///
/// # Errors
///
/// When the system does not start, a fault cannot be injected or the load generator fails.
pub fn run(options: &TrialOptions) -> Result<Outcome> {
    let Trial { mut system, victim, probe, load } = Trial::new(options)?;
    let before = unit_tokens(&system, &probe.keys);
    let start = micros();
    let (figures, probed, injected) = thread::scope(|scope| {
        let load = scope.spawn(|| run_load(&load));
        let probes = scope.spawn(|| probe::run(&probe));
        let injected = inject_events(options, &mut system, victim);
        (load.join(), probes.join().unwrap_or_default(), injected)
    });
    let figures = figures.ok().context(OptionsSnafu { what: "the load generator panicked" })??;
    let end = start + u64::try_from(options.length.as_micros()).unwrap_or(u64::MAX);
    injected?;
    let after = unit_tokens(&system, &probe.keys);
    let changed = before.iter().filter(|(unit, token)| after.get(*unit) != Some(*token)).count();
    let runs = all_runs(&system);
    let report = check_records(&runs, &figures.sent);
    let answers = probed.iter().map(|probed| probed.answers.as_slice());
    let measures = Measures {
        unavailable: unavailability(answers, start, end),
        moved_units: changed,
        known_units: before.len(),
        lost_vm: victim.filter(|_| options.scenario.loses_victim()),
        window: (start, end),
    };
    Ok(build_outcome(options, &system, figures, &report, &runs, &measures))
}

/// A system that is ready for its load and probes.
struct Trial {
    system: System,
    victim: Option<usize>,
    probe: ProbeOptions,
    load: LoadOptions,
}

impl Trial {
    fn new(options: &TrialOptions) -> Result<Self> {
        let TrialOptions { deployment, scenario, seed, length, .. } = *options;
        let system = System::start(deployment, system_options(options))?;
        for vm in &system.cluster.vms {
            if let Some(upstream) = &vm.upstream {
                let costs = Some(BTreeMap::from([(PROBE_SUFFIX.to_owned(), PROBE_COST_MS)]));
                upstream.handle().set(&UpstreamControl { costs, ..UpstreamControl::default() });
            }
        }
        let keyed = deployment.keyed();
        let servers = u64::try_from(keyed.servers).unwrap_or(1);
        let victim = scenario.has_victim().then(|| usize::try_from(seed % servers).unwrap_or(0));
        let vms = system.cluster.vms.iter().enumerate();
        let unaffected = vms.filter(|(index, _)| Some(*index) != victim).map(|(_, vm)| vm.http);
        let probe = ProbeOptions {
            service: keyed.name,
            keys: (1..=PROBED_KEYS).map(|number| format!("key-{number}")).collect(),
            entries: unaffected.collect(),
            interval: PROBE_INTERVAL,
            length,
        };
        let load = load_options(options, &system);
        Ok(Self { system, victim, probe, load })
    }
}

fn system_options(options: &TrialOptions) -> SystemOptions {
    let mut settings = options.baseline.settings.to_owned();
    let slots = slots(options.scenario);
    if options.scenario == Scenario::Overload {
        _ = writeln!(settings, "[limits]\nslots = {slots}");
    }
    SystemOptions {
        daemon: options.daemon.clone(),
        settings,
        upstream: UpstreamOptions {
            slots,
            service: SERVICE_TIME,
            recheck: true,
            ..UpstreamOptions::default()
        },
        proxies: options.scenario == Scenario::Silence,
    }
}

const fn slots(scenario: Scenario) -> usize {
    match scenario {
        Scenario::Overload => OVERLOAD_SLOTS,
        _ => SLOTS,
    }
}

#[allow(clippy::cast_precision_loss)]
fn load_options(options: &TrialOptions, system: &System) -> LoadOptions {
    let (ratio, threads) = match options.scenario {
        Scenario::Overload => (OVERLOAD_RATIO, OVERLOAD_CALLERS),
        _ => (LOAD_RATIO, CALLERS),
    };
    let slots = slots(options.scenario) * system.cluster.vms.len();
    let duration = u64::try_from(options.length.as_millis()).unwrap_or(u64::MAX);
    LoadOptions {
        entries: system.cluster.vms.iter().map(|vm| vm.http).collect(),
        threads,
        duration,
        rate: ratio * slots as f64 / SERVICE_TIME.as_secs_f64(),
        seed: options.seed,
        keys: KEYS,
        tries: MAX_ATTEMPTS,
        timeout: ATTEMPT_TIMEOUT_MS,
        changes: if options.scenario == Scenario::HotSpell { vec![duration / 3] } else { vec![] },
        classes: options.deployment.classes(),
        ..LoadOptions::default()
    }
}

/// Returns the fencing token of each key's unit, read from a VM that is never the victim.
fn unit_tokens(system: &System, keys: &[String]) -> BTreeMap<(u64, Option<String>), u64> {
    let vms = &system.cluster.vms;
    let pooled = vms.len() - 1;
    let workspace = vms[0].options.workspace.as_deref().unwrap_or_default();
    let mut units = BTreeMap::new();
    for key in keys {
        let path = format!("/v1/owner?workspace={workspace}&key={key}");
        let Ok(owner) = system.cluster.admin(pooled, &path) else { continue };
        let slot = owner["slot"].as_u64().unwrap_or_default();
        let hot = (owner["hot"] == true).then(|| key.clone());
        units.insert((slot, hot), owner["token"].as_u64().unwrap_or_default());
    }
    units
}
