//! Cache of recent refusals by full queues, so that an entry process refuses similar requests
//! without a network hop.
//!
//! Far above capacity most requests are refused, and each refusal would cost a round trip and
//! processor time that answers need. A queue that has just refused a request also refuses one of
//! the same rank with no more time left. A refusal of a request with a large answer may be due to
//! the link of the member and applies to such requests only.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::MemberId;
use crate::route::Rank;
use crate::time::Time;

/// Divisor of the retry delay for which a refusal is cached.
///
/// The delay is one to two times the time in which the queue empties, so the cache entry expires
/// while most of the queue is still waiting, and the upstream does not run idle. At most an eighth
/// of the queue is served in that time.
const HOLD_DIVISOR: u32 = 16;

/// Time that a request has left, as admission of the upstream sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slack {
    /// Rank of the request's class.
    pub rank: Rank,
    /// Time until the deadline by which the answer should arrive.
    pub aim: Duration,
    /// Time until the answer becomes useless.
    pub left: Duration,
    /// True if the class has large answers.
    pub large: bool,
}

impl Slack {
    /// Returns true when a queue that refuses `other` refuses this request as well.
    fn within(self, other: Self) -> bool {
        self.aim <= other.aim && self.left <= other.left
    }
}

/// Refusal that applies to similar requests.
#[derive(Debug, Clone, Copy)]
struct CachedRefusal {
    until: Time,
    slack: Slack,
    /// Retry delay given to callers.
    retry: Duration,
}

/// Recent refusals of members whose queues were full.
#[derive(Debug, Default)]
pub struct RefusalCache {
    /// Refusals by member, rank and whether the answer is large.
    refusals: HashMap<(MemberId, Rank, bool), CachedRefusal>,
}

impl RefusalCache {
    /// Records that a member refused a request with this retry delay.
    pub fn record(&mut self, now: Time, member: MemberId, slack: Slack, retry: Duration) {
        self.refusals.retain(|_, refusal| now < refusal.until);
        let refusal = CachedRefusal { until: now + retry / HOLD_DIVISOR, slack, retry };
        self.refusals.insert((member, slack.rank, slack.large), refusal);
    }

    /// Returns the retry delay if the member would refuse the request, `None` if it may accept it.
    #[must_use]
    pub fn retry_after(&self, now: Time, member: MemberId, slack: Slack) -> Option<Duration> {
        let find = |large| {
            let refusal = self.refusals.get(&(member, slack.rank, large))?;
            let valid = now < refusal.until && slack.within(refusal.slack);
            valid.then_some(refusal.retry)
        };
        let own = if slack.large { find(true) } else { None };
        own.or_else(|| find(false))
    }

    /// Removes members that would refuse the request; returns their shortest retry delay.
    pub fn retain(&self, now: Time, members: &mut Vec<MemberId>, slack: Slack) -> Option<Duration> {
        let mut soonest: Option<Duration> = None;
        if self.refusals.is_empty() {
            return soonest;
        }
        members.retain(|member| {
            let retry = self.retry_after(now, *member, slack);
            soonest = soonest.into_iter().chain(retry).min();
            retry.is_none()
        });
        soonest
    }
}
