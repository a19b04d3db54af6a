//! Preference of an entry for its local upstream, with real processes.

mod common;

use common::classes::{class_load, limited_upstreams, run_loads, start_pooled};

// Guards against requests that are sent to other members although the local upstream of the entry
// has free slots.
#[test]
fn an_entry_gives_its_own_upstream_what_it_has_room_for() {
    let cluster = start_pooled(limited_upstreams(8, 5), 3, "");
    let before = cluster.vms[0].runs().len();
    let mut load = class_load(&cluster, "query", "/quality-lab/query", 100.0, 23);
    load.entries.truncate(1);
    let figures = run_loads(&[load]).remove(0);
    let own = cluster.vms[0].runs().len() - before;
    println!("{own} of {} at the own upstream, {:?}", figures.sent.len(), figures.told);
    assert!(own * 10 > figures.sent.len() * 8, "{own} of {}", figures.sent.len());
}
