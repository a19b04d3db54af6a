//! Retry policy: which requests are retried, after which backoff, and within which budget.

use std::time::Duration;

use rand::Rng;

use crate::route::Repeat;
use crate::time::Time;
use crate::verdict::{Reason, Refusal, Verdict};

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed per first attempt, on average.
    pub ratio: f64,
    /// Retries per second allowed whatever the number of first attempts.
    pub min_rate: f64,
    /// Capacity of the token bucket, in retries.
    pub burst: f64,
    /// Maximum number of attempts of one request, redirects excluded.
    pub max_attempts: u32,
    /// Maximum number of free redirects to another owner; further ones count as attempts.
    pub max_redirects: u32,
    /// Maximum backoff before the second attempt; it doubles with each further attempt.
    pub base_backoff: Duration,
    /// Upper limit of the backoff.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_rate: 1.0,
            burst: 20.0,
            max_attempts: 5,
            max_redirects: 3,
            base_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_millis(800),
        }
    }
}

/// Maximum number of free redirects away from full members.
///
/// Each costs a hop, and under overload most members are full.
const MAX_BUSY_REDIRECTS: u32 = 1;

/// Maximum number of free redirects away from members whose links are full.
///
/// Each costs a hop, which is little compared with a large answer. Links fill and drain within the
/// time of a few answers, so an entry rarely knows which ones have room.
const MAX_LINK_REDIRECTS: u32 = 3;

/// Failed attempt, without an answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// How the attempt ended.
    pub refusal: Refusal,
    /// How often the request may run.
    pub repeat: Repeat,
    /// Time left for the whole answer.
    pub time_left: Duration,
    /// Attempts so far, including this one but not redirects.
    pub attempts: u32,
    /// Attempts so far that reached no upstream, including this one.
    pub redirects: u32,
    /// True when this attempt reached an upstream.
    pub reached_upstream: bool,
    /// True when a member that was not tried yet may take the request.
    pub has_alternative: bool,
    /// Maximum number of attempts set by the class; 0 uses the settings.
    pub max_attempts: u32,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a backoff.
    Retry {
        /// Duration of the backoff.
        after: Duration,
    },
    /// Return the failure to the caller.
    GiveUp,
}

/// Retry budget of one entry process, a token bucket.
///
/// The owner keeps one for each class, so that an overload of interactive requests does not use up
/// the retries of bulk requests.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    refilled: Time,
}

impl RetryBudget {
    /// Returns a full budget.
    #[must_use]
    pub fn new(now: Time, settings: RetrySettings) -> Self {
        Self { tokens: settings.burst, settings, refilled: now }
    }

    /// Limits the capacity and the minimum rate, never above the default settings.
    ///
    /// Guards against many processes that each spend a full budget on one failing upstream: `burst`
    /// retries per `window` are this process's part of a common limit, half of it as capacity and
    /// half as refill.
    pub fn limit(&mut self, burst: f64, window: Duration, defaults: &RetrySettings) {
        let half = burst / 2.0;
        self.settings.burst = defaults.burst.min(half.max(1.0));
        self.settings.min_rate = defaults.min_rate.min(half / window.as_secs_f64());
        self.tokens = self.tokens.min(self.settings.burst);
    }

    /// Records a first attempt, which adds its fraction of a token.
    pub fn first_attempt(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Decides whether to retry after a failed attempt.
    pub fn decide(&mut self, now: Time, rng: &mut impl Rng, failure: &Failure) -> RetryDecision {
        self.refill(now);
        if !may_retry(failure) {
            return RetryDecision::GiveUp;
        }
        if self.is_free_redirect(failure) {
            return retry_within(failure.time_left, Duration::ZERO);
        }
        let after = self.backoff(rng, failure);
        let expired = after >= failure.time_left;
        if expired || failure.attempts >= self.max_attempts(failure) || self.tokens < 1.0 {
            return RetryDecision::GiveUp;
        }
        self.tokens -= 1.0;
        RetryDecision::Retry { after }
    }

    /// Returns the maximum number of attempts of the request.
    fn max_attempts(&self, failure: &Failure) -> u32 {
        if failure.max_attempts > 0 {
            failure.max_attempts.min(self.settings.max_attempts)
        } else {
            self.settings.max_attempts
        }
    }

    /// Returns true for a redirect that takes no token, as it reached no upstream and costs little.
    ///
    /// Guards against one full member whose requests use up the budget of all members and are then
    /// refused although other members have capacity.
    fn is_free_redirect(&self, failure: &Failure) -> bool {
        match failure.refusal.reason {
            Reason::NotOwner => failure.redirects <= self.settings.max_redirects,
            Reason::Busy if failure.has_alternative && !failure.reached_upstream => {
                failure.redirects <= MAX_BUSY_REDIRECTS
            }
            Reason::LinkFull if failure.has_alternative && !failure.reached_upstream => {
                failure.redirects <= MAX_LINK_REDIRECTS
            }
            _ => false,
        }
    }

    /// Returns the backoff: none towards an untried member, else random but at least the requested
    /// delay.
    fn backoff(&self, rng: &mut impl Rng, failure: &Failure) -> Duration {
        if failure.has_alternative {
            return Duration::ZERO;
        }
        let doublings = failure.attempts.saturating_sub(1).min(16);
        let bound = self
            .settings
            .base_backoff
            .saturating_mul(1 << doublings)
            .min(self.settings.max_backoff);
        let random = bound.mul_f64(rng.random_range(0.5..1.0));
        failure.refusal.retry.unwrap_or_default().max(random)
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.refilled).as_secs_f64() * self.settings.min_rate;
        self.tokens = (self.tokens + earned).min(self.settings.burst);
        self.refilled = self.refilled.max(now);
    }
}

fn retry_within(left: Duration, after: Duration) -> RetryDecision {
    if after < left { RetryDecision::Retry { after } } else { RetryDecision::GiveUp }
}

/// Returns true when a retry may succeed and cannot run the request more often than allowed.
fn may_retry(failure: &Failure) -> bool {
    let safe = match failure.refusal.verdict {
        Verdict::NotRun => true,
        Verdict::Answered => false,
        Verdict::Unknown => failure.repeat == Repeat::Idempotent,
    };
    safe && is_retryable(failure.refusal.reason)
}

fn is_retryable(reason: Reason) -> bool {
    match reason {
        Reason::NotOwner
        | Reason::NoLease
        | Reason::Busy
        | Reason::LinkFull
        | Reason::Shed
        | Reason::StandbyLost
        | Reason::Draining
        | Reason::UpstreamDown
        | Reason::LostAnswer
        | Reason::Unreachable => true,
        Reason::Expired
        | Reason::Superseded
        | Reason::NoRoute
        | Reason::Cancelled
        | Reason::DedupLost
        | Reason::BadRequest
        | Reason::Quarantined => false,
    }
}
