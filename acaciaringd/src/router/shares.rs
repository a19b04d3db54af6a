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
pub(crate) struct Shares {
    owed: Mutex<HashMap<Place, Vec<i64>>>,
}

/// Host and prefix of a route, with its weights: other weights begin anew.
type Place = (Option<Arc<str>>, Arc<str>, Vec<u32>);

impl Shares {
    /// Returns the part of a route that serves its next request, or the route itself.
    pub(crate) fn pick(&self, route: Arc<Route>) -> Arc<Route> {
        if route.weighted_routes.is_empty() {
            return route;
        }
        let weights: Vec<u32> = route.weighted_routes.iter().map(|(weight, _)| *weight).collect();
        let total: i64 = weights.iter().copied().map(i64::from).sum();
        let place = (route.host.clone(), Arc::clone(&route.prefix), weights);
        let mut owed = self.owed.lock();
        if owed.len() > MOST {
            owed.clear();
        }
        let owed = owed.entry(place).or_insert_with(|| vec![0; route.weighted_routes.len()]);
        for (owed, (weight, _)) in owed.iter_mut().zip(&route.weighted_routes) {
            *owed += i64::from(*weight);
        }
        let most = (0..owed.len()).max_by_key(|index| owed[*index]).unwrap_or(0);
        owed[most] -= total;
        Arc::clone(&route.weighted_routes[most].1)
    }
}

/// Routes that are remembered; beyond it all begin anew.
const MOST: usize = 4096;

#[cfg(test)]
mod tests;
