//! Requests that were in flight at upstreams when these crashed.
//!
//! Each distinct crash is a strike against all requests that it interrupted, most of which are
//! innocent. An answer of any upstream withdraws the strikes that are known where it arrives, so
//! only a request that no upstream answers collects several. From the second strike on a request
//! runs one at a time with others like it, so the crash that quarantines one of them cannot be the
//! fault of another.
//!
//! Members exchange strikes by the id of the crash. Strikes and withdrawals that arrive twice, late
//! or in another order give the same result, without clocks that agree.

mod relay;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

pub use self::relay::{Relay, RelaySettings};
use crate::id::Fingerprint;
use crate::time::Time;

/// Maximum number of strikes kept for a request; withdrawn ones go first.
const MAX_STRIKES: usize = 8;

/// Random id of one crash of an upstream.
pub type CrashId = u64;

/// Thresholds and limits of a quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Strikes from which a request runs alone.
    pub alone: usize,
    /// Strikes from which a request is refused.
    pub refuse: usize,
    /// How long a request is refused after its last strike.
    ///
    /// Afterwards it may run again, alone, and the next crash quarantines it at once.
    pub hold: Duration,
    /// How long strikes are kept after the last one; longer than `hold`.
    pub retention: Duration,
    /// Maximum number of requests with strikes.
    pub max_suspects: usize,
    /// Maximum number of requests that [`Quarantine::serious`] returns.
    pub max_serious: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            alone: 2,
            refuse: 3,
            hold: Duration::from_mins(10),
            retention: Duration::from_mins(20),
            max_suspects: 4096,
            max_serious: 128,
        }
    }
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// It has no strikes.
    Normal,
    /// It has strikes, but runs like any other.
    Watch,
    /// It runs while no other request with this treatment does, and is not retried.
    Alone,
    /// It is refused for this time.
    Refuse(Duration),
}

/// Crash that interrupted a request, as members exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strike {
    /// Id of the crash.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// True if an upstream has answered the request since.
    pub withdrawn: bool,
}

/// Request with its strikes, as members exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Identity of the request.
    pub fingerprint: Fingerprint,
    /// Crashes that interrupted it.
    pub strikes: Vec<Strike>,
}

#[derive(Debug)]
struct RecordedStrike {
    crash: CrashId,
    at: Time,
    withdrawn: bool,
}

/// Strikes of one request, newest first.
#[derive(Debug, Default)]
struct Entry {
    strikes: Vec<RecordedStrike>,
}

impl Entry {
    /// Returns the number of strikes that are not withdrawn, and the time of the last one.
    fn standing(&self) -> (usize, Time) {
        let standing = || self.strikes.iter().filter(|strike| !strike.withdrawn);
        (standing().count(), standing().next().map_or(Time::ZERO, |strike| strike.at))
    }

    fn newest(&self) -> Time {
        self.strikes.first().map_or(Time::ZERO, |strike| strike.at)
    }

    /// Adds what another member knows; returns true if any of it was new.
    fn merge(&mut self, now: Time, suspect: &Suspect, settings: &QuarantineSettings) -> bool {
        let mut changed = false;
        for strike in &suspect.strikes {
            let known = self.strikes.iter_mut().find(|known| known.crash == strike.crash);
            if let Some(known) = known {
                changed |= strike.withdrawn && !known.withdrawn;
                known.withdrawn |= strike.withdrawn;
            } else if strike.age < settings.retention {
                let at = Time::from_start(now.since_start().saturating_sub(strike.age));
                let Strike { crash, withdrawn, .. } = *strike;
                self.strikes.push(RecordedStrike { crash, at, withdrawn });
                changed = true;
            }
        }
        self.strikes.sort_unstable_by_key(|strike| (strike.withdrawn, Reverse(strike.at)));
        self.strikes.truncate(MAX_STRIKES);
        self.strikes.sort_unstable_by_key(|strike| Reverse(strike.at));
        changed
    }

    fn suspect(&self, now: Time, fingerprint: Fingerprint) -> Suspect {
        let strike = |known: &RecordedStrike| Strike {
            crash: known.crash,
            age: now.since(known.at),
            withdrawn: known.withdrawn,
        };
        Suspect { fingerprint, strikes: self.strikes.iter().map(strike).collect() }
    }
}

