//! Threads whose panic ends the process.

use std::process;
use std::thread::{self, JoinHandle};

use tracing::error;

/// Exit code after a critical thread has panicked.
const FAILED: i32 = 70;

/// Starts a thread whose panic ends the process.
///
/// Guards against a process that goes on without its control thread: it would report readiness and
/// route by stale configuration and owners, whereas a process that exits is restarted.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let owned = name.to_owned();
    let fail = move || {
        error!(thread = owned, "critical thread panicked, exiting");
        process::exit(FAILED);
    };
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run_guarded(run, fail))
        .expect("the operating system starts a thread")
}

/// Calls `run`, and `fail` if it panics.
fn run_guarded(run: impl FnOnce(), fail: impl FnMut()) {
    let guard = PanicGuard(fail);
    run();
    drop(guard);
}

/// Calls its function if it is dropped by a panic.
struct PanicGuard<F: FnMut()>(F);

impl<F: FnMut()> Drop for PanicGuard<F> {
    fn drop(&mut self) {
        if thread::panicking() {
            (self.0)();
        }
    }
}

#[cfg(test)]
mod tests;
