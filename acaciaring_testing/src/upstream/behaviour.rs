//! Simulated behaviour of an upstream and the commands that change it.

use std::mem;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::control::{Health, Phase, UpstreamControl, UpstreamCounts};
use super::{Check, Shared, State};

/// Factor on the service time right after a cold start.
const COLD_FACTOR: f64 = 4.0;

/// Number of load samples kept for a health endpoint that reports stale values.
const MAX_SAMPLES: usize = 240;

impl Shared {
    pub(super) fn stopped(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// The upstream's clock in milliseconds, offset from 0 so that it cannot pass for the uptime.
    pub(super) fn clock(&self) -> u64 {
        const FIRST_MS: u64 = 1_000_000;
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        FIRST_MS.saturating_add(elapsed)
    }

    pub(super) fn phase(&self) -> Phase {
        if self.state.lock().draining {
            return Phase::Draining;
        }
        if self.started.elapsed() < self.options.cold { Phase::Cold } else { Phase::Ready }
    }

    /// Address to announce to, or `None` while announcements are disabled.
    pub(super) fn announcing(&self) -> Option<SocketAddr> {
        let state = self.state.lock();
        if state.quiet || state.frozen { None } else { state.announce }
    }

    /// Service time of a request for `path` that starts now.
    pub(super) fn cost(&self, state: &State, path: &str) -> Duration {
        let cost = state.costs.iter().find(|(part, _)| path.contains(part.as_str()));
        let cost = cost.map_or(state.service, |(_, cost)| *cost);
        let age = self.started.elapsed().as_secs_f64();
        let cold = self.options.cold.as_secs_f64();
        if age >= cold {
            return cost;
        }
        cost.mul_f64(1.0 + (COLD_FACTOR - 1.0) * (1.0 - age / cold))
    }

    pub(super) fn counts(&self) -> UpstreamCounts {
        UpstreamCounts { busy: self.busy.load(Ordering::SeqCst), ..self.state.lock().counts }
    }

    /// Records a load sample for the health endpoint.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn sample(&self) {
        let load = self.busy.load(Ordering::SeqCst) as f64 / self.options.slots.max(1) as f64;
        let mut state = self.state.lock();
        let health = Health { healthy: !state.draining, load };
        if state.samples.len() == MAX_SAMPLES {
            state.samples.pop_front();
        }
        state.samples.push_back((Instant::now(), health));
    }

    pub(super) fn health(&self) -> Health {
        self.sample();
        let state = self.state.lock();
        if let Some(lie) = state.lie {
            return lie;
        }
        let old = |(taken, _): &&(Instant, Health)| taken.elapsed() >= state.lag;
        let sample = state.samples.iter().rev().find(old).or(state.samples.front());
        sample.map(|(_, health)| *health).unwrap_or_default()
    }

    pub(super) fn set(&self, control: &UpstreamControl) {
        let mut state = self.state.lock();
        state.announce = control.announce.or(state.announce);
        state.quiet = control.quiet.unwrap_or(state.quiet);
        state.draining = control.draining.unwrap_or(state.draining);
        state.service = control.service.map_or(state.service, duration_ms);
        if let Some(costs) = &control.costs {
            state.costs =
                costs.iter().map(|(part, cost)| (part.clone(), duration_ms(*cost))).collect();
        }
        let fenced = control.fenced.unwrap_or(state.check != Check::Off);
        let recheck = control.recheck.unwrap_or(state.check == Check::Twice);
        state.check = Check::new(fenced, recheck);
        state.frozen = control.frozen.unwrap_or(state.frozen);
        state.capacity = match control.shed {
            Some(true) => 0,
            Some(false) => self.options.capacity(),
            None => state.capacity,
        };
        state.lose = control.lose.unwrap_or(state.lose);
        state.cut = control.cut.unwrap_or(state.cut);
        state.late = control.late.unwrap_or(state.late);
        state.lateness = control.lateness.map_or(state.lateness, Duration::from_millis);
        state.lag = control.lag.map_or(state.lag, Duration::from_millis);
        state.lie = control.lie.or(state.lie).filter(|_| control.honest != Some(true));
        if state.frozen {
            return;
        }
        self.unfrozen.notify_all();
        let held = mem::take(&mut state.held);
        drop(state);
        for request in held {
            self.handle(request);
        }
    }
}

fn duration_ms(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1000.0)
}
