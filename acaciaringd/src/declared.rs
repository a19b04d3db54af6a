//! Configuration and evacuations of data centres, which are declared outside of the log.
//!
//! Each member reads them from their source. It also fetches newer versions from other members, so
//! that it stays up to date when it cannot read the source.

use std::collections::HashMap;
use std::error::Error;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::evacuation::Evacuations;
use acaciaring_core::route::Routes;
use acaciaring_core::{Name, Offset};
use acaciaring_schema::peer::Declaration;
use arc_swap::ArcSwapOption;
use crossbeam_channel::Sender;
use parking_lot::Mutex;
use tracing::{error, info};

use crate::control::Event;

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request line with headers, bytes.
    pub head: usize,
    /// Maximum size of a request body, bytes.
    pub body: usize,
    /// Time limit for receiving the request line and headers.
    pub arrival: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: 32 << 10,
            body: 8 << 20,
            arrival: Duration::from_secs(10),
            idle: Duration::from_secs(30),
        }
    }
}

/// Declared configuration in force.
#[derive(Debug, Clone, Default)]
pub struct Declared {
    /// Version, which increases with each change.
    pub version: u64,
    /// Routes of all workspaces.
    pub routes: Routes,
    /// Workspaces that the declaration names.
    pub services: Vec<Name>,
    /// Workspaces whose services are partitioned by key.
    pub keyed: Vec<Name>,
    /// Requests per second that a cold upstream tolerates, by workspace.
    pub cold_rates: HashMap<Name, f64>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Decoder of declared configuration.
pub trait Decoder: Send + Sync + 'static {
    /// Decodes the content of a declaration.
    ///
    /// # Errors
    ///
    /// Fails when any part is not valid; the configuration in force is kept.
    fn decode(&self, content: &[u8]) -> Result<Declared, Box<dyn Error + Send + Sync>>;
}

/// Newest valid declaration.
#[derive(Debug)]
struct Newest {
    declared: Arc<Declared>,
    content: Vec<u8>,
}

/// Store of the newest declaration, from the source or from other members.
pub struct Declarations {
    decoder: Option<Box<dyn Decoder>>,
    newest: ArcSwapOption<Newest>,
    /// Hash of the last content that was refused as invalid.
    refused: Mutex<Option<u64>>,
    /// Held while the version of a declaration is compared and the declaration installed.
    install_lock: Mutex<()>,
    evacuations: Mutex<Evacuations>,
    events: Sender<Event>,
}

/// Versions of what a member knows of the declarations; 0 for what it does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct KnownVersions {
    /// Version of the configuration.
    pub(crate) config: u64,
    /// Offset up to which it knows the evacuations.
    pub(crate) evacuation: Offset,
}

impl KnownVersions {
    /// Returns true if either is newer than in `other`.
    pub(crate) const fn exceeds(self, other: Self) -> bool {
        self.config > other.config || self.evacuation > other.evacuation
    }
}

fn hash(content: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    content.hash(&mut hasher);
    hasher.finish()
}

impl Declarations {
    /// Creates an empty store; without a decoder, all declarations are ignored.
    pub(crate) fn new(decoder: Option<Box<dyn Decoder>>, events: Sender<Event>) -> Self {
        Self {
            decoder,
            newest: ArcSwapOption::empty(),
            refused: Mutex::default(),
            install_lock: Mutex::new(()),
            evacuations: Mutex::default(),
            events,
        }
    }

    /// Installs a declaration, unless its content is not valid or its version not newer.
    pub fn offer(&self, content: &[u8], source: &str) {
        let Some(decoder) = &self.decoder else { return };
        let declared = match decoder.decode(content) {
            Ok(declared) => Arc::new(declared),
            Err(error) => {
                // The source is read again now and then, with the same content.
                if self.refused.lock().replace(hash(content)) != Some(hash(content)) {
                    error!(
                        source,
                        error = &*error as &dyn Error,
                        "ignoring invalid declared configuration"
                    );
                }
                return;
            }
        };
        let _guard = self.install_lock.lock();
        if declared.version <= self.version() {
            return;
        }
        info!(version = declared.version, source, "new declared configuration is in force");
        let content = content.to_vec();
        self.newest.store(Some(Arc::new(Newest { declared: Arc::clone(&declared), content })));
        // The control thread ends only when the process exits.
        let _ = self.events.send(Event::Declared(declared));
    }

    /// Applies the record at `offset` of the source, by which the evacuation of a data centre begins
    /// or ends.
    pub fn evacuate(&self, offset: Offset, centre: &Name, evacuated: bool) {
        let mut evacuations = self.evacuations.lock();
        if evacuations.apply(offset, centre, evacuated) {
            info!(%centre, evacuated, offset, "evacuation of a data centre is declared");
            self.report_evacuations(&evacuations);
        }
    }

    /// Handles the record at `offset` of the source that concerns no evacuation.
    ///
    /// So members that have read as far as each other know the evacuations under one version, and
    /// fetch nothing from each other.
    pub fn cover(&self, offset: Offset) {
        self.evacuations.lock().cover(offset);
    }

    /// Installs the evacuations in force, unless newer ones are known.
    pub fn offer_evacuations(&self, offered: Evacuations, source: &str) {
        let mut evacuations = self.evacuations.lock();
        let former: Vec<Name> = evacuations.centres().cloned().collect();
        if !evacuations.replace(offered) {
            return;
        }
        if !evacuations.centres().eq(&former) {
            let centres: Vec<&Name> = evacuations.centres().collect();
            info!(?centres, source, "evacuated data centres have changed");
        }
        self.report_evacuations(&evacuations);
    }

    fn report_evacuations(&self, evacuations: &Evacuations) {
        // The control thread ends only when the process exits.
        let _ = self.events.send(Event::Evacuations(evacuations.clone()));
    }

    /// Handles the version that another member has in force; a newer one is fetched from it.
    pub(crate) fn observe_version(&self, from: SocketAddr, version: u64) {
        if version > self.version() {
            let known = KnownVersions { config: version, ..KnownVersions::default() };
            // The control thread ends only when the process exits.
            let _ = self.events.send(Event::DeclaredVersion(from, known));
        }
    }

    /// Returns the versions of what this member knows.
    pub(crate) fn known(&self) -> KnownVersions {
        KnownVersions { config: self.version(), evacuation: self.evacuations.lock().version() }
    }

    /// Returns the version in force, 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest.load().as_ref().map_or(0, |newest| newest.declared.version)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Declared>> {
        self.newest.load().as_ref().map(|newest| Arc::clone(&newest.declared))
    }

    /// Returns the newest declarations as sent to other members, with version 0 for what is not
    /// known.
    pub(crate) fn newest(&self) -> Declaration {
        let evacuations = self.evacuations.lock().clone();
        let newest = self.newest.load();
        Declaration {
            version: newest.as_ref().map_or(0, |newest| newest.declared.version),
            content: newest.as_ref().map_or_else(Vec::new, |newest| newest.content.clone()),
            evacuation: evacuations.version(),
            evacuated: evacuations.centres().map(ToString::to_string).collect(),
        }
    }

    /// Installs what is newer in the declarations of another member.
    pub(crate) fn receive(&self, declaration: &Declaration) {
        if declaration.version > self.version() {
            self.offer(&declaration.content, "member");
        }
        let centres = declaration.evacuated.iter().map(|centre| Name::from(centre.as_str()));
        self.offer_evacuations(Evacuations::new(declaration.evacuation, centres), "member");
    }
}
