//! A machine: its addresses, the settings of its node from the template, and the node's process.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, id};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{env, thread};

use crate::http;

const BOUNDS: &str = r#"{"SeedLagS":3,"ReuseAfterS":2,"StabilityWindowMs":3000,"AckTimeoutMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":6,"LostMs":200,"ConfigPropagationMs":2000,"RollbackSlackMs":250,"OuterMs":5000,"BudgetRatio":0.2,"BudgetWindowS":10,"BudgetExtraAttempts":58,"RecoveryS":15,"HoldMaxMs":10000,"ThawMs":300}"#;

pub const ZONES: [&str; 4] = ["bethlehem", "kroonstad", "welkom", "bloem-a"];

/// Ports are the same on all machines; each machine has a loopback address of its own.
pub const OUTBOUND: u16 = 8147;
pub const READY: u16 = 8141;
pub const CONTROL: u16 = 8144;
pub const APP: u16 = 8145;
const PEER: u16 = 7380;
const METRICS: u16 = 9464;
pub const STORE: u16 = 8142;

/// Returns the first free block of loopback addresses: `127.A.B.`.
pub fn block() -> String {
    for offset in 0..200_u32 {
        let number = id().wrapping_add(offset * 7);
        let block = format!("127.{}.{}.", 20 + number % 200, 1 + number / 200 % 250);
        let free = (1..=12).all(|last| {
            let tcp = [OUTBOUND, READY, CONTROL, APP, METRICS, STORE]
                .into_iter()
                .all(|port| TcpListener::bind(format!("{block}{last}:{port}")).is_ok());
            tcp && UdpSocket::bind(format!("{block}{last}:{PEER}")).is_ok()
        });
        if free {
            return block;
        }
    }
    panic!("no free loopback addresses");
}

pub struct Node {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub service: String,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Node {
    pub fn new(dir: &Path, block: &str, number: usize, service: &str, store: SocketAddr) -> Self {
        let zone = ZONES[number % 4].to_owned();
        let name = format!("sidecar-{zone}-{}", number / 4 + 1);
        let ip = format!("{block}{}", number + 1);
        let settings = dir.join(format!("{name}.ini"));
        let template = fs::read_to_string("deploy/settings.ini").expect("the template");
        let text = template
            .replace("{{NodeName}}", &name)
            .replace("{{Zone}}", &zone)
            .replace("{{Region}}", "free-state")
            .replace("{{ListenAddresses.Outbound}}", &format!("{ip}:{OUTBOUND}"))
            .replace("{{ListenAddresses.Control}}", &format!("{ip}:{CONTROL}"))
            .replace("{{ListenAddresses.Ready}}", &format!("{ip}:{READY}"))
            .replace("{{InternalPorts.0}}", &PEER.to_string())
            .replace("{{IpAddress}}", &ip)
            .replace("{{Platform.Address}}", &store.to_string())
            .replace("{{Platform.WritesPerS}}", "400")
            .replace("{{Platform.ReadsPerS}}", "2000")
            .replace("{{#Limits.LinkMbps}}link = {{.}}{{/Limits.LinkMbps}}", "link = 1000.0")
            .replace(
                "{{#Limits.MemoryMb}}memory = {{Limits.MemoryMb}}000000B{{/Limits.MemoryMb}}",
                "memory = 260000000B",
            )
            .replace("{{#Limits.FdLimit}}descriptors = {{Limits.FdLimit}}{{/Limits.FdLimit}}", "descriptors = 4100")
            .replace("{{Service}}", service)
            .replace("{{AppAddress}}", &format!("{ip}:{APP}"))
            .replace("{{HeartbeatIntervalMs}}", "870")
            .replace("{{#Grants}}grants = {{Grants}}{{/Grants}}", "grants = heartbeat");
        assert!(!text.contains("{{"), "a placeholder is left in the settings");
        fs::write(&settings, text).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        Self { name, ip, zone, service: service.to_owned(), settings, log, process: Mutex::new(None) }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    /// Starts the node's process as the deploy file says.
    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("its log");
        let process = Command::new("target/release/acaciaring-platform")
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("ACACIARING_BOOT", &self.settings)
            .env("ACACIARING_BOUNDS", BOUNDS)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("its log"))
            .stderr(log)
            .spawn()
            .expect("the node starts");
        *self.process.lock().unwrap() = Some(process);
    }

    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM, and SIGKILL six seconds later; returns how long it took to end.
    pub fn stop(&self) -> Duration {
        let began = Instant::now();
        let Some(mut process) = self.process.lock().unwrap().take() else { return Duration::ZERO };
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", process.id())]).status();
        while began.elapsed() < Duration::from_secs(6) {
            if matches!(process.try_wait(), Ok(Some(_))) {
                return began.elapsed();
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = process.kill();
        let _ = process.wait();
        began.elapsed()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.address(READY), request, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub const CONFIG: &str = r#"{"Version":"r7","Routes":{"Columns":["Name","Host","PathPrefix","Kind","TimeoutMs","TargetLatencyMs","Priority","Service","MaxAttempts","WeightedServices"],"Rows":[["r-sign","mill.example","/sign/","non_idempotent",800,400,1,"contracts",2,null],["r-look","mill.example","/look/","idempotent",1200,300,2,"contracts",2,null],["r-grade","mill.example","/grade/","idempotent",2000,1000,2,"quality-lab",2,null]]},"Services":{"Columns":["Name","HealthPath","ConnectionLimit","Protocol","Tls","Sharded","WarmupS","Grants"],"Rows":[["contracts","/health",110,"h1",false,true,3.0,"heartbeat"],["quality-lab","/health",110,"h1",false,null,null,null]]},"Limits":{"HeaderBytes":16384,"BodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"BaseVersion":"r5"}"#;
