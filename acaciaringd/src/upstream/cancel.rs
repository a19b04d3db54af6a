//! Cancellation of attempts at the upstream whose answer is no longer needed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Sender, bounded};

use crate::peer::CancelFlag;
use crate::upstream::Upstream;

/// Maximum number of queued cancellations; more are dropped, as the deadline also ends an attempt.
const MAX_QUEUED: usize = 256;

/// Thread that sends cancellations to the upstream.
///
/// Guards against overload of the upstream by abandoned requests: their concurrency slots are
/// released here while the upstream still works on them.
#[derive(Debug)]
pub(super) struct Canceller {
    attempts: Sender<(SocketAddr, u64)>,
}

impl Canceller {
    /// Starts the thread; it ends when this value and all watches of attempts are dropped.
    pub(super) fn start(upstream: Arc<Upstream>) -> Self {
        let (attempts, queue) = bounded::<(SocketAddr, u64)>(MAX_QUEUED);
        let run =
            move || queue.iter().for_each(|(address, attempt)| upstream.cancel(address, attempt));
        thread::Builder::new()
            .name("cancel".into())
            .spawn(run)
            .expect("the operating system starts a thread");
        Self { attempts }
    }

    /// Queues the cancellation of an attempt.
    pub(super) fn cancel(&self, address: SocketAddr, attempt: u64) {
        // Dropped when the queue is full.
        let _ = self.attempts.try_send((address, attempt));
    }

    /// Queues the cancellation of an attempt when `cancelled` is set.
    pub(super) fn watch(&self, cancelled: &CancelFlag, address: SocketAddr, attempt: u64) {
        let attempts = self.attempts.clone();
        cancelled.on_cancel(move || {
            let _ = attempts.try_send((address, attempt));
        });
    }
}
