//! Child processes of a test.

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;

use crate::error::{IoSnafu, Result, TimeoutSnafu};
use crate::harness::wait_until;

/// Child process, killed when dropped.
///
/// Its standard input stays open as long as this value lives. A program that exits at the end of
/// its input thus cannot outlive the test, even if the test is killed.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    lines: Receiver<String>,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be spawned.
    pub fn spawn<A: AsRef<OsStr>>(
        program: &Path,
        args: impl IntoIterator<Item = A>,
    ) -> Result<Self> {
        Self::spawn_with(Command::new(program).args(args))
    }

    /// Starts a command with piped standard input and output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be spawned.
    pub fn spawn_with(command: &mut Command) -> Result<Self> {
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().context(IoSnafu { what: "spawn" })?;
        let (sender, lines) = crossbeam_channel::unbounded();
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(std::io::Result::ok) {
                    _ = sender.send(line);
                }
            });
        }
        let input = child.stdin.take();
        Ok(Self { child, input, lines })
    }

    /// Waits for a line on standard output that starts with `prefix`, and returns the rest of it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such line within `bound` or the output ends.
    pub fn line(&self, prefix: &str, bound: Duration) -> Result<String> {
        let end = Instant::now() + bound;
        while let Ok(line) = self.lines.recv_deadline(end) {
            if let Some(rest) = line.strip_prefix(prefix) {
                return Ok(rest.trim().to_owned());
            }
        }
        TimeoutSnafu { what: format!("line {prefix:?}"), millis: bound.as_millis() }.fail()
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Closes the standard input of the process, upon which a stand-in exits.
    pub fn close(&mut self) {
        self.input = None;
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Requests the process to terminate (SIGTERM).
    pub fn term(&mut self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn thaw(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Requests the process to reload its settings (SIGHUP).
    pub fn hang_up(&mut self) {
        self.signal(Signal::HUP);
    }

    /// Exit status, or `None` while the process runs.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if it still runs after `bound`.
    pub fn wait(&mut self, bound: Duration) -> Result<ExitStatus> {
        let mut status = None;
        wait_until("exit", bound, || {
            status = self.exited();
            status.is_some()
        })?;
        status.map_or_else(|| TimeoutSnafu { what: "exit", millis: bound.as_millis() }.fail(), Ok)
    }

    /// Sends a signal unless the process has exited, as its id may have been reused.
    fn signal(&mut self, signal: Signal) {
        if self.exited().is_none() {
            _ = kill_process(Pid::from_child(&self.child), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
