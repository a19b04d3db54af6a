//! Budgets of retries, one for each class of each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::retry::{Failure, RetryBudget, RetryDecision, RetrySettings};
use acaciaring_core::{Name, Time};
use parking_lot::Mutex;

/// Retries of one service that all members together may make, beyond the share of first tries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CommonBudget {
    /// Retries in each window.
    pub(crate) burst: f64,
    pub(crate) window: Duration,
}

/// Budgets of one entry.
///
/// With one for all, an overload of one class would use up the retries that the others need.
#[derive(Debug)]
pub(crate) struct Budgets {
    settings: RetrySettings,
    common: CommonBudget,
    buckets: Mutex<HashMap<(Name, Name), RetryBudget>>,
}

impl Budgets {
    /// Makes budgets that are full.
    pub(crate) fn new(settings: RetrySettings, common: CommonBudget) -> Self {
        Self { settings, common, buckets: Mutex::default() }
    }

    /// Notes the first try of a request of a class.
    pub(super) fn first_try(&self, now: Time, workspace: &Name, class: &Name) {
        self.with(now, workspace, class, |budget| budget.first_attempt(now));
    }

    /// Decides what to do after a failed try of a request of a class, as one of so many members.
    pub(super) fn next(
        &self,
        now: Time,
        members: usize,
        workspace: &Name,
        class: &Name,
        failure: &Failure,
    ) -> RetryDecision {
        let part = self.common.burst / self.sharers(members, workspace);
        self.with(now, workspace, class, |budget| {
            budget.limit(part, self.common.window, &self.settings);
            budget.decide(now, &mut rand::rng(), failure)
        })
    }

    /// Returns how many buckets the common budget of a service is divided among.
    #[expect(clippy::cast_precision_loss, reason = "a few thousand at most")]
    fn sharers(&self, members: usize, workspace: &Name) -> f64 {
        let buckets = self.buckets.lock();
        let classes = buckets.keys().filter(|(name, _)| name == workspace).count();
        (members.max(1) * classes.max(1)) as f64
    }

    fn with<T>(
        &self,
        now: Time,
        workspace: &Name,
        class: &Name,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let name = (Arc::clone(workspace), Arc::clone(class));
        let mut buckets = self.buckets.lock();
        let budget =
            buckets.entry(name).or_insert_with(|| RetryBudget::new(now, self.settings.clone()));
        act(budget)
    }
}

#[cfg(test)]
mod tests;
