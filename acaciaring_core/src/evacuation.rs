//! Data centres whose upstreams get no requests until operators take it back.
//!
//! Operators declare them one by one in an ordered source. Members read the source independently,
//! start at different times, miss records that have expired, and pass on what they know, so two
//! copies are compared by how much of the source they cover. Offsets include the generation of the
//! source, which rises when it loses records.

use std::collections::BTreeSet;

use crate::id::{Generation, Name, Offset};

/// Evacuated data centres, as of an offset of their source.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evacuations {
    /// Offset of the first record of the source that is not covered; 0 before it has been read.
    version: Offset,
    centres: BTreeSet<Name>,
}

impl Evacuations {
    /// Creates the state of the source before the record at `version`.
    #[must_use]
    pub fn new(version: Offset, centres: impl IntoIterator<Item = Name>) -> Self {
        Self { version, centres: centres.into_iter().collect() }
    }

    /// Returns the offset of the first record of the source that is not covered, 0 before the source
    /// has been read.
    #[must_use]
    pub const fn version(&self) -> Offset {
        self.version
    }

    /// Returns the evacuated data centres.
    pub fn centres(&self) -> impl Iterator<Item = &Name> {
        self.centres.iter()
    }

    /// Returns true if the upstreams of a data centre get no requests.
    #[must_use]
    pub fn contains(&self, centre: &str) -> bool {
        self.centres.contains(centre)
    }

    /// Applies the record at `offset`, by which an evacuation begins or ends; returns true if that
    /// changes what is evacuated.
    pub fn apply(&mut self, offset: Offset, centre: &Name, evacuated: bool) -> bool {
        if !self.cover(offset) {
            return false;
        }
        if evacuated {
            self.centres.insert(Name::clone(centre))
        } else {
            self.centres.remove(centre)
        }
    }

    /// Covers the record at `offset`, which follows the last one that was read; returns false if it
    /// was covered before.
    pub fn cover(&mut self, offset: Offset) -> bool {
        let newer = offset >= self.version;
        if newer {
            self.version = offset.saturating_add(1);
        }
        newer
    }

    /// Replaces this state by one that covers more of the source; returns true if it does.
    ///
    /// In a later generation of the source, what was evacuated stays so until the source says that
    /// it ended: operators declare again what the source has lost, and upstreams must not be used
    /// until then.
    pub fn replace(&mut self, mut other: Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        if Generation::containing(other.version) > Generation::containing(self.version) {
            other.centres.extend(self.centres.iter().cloned());
        }
        *self = other;
        true
    }
}
