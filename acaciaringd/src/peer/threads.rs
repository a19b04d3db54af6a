//! Threads that run the tasks of the transport.

use std::{io, thread};

use parking_lot::Mutex;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::oneshot;

/// Name of each of these threads.
const THREAD_NAME: &str = "traffic";

/// Runtime threads, which end when this is dropped.
pub(super) struct Threads {
    pub handle: Handle,
    /// Multi-threaded runtime, if there is more than one thread.
    pool: Mutex<Option<Runtime>>,
    /// Ends a single thread on drop.
    _stop: Option<oneshot::Sender<()>>,
}

impl Threads {
    /// Starts `count` threads; a single one uses the current-thread scheduler of Tokio.
    ///
    /// # Errors
    ///
    /// Fails if a thread or the I/O driver cannot be created.
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
            // Ends with an error when the sender is dropped; nothing is ever sent.
            let _ = runtime.block_on(ended);
            runtime.shutdown_background();
        };
        thread::Builder::new().name(THREAD_NAME.into()).spawn(run)?;
        Ok(Self { handle, pool: Mutex::default(), _stop: Some(end) })
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        // May be dropped on a thread of the runtime, where a blocking shutdown would panic.
        if let Some(runtime) = self.pool.lock().take() {
            runtime.shutdown_background();
        }
    }
}
