//! Stand-ins of the second review: store, application servers, clients, and the scripts' cases.
//!
//! Only the standard library is used. The program starts the project's own program as separate
//! processes, with settings filled in from `deploy/settings.ini`, and ends all of them.

mod case;
mod json;
mod server;
mod store;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two heartbeats of a server, as in the pages' settings.
pub const BEAT: Duration = Duration::from_millis(870);

/// Bounds of the pages' example of settings.
pub const BOUNDS: &str = "SeedLagS=3,ReuseAfterS=2,StabilityWindowMs=3000,AckTimeoutMs=4000,\
CatchUpS=4,DrainMs=2000,GraceS=6,LostMs=200,ConfigPropagationMs=2000,RollbackSlackMs=250,\
OuterMs=5000,BudgetRatio=0.2,BudgetWindowS=10,BudgetExtraAttempts=58,RecoveryS=15,HoldMaxMs=10000,\
ThawMs=300";

pub const ZONES: [&str; 4] = ["bethlehem", "kroonstad", "welkom", "bloem-a"];

/// What happened, with the time since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        let at = self.start.elapsed();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:9.4} {line}\n", at.as_secs_f64()));
        }
        let _ = fs::write(path, text);
    }
}

/// State that all stand-ins of a case share.
pub struct World {
    pub record: Record,
    pub checker: Mutex<server::Checker>,
    pub done: AtomicBool,
    pub ids: AtomicU64,
    /// True where heartbeats state the start of their server.
    pub born: AtomicBool,
}

impl World {
    pub fn new() -> Arc<Self> {
        let record = Record { start: Instant::now(), lines: Mutex::default() };
        Arc::new(Self {
            record,
            checker: Mutex::default(),
            done: AtomicBool::new(false),
            ids: AtomicU64::new(1),
            born: AtomicBool::new(false),
        })
    }
}

/// Addresses of one machine, all on loopback.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub ip: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    pub peer_port: u16,
}

/// Machine: the project's process, and the address of the server beside it.
pub struct Machine {
    pub name: String,
    pub at: Addresses,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Machine {
    pub fn new(dir: &Path, number: usize, service: &str, store: SocketAddr, grants: &str) -> Self {
        let at = addresses(number);
        let zone = ZONES[number % ZONES.len()];
        let name = format!("sidecar-{zone}-{number}");
        let template = fs::read_to_string("deploy/settings.ini").expect("deploy/settings.ini");
        let text = fill(&template, &[
            ("NodeName", name.as_str()),
            ("Zone", zone),
            ("Region", "free-state"),
            ("ListenAddresses.Outbound", &at.outbound.to_string()),
            ("ListenAddresses.Control", &at.control.to_string()),
            ("ListenAddresses.Ready", &at.ready.to_string()),
            ("IpAddress", &at.ip),
            ("InternalPorts.0", &at.peer_port.to_string()),
            ("Platform.Address", &store.to_string()),
            ("Platform.WritesPerS", "400"),
            ("Platform.ReadsPerS", "2000"),
            ("Limits.LinkMbps", "1000.0"),
            ("Limits.MemoryMb", "260"),
            ("Limits.FdLimit", "4100"),
            ("Service", service),
            ("AppAddress", &at.app.to_string()),
            ("HeartbeatIntervalMs", &BEAT.as_millis().to_string()),
            ("Grants", grants),
        ]);
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("settings");
        let log = dir.join(format!("{name}.log"));
        Self { name, at, settings, log, process: Mutex::default() }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let child = Command::new("target/release/acaciaring-platform")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("ACACIARING_BOOT", &self.settings)
            .env("ACACIARING_BOUNDS", BOUNDS)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        *self.process.lock().unwrap() = Some(child);
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
        }
    }

    /// Returns the exit state if the process has ended.
    pub fn ended(&self) -> Option<String> {
        let mut process = self.process.lock().unwrap();
        let state = process.as_mut()?.try_wait().ok()??;
        Some(state.to_string())
    }

    /// Returns resident memory in KiB.
    pub fn memory(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
        line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0)
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        exchange(self.at.ready, request.as_bytes(), Duration::from_secs(1))
            .is_some_and(|answer| answer.status == 200)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills in placeholders; sections are kept, since all of their values are present.
fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{#{name}}}}}"), "").replace(&format!("{{{{/{name}}}}}"), "");
        if *name == "Limits.LinkMbps" {
            text = text.replace("{{.}}", value);
        }
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Returns an address of its own on loopback for a machine, with free ports.
fn addresses(number: usize) -> Addresses {
    let ip = format!("127.{}.{}.{}", 20 + std::process::id() % 200, std::process::id() / 200 % 250, number + 1);
    let (a, b, c, d) = (port(&ip), port(&ip), port(&ip), port(&ip));
    let at = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
    let (a, b, c, d, peer_port) = (at(a), at(b), at(c), at(d), port(&ip));
    Addresses { ip, outbound: a, ready: b, control: c, app: d, peer_port }
}

/// Returns a port that is free for TCP and UDP, below those that connections are given.
fn port(ip: &str) -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let next = u64::from(std::process::id()) * 131 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 11_000 + (next % 19_000) as u16;
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads its answer, within a time.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> Option<Answer> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    read_answer(&mut stream, end)
}

pub fn read_answer(stream: &mut TcpStream, end: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return Some(answer);
        }
        let left = end.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let length: usize = answer.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = bytes.get(end + 4..end + 4 + length)?;
    answer.body = body.to_vec();
    Some(answer)
}

/// Request as a server or the store receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a request from a connection; `rest` keeps what follows it.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 16384];
    loop {
        if let Some(end) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let mut words = first.split(' ');
            let method = words.next()?.to_owned();
            let path = words.next()?.to_owned();
            let mut request = Request { method, path, headers, body: Vec::new() };
            let length: usize =
                request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while rest.len() < end + 4 + length {
                match stream.read(&mut buffer) {
                    Ok(count) if count > 0 => rest.extend_from_slice(&buffer[..count]),
                    _ => return None,
                }
            }
            request.body = rest[end + 4..end + 4 + length].to_vec();
            rest.drain(..end + 4 + length);
            return Some(request);
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => rest.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// Waits until a condition holds; false if it does not in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > limit {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Returns the time of day in Unix milliseconds.
fn unix_millis() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("a time of these days").as_millis()
}

/// Plays the case that the first word names; the second one is its folder.
fn main() {
    let mut words = std::env::args().skip(1);
    let name = words.next().unwrap_or_default();
    let folder = PathBuf::from(words.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let dir = std::env::temp_dir().join(format!("acaciaring-review-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let world = World::new();
    let code = case::run(&name, &world, &dir, trouble);
    world.done.store(true, Ordering::SeqCst);
    world.record.add(format!("exit code {code}"));
    world.record.write(&folder.join("record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    } else {
        eprintln!("logs kept in {}", dir.display());
    }
    std::process::exit(code);
}
