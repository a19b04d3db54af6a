//! Tests of requests that wait for the link of the VM.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acaciaring_core::admission::{AdmissionSettings, Ticket};
use acaciaring_core::route::Rank;
use acaciaring_core::{Reason, Refusal};
use acaciaring_schema::peer::Answer;
use tokio::runtime::Builder;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::{ConcurrencyPermit, Queue};
use crate::clock;
use crate::metrics::Metrics;
use crate::peer::CancelFlag;

/// Bytes per second.
const LINK_RATE: u64 = 1_000_000;

const LONG: Duration = Duration::from_secs(30);

fn queue(backlog: &Arc<AtomicU64>) -> Queue {
    let settings = AdmissionSettings { link_rate: LINK_RATE, ..AdmissionSettings::default() };
    Queue::new(settings, Metrics::none(), Arc::clone(backlog))
}

/// Enters with a request that has plenty of time.
async fn enter(queue: &Queue, attempt: u64, answer: u64) -> Result<ConcurrencyPermit<'_>, Refusal> {
    let expiry = clock::now() + LONG;
    let ticket = Ticket { rank: Rank::Interactive, deadline: expiry, expiry, attempt, answer };
    queue.enter(ticket, &CancelFlag::default(), pending()).await
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async { timeout(LONG, future).await.expect("in time") })
}

// Guards against a request that waits for the link until another one ends, and against a short call
// that waits with it.
#[test]
fn a_large_request_starts_once_the_backlog_has_drained() {
    let backlog = Arc::new(AtomicU64::new(10 * LINK_RATE));
    let queue = queue(&backlog);
    block_on(async {
        let drain = async {
            while queue.request_counts() != (0, 1) {
                yield_now().await;
            }
            let short = enter(&queue, 2, 0).await.expect("a slot is free");
            assert_eq!(queue.request_counts(), (1, 1));
            drop(short);
            assert_eq!(queue.request_counts(), (0, 1), "it still waits");
            backlog.store(0, Ordering::Relaxed);
        };
        let (permit, ()) = tokio::join!(enter(&queue, 1, 90_000), drain);
        assert!(permit.is_ok());
        assert_eq!(queue.request_counts(), (1, 0));
    });
}

// Guards against a request that starts at the end of another one whose answer, not yet part of the
// backlog, takes the link.
#[test]
fn an_answer_counts_from_the_end_of_its_request() {
    let backlog = Arc::new(AtomicU64::new(0));
    let queue = queue(&backlog);
    block_on(async {
        let first = enter(&queue, 1, 2 * LINK_RATE).await.expect("nothing is outstanding");
        let end = async {
            while queue.request_counts() != (1, 1) {
                yield_now().await;
            }
            let answer = Answer { body: vec![0; 3_000_000], ..Answer::default() };
            first.finish(&Ok(answer));
            assert_eq!(queue.request_counts(), (0, 1), "the answer is not sent yet");
        };
        let (second, ()) = tokio::join!(enter(&queue, 2, 90_000), end);
        assert!(second.is_ok());
    });
}

// Guards against requests that are run although the link cannot send their answers in time.
#[test]
fn a_full_link_refuses_before_a_request_runs() {
    let backlog = Arc::new(AtomicU64::new(100 * LINK_RATE));
    let queue = queue(&backlog);
    let Err(refusal) = block_on(enter(&queue, 1, 90_000)) else { panic!("it runs") };
    assert_eq!(refusal.reason, Reason::LinkFull);
    assert!(refusal.retry.is_some_and(|retry| retry <= LONG / 3));
    assert_eq!(queue.request_counts(), (0, 0));
}
