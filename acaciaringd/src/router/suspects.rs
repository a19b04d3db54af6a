//! Members that were recently unreachable.

use std::collections::HashMap;
use std::time::Duration;

use acaciaring_core::{MemberId, Time};
use parking_lot::Mutex;

/// Time for which an unreachable member is avoided after its first failure.
///
/// Guards against a dead owner that costs each request the connect timeout until its eviction is
/// recorded.
const MIN_SUSPICION: Duration = Duration::from_millis(250);

/// Longest such time; it doubles with each failed attempt.
///
/// Guards against an outage of the log, in which a dead owner is not evicted and would be tried at
/// a constant rate. The bound is short, since an owner that recovers waits for the next attempt.
const MAX_SUSPICION: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    until: Time,
    period: Duration,
}

/// Members that are suspected to be unreachable.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    members: Mutex<HashMap<MemberId, Suspicion>>,
}

impl Suspects {
    /// Records that a member could not be reached.
    pub(crate) fn add(&self, now: Time, member: MemberId) {
        let mut members = self.members.lock();
        members.retain(|_, suspicion| now < suspicion.until + MAX_SUSPICION);
        let known = members.get(&member).copied();
        let period = match known {
            // Concurrent failures count as one.
            Some(known) if now < known.until => return,
            // Already doubled when the failed attempt began.
            Some(known) => known.period,
            None => MIN_SUSPICION,
        };
        members.insert(member, Suspicion { until: now + period, period });
    }

    /// Records that a member has answered, which ends the suspicion.
    pub(crate) fn clear(&self, member: MemberId) {
        self.members.lock().remove(&member);
    }

    /// Returns true while a member is suspect.
    pub(crate) fn contains(&self, now: Time, member: MemberId) -> bool {
        self.members.lock().get(&member).is_some_and(|suspicion| now < suspicion.until)
    }

    /// Returns true if other members are to be preferred to this one.
    ///
    /// When a period of suspicion ends, it returns false to one caller, whose attempt probes the
    /// member, and begins the next period.
    pub(crate) fn should_avoid(&self, now: Time, member: MemberId) -> bool {
        let mut members = self.members.lock();
        let Some(suspicion) = members.get_mut(&member) else { return false };
        if now < suspicion.until {
            return true;
        }
        suspicion.period = (suspicion.period * 2).min(MAX_SUSPICION);
        suspicion.until = now + suspicion.period;
        false
    }
}

#[cfg(test)]
mod tests;
