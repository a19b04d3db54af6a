//! Requests that are refused here on behalf of members whose queue or link was full.

use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::Duration;

use acaciaring_core::refusal_cache::{RefusalCache, Slack};
use acaciaring_core::{MemberId, Reason, Refusal, Time};
use rand::Rng;

use super::{Plan, Router};
use crate::clock;
use crate::metrics::Counter;

/// Random factor for the retry delay of a request that is refused on behalf of a full member.
const RETRY_JITTER: Range<f64> = 0.75..1.25;

/// Divisor of the remaining time that bounds the retry delay of a refusal for a full link.
const LINK_RETRY_DIVISOR: u32 = 3;

/// Recent refusals of members whose queue or link was full.
#[derive(Debug, Default)]
pub(crate) struct FullMembers {
    queues: RefusalCache,
    links: RefusalCache,
}

impl FullMembers {
    /// Records that a member refused a request; other reasons than a full queue or link are ignored.
    fn record(&mut self, now: Time, member: MemberId, slack: Slack, refusal: Refusal) {
        let Some(retry) = refusal.retry else { return };
        match refusal.reason {
            Reason::Busy => self.queues.record(now, member, slack, retry),
            Reason::LinkFull => self.links.record(now, member, slack, retry),
            _ => {}
        }
    }

    /// Returns the reason and retry delay if the member would refuse the request.
    fn refused(&self, now: Time, member: MemberId, slack: Slack) -> Option<(Reason, Duration)> {
        let queue = self.queues.retry_after(now, member, slack);
        let link = self.links.retry_after(now, member, slack);
        sooner(queue, link)
    }

    /// Removes members that would refuse the request; returns the reason and the shortest retry
    /// delay.
    fn retain(
        &self,
        now: Time,
        members: &mut Vec<MemberId>,
        slack: Slack,
    ) -> Option<(Reason, Duration)> {
        let queue = self.queues.retain(now, members, slack);
        let link = self.links.retain(now, members, slack);
        sooner(queue, link)
    }
}

/// Returns the shorter of the retry delays for a full queue and a full link, with its reason.
fn sooner(queue: Option<Duration>, link: Option<Duration>) -> Option<(Reason, Duration)> {
    let queue = queue.map(|retry| (Reason::Busy, retry));
    let link = link.map(|retry| (Reason::LinkFull, retry));
    queue.into_iter().chain(link).min_by_key(|(_, retry)| *retry)
}

impl Router {
    /// Records that another member refused a request because its queue or link was full.
    ///
    /// Less time is left now than when the member decided, so the record applies to too few
    /// requests rather than to too many.
    pub(super) fn record_full(&self, plan: &Plan, target: MemberId, refusal: Refusal) {
        if matches!(refusal.reason, Reason::Busy | Reason::LinkFull)
            && self.shared.view().me != Some(target)
        {
            let now = clock::now();
            self.refusals.lock().record(now, target, plan.slack(now), refusal);
        }
    }

    /// Returns a refusal if the owner's queue or link was recently full for requests like this one.
    pub(super) fn refuse_full(&self, now: Time, plan: &Plan, owner: MemberId) -> Option<Refusal> {
        let (reason, retry) = self.refusals.lock().refused(now, owner, plan.slack(now))?;
        plan.last_member.store(owner.0, Ordering::Relaxed);
        Some(self.full_refusal(now, plan, reason, retry))
    }

    /// Removes the members whose queue or link was recently full for requests like this one.
    ///
    /// Returns a refusal if that leaves no member that has not been tried.
    pub(super) fn exclude_full(
        &self,
        now: Time,
        plan: &Plan,
        members: &mut Vec<MemberId>,
        tried: &[MemberId],
    ) -> Option<Refusal> {
        let full = self.refusals.lock().retain(now, members, plan.slack(now));
        let all_tried = members.iter().all(|member| tried.contains(member));
        let (reason, retry) = full.filter(|_| all_tried)?;
        Some(self.full_refusal(now, plan, reason, retry))
    }

    /// Returns the refusal of a request that is not forwarded; jitter spreads the clients' retries.
    fn full_refusal(&self, now: Time, plan: &Plan, reason: Reason, retry: Duration) -> Refusal {
        self.metrics.count(Counter::RequestsFull, 1);
        let retry = retry.mul_f64(rand::rng().random_range(RETRY_JITTER));
        let most = match reason {
            Reason::LinkFull => plan.deadline.since(now) / LINK_RETRY_DIVISOR,
            _ => Duration::MAX,
        };
        Refusal::not_run(reason).after(retry.min(most))
    }
}

#[cfg(test)]
mod tests;
