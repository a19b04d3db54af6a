//! Cancellation of tries at the upstream whose answer nobody waits for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Sender, bounded};

use crate::peer::CancelFlag;
use crate::upstream::Upstream;

/// Cancellations that may wait; more are dropped, for the deadline ends the try as well.
const MAX_QUEUED: usize = 256;

/// Thread that tells the upstream.
///
/// Guards against work that goes on after it was given up: the place at the
/// upstream counts as free here while it is still taken there, so that the
/// upstream gets more than its slots hold.
#[derive(Debug)]
pub(super) struct Canceller {
    attempts: Sender<(SocketAddr, u64)>,
}

impl Canceller {
    /// Starts the thread; it ends when this value is dropped and no try is watched any more.
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

    /// Tells the upstream that a try is given up.
    pub(super) fn cancel(&self, address: SocketAddr, attempt: u64) {
        // A full queue drops it.
        let _ = self.attempts.try_send((address, attempt));
    }

    /// Tells the upstream when the caller of a try has gone away.
    pub(super) fn watch(&self, cancelled: &CancelFlag, address: SocketAddr, attempt: u64) {
        let attempts = self.attempts.clone();
        cancelled.on_cancel(move || {
            let _ = attempts.try_send((address, attempt));
        });
    }
}
