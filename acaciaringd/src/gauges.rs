//! Thread that reports the gauges and flushes the metrics.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use crate::body_memory::BodyMemory;
use crate::clock;
use crate::egress::Egress;
use crate::gate::Gate;
use crate::metrics::{Gauge, Metrics};
use crate::view::Shared;

/// Interval between two reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Starts the thread, which ends once the gate is dropped.
pub(crate) fn start(
    shared: &Arc<Shared>,
    gate: &Arc<Gate>,
    egress: Egress,
    bodies: BodyMemory,
    metrics: Metrics,
) {
    let (shared, gate) = (Arc::downgrade(shared), Arc::downgrade(gate));
    let run = move || {
        while send(&shared, &gate, &egress, &bodies, &metrics).is_some() {
            thread::sleep(INTERVAL);
        }
    };
    thread::Builder::new()
        .name("metrics".into())
        .spawn(run)
        .expect("the operating system starts a thread");
}

fn send(
    shared: &Weak<Shared>,
    gate: &Weak<Gate>,
    egress: &Egress,
    bodies: &BodyMemory,
    metrics: &Metrics,
) -> Option<()> {
    let (shared, gate) = (shared.upgrade()?, gate.upgrade()?);
    let (busy, waiting) = gate.request_counts();
    metrics.gauge(Gauge::UpstreamBusy, busy as u64);
    metrics.gauge(Gauge::UpstreamQueue, waiting as u64);
    metrics.gauge(Gauge::LinkBacklog, egress.backlog());
    metrics.gauge(Gauge::DedupEntries, gate.dedup.len() as u64);
    let held = clock::now() < shared.lease.get();
    metrics.gauge(Gauge::LeaseHeld, u64::from(held));
    metrics.gauge(Gauge::WebHeld, shared.held.get());
    metrics.gauge(Gauge::BodiesHeld, bodies.used());
    let view = shared.view();
    let (owned, standby) = view.me.map_or((0, 0), |me| {
        (view.state.owned_count(me) as u64, view.state.standby_count(me) as u64)
    });
    metrics.gauge(Gauge::UnitsOwned, owned);
    metrics.gauge(Gauge::UnitsStandby, standby);
    metrics.gauge(Gauge::LogApplied, view.state.next().saturating_sub(1));
    let reads = !shared.passed.load(Ordering::Acquire);
    metrics.gauge(Gauge::LogReader, u64::from(reads));
    metrics.gauge(Gauge::LogSkipped, view.state.skipped());
    metrics.flush();
    Some(())
}
