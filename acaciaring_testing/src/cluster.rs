//! A cluster on one machine: stand-ins for the log service and the upstreams, and daemon processes.

use std::ffi::OsStr;
use std::fmt::Write as _;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_core::route::{self, Document, DocumentKind};
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::error::{AnswerSnafu, Error, HttpSnafu, IoSnafu, Result};
use crate::harness::{Authority, Process, TempDir, wait_until};
use crate::log::{LogOptions, LogServer};
use crate::upstream::{Run, UpstreamOptions, UpstreamServer};

/// Time within which a daemon must print its listening addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of each HTTP request to a daemon.
const HTTP_TIMEOUT: Duration = Duration::from_secs(12);

/// Options of one VM.
#[derive(Debug, Clone, Default)]
pub struct VmOptions {
    /// Name of the VM.
    pub vm: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Workspace served by its upstream; `None` for a VM without an upstream.
    pub workspace: Option<String>,
    /// Address at which the daemon reaches the log, such as a proxy; the log itself when `None`.
    pub log: Option<SocketAddr>,
    /// Address advertised to other members, such as a proxy; the listening address when `None`.
    pub advertised: Option<SocketAddr>,
    /// Listening address for other members; a free port when `None`.
    pub peer: Option<SocketAddr>,
    /// Lines appended to the settings file.
    pub settings: String,
    /// File that receives the daemon's standard error; inherited from the test when `None`.
    pub stderr: Option<PathBuf>,
}

/// Options of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Options of the log stand-in.
    pub log: LogOptions,
    /// Options of all upstreams; name, workspace and announce address are overridden for each.
    pub upstream: UpstreamOptions,
    /// Log level of the daemons.
    pub level: String,
}

/// A VM with its daemon and upstream.
pub struct Vm {
    /// Options with which the VM was started.
    pub options: VmOptions,
    /// Path of the daemon's settings file.
    pub file: PathBuf,
    /// Process of the daemon.
    pub process: Process,
    /// Listening address for callers.
    pub http: SocketAddr,
    /// Listening address for other members.
    pub peer: SocketAddr,
    /// Listening address for upstream announcements and the command-line tool.
    pub admin: SocketAddr,
    /// Upstream of the daemon, if it has one.
    pub upstream: Option<UpstreamServer>,
}

impl Vm {
    /// Returns the requests that were executed by its upstream.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.upstream.as_ref().map(|upstream| upstream.handle().records()).unwrap_or_default()
    }
}

/// A running cluster; dropping it ends all processes and stand-ins.
pub struct Cluster {
    /// VMs in the order in which they were added.
    pub vms: Vec<Vm>,
    /// Log stand-in.
    pub log: LogServer,
    options: ClusterOptions,
    authority: Authority,
    dir: TempDir,
    started: usize,
    /// Requests executed by the upstreams of replaced VMs.
    replaced_runs: Vec<Run>,
}

impl Cluster {
    /// Starts the log stand-in; VMs are added by [`Cluster::add`].
    ///
    /// # Errors
    ///
    /// When the certificate authority cannot be created or the log stand-in cannot be started.
    pub fn start(options: ClusterOptions) -> Result<Self> {
        let dir = TempDir::new()?;
        let authority = Authority::new(&dir, "authority")?;
        let log = LogServer::start(options.log)?;
        Ok(Self {
            vms: Vec::new(),
            log,
            options,
            authority,
            dir,
            started: 0,
            replaced_runs: Vec::new(),
        })
    }

    /// Starts a VM and returns its index.
    ///
    /// # Errors
    ///
    /// When the daemon or its upstream cannot be started.
    pub fn add(&mut self, options: VmOptions) -> Result<usize> {
        let vm = self.start_vm(options)?;
        self.vms.push(vm);
        Ok(self.vms.len() - 1)
    }

    /// Restarts a VM that has ended, with the same options and a new upstream.
    ///
    /// # Errors
    ///
    /// When the daemon or its upstream cannot be started.
    pub fn replace(&mut self, index: usize) -> Result<()> {
        let options = self.vms[index].options.clone();
        self.replaced_runs.extend(self.vms[index].runs());
        self.vms[index] = self.start_vm(options)?;
        Ok(())
    }

    /// Simulates the loss of a VM: kills the daemon and stops the upstream.
    pub fn kill(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        vm.process.kill();
        if let Some(upstream) = &vm.upstream {
            upstream.stop();
        }
    }

