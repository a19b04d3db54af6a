//! Bound on the bytes in flight on a connection, by the width of the link of this VM.
//!
//! The congestion controller of QUIC opens its window until packets are lost. Answers the load of
//! long bodies on narrow links: each one alone would fill the queue of the link, and with its own
//! packets those of all other connections are lost, lease renewals among them.

use std::any::Any;
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quinn::congestion::{Controller, ControllerFactory, CubicConfig};
use quinn_proto::RttEstimator;

/// Time for which the link may be busy with what one connection has in flight.
///
/// Longer than round trips within a region, so that one connection can use the whole link.
const WINDOW_TIME: Duration = Duration::from_millis(10);

/// Smallest bound in bytes: eight packets, so that losses are noticed by later packets.
const MIN_WINDOW: u64 = 8 * 1200;

/// Creates congestion controllers with a bounded window.
#[derive(Debug)]
pub(super) struct BoundedConfig {
    /// Largest window in bytes.
    bound: u64,
}

impl BoundedConfig {
    /// Returns the configuration for a link of `rate` bytes per second.
    pub(super) fn new(rate: u64) -> Self {
        let millis = u64::try_from(WINDOW_TIME.as_millis()).unwrap_or(u64::MAX);
        Self { bound: (rate / 1000).saturating_mul(millis).max(MIN_WINDOW) }
    }
}

impl ControllerFactory for BoundedConfig {
    fn build(self: Arc<Self>, now: Instant, mtu: u16) -> Box<dyn Controller> {
        let inner = Arc::new(CubicConfig::default()).build(now, mtu);
        Box::new(Bounded { inner, bound: self.bound })
    }
}

/// Congestion controller with a bounded window.
struct Bounded {
    inner: Box<dyn Controller>,
    bound: u64,
}

impl Debug for Bounded {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_struct("Bounded").field("bound", &self.bound).finish_non_exhaustive()
    }
}

impl Controller for Bounded {
    fn on_sent(&mut self, now: Instant, bytes: u64, last: u64) {
        self.inner.on_sent(now, bytes, last);
    }

    /// Passes an acknowledgement on; at the bound, the window does not grow any more.
    ///
    /// Otherwise it would take many losses until it is below the bound again.
    fn on_ack(
        &mut self,
        now: Instant,
        sent: Instant,
        bytes: u64,
        app_limited: bool,
        rtt: &RttEstimator,
    ) {
        let limited = app_limited || self.inner.window() >= self.bound;
        self.inner.on_ack(now, sent, bytes, limited, rtt);
    }

    fn on_end_acks(&mut self, now: Instant, flight: u64, app_limited: bool, largest: Option<u64>) {
        let limited = app_limited || self.inner.window() >= self.bound;
        self.inner.on_end_acks(now, flight, limited, largest);
    }

    fn on_congestion_event(&mut self, now: Instant, sent: Instant, persistent: bool, lost: u64) {
        self.inner.on_congestion_event(now, sent, persistent, lost);
    }

    fn on_mtu_update(&mut self, mtu: u16) {
        self.inner.on_mtu_update(mtu);
    }

    fn window(&self) -> u64 {
        self.inner.window().min(self.bound)
    }

    fn clone_box(&self) -> Box<dyn Controller> {
        Box::new(Self { inner: self.inner.clone_box(), bound: self.bound })
    }

    fn initial_window(&self) -> u64 {
        self.inner.initial_window().min(self.bound)
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
