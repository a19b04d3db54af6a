//! Program that measures routing under load and faults, and its cost, with real processes.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use acaciaring_testing::demo::sibling_program;
use acaciaring_testing::experiment::{
    BASELINES, CostOptions, Deployment, FULL, Outcome, Scenario, TrialOptions, measure_cost,
    render, run,
};

/// Default duration of the load in each scenario.
const DEFAULT_SECONDS: u64 = 15;

xflags::xflags! {
    /// Measures acaciaring with real processes on this machine.
    cmd acaciaring-experiment {
        /// Seed of the load and of the choice of the affected VM; 1 by default.
        optional --seed seed: u64
        /// Deployment: korenveld, laurentides or all (default).
        optional --deployment name: String
        /// Scenario: calm, hot-spell, join, stop, crash, freeze, log-outage, overload, silence or all (default).
        optional --scenario name: String
        /// Duration of the load in each scenario; 15 by default.
        optional --seconds seconds: u64
        /// Also run the baselines that disable a mechanism.
        optional --baselines
        /// Print the outcomes as JSON, one per line.
        optional --json
        /// Path of the daemon; `acaciaringd` in this program's directory by default.
        optional --daemon path: PathBuf

        /// Measures the cost of a request's path and of idle members.
        cmd cost {}
        default cmd scenarios {}
    }
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let flags = AcaciaringExperiment::from_env_or_exit();
    let daemon = match &flags.daemon {
        Some(path) => path.clone(),
        None => sibling_program("acaciaringd")?,
    };
    let seed = flags.seed.unwrap_or(1);
    if let AcaciaringExperimentCmd::Cost(_) = flags.subcommand {
        let members = vec![3, 6, 12, 24];
        println!("{}", measure_cost(&CostOptions { daemon, seed, members })?);
        return Ok(ExitCode::SUCCESS);
    }
    let outcomes = run_trials(&flags, &daemon, seed)?;
    if !flags.json {
        println!("{}", render(&outcomes));
    }
    let correct = outcomes.iter().all(Outcome::is_correct);
    Ok(if correct { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_trials(
    flags: &AcaciaringExperiment,
    daemon: &std::path::Path,
    seed: u64,
) -> Result<Vec<Outcome>, Box<dyn Error>> {
    let length = Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS).max(1));
    let mut outcomes = Vec::new();
    for deployment in selected(flags.deployment.as_deref(), &Deployment::ALL)? {
        for scenario in selected(flags.scenario.as_deref(), &Scenario::ALL)? {
            let baselines = BASELINES.iter().filter(|baseline| {
                **baseline == FULL || flags.baselines && baseline.covers(scenario)
            });
            for baseline in baselines {
                eprintln!("{} {} {}", deployment.name(), scenario.name(), baseline.name);
                let outcome = run(&TrialOptions {
                    daemon: daemon.to_owned(),
                    deployment,
                    scenario,
                    baseline: *baseline,
                    seed,
                    length,
                })?;
                if flags.json {
                    println!("{}", serde_json::to_string(&outcome)?);
                }
                outcomes.push(outcome);
            }
        }
    }
    Ok(outcomes)
}

fn selected<T>(name: Option<&str>, all: &[T]) -> Result<Vec<T>, T::Err>
where
    T: FromStr + Copy,
{
    match name {
        None | Some("all") => Ok(all.to_vec()),
        Some(name) => Ok(vec![name.parse()?]),
    }
}