    /// Returns the requests executed by all upstreams, those of replaced VMs included.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.replaced_runs.iter().cloned().chain(self.vms.iter().flat_map(Vm::runs)).collect()
    }

    /// Returns the name of the VM that owns a key according to the daemon of VM `vm`.
    #[must_use]
    pub fn owner(&self, vm: usize, workspace: &str, key: &str) -> Option<String> {
        let path = format!("/v1/owner?workspace={workspace}&key={key}");
        let answer = self.admin(vm, &path).ok()?;
        answer["owner"]["vm"].as_str().map(str::to_owned)
    }

    fn start_vm(&mut self, options: VmOptions) -> Result<Vm> {
        self.started += 1;
        let file = self.write_settings(&options)?;
        let arguments = [OsStr::new("--config"), file.as_os_str()];
        let mut command = Command::new(&self.options.daemon);
        command.args(arguments);
        if let Some(path) = &options.stderr {
            command.stderr(File::create(path).context(IoSnafu { what: "create a file" })?);
        }
        let process = Process::spawn_with(&mut command)?;
        let line = process.line("listening ", START_TIMEOUT)?;
        let admin = listed_address(&line, "admin")?;
        let upstream = options.workspace.as_ref().map(|workspace| {
            UpstreamServer::start(UpstreamOptions {
                name: options.vm.clone(),
                workspace: workspace.clone(),
                announce: Some(admin),
                ..self.options.upstream.clone()
            })
        });
        let upstream = upstream.transpose()?;
        let (http, peer) = (listed_address(&line, "http")?, listed_address(&line, "peer")?);
        Ok(Vm { options, file, process, http, peer, admin, upstream })
    }

    fn write_settings(&self, options: &VmOptions) -> Result<PathBuf> {
        let name = format!("{}-{}", options.vm, self.started);
        let identity = self.authority.issue(&self.dir, &name)?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let log = options.log.unwrap_or_else(|| self.log.address());
        let mut text = String::new();
        let VmOptions { vm, data_centre, region, .. } = options;
        let peer = options.peer.unwrap_or(any);
        let level = &self.options.level;
        let lines = [
            format!("[member]\nvm = {vm}\ndata_centre = {data_centre}\nregion = {region}\n"),
            format!("[listen]\nhttp = {any}\npeer = {peer}\nadmin = {any}\n"),
            options
                .advertised
                .map_or_else(String::new, |address| format!("advertised = {address}\n")),
            format!("[log]\naddress = {log}\n"),
            format!("[tls]\ncertificate = {}\n", identity.certificate.display()),
            format!(
                "key = {}\nauthority = {}\n",
                identity.key.display(),
                self.authority.certificate.display()
            ),
            format!("[logging]\nlevel = {level}\n{}", options.settings),
        ];
        for line in lines {
            _ = write!(text, "{line}");
        }
        self.dir.write(&format!("{name}.ini"), &text)
    }

    /// Publishes a document through a VM and returns the offset of its log record.
    ///
    /// # Errors
    ///
    /// When the document is invalid, refused or not confirmed.
    pub fn publish(
        &self,
        vm: usize,
        kind: DocumentKind,
        name: &str,
        text: &str,
        base: u64,
    ) -> Result<u64> {
        let document =
            route::parse(kind, name, text).map_err(|faults| validation_error(&faults))?;
        let answer = post(self.vms[vm].admin, "/v1/publish", &publish_body(&document, base))?;
        answer["offset"].as_u64().context(AnswerSnafu { what: answer.to_string() })
    }

    /// Retires a document through a VM and returns the offset of its log record.
    ///
    /// # Errors
    ///
    /// When the retirement is refused or not confirmed.
    pub fn retire(&self, vm: usize, kind: DocumentKind, name: &str, base: u64) -> Result<u64> {
        let document = Document { kind, name: name.into(), fields: Vec::new() };
        let mut body = publish_body(&document, base);
        body["retired"] = true.into();
        let answer = post(self.vms[vm].admin, "/v1/publish", &body)?;
        answer["offset"].as_u64().context(AnswerSnafu { what: answer.to_string() })
    }

    /// Reads a path of the admin interface of a VM.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or the answer is not JSON.
    pub fn admin(&self, vm: usize, path: &str) -> Result<Value> {
        get(self.vms[vm].admin, path)
    }

    /// Waits until each VM in `vms` holds its lease and sees an owner of slots of the workspace.
    ///
    /// # Errors
    ///
    /// When this does not happen within `bound`.
    pub fn settle(&self, workspace: &str, vms: &[usize], bound: Duration) -> Result<()> {
        wait_until(&format!("owner of workspace {workspace}"), bound, || {
            vms.iter().all(|vm| {
                let members = self.admin(*vm, "/v1/members").unwrap_or_default();
                let status = self.admin(*vm, "/v1/status").unwrap_or_default();
                let owned: u64 = member_rows(&members)
                    .filter(|row| row["workspace"] == workspace)
                    .map(owned_slots)
                    .sum();
                status["leased"] == true && owned > 0
            })
        })
    }
}

