//! Program that runs a stand-in or the load generator as a process of its own.
//!
//! Each server prints `listening on ADDR` and ends on SIGTERM or when its standard input is closed.

use std::error::Error;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use acaciaring_testing::{
    LoadOptions, LogOptions, LogServer, ProxyOptions, ProxyServer, Transport, UpstreamOptions,
    UpstreamServer, check_records, read_records, run_load,
};
use serde::de::DeserializeOwned;

xflags::xflags! {
    /// Stand-ins for the external systems of acaciaring, and a load generator.
    cmd acaciaring-standin {
        /// Stand-in for the platform's append-only log service.
        cmd log {
            /// Commands that are applied at the start, as JSON in the format of `POST /control`.
            optional --set json: String
        }
        /// Stand-in for an upstream.
        cmd upstream {
            /// Name in records and answers.
            optional --name name: String
            /// Workspace in announcements.
            optional --workspace workspace: String
            /// Admin address of the member to which it announces itself.
            optional --announce address: SocketAddr
            /// File that records the start and end of each executed request.
            optional --record path: PathBuf
            /// Duration of the cold start in milliseconds.
            optional --cold millis: u64
            /// Maximum number of requests that wait for a slot.
            optional --queue count: usize
            /// Commands that are applied at the start, as JSON in the format of `POST /control`.
            optional --set json: String
        }
        /// Fault-injecting proxy; also prints `control on ADDR`.
        cmd proxy {
            /// Forward UDP datagrams instead of TCP connections.
            optional --udp
            /// Target address; may be set later.
            optional --target address: SocketAddr
            /// Seed of random faults.
            optional --seed seed: u64
            /// Commands that are applied at the start, as JSON in the format of `POST /control`.
            optional --set json: String
        }
        /// Load generator; prints its figures as JSON.
        cmd load {
            /// Address of an entry.
            repeated --entry address: SocketAddr
            /// Other options in JSON.
            optional --options json: String
            /// Record files of upstreams against which the answers are checked.
            repeated --record path: PathBuf
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    match AcaciaringStandin::from_env_or_exit().subcommand {
        AcaciaringStandinCmd::Log(flags) => log(&flags),
        AcaciaringStandinCmd::Upstream(flags) => upstream(flags),
        AcaciaringStandinCmd::Proxy(flags) => proxy(&flags),
        AcaciaringStandinCmd::Load(flags) => load(&flags),
    }
}

fn log(flags: &Log) -> Result<(), Box<dyn Error>> {
    let server = LogServer::start(LogOptions::default())?;
    server.handle().set(&parse(flags.set.as_deref())?);
    serve(server.address())
}

fn upstream(flags: Upstream) -> Result<(), Box<dyn Error>> {
    let default = UpstreamOptions::default();
    let server = UpstreamServer::start(UpstreamOptions {
        name: flags.name.unwrap_or(default.name),
        workspace: flags.workspace.unwrap_or(default.workspace),
        announce: flags.announce,
        record: flags.record,
        cold: flags.cold.map_or(default.cold, Duration::from_millis),
        queue: flags.queue.unwrap_or(default.queue),
        ..UpstreamOptions::default()
    })?;
    server.handle().set(&parse(flags.set.as_deref())?);
    serve(server.address())
}

fn proxy(flags: &Proxy) -> Result<(), Box<dyn Error>> {
    let default = ProxyOptions::default();
    let server = ProxyServer::start(ProxyOptions {
        transport: if flags.udp { Transport::Udp } else { Transport::Tcp },
        target: flags.target,
        seed: flags.seed.unwrap_or(default.seed),
        ..default
    })?;
    server.handle().set(&parse(flags.set.as_deref())?);
    println!("control on {}", server.control());
    serve(server.address())
}

fn load(flags: &Load) -> Result<(), Box<dyn Error>> {
    let mut options: LoadOptions = parse(flags.options.as_deref())?;
    options.entries.extend(&flags.entry);
    let figures = run_load(&options)?;
    println!("{}", serde_json::to_string(&figures)?);
    if flags.record.is_empty() {
        return Ok(());
    }
    let mut records = Vec::new();
    for path in &flags.record {
        records.extend(read_records(path)?);
    }
    let report = check_records(&records, &figures.sent);
    println!("{}", serde_json::to_string(&report)?);
    if report.clean() { Ok(()) } else { Err("the check of the records found violations".into()) }
}

fn parse<T: DeserializeOwned + Default>(json: Option<&str>) -> Result<T, serde_json::Error> {
    json.map_or_else(|| Ok(T::default()), serde_json::from_str)
}

/// Prints the listening address and waits until standard input is closed.
fn serve(address: SocketAddr) -> Result<(), Box<dyn Error>> {
    println!("listening on {address}");
    io::stdout().flush()?;
    io::copy(&mut io::stdin().lock().by_ref(), &mut io::sink())?;
    Ok(())
}
