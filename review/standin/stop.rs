//! A node is stopped as planned while clients are still sending their requests.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::extra::World;
use crate::http;
use crate::node::{CONTROL, OUTBOUND};

const SERVICES: [&str; 6] =
    ["contracts", "contracts", "contracts", "contracts", "quality-lab", "quality-lab"];

/// The node that is stopped, beside a server of `contracts`.
const STOPPED: usize = 0;

/// Clients that begin a request shortly before two readiness checks in a row can have failed.
const CLIENTS: u64 = 16;

/// Times from the SIGTERM at which they send the first and the last byte of their requests; between
/// them lies less than `HeaderTimeoutMs`.
const FIRST: Duration = Duration::from_millis(1900);
const LAST: Duration = Duration::from_millis(4850);

/// What the client says that it waits for, as for month-end reports.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time that the servers of `quality-lab` take on average for these, in milliseconds.
const WORK: u64 = 360;

/// Callers at the other nodes, each of which sends one request after the other: the servers of
/// `quality-lab` have 36 slots, and the others wait.
const CALLERS: usize = 76;

static NUMBER: AtomicU64 = AtomicU64::new(1);

pub fn play(path: &str, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(path, &SERVICES);
    let servers: Vec<_> = (0..SERVICES.len())
        .map(|number| {
            let control = world.nodes[number].address(CONTROL);
            let work = if number < 4 { 30 } else { WORK };
            world.server(number, &format!("i-{}", number + 1), control, work)
        })
        .collect();
    if let Err(cause) = world.wait(&servers) {
        world.end();
        return Err(cause);
    }
    let ended = Arc::new(AtomicBool::new(false));
    world.watch(&ended);
    world.clients(2, 2.0, 30, &ended);
    for caller in 0..CALLERS {
        let entry = world.nodes[1 + caller % 5].address(OUTBOUND);
        let ended = Arc::clone(&ended);
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                ask(entry);
            }
        });
    }
    thread::sleep(Duration::from_secs(4));

    let stopped = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let entry = world.nodes[STOPPED].address(OUTBOUND);
            let (record, judge) = (Arc::clone(&world.record), Arc::clone(&world.judge));
            thread::spawn(move || {
                let id = format!("s{:04}", NUMBER.fetch_add(1, Ordering::SeqCst));
                let late = Duration::from_millis(5 * client);
                thread::sleep((FIRST + late).saturating_sub(stopped.elapsed()));
                let left = DEADLINE.as_millis();
                let text = format!(
                    "GET /grade/1 HTTP/1.1\r\nHost: mill.example\r\nX-Attempt-Id: {id}\r\n\
                     X-Remaining-Milliseconds: {left}\r\n\r\n"
                );
                let Ok(mut stream) = http::connect(entry, DEADLINE) else {
                    record.add(&format!("client: {id} finds no connection"));
                    return;
                };
                let (first, last) = text.as_bytes().split_at(24);
                let mut sent = stream.write_all(first).is_ok();
                let at = stopped.elapsed().as_millis();
                record.add(&format!("client: {id} sends its first bytes {at} ms after the SIGTERM"));
                thread::sleep((LAST + late).saturating_sub(stopped.elapsed()));
                sent &= stream.write_all(last).is_ok();
                let at = stopped.elapsed().as_millis();
                record.add(&format!("client: {id} has sent its last byte {at} ms after the SIGTERM: {sent}"));
                let whole = Instant::now();
                let status = http::read(&mut BufReader::new(stream)).map_or(0, |answer| answer.status());
                let at = stopped.elapsed().as_millis();
                record.add(&format!("client: {id} gets {status} {at} ms after the SIGTERM"));
                if sent && status == 0 {
                    judge.ended(&id, whole);
                }
            })
        })
        .collect();
    if trouble {
        world.record.add("SIGTERM of the first node");
        let took = world.nodes[STOPPED].stop();
        world.record.add(&format!("the first node has ended {} ms after the SIGTERM", took.as_millis()));
    }
    for client in clients {
        let _ = client.join();
    }
    if trouble {
        world.nodes[STOPPED].start();
    }
    thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(2));
    Ok(world.end())
}

/// Sends one request and waits for its answer; after a refusal it comes back as it is told.
fn ask(entry: SocketAddr) {
    let id = format!("g{:06}", NUMBER.fetch_add(1, Ordering::SeqCst));
    let left = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", "mill.example"),
        ("X-Attempt-Id", id.as_str()),
        ("X-Remaining-Milliseconds", left.as_str()),
        ("Connection", "close"),
    ];
    let request = http::build("GET /grade/1 HTTP/1.1", &headers, b"");
    let answer = http::call(entry, &request, DEADLINE);
    let pause = answer.and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
    thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.01).clamp(0.01, 1.3)));
}
