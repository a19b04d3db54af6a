//! Resources that idle members use, by the number of members.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::Result;
use crate::experiment::deployment::Deployment;
use crate::experiment::system::{System, SystemOptions};
use crate::experiment::table::Table;
use crate::upstream::UpstreamOptions;

use super::CostOptions;
use super::process::{cpu_time, resident_kib};

/// Time between the start of a system and its first sample.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Time between the two samples of a system.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Cumulative counters of a system at one time.
struct Sample {
    taken: Instant,
    cpu_time: Duration,
    /// Bytes sent between members.
    bytes: u64,
    datagrams: u64,
    /// Bytes that the log received and sent, HTTP headers excluded.
    log: u64,
    /// Reads and appends answered by the log.
    calls: u64,
}

/// Measures an idle system of each size in the options.
pub(super) fn measure(options: &CostOptions) -> Result<Table> {
    let mut table = Table::new(&[
        "members",
        "resident memory, mean / most, MiB",
        "processor share of a member, %",
        "sent to members, B/s a member",
        "datagrams sent, /s a member",
        "log records, B/s a member",
        "log calls, /s a member",
    ]);
    for members in &options.members {
        table.add_row(row(options, *members)?);
    }
    Ok(table)
}

fn row(options: &CostOptions, members: usize) -> Result<Vec<String>> {
    let mut system = System::new(SystemOptions {
        daemon: options.daemon.clone(),
        settings: String::new(),
        upstream: UpstreamOptions::default(),
        proxies: true,
    })?;
    let deployment = Deployment::Korenveld;
    for number in 0..members {
        system.add(deployment.vm(&deployment.keyed(), number))?;
    }
    system.publish(deployment)?;
    system.settle(deployment)?;
    thread::sleep(WARM_UP_TIME);
    let before = take_sample(&system);
    thread::sleep(MEASUREMENT_TIME);
    let after = take_sample(&system);
    let sizes: Vec<u64> =
        system.cluster.vms.iter().map(|vm| resident_kib(vm.process.id())).collect();
    Ok(cells(members, &sizes, &before, &after))
}

fn take_sample(system: &System) -> Sample {
    let vms = &system.cluster.vms;
    let passed = system.proxies.iter().map(|proxy| proxy.handle().datagrams());
    let (bytes, datagrams) =
        passed.fold((0, 0), |sum, next| (sum.0 + next.bytes, sum.1 + next.count));
    let log = system.cluster.log.handle().counts();
    Sample {
        taken: Instant::now(),
        cpu_time: vms.iter().map(|vm| cpu_time(vm.process.id())).sum(),
        bytes,
        datagrams,
        log: log.received + log.sent,
        calls: log.reads + log.appends,
    }
}

#[allow(clippy::cast_precision_loss)]
fn cells(members: usize, sizes: &[u64], before: &Sample, after: &Sample) -> Vec<String> {
    let time = (after.taken - before.taken).as_secs_f64() * members as f64;
    let rate = |after: u64, before: u64| format!("{:.1}", (after - before) as f64 / time);
    let share = after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64() / time * 100.0;
    let mebi = |kibi: f64| kibi / 1024.0;
    let mean = sizes.iter().sum::<u64>() as f64 / members as f64;
    let most = sizes.iter().max().copied().unwrap_or_default() as f64;
    vec![
        members.to_string(),
        format!("{:.1} / {:.1}", mebi(mean), mebi(most)),
        format!("{share:.2}"),
        rate(after.bytes, before.bytes),
        rate(after.datagrams, before.datagrams),
        rate(after.log, before.log),
        rate(after.calls, before.calls),
    ]
}
