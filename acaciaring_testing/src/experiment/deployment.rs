//! The deployments that experiments run on: their services, VMs, documents and mix of requests.

use std::fmt::Write as _;
use std::str::FromStr;

use acaciaring_core::route::DocumentKind;
use serde::Serialize;

use crate::cluster::VmOptions;
use crate::error::{Error, OptionsSnafu};
use crate::load::LoadClass;

const KEYED: &str = include_str!("documents/keyed.ini");
const POOLED: &str = include_str!("documents/pooled.ini");

/// Size of a request body in the bulk class.
const BULK_BODY_BYTES: usize = 2000;

/// A tenant with one service partitioned by key and one pooled service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// Contracts, partitioned by key, and a pooled quality lab.
    Korenveld,
    /// A permit office, partitioned by key, and a pooled dossier service.
    Laurentides,
}

/// One service of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Service {
    /// Name, which is also the first segment of its paths.
    pub name: &'static str,
    /// Workspace of its servers.
    pub workspace: &'static str,
    /// Number of servers, each on a VM of its own.
    pub servers: usize,
}

/// Source text of a document that a deployment publishes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentSource {
    /// Template or parameters.
    pub kind: DocumentKind,
    /// Name of the document.
    pub name: &'static str,
    /// Text in INI format.
    pub text: String,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Korenveld, Self::Laurentides];

    /// Name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Korenveld => "korenveld",
            Self::Laurentides => "laurentides",
        }
    }

    /// Service that is partitioned by key.
    #[must_use]
    pub const fn keyed(self) -> Service {
        match self {
            Self::Korenveld => {
                Service { name: "contracts", workspace: "korenveld-contracts", servers: 6 }
            }
            Self::Laurentides => {
                Service { name: "guichet", workspace: "laurentides-guichet", servers: 5 }
            }
        }
    }

    /// Service whose requests any of its servers may execute.
    #[must_use]
    pub const fn pooled(self) -> Service {
        match self {
            Self::Korenveld => {
                Service { name: "quality-lab", workspace: "korenveld-quality-lab", servers: 4 }
            }
            Self::Laurentides => {
                Service { name: "dossier", workspace: "laurentides-dossier", servers: 4 }
            }
        }
    }

    /// Options of the VM of a service with the given number, counted from 0.
    #[must_use]
    pub fn vm(self, service: &Service, number: usize) -> VmOptions {
        let (region, centres) = self.places();
        VmOptions {
            vm: format!("{}-{}", service.name, number + 1),
            data_centre: centres[number % centres.len()].into(),
            region: region.into(),
            workspace: Some(service.workspace.into()),
            ..VmOptions::default()
        }
    }

    /// Options of all VMs, those of the service partitioned by key first.
    #[must_use]
    pub fn vms(self) -> Vec<VmOptions> {
        let of = |service: Service| (0..service.servers).map(move |n| self.vm(&service, n));
        of(self.keyed()).chain(of(self.pooled())).collect()
    }

    /// Templates and parameters in the order of their publication.
    #[must_use]
    pub fn documents(self) -> Vec<DocumentSource> {
        let template = |name, text: &str| DocumentSource {
            kind: DocumentKind::Template,
            name,
            text: text.to_owned(),
        };
        vec![
            template("keyed", KEYED),
            self.parameters(&self.keyed(), "keyed"),
            template("pooled", POOLED),
            self.parameters(&self.pooled(), "pooled"),
        ]
    }

    /// Mix of requests that loads each server of both services equally.
    #[must_use]
    pub fn classes(self) -> Vec<LoadClass> {
        let (keyed, pooled) = (self.keyed(), self.pooled());
        let class = |name: &str, method: &str, path: String, share: usize| LoadClass {
            name: name.into(),
            method: method.into(),
            path,
            weight: u32::try_from(share).unwrap_or(u32::MAX),
            ..LoadClass::default()
        };
        let write =
            class("write", "POST", format!("/{}/{{key}}/sign", keyed.name), 2 * keyed.servers);
        let read = class("read", "GET", format!("/{}/{{key}}", keyed.name), 3 * keyed.servers);
        let query = class("query", "GET", format!("/{}/query", pooled.name), 4 * pooled.servers);
        let bulk = class("bulk", "POST", format!("/{}/samples", pooled.name), pooled.servers);
        vec![
            LoadClass { once: true, ..write },
            read,
            query,
            LoadClass { body: BULK_BODY_BYTES, ..bulk },
        ]
    }

    const fn places(self) -> (&'static str, &'static [&'static str]) {
        match self {
            Self::Korenveld => ("free-state", &["bethlehem", "kroonstad", "welkom", "bloem-a"]),
            Self::Laurentides => ("qc-centre", &["mtl-est", "laval-nord", "longueuil"]),
        }
    }

    fn parameters(self, service: &Service, template: &str) -> DocumentSource {
        let Service { name, workspace, .. } = *service;
        let mut text = format!(
            "[workspace]\nname = {workspace}\ntenant = {}\ntemplate = {template}\n\n[parameters]\nservice = {name}\n",
            self.name()
        );
        if *service == self.keyed() {
            let (churn, downtime) = self.weights();
            _ = writeln!(text, "churn = {churn}\ndowntime = {downtime}");
        }
        DocumentSource { kind: DocumentKind::Parameters, name: workspace, text }
    }

    /// Weights of churn and of downtime in the parameters of the keyed service.
    const fn weights(self) -> (u32, u32) {
        match self {
            Self::Korenveld => (8, 1),
            Self::Laurentides => (1, 8),
        }
    }
}

impl FromStr for Deployment {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Self::ALL.into_iter().find(|deployment| deployment.name() == text);
        found.ok_or_else(|| OptionsSnafu { what: format!("unknown deployment {text}") }.build())
    }
}
