//! Tests of the weighted split of routes.

use std::collections::BTreeMap;

use acaciaring_core::route::{Division, Weights};

use super::*;

fn route(workspace: &str, weighted_routes: Vec<(u32, Arc<Route>)>) -> Arc<Route> {
    Arc::new(Route {
        workspace: workspace.into(),
        tenant: "".into(),
        host: None,
        prefix: "/a/".into(),
        division: Division::Pooled,
        classes: Vec::new(),
        weights: Weights { churn: 1, downtime: 1 },
        max_body: 1,
        weighted_routes,
    })
}

#[test]
fn each_short_run_of_requests_is_split_by_weight() {
    let parts = vec![(90, route("books", Vec::new())), (10, route("lab", Vec::new()))];
    let whole = route("books", parts);
    let splits = TrafficSplits::default();
    for _ in 0..5 {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..20 {
            *counts.entry(splits.pick(Arc::clone(&whole)).workspace.to_string()).or_default() += 1;
        }
        assert_eq!(counts, BTreeMap::from([("books".into(), 18), ("lab".into(), 2)]));
    }
}

#[test]
fn a_route_without_parts_is_itself() {
    let whole = route("books", Vec::new());
    assert_eq!(TrafficSplits::default().pick(Arc::clone(&whole)), whole);
}
