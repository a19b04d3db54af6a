//! Latency and CPU time of a request through the router, against a direct call to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{AnswerSnafu, Result};
use crate::experiment::deployment::Deployment;
use crate::experiment::system::{System, SystemOptions};
use crate::experiment::table::{Table, format_millis};
use crate::load::{ClassFigures, LoadClass, LoadOptions, run_load};
use crate::upstream::{UpstreamOptions, UpstreamServer};

use super::CostOptions;
use super::process::cpu_time;

/// Number of members, each in a data centre of its own.
const MEMBERS: usize = 3;

/// Callers, each with one outstanding request.
const CALLERS: usize = 8;

/// Duration of the load of each case.
const LOAD_DURATION_MS: u64 = 4000;

/// Service time of a request at an upstream.
const SERVICE_TIME: Duration = Duration::from_millis(1);

/// Keys that are looked up to find one that the first VM owns.
const MAX_TRIED_KEYS: usize = 1000;

/// Disables moves of keys, so that the path of a request stays the same during a run.
const NO_MOVES: &str = "[balance]\nmoves = 0\n";

/// Path of a request that is measured.
struct PathCase {
    name: &'static str,
    entry: SocketAddr,
    direct: bool,
    once: bool,
    /// Roles and process ids of the daemons involved in the request.
    hops: Vec<(&'static str, u32)>,
}

/// Measures all cases.
pub(super) fn measure(options: &CostOptions) -> Result<Table> {
    let mut system = System::new(SystemOptions {
        daemon: options.daemon.clone(),
        settings: NO_MOVES.into(),
        upstream: UpstreamOptions { service: SERVICE_TIME, ..UpstreamOptions::default() },
        proxies: false,
    })?;
    let deployment = Deployment::Korenveld;
    let keyed = deployment.keyed();
    for number in 0..MEMBERS {
        system.add(deployment.vm(&keyed, number))?;
    }
    system.publish(deployment)?;
    system.settle(deployment)?;
    let plain = UpstreamServer::start(UpstreamOptions {
        fenced: false,
        service: SERVICE_TIME,
        ..Default::default()
    })?;
    let (key, standby) = key_owned_by_first_vm(&system)?;
    let other = (1..MEMBERS).find(|index| *index != standby).unwrap_or(1);
    let path = format!("/{}/{key}", keyed.name);
    let mut table = Table::new(&[
        "way",
        "requests/s",
        "p50 ms",
        "p99 ms",
        "p50 by direct",
        "p50 more than direct, ms",
        "processor time a request, µs",
        "not answered",
    ]);
    let mut first = None;
    for (number, case) in cases(&system, plain.address(), standby, other).iter().enumerate() {
        let seed = options.seed.wrapping_add(number as u64);
        let (class, spent) = load(case, &path, seed)?;
        let direct = *first.get_or_insert(class.p50);
        table.add_row(row(case, &class, direct, &spent));
    }
    Ok(table)
}

/// Returns a key that the first VM owns and the index of its standby's VM.
fn key_owned_by_first_vm(system: &System) -> Result<(String, usize)> {
    let vms = &system.cluster.vms;
    let workspace = vms[0].options.workspace.as_deref().unwrap_or_default();
    for number in 0..MAX_TRIED_KEYS {
        let key = format!("key-{number}");
        let owner =
            system.cluster.admin(0, &format!("/v1/owner?workspace={workspace}&key={key}"))?;
        if owner["owner"]["vm"] == vms[0].options.vm.as_str() {
            let standby =
                vms.iter().position(|vm| owner["standby"]["vm"] == vm.options.vm.as_str());
            return Ok((key, standby.unwrap_or(1)));
        }
    }
    AnswerSnafu { what: "no key is owned by the first VM" }.fail()
}

fn cases(system: &System, plain: SocketAddr, standby: usize, other: usize) -> Vec<PathCase> {
    let vms = &system.cluster.vms;
    let id = |name, index: usize| (name, vms[index].process.id());
    let (owner, entry) = (vms[0].http, vms[other].http);
    let case = |name, entry, once, hops| PathCase { name, entry, direct: false, once, hops };
    vec![
        PathCase { name: "direct read", entry: plain, direct: true, once: false, hops: vec![] },
        case("read, owner is entry", owner, false, vec![id("owner", 0)]),
        case("read, entry to owner", entry, false, vec![id("entry", other), id("owner", 0)]),
        case(
            "write once, owner is entry",
            owner,
            true,
            vec![id("owner", 0), id("standby", standby)],
        ),
        case(
            "write once, entry to owner",
            entry,
            true,
            vec![id("entry", other), id("owner", 0), id("standby", standby)],
        ),
    ]
}

/// Runs the load of a case; returns its figures and the CPU time of each hop.
fn load(case: &PathCase, path: &str, seed: u64) -> Result<(ClassFigures, Vec<Duration>)> {
    let class = LoadClass {
        path: path.into(),
        method: if case.once { "POST" } else { "GET" }.into(),
        once: case.once,
        ..LoadClass::default()
    };
    let name = class.name.clone();
    let load = LoadOptions {
        entries: vec![case.entry],
        threads: CALLERS,
        duration: LOAD_DURATION_MS,
        seed,
        direct: case.direct,
        classes: vec![class],
        ..LoadOptions::default()
    };
    let used = || case.hops.iter().map(|(_, id)| cpu_time(*id)).collect::<Vec<_>>();
    let before = used();
    let mut figures = run_load(&load)?;
    let spent =
        used().iter().zip(&before).map(|(after, before)| after.saturating_sub(*before)).collect();
    Ok((figures.classes.remove(&name).unwrap_or_default(), spent))
}

#[allow(clippy::cast_precision_loss)]
fn row(case: &PathCase, class: &ClassFigures, direct: u64, spent: &[Duration]) -> Vec<String> {
    let each = |spent: &Duration| spent.as_micros() / u128::from(class.answered.max(1));
    let hops = case.hops.iter().zip(spent);
    let hops: Vec<String> =
        hops.map(|((name, _), spent)| format!("{name} {}", each(spent))).collect();
    vec![
        case.name.into(),
        format!("{:.0}", class.goodput),
        format_millis(class.p50),
        format_millis(class.p99),
        format!("{:.2}", class.p50 as f64 / direct.max(1) as f64),
        format_millis(class.p50.saturating_sub(direct)),
        hops.join(", "),
        (class.sent - class.answered).to_string(),
    ]
}
