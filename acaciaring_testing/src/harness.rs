//! Helpers for tests that start processes.

mod process;
mod remote;
mod tls;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{env, fs, process as own, thread};

use snafu::ResultExt;

use crate::error::{IoSnafu, Result, TimeoutSnafu};

pub use self::process::Process;
pub use self::remote::{command, records};
pub use self::tls::{Authority, Identity};

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `condition` holds.
///
/// # Errors
///
/// Returns an error if it does not hold within `bound`.
pub fn wait_until(what: &str, bound: Duration, mut condition: impl FnMut() -> bool) -> Result<()> {
    let end = Instant::now() + bound;
    while !condition() {
        if Instant::now() >= end {
            return TimeoutSnafu { what, millis: bound.as_millis() }.fail();
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Temporary directory of a test, removed when dropped.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates a new directory.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation on the file system fails.
    pub fn new() -> Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = env::temp_dir().join(format!("acaciaring-{}-{number}", own::id()));
        fs::create_dir_all(&path).context(IoSnafu { what: "create a directory" })?;
        Ok(Self { path })
    }

    /// Path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation on the file system fails.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.path.join(name);
        fs::write(&path, text).context(IoSnafu { what: "write a file" })?;
        Ok(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.path);
    }
}

/// Path of a program of this Cargo workspace, built in the same profile as the running test.
#[must_use]
pub fn program(name: &str) -> Option<PathBuf> {
    let test = env::current_exe().ok()?;
    let path = test.parent()?.parent()?.join(name);
    path.exists().then_some(path)
}
