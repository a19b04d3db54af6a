//! Weighted split of a route's requests among several workspaces.

use std::collections::HashMap;
use std::sync::Arc;

use acaciaring_core::route::Route;
use parking_lot::Mutex;

/// Smooth weighted round robin over the parts of each route.
///
/// The part with the largest credit gets the next request. Any short run of requests is thus split
/// by weight, which a random choice achieves only on average.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits {
    credits: Mutex<HashMap<RouteKey, Vec<i64>>>,
}

/// Host, prefix and weights of a route; a change of weights starts with new credits.
type RouteKey = (Option<Arc<str>>, Arc<str>, Vec<u32>);

impl TrafficSplits {
    /// Returns the part of a route that gets the next request, or the route itself if it has none.
    pub(crate) fn pick(&self, route: Arc<Route>) -> Arc<Route> {
        if route.weighted_routes.is_empty() {
            return route;
        }
        let weights: Vec<u32> = route.weighted_routes.iter().map(|(weight, _)| *weight).collect();
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        let key = (route.host.clone(), Arc::clone(&route.prefix), weights);
        let mut credits = self.credits.lock();
        if credits.len() > MAX_ROUTES {
            credits.clear();
        }
        let credits = credits.entry(key).or_insert_with(|| vec![0; route.weighted_routes.len()]);
        for (credit, (weight, _)) in credits.iter_mut().zip(&route.weighted_routes) {
            *credit += i64::from(*weight);
        }
        let most = (0..credits.len()).max_by_key(|index| credits[*index]).unwrap_or(0);
        credits[most] -= total;
        Arc::clone(&route.weighted_routes[most].1)
    }
}

/// Largest number of routes with credits; above it all are cleared.
const MAX_ROUTES: usize = 4096;

#[cfg(test)]
mod tests;
