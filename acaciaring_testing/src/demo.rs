//! The main job on one machine: publish, route, own, lose a VM, stop.

mod example;
mod show;
mod tool;

use std::env;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use snafu::{OptionExt, ResultExt, ensure};

use crate::cluster::{Ask, ask, ask_until_answered};
use crate::error::{AnswerSnafu, IoSnafu, OptionsSnafu, Result};
use crate::experiment::{Deployment, System, SystemOptions};
use crate::upstream::UpstreamOptions;

use self::show::{print_heading, print_reply};
use self::tool::Tool;

pub use self::example::examples;

/// Deployment that is shown.
const DEPLOYMENT: Deployment = Deployment::Korenveld;

/// Where the examples put the services.
const CONTRACTS_PATH: &str = "/korenveld/contracts";
const QUALITY_LAB_PATH: &str = "/korenveld/quality-lab";

/// Keys that are asked for.
const KEYS: [&str; 3] = ["order-17", "order-58", "order-93"];

/// VM that is lost.
const VICTIM: usize = 3;

/// Most keys that are tried to find one of the victim's.
const MAX_TRIED_KEYS: usize = 1000;

/// Bound on the time until the keys of the lost VM are served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Bound on the end of a process that was asked to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(25);

/// Programs that the demo runs.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Daemon.
    pub daemon: PathBuf,
    /// Command-line tool.
    pub tool: PathBuf,
    /// Files with templates and parameters.
    pub documents: Vec<PathBuf>,
}

/// Shows the main job; prints to standard output.
///
/// # Errors
///
/// When a step does not do what it should.
pub fn run(options: &DemoOptions) -> Result<()> {
    let start = Instant::now();
    print_heading("Start the log stand-in, and ten VMs in four data centres");
    let mut system = start_system(options)?;
    let tool = Tool::new(&options.tool, system.cluster.vms.iter().map(|vm| vm.admin).collect());
    print_heading("Publish the templates and parameters");
    tool.publish(&options.documents)?;
    system.settle(DEPLOYMENT)?;
    tool.show(&["in-force"])?;
    print_heading("Send requests through several entries");
    send_requests(&system)?;
    print_heading("Owners");
    for key in KEYS {
        tool.print_owner(DEPLOYMENT.keyed().workspace, key)?;
    }
    print_heading("Members");
    tool.show(&["members"])?;
    crash_vm(&mut system)?;
    stop_all(&mut system)?;
    println!("\nDone in {:.1} s.", start.elapsed().as_secs_f64());
    Ok(())
}

/// Returns the path of a program that lies beside the running one.
///
/// # Errors
///
/// When there is none.
pub fn sibling_program(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().context(IoSnafu { what: "find this program" })?;
    let path = own.parent().map(|dir| dir.join(name)).filter(|path| path.exists());
    path.context(OptionsSnafu { what: format!("no program {name} beside {}", own.display()) })
}

fn start_system(options: &DemoOptions) -> Result<System> {
    let mut system = System::new(SystemOptions {
        daemon: options.daemon.clone(),
        settings: String::new(),
        upstream: UpstreamOptions::default(),
        proxies: false,
    })?;
    for vm in DEPLOYMENT.vms() {
        system.add(vm)?;
    }
    Ok(system)
}

/// Reads and writes through entries of both services.
fn send_requests(system: &System) -> Result<()> {
    let entries = [0, 4, 8];
    for (key, entry) in KEYS.iter().zip(entries) {
        let vm = &system.cluster.vms[entry];
        let path = format!("{CONTRACTS_PATH}/orders/{key}");
        let read = Ask { path: &path, ..Ask::default() };
        print_reply(
            &vm.options.vm,
            "GET",
            &path,
            &ask_until_answered(vm.http, &read, RECOVERY_TIMEOUT)?,
        )?;
    }
    let path = format!("{CONTRACTS_PATH}/commitments/{}", KEYS[0]);
    let sign = Ask { method: "POST", path: &path, key: "demo-1", body: "40 t", ..Ask::default() };
    for entry in [1, 5] {
        let vm = &system.cluster.vms[entry];
        print_reply(
            &vm.options.vm,
            "POST",
            &path,
            &ask_until_answered(vm.http, &sign, RECOVERY_TIMEOUT)?,
        )?;
    }
    println!("  The second signature repeats the first: it has the same answer and did not run.");
    ensure!(execution_count(system, &path) == 1, AnswerSnafu { what: "the signature ran again" });
    let vm = &system.cluster.vms[2];
    let path = format!("{QUALITY_LAB_PATH}/contracts/{}", KEYS[0]);
    let grade = Ask { path: &path, ..Ask::default() };
    print_reply(
        &vm.options.vm,
        "GET",
        &path,
        &ask_until_answered(vm.http, &grade, RECOVERY_TIMEOUT)?,
    )
}

/// How often a signature ran on all upstreams.
fn execution_count(system: &System, path: &str) -> usize {
    let upstreams = system.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
    let runs = upstreams.flat_map(|upstream| upstream.handle().records());
    runs.filter(|run| run.path == path).count()
}

/// Kills a VM and shows a key of it being served again.
fn crash_vm(system: &mut System) -> Result<()> {
    let name = system.cluster.vms[VICTIM].options.vm.clone();
    let key = key_owned_by(system, &name)?;
    print_heading(&format!("Kill {name}, the owner of {key}"));
    let path = format!("{CONTRACTS_PATH}/orders/{key}");
    let request = Ask { path: &path, ..Ask::default() };
    let (entry, http) = (system.cluster.vms[0].options.vm.clone(), system.cluster.vms[0].http);
    print_reply(&entry, "GET", &path, &ask_until_answered(http, &request, RECOVERY_TIMEOUT)?)?;
    let vm = &mut system.cluster.vms[VICTIM];
    vm.process.kill();
    if let Some(upstream) = &vm.upstream {
        upstream.stop();
    }
    let start = Instant::now();
    print_reply(&entry, "GET", &path, &ask(http, &request)?)?;
    let again = ask_until_answered(http, &request, RECOVERY_TIMEOUT)?;
    let took = start.elapsed();
    print_reply(&entry, "GET", &path, &again)?;
    ensure!(again.verdict == "answered", AnswerSnafu { what: "the key is not served again" });
    println!("  Served again {:.1} s after the loss.", took.as_secs_f64());
    Ok(())
}

fn key_owned_by(system: &System, vm: &str) -> Result<String> {
    let workspace = DEPLOYMENT.keyed().workspace;
    for number in 1..=MAX_TRIED_KEYS {
        let key = format!("order-{number}");
        let owner =
            system.cluster.admin(0, &format!("/v1/owner?workspace={workspace}&key={key}"))?;
        if owner["owner"]["vm"] == vm {
            return Ok(key);
        }
    }
    AnswerSnafu { what: format!("{vm} owns none of the keys") }.fail()
}

/// Asks every daemon to end and waits until all have ended.
fn stop_all(system: &mut System) -> Result<()> {
    print_heading("Stop all VMs gracefully");
    let mut ended = 0;
    for (index, vm) in system.cluster.vms.iter_mut().enumerate() {
        if index == VICTIM {
            continue;
        }
        vm.process.term();
        let status = vm.process.wait(SHUTDOWN_TIMEOUT)?;
        ensure!(status.success(), AnswerSnafu { what: format!("{} {status}", vm.options.vm) });
        ended += 1;
    }
    println!("  {ended} VMs have ended; no request was cut off.");
    Ok(())
}
