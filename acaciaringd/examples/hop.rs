//! Measures one hop between members over loopback: throughput, latency, CPU time and memory.
//!
//! Run with `cargo run --release -p acaciaringd --example hop`. Both ends are
//! in this process, so CPU time and memory are those of sender and receiver together.

#[path = "../tests/peer_support/mod.rs"]
mod peer_support;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

use acaciaring_schema::peer::{Datagram, Renew, datagram};
use acaciaringd::peer::{self, PeerSettings, RequestOutcome};

use crate::peer_support::{Authority, Node, request};

/// Length of the body of a request and of its answer.
const BODY_BYTES: usize = 512;

/// Duration of one row.
const ROW_DURATION: Duration = Duration::from_secs(3);

/// Connections over which the memory is averaged.
const CONNECTION_COUNT: u8 = 200;

/// Time for the last packets of the handshakes.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Lease renewals over which the traffic is counted.
const RENEWAL_COUNT: u32 = 10;

/// Interval of lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

fn main() {
    let authority = Authority::new();
    let server = Node::echo(authority.settings());
    let client = Node::echo(authority.settings());
    println!("callers  requests/s  p50 us  p99 us  cpu us/request  not answered");
    for callers in [1, 16, 64] {
        measure_row(&client, &server, callers);
    }
    measure_idle(&authority);
}

fn measure_row(client: &Node, server: &Node, callers: usize) {
    let to = server.transport.local_addr();
    let start = Instant::now();
    let before = cpu_time();
    let run = || {
        let mut times = Vec::new();
        let mut failed = 0;
        while start.elapsed() < ROW_DURATION {
            let sent = Instant::now();
            let outcome =
                client.transport.blocking_request(to, request([7; BODY_BYTES]), REQUEST_TIMEOUT);
            if !matches!(outcome, RequestOutcome::Answer(_)) {
                failed += 1;
            }
            times.push(sent.elapsed());
        }
        (times, failed)
    };
    let results: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = (0..callers).map(|_| scope.spawn(run)).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    let (elapsed, used) = (start.elapsed(), cpu_time().saturating_sub(before));
    let failed: usize = results.iter().map(|(_, failed)| failed).sum();
    let mut times: Vec<_> = results.into_iter().flat_map(|(times, _)| times).collect();
    times.sort_unstable();
    let count = u32::try_from(times.len()).unwrap();
    println!(
        "{callers:7}  {:10.0}  {:6}  {:6}  {:14.1}  {failed:12}",
        f64::from(count) / elapsed.as_secs_f64(),
        times[times.len() / 2].as_micros(),
        times[times.len() * 99 / 100].as_micros(),
        used.as_secs_f64() * 1e6 / f64::from(count),
    );
}

/// Measures idle connections: memory of both ends, and bytes of the handshake and of renewals.
fn measure_idle(authority: &Authority) {
    let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let server = Node::echo(PeerSettings { address, ..authority.settings() });
    let client = Node::echo(authority.settings());
    let port = server.transport.local_addr().port();
    // Each loopback address gets a connection of its own.
    let exchange = |last: u8| {
        client.transport.send((Ipv4Addr::new(127, 0, 1, last), port).into(), &renew(), false);
        let (from, _) = server.datagrams.recv_timeout(REQUEST_TIMEOUT).expect("renewal arrives");
        server.transport.send(from, &renew(), false);
        client.datagrams.recv_timeout(REQUEST_TIMEOUT).expect("grant arrives");
    };
    exchange(0);
    let (memory, sent) = (resident_bytes(), client.transport.traffic().sent);
    (1..=CONNECTION_COUNT).for_each(exchange);
    thread::sleep(SETTLE_TIME);
    let count = u64::from(CONNECTION_COUNT);
    println!("resident: {} bytes per connection, both ends", (resident_bytes() - memory) / count);
    println!(
        "sent by client: {} bytes per handshake",
        (client.transport.traffic().sent - sent) / count
    );
    let renew = || {
        exchange(1);
        thread::sleep(RENEWAL_INTERVAL);
    };
    (0..RENEWAL_COUNT).for_each(|_| renew());
    let before = client.transport.traffic();
    (0..RENEWAL_COUNT).for_each(|_| renew());
    let after = client.transport.traffic();
    println!(
        "renewal and grant: {} bytes in {} packets sent, {} bytes in {} packets received, of {RENEWAL_COUNT} renewals",
        after.sent - before.sent,
        after.sent_packets - before.sent_packets,
        after.received - before.received,
        after.received_packets - before.received_packets,
    );
}

fn renew() -> Datagram {
    let renew = Renew {
        holder: 123_456,
        lessor: 123_457,
        seq: 1000,
        version: 120_000,
        applied: 123_500,
        declared: 0,
        age: 0,
        evacuation: 0,
        ..Renew::default()
    };
    Datagram { body: Some(datagram::Body::Renew(renew)) }
}

fn cpu_time() -> Duration {
    // Fields 14 and 15 after the name in parentheses, in ticks of 10 ms.
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let fields = stat.rsplit_once(')').unwrap().1.split_whitespace().skip(11).take(2);
    Duration::from_millis(fields.map(|ticks| ticks.parse::<u64>().unwrap() * 10).sum())
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kib * 1024
}
