//! Identifiers of members, log offsets, keys, slots, units and requests.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Shared immutable name, for example of a workspace.
pub type Name = Arc<str>;

/// Offset of a record in the control log, also used as the version of what the record changed.
///
/// Zero means none, as the log numbers records from 1.
pub type Offset = u64;

/// Distance between the offsets of one position in two generations of the log.
///
/// Exceeds the records that a log service can lose at once: its copies are seconds old, and it
/// admits some thousand appends per second. A wider one would lengthen the fencing tokens, which
/// have to fit into a heartbeat reply by the dozen.
const GENERATION_STRIDE: u64 = 1 << 20;

/// Generation of the log, which rises each time that the log service comes back from an older copy.
///
/// The service then gives positions out again. Offsets include the generation, so that they, and the
/// ids, versions and tokens that derive from them, still rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Generation(pub u64);

impl Generation {
    /// Highest generation whose offsets leave room for fencing tokens.
    pub const MAX: Self = Self(1 << 20);

    /// Returns the offset of a position of the log service, which counts from 1.
    #[must_use]
    pub const fn offset(self, position: u64) -> Offset {
        position.saturating_add(self.0.saturating_mul(GENERATION_STRIDE))
    }

    /// Returns the position of an offset of this generation.
    #[must_use]
    pub const fn position(self, offset: Offset) -> u64 {
        offset.saturating_sub(self.0.saturating_mul(GENERATION_STRIDE))
    }

    /// Returns the generation of an offset of a source that has fewer positions than the stride.
    #[must_use]
    pub(crate) const fn containing(offset: Offset) -> Self {
        Self(offset / GENERATION_STRIDE)
    }

    /// Returns the offset of the first position.
    #[must_use]
    pub const fn first(self) -> Offset {
        self.offset(1)
    }
}

impl Display for Generation {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

/// Slot of a service that is partitioned by key.
pub type Slot = u32;

/// Identity of one run of a member process: the offset of its `Join` record.
///
/// A restarted process gets a new identity, so it cannot be mistaken for the earlier one, whose
/// grants, votes and units do not pass to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub Offset);

impl MemberId {
    /// Converts from a protobuf field in which zero means none.
    #[must_use]
    pub const fn from_wire(value: u64) -> Option<Self> {
        if value == 0 { None } else { Some(Self(value)) }
    }

    /// Converts to a protobuf field in which zero means none.
    #[must_use]
    pub fn to_wire(member: Option<Self>) -> u64 {
        member.map_or(0, |id| id.0)
    }
}

impl Display for MemberId {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "m{}", self.0)
    }
}

/// Fencing token of a unit, which increases each time another member starts to serve it.
///
/// The owner of an assignment made at offset `o` serves under `2 * o`. A standby that has taken
/// over without a log record serves under `2 * v + 1`, where `v` is the assignment's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

impl Token {
    /// Returns the token of an owner recorded at `offset`.
    #[must_use]
    pub const fn owner(offset: Offset) -> Self {
        Self(offset * 2)
    }

    /// Returns the token of a standby that takes over under `version`.
    #[must_use]
    pub const fn standby(version: Offset) -> Self {
        Self(version * 2 + 1)
    }
}

/// Hash of a key within its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes the bytes of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3::xxh3_64(key))
    }

    /// Returns the slot of this key in a service of `slots` slots.
    ///
    /// # Panics
    ///
    /// Panics when `slots` is zero; a route with zero slots does not build.
    #[must_use]
    pub fn slot(self, slots: u32) -> Slot {
        let slot = self.0 % u64::from(slots);
        Slot::try_from(slot).expect("a remainder by a u32 fits")
    }
}

/// Unit of assignment: a slot, or a single hot key within one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// Slot, or the slot that contains the hot key.
    pub slot: Slot,
    /// Hash of the key when the unit is a hot key.
    pub key: Option<KeyHash>,
}

impl UnitId {
    /// Returns the unit of a whole slot.
    #[must_use]
    pub const fn slot(slot: Slot) -> Self {
        Self { slot, key: None }
    }
}

impl Display for UnitId {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.key {
            None => write!(out, "{}", self.slot),
            Some(KeyHash(key)) => write!(out, "{}.{key:016x}", self.slot),
        }
    }
}

/// Identity of a caller's request, the same for all its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 16]);

impl RequestId {
    /// Derives the identity from a workspace, the routing key's hash and the idempotency key.
    ///
    /// The same idempotency key with two routing keys identifies two requests.
    #[must_use]
    pub fn from_key(workspace: &str, subject: Option<KeyHash>, key: &str) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(workspace.as_bytes());
        hasher.update(&[0]);
        hasher.update(&subject.map_or(0, |subject| subject.0).to_le_bytes());
        hasher.update(key.as_bytes());
        Self(hasher.digest128().to_le_bytes())
    }
}

/// Identity of a request that is the same each time a caller sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Hash of workspace, method and path, cheap enough to compute for each request.
    pub target: u64,
    /// Digest of the whole request.
    pub digest: [u8; 16],
}

impl Fingerprint {
    /// Returns the target of a request.
    #[must_use]
    pub fn target_of(workspace: &str, method: &str, path: &str) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for field in [workspace, method, path] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.digest()
    }
}

impl Display for Fingerprint {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{:032x}", u128::from_be_bytes(self.digest))
    }
}
