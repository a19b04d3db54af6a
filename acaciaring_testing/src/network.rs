//! Fault-injecting network between the members of a cluster and from each member to the log.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::cluster::{Cluster, VmOptions};
use crate::error::Result;
use crate::link::Direction;
use crate::proxy::{ProxyHandle, ProxyOptions, ProxyServer, Transport};

const FIRST_HOST: u8 = 10;

/// A UDP proxy in front of each member and a TCP proxy between each member and the log.
///
/// Each member sends all its datagrams from its own loopback address, whatever the port. A proxy
/// thus identifies the sender by the source address, and each direction between two members can be
/// blocked separately.
#[derive(Default)]
pub struct Network {
    nodes: Vec<Node>,
}

struct Node {
    address: IpAddr,
    peer: ProxyServer,
    log: ProxyServer,
}

impl Network {
    /// Starts a VM behind its proxies and returns its index; each VM of the cluster needs this.
    ///
    /// # Errors
    ///
    /// Returns an error if a proxy, the daemon or its upstream cannot be started.
    pub fn add(&mut self, cluster: &mut Cluster, options: VmOptions) -> Result<usize> {
        let number = u8::try_from(self.nodes.len()).unwrap_or(u8::MAX - FIRST_HOST);
        let address = IpAddr::from(Ipv4Addr::new(127, 0, 1, FIRST_HOST + number));
        let peer = ProxyServer::start(ProxyOptions {
            transport: Transport::Udp,
            ..ProxyOptions::default()
        })?;
        let log = ProxyServer::start(ProxyOptions {
            target: Some(cluster.log.address()),
            ..ProxyOptions::default()
        })?;
        let options = VmOptions {
            log: Some(log.address()),
            advertised: Some(peer.address()),
            peer: Some(SocketAddr::new(address, 0)),
            ..options
        };
        self.nodes.push(Node { address, peer, log });
        let index = cluster.add(options)?;
        self.connect(index, cluster.vms[index].peer);
        Ok(index)
    }

    /// Restarts a stopped VM behind its proxies.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon or its upstream cannot be started.
    pub fn replace(&self, cluster: &mut Cluster, index: usize) -> Result<()> {
        cluster.replace(index)?;
        self.connect(index, cluster.vms[index].peer);
        Ok(())
    }

    fn connect(&self, index: usize, to: SocketAddr) {
        let control = crate::proxy::ProxyControl { target: Some(to), ..Default::default() };
        self.nodes[index].peer.handle().set(&control);
    }

    /// Blocks or unblocks datagrams from one member to another.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        to.peer.handle().cut_source(from.address, Direction::Up, cut);
        // Replies on connections that `to` has opened pass through the proxy of `from`.
        from.peer.handle().cut_source(to.address, Direction::Down, cut);
    }

    /// Blocks or unblocks both directions between two groups of members.
    pub fn partition(&self, one: &[usize], other: &[usize], cut: bool) {
        for a in one {
            for b in other {
                self.cut(*a, *b, cut);
                self.cut(*b, *a, cut);
            }
        }
    }

    /// Blocks or unblocks both directions between a member and the log.
    pub fn cut_log(&self, member: usize, cut: bool) {
        self.nodes[member].log.handle().cut(cut);
    }

    /// Unblocks all traffic and ends delay and loss.
    pub fn heal(&self) {
        for node in &self.nodes {
            node.peer.handle().heal();
            node.log.handle().heal();
        }
    }

    /// Returns a handle that controls the proxy in front of a member.
    #[must_use]
    pub fn proxy(&self, member: usize) -> ProxyHandle {
        self.nodes[member].peer.handle()
    }
}
