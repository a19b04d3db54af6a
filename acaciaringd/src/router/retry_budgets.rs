//! Retry budgets by service and class.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryBudget, RetryDecision, RetrySettings};
use acaciaring_core::{Name, Time};
use parking_lot::Mutex;

/// Retries of one service that all members may make together, beyond those earned by first tries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClusterBudget {
    /// Retries in each window.
    pub(crate) burst: f64,
    pub(crate) window: Duration,
}

/// Retry budgets of this process.
///
/// Each class has its own, so that an overload of one cannot use up the retries of the others.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    settings: RetrySettings,
    cluster: ClusterBudget,
    buckets: Mutex<HashMap<(Name, Name), RetryBudget>>,
}

impl RetryBudgets {
    /// Creates the budgets, initially full.
    pub(crate) fn new(settings: RetrySettings, cluster: ClusterBudget) -> Self {
        Self { settings, cluster, buckets: Mutex::default() }
    }

    /// Records the first try of a request, which earns a part of a retry.
    pub(super) fn first_try(&self, now: Time, workspace: &Name, class: &Name) {
        self.with_budget(now, workspace, class, |budget| budget.first_attempt(now));
    }

    /// Decides what follows a failed try, in a cluster of `members`.
    pub(super) fn next(
        &self,
        now: Time,
        members: usize,
        workspace: &Name,
        class: &Name,
        failure: &Failure,
    ) -> RetryDecision {
        let part = self.cluster.burst / self.bucket_count(members, workspace);
        self.with_budget(now, workspace, class, |budget| {
            budget.limit(part, self.cluster.window, &self.settings);
            budget.decide(now, &mut rand::rng(), failure)
        })
    }

    /// Returns the number of buckets among which the cluster budget of a service is divided.
    #[expect(clippy::cast_precision_loss, reason = "a few thousand at most")]
    fn bucket_count(&self, members: usize, workspace: &Name) -> f64 {
        let buckets = self.buckets.lock();
        let classes = buckets.keys().filter(|(name, _)| name == workspace).count();
        (members.max(1) * classes.max(1)) as f64
    }

    fn with_budget<T>(
        &self,
        now: Time,
        workspace: &Name,
        class: &Name,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let name = (Arc::clone(workspace), Arc::clone(class));
        let mut buckets = self.buckets.lock();
        let budget =
            buckets.entry(name).or_insert_with(|| RetryBudget::new(now, self.settings.clone()));
        update(budget)
    }
}

#[cfg(test)]
mod tests;
