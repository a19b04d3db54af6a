//! Fault-injecting proxy between a listening address and a target.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use crate::error::Result;
use crate::http::{self, Http};
use crate::link::{Direction, Faults, LOOPBACK, Link, LinkOptions};
use crate::udp::UdpLink;

/// Maximum number of connections to the control address.
const MAX_CONTROLLERS: usize = 64;

/// Protocol that a proxy forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Transport {
    /// TCP connections.
    Tcp,
    /// UDP datagrams, with one outgoing socket per source address.
    Udp,
}

/// Settings of a proxy.
#[derive(Debug, Clone, Copy)]
pub struct ProxyOptions {
    /// Protocol.
    pub transport: Transport,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Target. It may be set later; until then nothing is forwarded.
    pub target: Option<SocketAddr>,
    /// Seed of the simulated loss.
    pub seed: u64,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self { transport: Transport::Tcp, address: LOOPBACK, target: None, seed: 1 }
    }
}

/// Commands to a proxy; absent fields leave the setting unchanged.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyControl {
    /// Target of new connections and of all datagrams.
    pub target: Option<SocketAddr>,
    /// Blocks or unblocks both directions.
    pub cut: Option<bool>,
    /// Blocks or unblocks traffic from client to target.
    pub cut_up: Option<bool>,
    /// Blocks or unblocks traffic from target to client.
    pub cut_down: Option<bool>,
    /// Delay of each TCP chunk or datagram, in milliseconds.
    pub delay: Option<u64>,
    /// Probability of losing a datagram, 0 to 1. A TCP chunk is delayed by 200 ms instead.
    pub loss: Option<f64>,
    /// Permanently drops the traffic of present connections, or UDP sources, without closing them.
    pub silence: bool,
    /// Ends blocking, delay and loss; silenced connections stay silent.
    pub heal: bool,
}

/// Datagrams that a proxy received from both sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DatagramCounts {
    /// Number of datagrams.
    pub count: u64,
    /// Total payload in bytes; IP and UDP headers add 28 bytes per datagram.
    pub bytes: u64,
}

/// Proxy that runs in this process and stops when dropped.
pub struct ProxyServer {
    handle: ProxyHandle,
}

/// Handle that controls a running proxy.
#[derive(Clone)]
pub struct ProxyHandle {
    shared: Arc<Shared>,
}

struct Shared {
    relay: Relay,
    http: Arc<Http>,
}

enum Relay {
    Tcp(Link),
    Udp(UdpLink),
}

impl ProxyServer {
    /// Starts the proxy and the HTTP server of its control address.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn start(options: ProxyOptions) -> Result<Self> {
        let ProxyOptions { transport, address, target, seed } = options;
        let relay = match transport {
            Transport::Tcp => {
                let (limit, accept_delay) = (usize::MAX, Duration::ZERO);
                Relay::Tcp(Link::start(
                    address,
                    LinkOptions { target, balancer: None, limit, accept_delay, seed },
                )?)
            }
            Transport::Udp => Relay::Udp(UdpLink::start(address, target, seed)?),
        };
        let http = Http::start(LOOPBACK, MAX_CONTROLLERS, Duration::from_millis(1))?;
        let handle = ProxyHandle { shared: Arc::new(Shared { relay, http }) };
        let server = handle.clone();
        thread::spawn(move || {
            while let Some(request) = server.shared.http.receive() {
                server.answer(request);
            }
        });
        Ok(Self { handle })
    }

    /// Address that clients connect to instead of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.handle.shared.relay.address()
    }

    /// Address of `POST /control`.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.handle.shared.http.address()
    }

    /// Returns a handle that controls the proxy.
    #[must_use]
    pub fn handle(&self) -> ProxyHandle {
        self.handle.clone()
    }

    /// Closes all connections and both listening sockets.
    pub fn stop(&self) {
        self.handle.shared.http.stop();
        self.handle.shared.relay.stop();
    }
}

impl Drop for ProxyServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl ProxyHandle {
    /// Applies the settings that `control` contains.
    pub fn set(&self, control: &ProxyControl) {
        let relay = &self.shared.relay;
        if let Some(target) = control.target {
            relay.retarget(target);
        }
        relay.set(control.apply(relay.faults()));
        if control.silence {
            relay.silence();
        }
    }

    /// Blocks or unblocks both directions.
    pub fn cut(&self, cut: bool) {
        self.set(&ProxyControl { cut: Some(cut), ..ProxyControl::default() });
    }

    /// Blocks or unblocks one direction of the datagrams of all sources with this IP address.
    ///
    /// A TCP proxy does not support this and only logs a warning.
    pub fn cut_source(&self, source: IpAddr, direction: Direction, cut: bool) {
        match &self.shared.relay {
            Relay::Tcp(_) => tracing::warn!("a TCP proxy cannot block a single source; ignored"),
            Relay::Udp(link) => link.cut_source(source, direction, cut),
        }
    }

    /// Ends blocking, delay and loss.
    pub fn heal(&self) {
        self.set(&ProxyControl { heal: true, ..ProxyControl::default() });
        if let Relay::Udp(link) = &self.shared.relay {
            link.heal_sources();
        }
    }

    /// Permanently drops the traffic of present connections or sources and returns their number.
    #[must_use = "0 means that nothing went silent"]
    pub fn silence(&self) -> usize {
        self.shared.relay.silence()
    }

    /// Datagrams received from both sides; zero for a TCP proxy.
    #[must_use]
    pub fn datagrams(&self) -> DatagramCounts {
        match &self.shared.relay {
            Relay::Tcp(_) => DatagramCounts::default(),
            Relay::Udp(link) => {
                let (bytes, count) = link.received();
                DatagramCounts { count, bytes }
            }
        }
    }

    /// Active faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.relay.faults()
    }

    fn answer(&self, mut request: Request) {
        if request.method() == &Method::Post {
            match http::command::<ProxyControl>(&mut request) {
                Ok(control) => self.set(&control),
                Err(error) => return http::answer(request, http::bad_request(&error)),
            }
        }
        http::answer(request, http::json(&self.faults()));
    }
}

impl Relay {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Tcp(link) => link.address(),
            Self::Udp(link) => link.address(),
        }
    }

    fn retarget(&self, target: SocketAddr) {
        match self {
            Self::Tcp(link) => link.retarget(target),
            Self::Udp(link) => link.retarget(target),
        }
    }

    fn faults(&self) -> Faults {
        match self {
            Self::Tcp(link) => link.faults(),
            Self::Udp(link) => link.faults(),
        }
    }

    fn set(&self, faults: Faults) {
        match self {
            Self::Tcp(link) => link.set(faults),
            Self::Udp(link) => link.set(faults),
        }
    }

    fn silence(&self) -> usize {
        match self {
            Self::Tcp(link) => link.silence(),
            Self::Udp(link) => link.silence(),
        }
    }

    fn stop(&self) {
        match self {
            Self::Tcp(link) => link.stop(),
            Self::Udp(link) => link.stop(),
        }
    }
}

impl ProxyControl {
    fn apply(&self, faults: Faults) -> Faults {
        let old = if self.heal { Faults::default() } else { faults };
        Faults {
            cut_up: self.cut_up.or(self.cut).unwrap_or(old.cut_up),
            cut_down: self.cut_down.or(self.cut).unwrap_or(old.cut_down),
            delay: self.delay.unwrap_or(old.delay),
            loss: self.loss.unwrap_or(old.loss),
        }
    }
}
