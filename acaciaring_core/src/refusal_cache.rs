//! Queues that were full a moment ago, so that an entry refuses by itself what they would refuse.
//!
//! The load that this is for is one far above capacity: most requests are refused, and each refusal
//! costs a way to the member and back, on machines whose processors the answers need. A queue
//! that has just refused a request refuses one of the same rank with no more time as well.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::MemberId;
use crate::route::Rank;
use crate::time::Time;

/// Part of the time after which a refused caller may come back for which its refusal holds for others.
///
/// The time is once to twice what the queue takes to empty. With a sixteenth at most an eighth of the
/// queue is served until the next request is sent there, so that the upstream never runs dry for it.
const HOLD_DIVISOR: u32 = 16;

/// Time that a request has, as the queue beside an upstream looks at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slack {
    /// Rank of the request's class.
    pub rank: Rank,
    /// Time within which an answer is in time.
    pub aim: Duration,
    /// Time within which an answer is of use.
    pub left: Duration,
}

impl Slack {
    /// Returns true when a queue that refuses `other` refuses this request as well.
    fn within(self, other: Self) -> bool {
        self.aim <= other.aim && self.left <= other.left
    }
}

/// Refusal that holds for others.
#[derive(Debug, Clone, Copy)]
struct CachedRefusal {
    until: Time,
    slack: Slack,
    /// When the refused caller may come back, from then on.
    retry: Duration,
}

/// What members refused lately because their queues were full.
#[derive(Debug, Default)]
pub struct RefusalCache {
    refusals: HashMap<(MemberId, Rank), CachedRefusal>,
}

impl RefusalCache {
    /// Notes that a member refused a request, and when its caller may come back.
    pub fn record(&mut self, now: Time, member: MemberId, slack: Slack, retry: Duration) {
        self.refusals.retain(|_, refusal| now < refusal.until);
        let refusal = CachedRefusal { until: now + retry / HOLD_DIVISOR, slack, retry };
        self.refusals.insert((member, slack.rank), refusal);
    }

    /// Returns when to come back if the member would refuse the request, `None` if it may take it.
    #[must_use]
    pub fn retry_after(&self, now: Time, member: MemberId, slack: Slack) -> Option<Duration> {
        let refusal = self.refusals.get(&(member, slack.rank))?;
        let valid = now < refusal.until && slack.within(refusal.slack);
        valid.then_some(refusal.retry)
    }

    /// Takes those out of `members` that would refuse the request; returns when to come back to them.
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