/// Requests with strikes.
#[derive(Debug, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: HashMap<Fingerprint, Entry>,
    /// Number of entries by target.
    targets: HashMap<u64, u32>,
    /// Entries that were dropped for lack of room.
    dropped: u64,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns true if any request with this target may have strikes.
    #[must_use]
    pub fn knows_target(&self, target: u64) -> bool {
        self.targets.contains_key(&target)
    }

    /// Returns the number of requests that have or had strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no request has or had strikes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries dropped for lack of room since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Returns how a request is to be treated.
    #[must_use]
    pub fn treatment(&self, now: Time, fingerprint: &Fingerprint) -> Treatment {
        let Some(entry) = self.entries.get(fingerprint) else { return Treatment::Normal };
        let (count, last) = entry.standing();
        if count == 0 {
            return Treatment::Normal;
        }
        let until = last + self.settings.hold;
        match count {
            _ if now >= last + self.settings.retention => Treatment::Normal,
            _ if count >= self.settings.refuse && now < until => {
                Treatment::Refuse(until.since(now))
            }
            _ if count >= self.settings.alone => Treatment::Alone,
            _ => Treatment::Watch,
        }
    }

    /// Records a crash that interrupted these requests.
    pub fn crashed(&mut self, now: Time, crash: CrashId, interrupted: &[Fingerprint]) {
        let strike = Strike { crash, age: Duration::ZERO, withdrawn: false };
        let suspect = |fingerprint: &Fingerprint| Suspect {
            fingerprint: *fingerprint,
            strikes: vec![strike],
        };
        let suspects: Vec<Suspect> = interrupted.iter().map(suspect).collect();
        self.merge(now, &suspects);
    }

    /// Records that an upstream answered a request, which withdraws its strikes.
    ///
    /// Returns it with its strikes if there were any, so that the other members learn it: they
    /// count the strikes of later crashes too.
    pub fn answered(&mut self, now: Time, fingerprint: &Fingerprint) -> Option<Suspect> {
        let entry = self.entries.get_mut(fingerprint)?;
        let (standing, _) = entry.standing();
        for strike in &mut entry.strikes {
            strike.withdrawn = true;
        }
        (standing > 0).then(|| entry.suspect(now, *fingerprint))
    }

    /// Adds what another member knows; returns what of it was new.
    pub fn merge(&mut self, now: Time, suspects: &[Suspect]) -> Vec<Suspect> {
        self.expire(now);
        let mut news = Vec::new();
        for suspect in suspects {
            if !self.entries.contains_key(&suspect.fingerprint) {
                self.make_room();
                *self.targets.entry(suspect.fingerprint.target).or_default() += 1;
            }
            let entry = self.entries.entry(suspect.fingerprint).or_default();
            if entry.merge(now, suspect, &self.settings) {
                news.push(entry.suspect(now, suspect.fingerprint));
            }
        }
        news
    }

    /// Returns the requests that run alone or are refused, those with the most strikes first.
    #[must_use]
    pub fn serious(&self, now: Time) -> Vec<Suspect> {
        let standing = self.entries.iter().map(|(fingerprint, entry)| {
            let (count, last) = entry.standing();
            (count, last, fingerprint, entry)
        });
        let mut serious: Vec<_> =
            standing.filter(|(count, ..)| *count >= self.settings.alone).collect();
        serious.sort_unstable_by_key(|(count, last, ..)| Reverse((*count, *last)));
        serious.truncate(self.settings.max_serious);
        let suspect = |(_, _, fingerprint, entry): (_, _, &Fingerprint, &Entry)| {
            entry.suspect(now, *fingerprint)
        };
        serious.into_iter().map(suspect).collect()
    }

    /// Returns the requests of this list that have or had strikes.
    #[must_use]
    pub fn suspects(&self, now: Time, fingerprints: &[Fingerprint]) -> Vec<Suspect> {
        let suspect = |fingerprint: &Fingerprint| {
            Some(self.entries.get(fingerprint)?.suspect(now, *fingerprint))
        };
        fingerprints.iter().filter_map(suspect).collect()
    }

    /// Returns a request of which strikes were withdrawn.
    #[must_use]
    pub fn withdrawn(&self, now: Time, fingerprint: &Fingerprint) -> Option<Suspect> {
        let entry = self.entries.get(fingerprint)?;
        let withdrawn = entry.strikes.iter().any(|strike| strike.withdrawn);
        withdrawn.then(|| entry.suspect(now, *fingerprint))
    }

    /// Drops entries whose last strike is older than the retention.
    fn expire(&mut self, now: Time) {
        let retention = self.settings.retention;
        self.drop_entries(|entry| now >= entry.newest() + retention);
    }

    /// Drops the oldest entries, those with the fewest strikes first, if there is no room.
    fn make_room(&mut self) {
        if self.entries.len() < self.settings.max_suspects {
            return;
        }
        let order = |entry: &Entry| (entry.standing().0, entry.newest());
        let mut orders: Vec<_> = self.entries.values().map(order).collect();
        orders.sort_unstable();
        // A quarter at a time, so that a flood of fatal requests does not cost a scan each.
        let Some(limit) = orders.get(orders.len() / 4).copied() else { return };
        let before = self.entries.len();
        self.drop_entries(|entry| order(entry) <= limit);
        self.dropped += (before - self.entries.len()) as u64;
    }

    fn drop_entries(&mut self, condemned: impl Fn(&Entry) -> bool) {
        let targets = &mut self.targets;
        self.entries.retain(|fingerprint, entry| {
            let keep = !condemned(entry);
            if !keep && let Some(count) = targets.get_mut(&fingerprint.target) {
                *count -= 1;
                if *count == 0 {
                    targets.remove(&fingerprint.target);
                }
            }
            keep
        });
    }
}