fn owned_slots(row: &Value) -> u64 {
    row["owned"].as_u64().unwrap_or(0)
}

fn member_rows(value: &Value) -> impl Iterator<Item = &Value> {
    value["members"].as_array().into_iter().flatten()
}

fn validation_error(faults: &[route::Fault]) -> Error {
    let what = faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    AnswerSnafu { what }.build()
}

fn listed_address(line: &str, name: &str) -> Result<SocketAddr> {
    let found = line.split_whitespace().find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|address| address.parse().ok()).context(AnswerSnafu { what: line })
}

fn publish_body(document: &Document, base: u64) -> Value {
    let id = format!("{:032x}", rand::random::<u128>());
    let kind = match document.kind {
        DocumentKind::Template => "template",
        DocumentKind::Parameters => "parameters",
    };
    let field = |field: &route::DocumentField| json!({ "section": &*field.section, "key": &*field.key, "value": &*field.value, "line": field.line });
    let fields: Vec<Value> = document.fields.iter().map(field).collect();
    json!({ "id": id, "kind": kind, "name": &*document.name, "base": base, "retired": false, "fields": fields })
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(HTTP_TIMEOUT))
        .build()
        .into()
}

fn get(admin: SocketAddr, path: &str) -> Result<Value> {
    let mut response = agent()
        .get(format!("http://{admin}{path}"))
        .call()
        .context(HttpSnafu { address: admin })?;
    let text = response.body_mut().read_to_string().context(HttpSnafu { address: admin })?;
    serde_json::from_str(&text).ok().context(AnswerSnafu { what: text })
}

fn post(admin: SocketAddr, path: &str, body: &Value) -> Result<Value> {
    let request = agent().post(format!("http://{admin}{path}"));
    let mut response = request.send(body.to_string()).context(HttpSnafu { address: admin })?;
    let text = response.body_mut().read_to_string().context(HttpSnafu { address: admin })?;
    serde_json::from_str(&text).ok().context(AnswerSnafu { what: text })
}

/// Answer of the router to a caller.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the header `x-acaciaring-verdict`.
    pub verdict: String,
    /// Value of the header `x-acaciaring-reason`; empty when absent.
    pub reason: String,
    /// Body as text.
    pub body: String,
    /// Time from sending the request to the end of the answer.
    pub took: Duration,
}

/// Request of a caller.
#[derive(Debug, Clone, Default)]
pub struct Ask<'a> {
    /// HTTP method; `GET` when empty.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Value of the `Host` header; not set when empty.
    pub host: &'a str,
    /// Value of the `Idempotency-Key` header; not sent when empty.
    pub key: &'a str,
    /// Body.
    pub body: &'a str,
}

/// Sends a request to an entry member and waits for the answer.
///
/// # Errors
///
/// When the entry does not answer within the request timeout.
pub fn ask(entry: SocketAddr, ask: &Ask<'_>) -> Result<Reply> {
    let start = Instant::now();
    let method = if ask.method.is_empty() { "GET" } else { ask.method };
    let mut request =
        ureq::http::Request::builder().method(method).uri(format!("http://{entry}{}", ask.path));
    for (name, value) in [("host", ask.host), ("idempotency-key", ask.key)] {
        if !value.is_empty() {
            request = request.header(name, value);
        }
    }
    let request = request
        .body(ask.body.to_owned())
        .ok()
        .context(AnswerSnafu { what: "invalid HTTP request" })?;
    let mut response = agent().run(request).context(HttpSnafu { address: entry })?;
    let header = |name| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (verdict, reason) = (header("x-acaciaring-verdict"), header("x-acaciaring-reason"));
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().context(HttpSnafu { address: entry })?;
    Ok(Reply { status, verdict, reason, body, took: start.elapsed() })
}

/// Repeats a request until an upstream answers it or `bound` has passed; returns the last reply.
///
/// # Errors
///
/// When the entry does not answer within the request timeout.
pub fn ask_until_answered(entry: SocketAddr, request: &Ask<'_>, bound: Duration) -> Result<Reply> {
    let end = Instant::now() + bound;
    loop {
        let reply = ask(entry, request)?;
        if reply.verdict == "answered" || Instant::now() >= end {
            return Ok(reply);
        }
        thread::sleep(Duration::from_millis(20));
    }
}
