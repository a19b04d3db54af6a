//! Tests of the permits, in real time.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use acaciaring_core::Time;
use tokio::runtime::Builder;
use tokio::time;

use super::{Egress, Permit};
use crate::clock;
use crate::metrics::Metrics;

/// Upper bound of each wait; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// 10 Mbit/s, in bytes per second.
const RATE: u64 = 1_250_000;

/// Bytes that occupy the link for 20 ms, and for hours.
const BYTES: u64 = 25_000;
const ENDLESS: u64 = 1 << 34;

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { time::timeout(WAIT_TIMEOUT, test).await }).unwrap();
}

fn later() -> Time {
    clock::now() + Duration::from_mins(1)
}

async fn cross(egress: &Egress, bytes: u64) -> Permit {
    egress.cross(bytes, None, later()).await
}

/// Returns two permits that never run out during a test.
async fn occupy(egress: &Egress) -> [Permit; 2] {
    [cross(egress, ENDLESS).await, cross(egress, ENDLESS).await]
}

/// Waits until `condition` holds.
async fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        time::sleep(Duration::from_millis(1)).await;
    }
}

/// Starts a task that waits for a permit, and returns once it waits.
async fn wait_in_task(egress: &Egress, bytes: u64) -> tokio::task::JoinHandle<Permit> {
    let before = egress.backlog();
    let waiting = egress.clone();
    let task = tokio::spawn(async move { cross(&waiting, bytes).await });
    wait_for(|| egress.backlog() == before + bytes).await;
    task
}

// Guards against a third large answer on the link.
#[test]
fn a_third_answer_waits_for_a_permit() {
    run(async {
        let egress = Egress::new(RATE);
        let [first, _second] = occupy(&egress).await;
        let third = wait_in_task(&egress, BYTES).await;
        time::sleep(Duration::from_millis(50)).await;
        assert!(!third.is_finished());
        drop(first);
        let permit = third.await.unwrap();
        assert_eq!(egress.backlog(), ENDLESS + BYTES);
        drop(permit);
        assert_eq!(egress.backlog_counter().load(Ordering::Relaxed), ENDLESS);
    });
}

// Guards against answers that wait behind one that is wanted later.
#[test]
fn the_permit_goes_to_the_earliest_aim() {
    run(async {
        let egress = Egress::new(RATE);
        let [first, second] = occupy(&egress).await;
        let order = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        for seconds in [30, 10, 20] {
            let (egress, order) = (egress.clone(), Arc::clone(&order));
            tasks.push(tokio::spawn(async move {
                let aim = clock::now() + Duration::from_secs(seconds);
                let _permit = egress.cross(BYTES, Some(aim), later()).await;
                order.fetch_add(1, Ordering::SeqCst)
            }));
        }
        wait_for(|| egress.backlog() == 2 * ENDLESS + 3 * BYTES).await;
        drop(first);
        let mut places = Vec::new();
        for task in tasks {
            places.push(task.await.unwrap());
        }
        assert_eq!(places, [2, 0, 1]);
        drop(second);
    });
}

// Guards against places that are lost with a task that was aborted or panicked, while it waits or
// while it transmits.
#[test]
fn a_task_that_ends_gives_its_place_back() {
    run(async {
        let egress = Egress::new(RATE);
        let [first, second] = occupy(&egress).await;
        let waiting = wait_in_task(&egress, BYTES).await;
        waiting.abort();
        wait_for(|| egress.backlog() == 2 * ENDLESS).await;
        let aborted = tokio::spawn(async move {
            let _permit = first;
            time::sleep(WAIT_TIMEOUT).await;
        });
        let panicked = tokio::spawn(async move {
            let _permit = second;
            panic!("a test of a panic");
        });
        assert!(panicked.await.is_err());
        aborted.abort();
        wait_for(|| egress.backlog() == 0).await;
        let [_first, _second] = occupy(&egress).await;
    });
}

// Guards against a place that is lost when its answer leaves at the moment of the grant.
#[test]
fn a_grant_that_nobody_takes_is_given_on() {
    run(async {
        let egress = Egress::new(RATE);
        let [first, _second] = occupy(&egress).await;
        let leaving = wait_in_task(&egress, BYTES).await;
        let next = wait_in_task(&egress, BYTES).await;
        // The task does not run between the grant and its end.
        drop(first);
        leaving.abort();
        next.await.unwrap();
        assert_eq!(egress.backlog(), ENDLESS);
    });
}

// Guards against silent receivers that block the answers to others, and fill the backlog until
// their connections end.
#[test]
fn permits_run_out() {
    run(async {
        let metrics = Metrics::none().readable();
        let egress = Egress::metered(RATE, metrics.clone());
        let expiry = clock::now() + Duration::from_millis(400);
        let silent =
            [egress.cross(BYTES, None, expiry).await, egress.cross(BYTES, None, expiry).await];
        let third = cross(&egress, ENDLESS).await;
        wait_for(|| metrics.text().contains("acaciaring_link_overdue_total 2\n")).await;
        assert!(metrics.text().contains("acaciaring_link_wait_seconds_count 3\n"));
        wait_for(|| egress.backlog() == ENDLESS).await;
        assert!(clock::now() >= expiry);
        drop(silent);
        assert_eq!(egress.backlog(), ENDLESS);
        drop(third);
        assert_eq!(egress.backlog(), 0);
    });
}

// Guards against answers to callers of this process that use the link beside those to members.
#[test]
fn an_answer_to_a_caller_occupies_the_link() {
    run(async {
        let egress = Egress::new(RATE);
        let start = clock::now();
        for _ in 0..2 {
            egress.pass(5 * BYTES, None, later()).await;
        }
        assert_eq!(egress.backlog(), 10 * BYTES);
        let third = cross(&egress, BYTES).await;
        assert!(clock::now().since(start) >= Duration::from_millis(100));
        drop(third);
        wait_for(|| egress.backlog() == 0).await;
    });
}
