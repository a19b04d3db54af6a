//! Demo on one machine: publication of documents, routing, ownership, loss of a VM and shutdown.

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

/// Deployment that the demo runs.
const DEPLOYMENT: Deployment = Deployment::Korenveld;

/// Path prefixes of the services in the example documents.
const CONTRACTS_PATH: &str = "/korenveld/contracts";
const QUALITY_LAB_PATH: &str = "/korenveld/quality-lab";

/// Keys of the demo's requests.
const KEYS: [&str; 3] = ["order-17", "order-58", "order-93"];

/// Index of the VM that is killed.
const VICTIM: usize = 3;

/// Keys that are looked up to find one that a VM owns.
const MAX_TRIED_KEYS: usize = 1000;

/// Time within which a request must be answered, also after the loss of its key's owner.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time within which a daemon must shut down gracefully.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(25);

/// Programs and documents of the demo.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Path of the command-line tool.
    pub tool: PathBuf,
    /// Paths of the templates and parameters.
    pub documents: Vec<PathBuf>,
}

/// Runs the demo and prints each step to standard output.
///
/// # Errors
///
/// When a step fails or has an unexpected result.
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

/// Returns the path of a program in the directory of the running executable.
///
/// # Errors
///
/// When the directory has no such program.
pub fn sibling_program(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().context(IoSnafu { what: "find this program" })?;
    let path = own.parent().map(|dir| dir.join(name)).filter(|path| path.exists());
    path.context(OptionsSnafu {
        what: format!("program {name} not found beside {}", own.display()),
    })
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

/// Sends reads and writes to both services through several entries.
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
    ensure!(
        execution_count(system, &path) == 1,
        AnswerSnafu { what: "the repeated signature was executed again" }
    );
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

/// Returns how often requests with the path were executed on all upstreams.
fn execution_count(system: &System, path: &str) -> usize {
    let upstreams = system.cluster.vms.iter().filter_map(|vm| vm.upstream.as_ref());
    let runs = upstreams.flat_map(|upstream| upstream.handle().records());
    runs.filter(|run| run.path == path).count()
}

/// Kills a VM and waits until another VM serves one of its keys.
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
    ensure!(
        again.verdict == "answered",
        AnswerSnafu { what: "the key is not served after the loss of its owner" }
    );
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
    AnswerSnafu { what: format!("{vm} owns none of the keys that were looked up") }.fail()
}

/// Shuts down every remaining daemon gracefully.
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
