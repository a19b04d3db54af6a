//! Threads for traffic.

use std::{io, thread};

use parking_lot::Mutex;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::oneshot;

/// Name of each thread for traffic.
const THREAD_NAME: &str = "traffic";

/// Runs tasks until it is dropped.
pub(super) struct Threads {
    pub handle: Handle,
    /// Several threads that share their tasks.
    pool: Mutex<Option<Runtime>>,
    /// Ends a single thread when it is dropped.
    _stop: Option<oneshot::Sender<()>>,
}

impl Threads {
    /// Starts this many threads.
    ///
    /// A single one has a scheduler of its own, which shares nothing with others. What that saves
    /// was not measured by itself.
    ///
    /// # Errors
    ///
    /// Fails when a thread or the queue of events cannot be made.
    pub fn start(count: usize) -> io::Result<Self> {
        if count > 1 { Self::multi_thread(count) } else { Self::single_thread() }
    }

    fn multi_thread(count: usize) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(count)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        Ok(Self { handle, pool: Mutex::new(Some(runtime)), _stop: None })
    }

    fn single_thread() -> io::Result<Self> {
        let runtime =
            Builder::new_current_thread().thread_name(THREAD_NAME).enable_all().build()?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel::<()>();
        let run = move || {
            // The sender is only dropped, never used.
            let _ = runtime.block_on(ended);
            runtime.shutdown_background();
        };
        thread::Builder::new().name(THREAD_NAME.into()).spawn(run)?;
        Ok(Self { handle, pool: Mutex::default(), _stop: Some(end) })
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        // The last clone may be dropped on a thread of the runtime, where waiting for its end would panic.
        if let Some(runtime) = self.pool.lock().take() {
            runtime.shutdown_background();
        }
    }
}
