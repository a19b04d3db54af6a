//! Threads without which the process must not go on.

use std::process;
use std::thread::{self, JoinHandle};

use tracing::error;

/// Exit code after a vital thread has failed.
const FAILED: i32 = 70;

/// Starts a thread whose failure ends the process.
///
/// Guards against a process that lost its control and lives on: it would take requests by an old
/// configuration and old owners, and report readiness, until somebody stops it. A process that ends
/// is started again within a second or two.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let owned = name.to_owned();
    let fail = move || {
        error!(thread = owned, "a vital thread has failed, the process ends");
        process::exit(FAILED);
    };
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run_guarded(run, fail))
        .expect("the operating system starts a thread")
}

/// Runs `run`, and `fail` if it panics.
fn run_guarded(run: impl FnOnce(), fail: impl FnMut()) {
    let guard = PanicGuard(fail);
    run();
    drop(guard);
}

/// Calls its function when dropped by a panic.
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
