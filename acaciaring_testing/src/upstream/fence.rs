//! Fencing tokens that protect an upstream from requests of former owners.

use std::collections::HashMap;

/// Header `x-acaciaring-fence`: `<slot>;<token>;<until>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Fence {
    /// Opaque to the upstream.
    pub(super) slot: String,
    pub(super) token: u64,
    /// Expiry on the upstream's clock, in milliseconds.
    pub(super) until: u64,
}

impl Fence {
    pub(super) fn parse(value: &str) -> Option<Self> {
        let mut parts = value.split(';').map(str::trim);
        let slot = parts.next()?.to_owned();
        let token = parts.next()?.parse().ok()?;
        let until = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Self { slot, token, until })
    }
}

/// Highest token seen for each slot.
#[derive(Debug, Default)]
pub(super) struct Tokens(HashMap<String, u64>);

impl Tokens {
    /// Records the token; returns whether it is neither outdated nor expired at `clock` (ms).
    pub(super) fn check(&mut self, fence: &Fence, clock: u64) -> bool {
        let seen = self.0.entry(fence.slot.clone()).or_default();
        let current = fence.token >= *seen && clock < fence.until;
        *seen = fence.token.max(*seen);
        current
    }
}
