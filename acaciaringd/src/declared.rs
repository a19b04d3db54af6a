//! Configuration that operators declare outside of the log.
//!
//! Each member reads it where it is declared and takes a newer version from members that are
//! ahead, so that one which cannot read it follows all the same.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::Name;
use acaciaring_core::route::Routes;
use acaciaring_schema::peer::Declaration;
use arc_swap::ArcSwapOption;
use crossbeam_channel::Sender;
use parking_lot::Mutex;
use tracing::{error, info};

use crate::control::Event;

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request line with headers, bytes.
    pub head: usize,
    /// Size of a body, bytes.
    pub body: usize,
    /// Time in which a head has to arrive once it has begun.
    pub arrival: Duration,
    /// Time after which a connection without request is closed.
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
    /// Version; a later one is higher.
    pub version: u64,
    /// Routes.
    pub routes: Routes,
    /// Workspaces whose services are divided by key.
    pub keyed: Vec<Name>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Reads a declaration.
pub trait Decoder: Send + Sync + 'static {
    /// Reads the content of a declaration.
    ///
    /// # Errors
    ///
    /// Fails when any part is not valid; what is in force stays so.
    fn decode(&self, content: &[u8]) -> Result<Declared, Box<dyn Error + Send + Sync>>;
}

/// Newest declaration that this member has read.
#[derive(Debug)]
struct Newest {
    declared: Arc<Declared>,
    content: Vec<u8>,
}

/// Declarations as they come in.
pub struct Declarations {
    decoder: Option<Box<dyn Decoder>>,
    newest: ArcSwapOption<Newest>,
    /// Held while a declaration is compared and installed.
    install_lock: Mutex<()>,
    events: Sender<Event>,
}

impl Declarations {
    /// Makes declarations of which none has come in; without a decoder none ever does.
    pub(crate) fn new(decoder: Option<Box<dyn Decoder>>, events: Sender<Event>) -> Self {
        Self { decoder, newest: ArcSwapOption::empty(), install_lock: Mutex::new(()), events }
    }

    /// Takes in a declaration, from where it is declared or from another member.
    ///
    /// A version that is not newer, or content that is not valid, changes nothing.
    pub fn offer(&self, content: &[u8], source: &str) {
        let Some(decoder) = &self.decoder else { return };
        let declared = match decoder.decode(content) {
            Ok(declared) => Arc::new(declared),
            Err(error) => {
                error!(source, error = &*error as &dyn Error, "configuration is not valid");
                return;
            }
        };
        let _guard = self.install_lock.lock();
        if declared.version <= self.version() {
            return;
        }
        info!(version = declared.version, source, "configuration in force");
        let content = content.to_vec();
        self.newest.store(Some(Arc::new(Newest { declared: Arc::clone(&declared), content })));
        // Control has ended only when the process is about to exit.
        let _ = self.events.send(Event::Declared(declared));
    }

    /// Notes the version that a member has in force; a newer one is fetched from it.
    pub(crate) fn observe_version(&self, from: SocketAddr, version: u64) {
        if version > self.version() {
            // Control has ended only when the process is about to exit.
            let _ = self.events.send(Event::DeclaredVersion(from, version));
        }
    }

    /// Returns the version in force, 0 when there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest.load().as_ref().map_or(0, |newest| newest.declared.version)
    }

    /// Returns what is in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Declared>> {
        self.newest.load().as_ref().map(|newest| Arc::clone(&newest.declared))
    }

    /// Returns the declaration for another member; version 0 when there is none.
    pub(crate) fn newest(&self) -> Declaration {
        let newest = self.newest.load();
        newest.as_ref().map_or_else(Declaration::default, |newest| Declaration {
            version: newest.declared.version,
            content: newest.content.clone(),
        })
    }
}
