//! Routes that are shared out among several workspaces by weight.

use std::collections::HashMap;
use std::sync::Arc;

use acaciaring_core::route::Route;
use parking_lot::Mutex;

/// What each part of a route is owed, in parts of the sum of weights.
///
/// The part that is owed most gets the next request, so that each span of requests is shared out
/// by weight as evenly as whole requests allow; a random choice would stray in short spans.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits {
    credits: Mutex<HashMap<RouteKey, Vec<i64>>>,
}

/// Host and prefix of a route, with its weights: other weights begin anew.
type RouteKey = (Option<Arc<str>>, Arc<str>, Vec<u32>);

impl TrafficSplits {
    /// Returns the part of a route that serves its next request, or the route itself.
    pub(crate) fn pick(&self, route: Arc<Route>) -> Arc<Route> {
        if route.parts.is_empty() {
            return route;
        }
        let weights: Vec<u32> = route.parts.iter().map(|(weight, _)| *weight).collect();
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        let key = (route.host.clone(), Arc::clone(&route.prefix), weights);
        let mut credits = self.credits.lock();
        if credits.len() > MAX_ROUTES {
            credits.clear();
        }
        let credits = credits.entry(key).or_insert_with(|| vec![0; route.parts.len()]);
        for (credit, (weight, _)) in credits.iter_mut().zip(&route.parts) {
            *credit += i64::from(*weight);
        }
        let most = (0..credits.len()).max_by_key(|index| credits[*index]).unwrap_or(0);
        credits[most] -= total;
        Arc::clone(&route.parts[most].1)
    }
}

/// Routes that are remembered; beyond it all begin anew.
const MAX_ROUTES: usize = 4096;

#[cfg(test)]
mod tests;
