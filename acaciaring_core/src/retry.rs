//! Retries: which are allowed, when, and how many in all.

use std::time::Duration;

use rand::Rng;

use crate::route::Repeat;
use crate::time::Time;
use crate::verdict::{Reason, Refusal, Verdict};

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries per first try, over time.
    pub ratio: f64,
    /// Retries a second that are allowed however few first tries there are.
    pub min_rate: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// Tries of one request at most, redirects not counted.
    pub max_attempts: u32,
    /// Redirects of one request to another owner at most; further ones count as tries.
    pub max_redirects: u32,
    /// Longest pause before the second try; it doubles with each further try.
    pub base_backoff: Duration,
    /// Longest pause.
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

/// Members that are asked for free after the first one, when they are full.
///
/// Each costs a hop, and in a flood most members are full.
const MAX_BUSY_REDIRECTS: u32 = 1;

/// A try that gave no answer from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// How the try ended.
    pub refusal: Refusal,
    /// How often the request may run.
    pub repeat: Repeat,
    /// Time that is left for the whole answer.
    pub time_left: Duration,
    /// Tries so far, this one included, redirects not.
    pub attempts: u32,
    /// Tries so far that no upstream has seen, this one included.
    pub redirects: u32,
    /// True when an upstream has seen this try.
    pub reached_upstream: bool,
    /// True when a member that was not tried yet may take the request.
    pub has_alternative: bool,
    /// Tries that the class allows; 0 leaves it to the settings.
    pub max_attempts: u32,
}

/// What to do after a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a pause.
    Retry {
        /// Length of the pause.
        after: Duration,
    },
    /// Give the caller the final answer now.
    GiveUp,
}

/// Budget of retries of one entry process, a token bucket.
///
/// The owner of this value keeps one for each class. With one for all, an overload of interactive
/// requests would use up the retries that bulk requests need.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    refilled: Time,
}

impl RetryBudget {
    /// Returns a budget that is full.
    #[must_use]
    pub fn new(now: Time, settings: RetrySettings) -> Self {
        Self { tokens: settings.burst, settings, refilled: now }
    }

    /// Bounds what is saved up and what is earned without first tries, never above the settings.
    ///
    /// Guards against many processes that each spend a full budget on one upstream that is in
    /// trouble: `burst` retries in each `window` are this process's part of a bound for all. A
    /// full bucket and what it earns in one window are half of that part each.
    pub fn limit(&mut self, burst: f64, window: Duration, defaults: &RetrySettings) {
        let half = burst / 2.0;
        self.settings.burst = defaults.burst.min(half.max(1.0));
        self.settings.min_rate = defaults.min_rate.min(half / window.as_secs_f64());
        self.tokens = self.tokens.min(self.settings.burst);
    }

    /// Notes a first try, which earns its share of a retry.
    pub fn first_attempt(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Decides what to do after a failed try.
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

    /// Returns how many tries a request has in all.
    fn max_attempts(&self, failure: &Failure) -> u32 {
        if failure.max_attempts > 0 {
            failure.max_attempts.min(self.settings.max_attempts)
        } else {
            self.settings.max_attempts
        }
    }

    /// A try that no upstream has seen costs next to nothing, so a few of them are free.
    ///
    /// Guards against a service of which one member is full: its requests would use up the budget
    /// that all members share, and then be refused while other members have room.
    fn is_free_redirect(&self, failure: &Failure) -> bool {
        match failure.refusal.reason {
            Reason::NotOwner => failure.redirects <= self.settings.max_redirects,
            Reason::Busy if failure.has_alternative && !failure.reached_upstream => {
                failure.redirects <= MAX_BUSY_REDIRECTS
            }
            _ => false,
        }
    }

    /// Returns the pause: none towards a member not tried yet, else random, and no less than was asked for.
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

/// Returns true when a further try cannot run the request twice against the rules and may succeed.
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
        | Reason::BadRequest => false,
    }
}
