//! Cluster of real daemons and a runner of the tool.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use acaciaring_testing::harness::{TempDir, program, wait_until};
use acaciaring_testing::{Cluster, ClusterOptions, LogOptions, UpstreamOptions, VmOptions, demo};

/// Workspace of three VMs.
pub const CONTRACTS: &str = "korenveld-contracts";

/// Workspace of one VM.
pub const GUICHET: &str = "laurentides-guichet";

/// VMs: data centre, region and workspace.
const VMS: [(&str, &str, &str); 4] = [
    ("bethlehem", "free-state", CONTRACTS),
    ("kroonstad", "free-state", CONTRACTS),
    ("welkom", "free-state", CONTRACTS),
    ("laval-nord", "qc-centre", GUICHET),
];

/// Timeout for a new cluster to form and assign its slots.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Serialises the tests, because each cluster has hundreds of threads.
pub fn lock_system() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running cluster with a directory for test files.
pub struct System {
    pub cluster: Cluster,
    directory: TempDir,
}

impl System {
    /// Starts the VMs, and waits until all of them are members.
    pub fn start(settings: &str) -> Self {
        let options = ClusterOptions {
            daemon: program("acaciaringd").expect("run `cargo build -p acaciaringd` first"),
            log: LogOptions::default(),
            upstream: UpstreamOptions::default(),
            level: std::env::var("ACACIARING_TEST_LEVEL").unwrap_or_else(|_| "warn".into()),
        };
        let mut cluster = Cluster::start(options).expect("the log stand-in starts");
        for (number, (data_centre, region, workspace)) in VMS.into_iter().enumerate() {
            let options = VmOptions {
                vm: format!("vm-{number}"),
                data_centre: data_centre.into(),
                region: region.into(),
                workspace: Some(workspace.into()),
                settings: settings.into(),
                ..VmOptions::default()
            };
            cluster.add(options).expect("a VM starts");
        }
        wait_until("all are members", STARTUP_TIMEOUT, || {
            (0..VMS.len()).all(|vm| members(&cluster, vm) == VMS.len())
        })
        .expect("all join");
        let directory = TempDir::new().expect("a directory can be made");
        Self { cluster, directory }
    }

    /// Waits until the slots of both workspaces have owners.
    pub fn wait_for_owners(&self) {
        let all: Vec<usize> = (0..VMS.len()).collect();
        for workspace in [CONTRACTS, GUICHET] {
            self.cluster.settle(workspace, &all, STARTUP_TIMEOUT).expect("the slots have owners");
        }
    }

    /// Admin address of a VM.
    pub fn address(&self, vm: usize) -> String {
        self.cluster.vms[vm].admin.to_string()
    }

    /// Runs the tool with the admin address of a VM.
    pub fn tool(&self, vm: usize, args: &[&str]) -> Run {
        run(&[&["--member", self.address(vm).as_str()], args].concat())
    }

    /// Runs the tool with JSON output.
    pub fn json(&self, vm: usize, args: &[&str]) -> Run {
        self.tool(vm, &[&["--format", "json"], args].concat())
    }

    /// Writes the parameters of [`CONTRACTS`] with another signing deadline; returns the path.
    pub fn parameters(&self, deadline: &str) -> String {
        let path = root().join(format!("examples/korenveld/parameters/{CONTRACTS}.ini"));
        let text = fs::read_to_string(path).expect("the example is there");
        let text = text.replace("sign-deadline = 2s", &format!("sign-deadline = {deadline}"));
        let name = deadline.split_whitespace().collect::<Vec<_>>().join("-");
        let path = self.directory.write(&format!("{name}.ini"), &text);
        path.expect("the file can be written").display().to_string()
    }
}

fn members(cluster: &Cluster, vm: usize) -> usize {
    let members = cluster.admin(vm, "/v1/members").unwrap_or_default();
    members["members"].as_array().map_or(0, Vec::len)
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

/// Returns the paths of the example documents.
pub fn examples() -> Vec<String> {
    let files = demo::examples(&root().join("examples")).expect("the examples are there");
    files.iter().map(|file| file.display().to_string()).collect()
}

/// Result of one run of the tool.
#[derive(Debug)]
pub struct Run {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

/// Runs the tool.
pub fn run(args: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_acaciaring")).args(args).output();
    let output = output.expect("the tool runs");
    Run {
        code: output.status.code().expect("the tool ends by itself"),
        out: String::from_utf8(output.stdout).expect("the output is text"),
        err: String::from_utf8(output.stderr).expect("the output is text"),
    }
}
