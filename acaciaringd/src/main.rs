//! Entry point of the daemon of acaciaring.

use std::path::Path;
use std::process::ExitCode;

use acaciaringd::Daemon;
use acaciaringd::cli::{self, Start};
use acaciaringd::config::Settings;
use acaciaringd::logging::{self, LogHandle};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{error, warn};

/// Exit code of a graceful shutdown that aborted requests.
const EXIT_UNFINISHED: u8 = 4;

fn main() -> ExitCode {
    match cli::start() {
        Start::Run { path, settings } => run(&path, &settings),
        done @ Start::Exit(_) => done.exit_code(),
    }
}

/// Runs the daemon until SIGTERM or SIGINT.
fn run(path: &Path, settings: &Settings) -> ExitCode {
    let logs = match logging::init(&settings.logging) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    // Registered before any thread starts, so that no signal takes its default action.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]);
    let started = Daemon::start(settings);
    match (signals, started) {
        (Ok(signals), Ok(daemon)) => serve(daemon, signals, path, &logs),
        (Err(error), _) => fail(&error),
        (_, Err(error)) => fail(&error),
    }
}

fn serve(daemon: Daemon, mut signals: Signals, path: &Path, logs: &LogHandle) -> ExitCode {
    println!("listening http={} peer={} admin={}", daemon.http(), daemon.peer(), daemon.admin());
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        if let Err(error) = logs.reload(path) {
            warn!(%error, "cannot reload the settings file, keeping the current logging settings");
        }
    }
    if daemon.stop() == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_UNFINISHED) }
}

fn fail(error: &(dyn std::error::Error + 'static)) -> ExitCode {
    error!(error, "cannot start the daemon");
    ExitCode::FAILURE
}
