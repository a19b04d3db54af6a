//! Members that could not be reached a moment ago.

use std::collections::HashMap;
use std::time::Duration;

use acaciaring_core::{MemberId, Time};
use parking_lot::Mutex;

/// Time for which a member that could not be reached is tried last, at first.
///
/// Guards against a dead owner that costs each request the full connect
/// time-out until its eviction is recorded; after it the owner is tried again.
const MIN_SUSPICION: Duration = Duration::from_millis(250);

/// Longest such time; it doubles with each try that fails.
///
/// Guards against an outage of the log, in which no eviction is recorded and a
/// dead owner stays owner: with a fixed time most requests met the next try. It
/// is short, for an owner that can be reached again waits for the next try too.
const MAX_SUSPICION: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    until: Time,
    period: Duration,
}

/// Members under suspicion.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    members: Mutex<HashMap<MemberId, Suspicion>>,
}

impl Suspects {
    /// Notes that a member could not be reached.
    pub(crate) fn add(&self, now: Time, member: MemberId) {
        let mut members = self.members.lock();
        members.retain(|_, suspicion| now < suspicion.until + MAX_SUSPICION);
        let known = members.get(&member).copied();
        let period = match known {
            // Requests that fail together count as one failure.
            Some(known) if now < known.until => return,
            // The try that failed has doubled it already.
            Some(known) => known.period,
            None => MIN_SUSPICION,
        };
        members.insert(member, Suspicion { until: now + period, period });
    }

    /// Notes that a member has answered.
    pub(crate) fn clear(&self, member: MemberId) {
        self.members.lock().remove(&member);
    }

    /// Returns true while a member is under suspicion.
    pub(crate) fn contains(&self, now: Time, member: MemberId) -> bool {
        self.members.lock().get(&member).is_some_and(|suspicion| now < suspicion.until)
    }

    /// Returns true when a member is to be tried last; each time it has been long enough, one caller may try.
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
