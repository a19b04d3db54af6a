//! Tests of the lessors that members choose while all processes start again.

use acaciaring_core::MemberId;
use acaciaring_core::state::{Replica, State};
use acaciaring_schema::log::{Batch, Join, Record, record};
use prost::Message;

const MEMBERS: u64 = 195;
const CENTRES: u64 = 6;

/// Returns the record by which the process of a VM joins, for the given time.
fn join(vm: u64, start: u64) -> Vec<u8> {
    let join = Join {
        vm: format!("vm-{vm}"),
        nonce: vm,
        data_centre: format!("centre-{}", vm % CENTRES),
        region: "region".into(),
        peer: format!("10.0.0.{vm}:7000"),
        ..Join::default()
    };
    let mut id = vec![0; 16];
    id[..8].copy_from_slice(&(start * MEMBERS + vm + 1).to_be_bytes());
    Record { id, body: Some(record::Body::Join(join)), generation: 0 }.encode_to_vec()
}

/// Returns the state once all processes have joined and the first `again` ones have joined again.
fn restarted(again: u64) -> State {
    let mut entries: Vec<Vec<u8>> = (0..MEMBERS).map(|vm| join(vm, 0)).collect();
    entries.extend((0..again).map(|vm| join(vm, 1)));
    let next = entries.len() as u64 + 1;
    let mut replica = Replica::default();
    replica
        .apply_batch(&Batch { oldest: 1, next, start: 1, entries, generation: 0 })
        .expect("the records fold");
    replica.state().clone()
}

/// Returns the members of the second start whose best lessors include a majority of ended ones.
fn without_lease(state: &State, excluded: &[MemberId]) -> usize {
    let ended = |id: &&MemberId| id.0 <= MEMBERS;
    let newcomers = state.members().filter(|member| member.id.0 > MEMBERS);
    let lacks = newcomers.filter(|member| {
        let better = state.better_lessors_excluding(member, excluded);
        let lessors = better.unwrap_or_else(|| member.lessors.clone());
        lessors.iter().filter(ended).count() >= 2
    });
    lacks.count()
}

/// Guards against an outage of many seconds after all processes were killed: members without lease
/// chose identities that had ended as lessors, again and again.
#[test]
fn no_ended_identity_is_chosen_once_its_vm_has_a_later_one() {
    let state = restarted(MEMBERS);
    let superseded = state.superseded();
    assert_eq!(superseded.len() as u64, MEMBERS);
    println!("{} of {MEMBERS} have no lease by their first lessors", without_lease(&state, &[]));
    assert_eq!(without_lease(&state, &superseded), 0);
}

/// Guards against a running process that counts as ended.
#[test]
fn a_process_without_a_later_one_is_not_superseded() {
    assert_eq!(restarted(0).superseded(), Vec::new());
    let superseded = restarted(3).superseded();
    assert_eq!(superseded, [MemberId(1), MemberId(2), MemberId(3)]);
}
