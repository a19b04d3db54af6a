//! Cancellation of a running request.

use std::fmt::{self, Debug, Formatter};
use std::mem;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Callback that runs when a request is cancelled.
type Action = Box<dyn FnOnce() + Send>;

/// Signals to a running request that it is cancelled; clones share the flag.
#[derive(Clone, Default)]
pub struct CancelFlag {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    set: AtomicBool,
    actions: Mutex<Vec<Action>>,
    notify: Notify,
}

impl CancelFlag {
    /// Returns whether the request is cancelled.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.shared.set.load(Ordering::Acquire)
    }

    /// Runs `action` when the request is cancelled, or at once if it already is.
    ///
    /// The action runs on a thread of the transport and must not block.
    pub fn on_cancel(&self, action: impl FnOnce() + Send + 'static) {
        let mut actions = self.shared.actions.lock();
        if !self.is_set() {
            actions.push(Box::new(action));
            return;
        }
        drop(actions);
        action();
    }

    /// Waits until the request is cancelled.
    pub async fn cancelled(&self) {
        let notified = self.shared.notify.notified();
        if !self.is_set() {
            notified.await;
        }
    }

    /// Cancels the request and runs the registered actions.
    pub fn set(&self) {
        let mut actions = self.shared.actions.lock();
        self.shared.set.store(true, Ordering::Release);
        self.shared.notify.notify_waiters();
        let actions = mem::take(&mut *actions);
        for action in actions {
            action();
        }
    }
}

impl Debug for CancelFlag {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_tuple("CancelFlag").field(&self.is_set()).finish()
    }
}
