//! Command-line tool for operators: checks, publishes and retires documents, and shows the
//! documents in force, key owners, members and loads.

mod check;
mod client;
mod error;
mod flags;
mod publish;
mod report;
mod show;

use std::process::ExitCode;
use std::time::Instant;

use snafu::Report as ErrorReport;

use crate::client::Client;
use crate::error::{ToolError, UsageSnafu};
use crate::flags::{Acaciaring, AcaciaringCmd};
use crate::report::Report;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    match Acaciaring::from_env() {
        Ok(flags) if flags.version => run(flags, version),
        Ok(flags) => run(flags, command),
        Err(error) if error.is_help() => {
            println!("{error}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("acaciaring: {error}; see --help");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}

/// Report of a command and the error that stopped it; a partial failure has both.
struct Outcome {
    report: Option<Report>,
    failure: Option<ToolError>,
}

impl Outcome {
    fn done(report: Report) -> Self {
        Self { report: Some(report), failure: None }
    }
}

impl From<Result<Report, ToolError>> for Outcome {
    fn from(result: Result<Report, ToolError>) -> Self {
        match result {
            Ok(report) => Self::done(report),
            Err(error) => Self { report: None, failure: Some(error) },
        }
    }
}

fn run(flags: Acaciaring, command: impl FnOnce(Acaciaring) -> Outcome) -> ExitCode {
    let format = flags.format.unwrap_or_default();
    let outcome = command(flags);
    if let Some(report) = outcome.report {
        println!("{}", report.render(format));
    }
    match outcome.failure {
        None => ExitCode::SUCCESS,
        Some(error) => {
            eprintln!("acaciaring: {}", ErrorReport::from_error(&error));
            ExitCode::from(error.exit_code())
        }
    }
}

fn version(_: Acaciaring) -> Outcome {
    Outcome::done(report::version())
}

fn command(flags: Acaciaring) -> Outcome {
    let timeout = flags.timeout.unwrap_or_default().0;
    let client = Client::new(flags.member, Instant::now() + timeout);
    match flags.subcommand {
        AcaciaringCmd::Check(command) => check::run(&command.files).into(),
        AcaciaringCmd::Publish(command) => publish::run(&client, &command),
        AcaciaringCmd::Retire(command) => publish::retire(&client, &command),
        AcaciaringCmd::InForce(command) => {
            show::in_force(&client, command.name.as_deref(), command.wait)
        }
        AcaciaringCmd::Owner(command) => {
            show::owner(&client, &command.workspace, &command.key).into()
        }
        AcaciaringCmd::Members(_) => show::members(&client).into(),
        AcaciaringCmd::Load(_) => show::load(&client).into(),
        AcaciaringCmd::Version(_) => Outcome::done(report::version()),
        AcaciaringCmd::Missing(_) => UsageSnafu { message: "a command is required" }.fail().into(),
    }
}
