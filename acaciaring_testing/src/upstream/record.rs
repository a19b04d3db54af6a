//! Record of the requests that an upstream ran.

use std::fs::File;
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Run {
    /// Name of the upstream.
    pub upstream: String,
    /// Index in the upstream's record.
    pub seq: usize,
    /// Header `x-acaciaring-request`.
    pub request: String,
    /// Header `x-acaciaring-attempt`.
    pub attempt: u64,
    /// Header `x-load-tag`, which the load generator sets.
    pub tag: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Slot of the fencing token, empty if there is none.
    pub slot: String,
    /// Number of the fencing token, 0 if there is none.
    pub token: u64,
    /// Start in microseconds of Unix time.
    pub start: u64,
    /// End in microseconds of Unix time, 0 while the request runs.
    pub end: u64,
    /// Whether the request was cancelled while it ran; it may have taken effect.
    pub cancelled: bool,
    /// Whether the second check refused the fencing token, so that the run took no effect.
    pub reverted: bool,
}

/// Runs in memory and, if configured, in a file that survives the process.
#[derive(Default)]
pub(super) struct Record {
    pub(super) runs: Vec<Run>,
    pub(super) file: Option<File>,
}

impl Record {
    /// Adds a run that starts now and returns its index.
    pub(super) fn start(&mut self, run: Run) -> usize {
        let seq = self.runs.len();
        self.runs.push(Run { seq, start: micros(), ..run });
        self.write(seq);
        seq
    }

    pub(super) fn end(&mut self, seq: usize, cancelled: bool, reverted: bool) {
        let run = &mut self.runs[seq];
        run.end = micros();
        run.cancelled = cancelled;
        run.reverted = reverted;
        self.write(seq);
    }

    fn write(&mut self, seq: usize) {
        let Some(file) = &mut self.file else { return };
        let Ok(mut line) = serde_json::to_string(&self.runs[seq]) else { return };
        line.push('\n');
        if let Err(error) = file.write_all(line.as_bytes()) {
            tracing::warn!(%error, "run not written to the record file; it is kept in memory only");
        }
    }
}

/// Unix time in microseconds, comparable between processes of one machine.
pub(crate) fn micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
