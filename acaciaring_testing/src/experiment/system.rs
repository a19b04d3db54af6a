//! A running deployment: stand-ins, daemons and, optionally, proxies between the members.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::cluster::{Cluster, ClusterOptions, VmOptions};
use crate::error::Result;
use crate::log::LogOptions;
use crate::proxy::{ProxyControl, ProxyOptions, ProxyServer, Transport};
use crate::upstream::{UpstreamControl, UpstreamOptions};

use super::deployment::Deployment;

/// Time within which a new deployment must serve requests.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time allowed for owners to synchronise their standbys before an experiment starts.
const STANDBY_SYNC_TIME: Duration = Duration::from_secs(2);

/// Log level of the daemons.
const LOG_LEVEL: &str = "error";

/// Options of a running deployment.
#[derive(Debug, Clone)]
pub struct SystemOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Lines appended to the settings file of each daemon.
    pub settings: String,
    /// Options of each upstream.
    pub upstream: UpstreamOptions,
    /// Whether other members reach each member through a UDP proxy.
    pub proxies: bool,
}

/// A running deployment.
pub struct System {
    /// Stand-ins and daemons.
    pub cluster: Cluster,
    /// Proxies in the order of the VMs; empty when disabled.
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

    /// Starts all VMs of a deployment, publishes its documents and waits for owners of its keys.
    ///
    /// # Errors
    ///
    /// When a process or stand-in cannot be started, a document is refused or the wait times out.
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

    /// Lets the upstream of a pooled service accept requests without a fencing token.
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
    /// When a document is refused or not confirmed.
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
    /// When this does not happen within the timeout.
    pub fn settle(&self, deployment: Deployment) -> Result<()> {
        let all: Vec<usize> = (0..self.cluster.vms.len()).collect();
        self.cluster.settle(deployment.keyed().workspace, &all, SETTLE_TIMEOUT)
    }
}

fn start_proxy() -> Result<ProxyServer> {
    ProxyServer::start(ProxyOptions { transport: Transport::Udp, ..ProxyOptions::default() })
}
