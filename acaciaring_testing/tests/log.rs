//! Tests of the log stand-in over HTTP.

#[allow(dead_code)]
mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use acaciaring_schema::log::{Appended, Batch};
use acaciaring_testing::harness::wait_until;
use acaciaring_testing::{LogControl, LogOptions, LogServer};
use prost::Message;

use common::{BOUND, agent, get, post};

fn append(address: SocketAddr, record: &[u8]) -> u64 {
    let answer = post(address, "/v1/records", record).unwrap();
    assert_eq!(answer.status, 200);
    Appended::decode(&answer.body[..]).unwrap().offset
}

fn read(address: SocketAddr, query: &str) -> Batch {
    let answer = get(address, &format!("/v1/records?{query}"), &[]).unwrap();
    assert_eq!(answer.status, 200);
    Batch::decode(&answer.body[..]).unwrap()
}

#[test]
fn appends_get_offsets_in_order() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    let offsets = [append(log.address(), b"a"), append(log.address(), b"b")];
    assert_eq!(offsets, [1, 2]);
    let batch = read(log.address(), "from=2&max=10&wait=0");
    assert_eq!((batch.oldest, batch.start, batch.next), (1, 2, 3));
    assert_eq!(batch.entries, [b"b".to_vec()]);
}

// The connection breaks after the log has stored a record: the append fails, the record remains.
#[test]
fn lost_answer_has_taken_effect() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    log.handle().set(&LogControl { lose: Some(1), ..LogControl::default() });
    assert!(post(log.address(), "/v1/records", b"lost").is_err());
    assert_eq!(append(log.address(), b"kept"), 2);
    assert_eq!(read(log.address(), "from=1").entries, [b"lost".to_vec(), b"kept".to_vec()]);
}

// A read of a record beyond the retention starts at the oldest retained one, which reveals the gap.
#[test]
fn retention_by_count_moves_the_oldest_offset() {
    let log = LogServer::start(LogOptions { retention: 2, ..LogOptions::default() }).unwrap();
    for record in [b"a", b"b", b"c"] {
        append(log.address(), record);
    }
    let batch = read(log.address(), "from=1");
    assert_eq!((batch.oldest, batch.start, batch.next), (2, 2, 4));
    assert_eq!(batch.entries, [b"b".to_vec(), b"c".to_vec()]);
}

#[test]
fn retention_by_age_empties_the_log() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    append(log.address(), b"a");
    log.handle().set(&LogControl { age: Some(1), ..LogControl::default() });
    wait_until("empty log", BOUND, || read(log.address(), "from=1").entries.is_empty()).unwrap();
    let batch = read(log.address(), "from=1");
    assert_eq!((batch.oldest, batch.next), (2, 2));
}

#[test]
fn appends_above_the_rate_are_refused() {
    let log = LogServer::start(LogOptions { rate: 1, ..LogOptions::default() }).unwrap();
    let statuses: Vec<u16> =
        (0..50).map(|_| post(log.address(), "/v1/records", b"x").unwrap().status).collect();
    assert_eq!(statuses[0], 200);
    assert!(statuses.contains(&429));
    let kept = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(log.handle().records(1).1.len(), kept);
}

#[test]
fn records_over_the_limit_are_refused() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    let limit = vec![0; 256 * 1024];
    assert_eq!(append(log.address(), &limit), 1);
    let over = vec![0; limit.len() + 1];
    assert_eq!(post(log.address(), "/v1/records", &over).unwrap().status, 413);
}

#[test]
fn outage_refuses_and_ends_on_command() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    assert_eq!(post(log.address(), "/control", br#"{"outage": true}"#).unwrap().status, 200);
    assert_eq!(post(log.address(), "/v1/records", b"x").unwrap().status, 503);
    assert_eq!(get(log.address(), "/v1/records?from=1", &[]).unwrap().status, 503);
    post(log.address(), "/control", br#"{"outage": false}"#).unwrap();
    assert_eq!(append(log.address(), b"x"), 1);
}

// Requests left unanswered store nothing, and their connections are closed when the hang ends.
#[test]
fn hanging_requests_take_no_effect() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    log.handle().set(&LogControl { hang: Some(true), ..LogControl::default() });
    let short = agent(Duration::from_millis(200));
    let url = format!("http://{}/v1/records", log.address());
    assert!(short.post(url).send(&b"x"[..]).is_err());
    log.handle().set(&LogControl { hang: Some(false), ..LogControl::default() });
    assert_eq!(append(log.address(), b"y"), 1);
}

// Many long-polling reads do not delay appends, and one record completes all of them.
#[test]
fn waiting_readers_do_not_block_appends() {
    const READERS: usize = 150;
    let log = LogServer::start(LogOptions::default()).unwrap();
    let address = log.address();
    let wait = move || read(address, "from=2&wait=8000").entries;
    let readers: Vec<_> = (0..READERS).map(|_| thread::spawn(wait)).collect();
    assert_eq!(append(address, b"first"), 1);
    assert_eq!(append(address, b"second"), 2);
    for reader in readers {
        assert_eq!(reader.join().unwrap(), [b"second".to_vec()]);
    }
}

#[test]
fn waiting_read_ends_without_a_record() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    let batch = read(log.address(), "from=1&wait=20");
    assert!(batch.entries.is_empty());
    assert_eq!(batch.next, 1);
}

#[test]
fn corrupt_records_do_not_decode() {
    let log = LogServer::start(LogOptions::default()).unwrap();
    post(log.address(), "/control", br#"{"corrupt": 1}"#).unwrap();
    let (_, records) = log.handle().records(1);
    assert!(acaciaring_schema::log::Record::decode(&records[0][..]).is_err());
}
