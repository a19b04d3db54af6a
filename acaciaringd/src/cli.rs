//! Command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::config::{Settings, load};

/// Exit code for an invalid command line.
const USAGE: u8 = 2;

/// Exit code for an invalid settings file.
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

/// Action that the command line requests.
#[derive(Debug, PartialEq)]
pub enum Start {
    /// Run the daemon.
    Run {
        /// The settings file, read again for `[logging]` on SIGHUP.
        path: PathBuf,
        /// Validated settings.
        settings: Box<Settings>,
    },
    /// Exit with this code.
    Exit(u8),
}

impl Start {
    /// Returns the exit code, success for [`Self::Run`].
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Run { .. } => ExitCode::SUCCESS,
            Self::Exit(code) => ExitCode::from(*code),
        }
    }
}

/// Parses the command line of this process and loads its settings; prints errors to standard error.
#[must_use]
pub fn start() -> Start {
    start_with(std::env::args_os().skip(1).collect())
}

/// Parses a command line without the name of the program, and loads the settings.
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
