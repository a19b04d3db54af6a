//! Injection of the faults and changes of a scenario while the load runs.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::Result;
use crate::experiment::scenario::Scenario;
use crate::experiment::system::System;
use crate::log::LogControl;
use crate::upstream::UpstreamControl;

use super::TrialOptions;

/// Time for which a VM is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Time within which a daemon must shut down gracefully.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(25);

/// Injects the events of the scenario at fixed fractions of the run; returns at its end.
pub(super) fn inject_events(
    options: &TrialOptions,
    system: &mut System,
    victim: Option<usize>,
) -> Result<()> {
    let TrialOptions { deployment, scenario, length, .. } = *options;
    let start = Instant::now();
    let wait_until = |share: f64| {
        thread::sleep((start + length.mul_f64(share)).saturating_duration_since(Instant::now()));
    };
    wait_until(0.33);
    match (scenario, victim) {
        (Scenario::Join, _) => {
            let keyed = deployment.keyed();
            system.add(deployment.vm(&keyed, keyed.servers))?;
        }
        (Scenario::Stop, Some(victim)) => stop(system, victim)?,
        (Scenario::Crash, Some(victim)) => crash(system, victim),
        (Scenario::Freeze, Some(victim)) => {
            set_frozen(system, victim, true);
            thread::sleep(FREEZE_TIME);
            set_frozen(system, victim, false);
        }
        (Scenario::LogOutage, Some(victim)) => {
            set_outage(system, true);
            wait_until(0.5);
            crash(system, victim);
            wait_until(0.8);
            set_outage(system, false);
        }
        (Scenario::Silence, _) => {
            let silenced: usize = system.proxies.iter().map(|proxy| proxy.handle().silence()).sum();
            tracing::debug!(silenced, "connections silenced");
        }
        _ => {}
    }
    wait_until(1.0);
    Ok(())
}

/// Shuts down a member gracefully, then stops its upstream.
fn stop(system: &mut System, victim: usize) -> Result<()> {
    let vm = &mut system.cluster.vms[victim];
    vm.process.term();
    vm.process.wait(SHUTDOWN_TIMEOUT)?;
    if let Some(upstream) = &vm.upstream {
        upstream.stop();
    }
    Ok(())
}

fn crash(system: &mut System, victim: usize) {
    let vm = &mut system.cluster.vms[victim];
    vm.process.kill();
    if let Some(upstream) = &vm.upstream {
        upstream.stop();
    }
}

fn set_frozen(system: &mut System, victim: usize, frozen: bool) {
    let vm = &mut system.cluster.vms[victim];
    if let Some(upstream) = &vm.upstream {
        let control = UpstreamControl { frozen: Some(frozen), ..UpstreamControl::default() };
        upstream.handle().set(&control);
    }
    if frozen { vm.process.freeze() } else { vm.process.thaw() }
}

fn set_outage(system: &System, outage: bool) {
    let control = LogControl { outage: Some(outage), ..LogControl::default() };
    system.cluster.log.handle().set(&control);
}
