//! Requests that an entry's own upstream can serve, with real processes.

mod common;

use common::classes::{class_load, limited_upstreams, run_loads, start_pooled};

// Half of all requests to a wide deployment's dossiers came to a process whose own upstream serves them and
// had places free. Each went to one of all members alike: 204,144 requests went to another process, on
// machines whose processors were the bound. Here three members serve, and all callers come to the first,
// with less than it can carry.
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
