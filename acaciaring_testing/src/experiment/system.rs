//! A running deployment: stand-ins, daemons and, when wanted, proxies between the members.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::cluster::{Cluster, ClusterOptions, VmOptions};
use crate::error::Result;
use crate::log::LogOptions;
use crate::proxy::{ProxyControl, ProxyOptions, ProxyServer, Transport};
use crate::upstream::{UpstreamControl, UpstreamOptions};

use super::deployment::Deployment;

/// Bound on the time until a new system serves.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the owners to synchronise their standbys.
const STANDBY_SYNC_TIME: Duration = Duration::from_secs(2);

/// Least important level of the daemons' logs.
const LOG_LEVEL: &str = "error";

/// Options of a running deployment.
#[derive(Debug, Clone)]
pub struct SystemOptions {
    /// Program of the daemon.
    pub daemon: PathBuf,
    /// Lines added to the settings of each daemon.
    pub settings: String,
    /// Options of each upstream.
    pub upstream: UpstreamOptions,
    /// True for a proxy in front of each member's address for other members.
    pub proxies: bool,
}

/// A running deployment.
pub struct System {
    /// Stand-ins and daemons.
    pub cluster: Cluster,
    /// Proxies in the order of the VMs; none when they were not asked for.
    pub proxies: Vec<ProxyServer>,
    options: SystemOptions,
}

impl System {
    /// Starts the log stand-in; VMs are added by [`System::add`].
    ///
    /// # Errors
    ///
    /// When a stand-in cannot be started.
    pub fn new(options: SystemOptions) -> Result<Self> {
        let cluster = Cluster::start(ClusterOptions {
            daemon: options.daemon.clone(),
            log: LogOptions::default(),
            upstream: options.upstream.clone(),
            level: LOG_LEVEL.into(),
        })?;
        Ok(Self { cluster, proxies: Vec::new(), options })
    }

    /// Starts all VMs of a deployment, publishes its documents and waits until it serves.
    ///
    /// # Errors
    ///
    /// When it does not serve in time.
    pub fn start(deployment: Deployment, options: SystemOptions) -> Result<Self> {
        let mut system = Self::new(options)?;
        for vm in deployment.vms() {
            system.add(vm)?;
        }
        system.publish(deployment)?;
        system.settle(deployment)?;
        thread::sleep(STANDBY_SYNC_TIME);
        Ok(system)
    }

    /// Starts a VM and returns its index.
    ///
    /// # Errors
    ///
    /// When a process or stand-in cannot be started.
    pub fn add(&mut self, options: VmOptions) -> Result<usize> {
        let proxy = if self.options.proxies { Some(start_proxy()?) } else { None };
        let advertised = proxy.as_ref().map(ProxyServer::address);
        let settings = self.options.settings.clone();
        let index = self.cluster.add(VmOptions { advertised, settings, ..options })?;
        self.disable_fencing(index);
        if let Some(proxy) = proxy {
            let target = Some(self.cluster.vms[index].peer);
            proxy.handle().set(&ProxyControl { target, ..ProxyControl::default() });
            self.proxies.push(proxy);
        }
        Ok(index)
    }

    /// Lets the upstream of a service that is not divided by key take requests without a fence.
    fn disable_fencing(&self, index: usize) {
        let vm = &self.cluster.vms[index];
        let workspace = vm.options.workspace.as_deref();
        let mut pooled = Deployment::ALL.iter().map(|deployment| deployment.pooled().workspace);
        let upstream = vm.upstream.as_ref().filter(|_| pooled.any(|name| Some(name) == workspace));
        if let Some(upstream) = upstream {
            let control = UpstreamControl { fenced: Some(false), ..UpstreamControl::default() };
            upstream.handle().set(&control);
        }
    }

    /// Publishes the documents of a deployment.
    ///
    /// # Errors
    ///
    /// When one is refused or not confirmed.
    pub fn publish(&self, deployment: Deployment) -> Result<()> {
        for source in deployment.documents() {
            self.cluster.publish(0, source.kind, source.name, &source.text, 0)?;
        }
        Ok(())
    }

    /// Waits until every VM holds its lease and the keys have owners.
    ///
    /// # Errors
    ///
    /// When that does not happen in time.
    pub fn settle(&self, deployment: Deployment) -> Result<()> {
        let all: Vec<usize> = (0..self.cluster.vms.len()).collect();
        self.cluster.settle(deployment.keyed().workspace, &all, SETTLE_TIMEOUT)
    }
}

fn start_proxy() -> Result<ProxyServer> {
    ProxyServer::start(ProxyOptions { transport: Transport::Udp, ..ProxyOptions::default() })
}
