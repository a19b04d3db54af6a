//! News of other members that a member passes on.
//!
//! A crash under load interrupts many requests, most of which other upstreams answer soon after.
//! Each of these is news for the whole fleet, so what is not urgent is gathered into one message.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Suspect;
use crate::id::Fingerprint;
use crate::time::Time;

/// Limits of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelaySettings {
    /// Members to which news is passed on.
    pub fanout: usize,
    /// Strikes from which news of a request is urgent, withdrawn ones included.
    pub urgent_strikes: usize,
    /// Time over which urgent news is gathered.
    pub urgent_delay: Duration,
    /// Time over which other news is gathered.
    pub delay: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            fanout: 3,
            urgent_strikes: 2,
            urgent_delay: Duration::from_millis(20),
            delay: Duration::from_secs(1),
        }
    }
}

/// News that is still to be passed on.
#[derive(Debug, Default)]
pub struct Relay {
    settings: RelaySettings,
    pending: BTreeSet<Fingerprint>,
    due: Option<Time>,
}

impl Relay {
    /// Creates a relay without news.
    #[must_use]
    pub fn new(settings: RelaySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the number of members to which news is passed on.
    #[must_use]
    pub const fn fanout(&self) -> usize {
        self.settings.fanout
    }

    /// Adds news; returns when to call [`Relay::take`] if that is earlier than before.
    pub fn add(&mut self, now: Time, news: &[Suspect]) -> Option<Time> {
        let RelaySettings { urgent_strikes, urgent_delay, delay, .. } = self.settings;
        let urgent = news.iter().any(|suspect| suspect.strikes.len() >= urgent_strikes);
        self.pending.extend(news.iter().map(|suspect| suspect.fingerprint));
        let due = now + if urgent { urgent_delay } else { delay };
        if news.is_empty() || self.due.is_some_and(|known| known <= due) {
            return None;
        }
        self.due = Some(due);
        self.due
    }

    /// Returns the requests to pass on.
    pub fn take(&mut self) -> Vec<Fingerprint> {
        self.due = None;
        std::mem::take(&mut self.pending).into_iter().collect()
    }
}
