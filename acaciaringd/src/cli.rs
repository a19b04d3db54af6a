//! Command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::config::{Settings, load};

/// Exit code for a command line that is not valid.
const USAGE: u8 = 2;

/// Exit code for a settings file that is not valid.
const INVALID: u8 = 3;

xflags::xflags! {
    /// Process of acaciaring beside one upstream.
    cmd acaciaringd {
        /// Settings file (INI).
        optional -c, --config file: PathBuf
        /// Check the settings file and exit.
        optional --check
        /// Print the version and exit.
        optional --version
    }
}

/// What the command line asks for.
#[derive(Debug, PartialEq)]
pub enum Start {
    /// Run with these settings, which were read from this file.
    Run {
        /// The settings file, read again for `[logging]` on SIGHUP.
        path: PathBuf,
        /// Settings that have been checked.
        settings: Box<Settings>,
    },
    /// Nothing is left to do.
    Exit(u8),
}

impl Start {
    /// Returns the exit code of a process that has nothing left to do.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Run { .. } => ExitCode::SUCCESS,
            Self::Exit(code) => ExitCode::from(*code),
        }
    }
}

/// Reads the command line of this process and its settings; writes messages for the operator.
#[must_use]
pub fn start() -> Start {
    start_with(std::env::args_os().skip(1).collect())
}

/// Reads a command line without the program's name.
#[must_use]
pub fn start_with(args: Vec<OsString>) -> Start {
    match Acaciaringd::from_vec(args) {
        Ok(flags) => execute(flags),
        Err(error) if error.is_help() => {
            println!("{error}");
            Start::Exit(0)
        }
        Err(error) => {
            eprintln!("acaciaringd: {error}; see --help");
            Start::Exit(USAGE)
        }
    }
}

fn execute(flags: Acaciaringd) -> Start {
    if flags.version {
        println!("acaciaringd {}", env!("CARGO_PKG_VERSION"));
        return Start::Exit(0);
    }
    let Some(path) = flags.config else {
        eprintln!("acaciaringd: --config FILE is required; see --help");
        return Start::Exit(USAGE);
    };
    match load(&path) {
        Ok(_) if flags.check => {
            println!("{}: valid", path.display());
            Start::Exit(0)
        }
        Ok(settings) => Start::Run { path, settings: Box::new(settings) },
        Err(error) => {
            eprintln!("{error}");
            Start::Exit(INVALID)
        }
    }
}
