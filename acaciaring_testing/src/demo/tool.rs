//! Runner of the command-line tool.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use acaciaring_core::admin::{MemberName, Owner};
use snafu::{ResultExt, ensure};

use crate::error::{AnswerSnafu, IoSnafu, JsonSnafu, Result};

/// Number of member addresses that are passed to the tool.
const CONTACTED_MEMBERS: usize = 2;

/// Command-line tool with the addresses of the members that it contacts.
pub(super) struct Tool {
    program: PathBuf,
    members: Vec<SocketAddr>,
}

impl Tool {
    pub(super) fn new(program: &Path, members: Vec<SocketAddr>) -> Self {
        Self { program: program.to_owned(), members }
    }

    /// Publishes files and waits until all members apply them.
    pub(super) fn publish(&self, files: &[PathBuf]) -> Result<()> {
        let name =
            |file: &PathBuf| file.file_name().map(|name| name.to_string_lossy().into_owned());
        let names: Vec<String> = files.iter().filter_map(name).collect();
        println!("  $ acaciaring publish {}", names.join(" "));
        let files = files.iter().map(|file| file.to_string_lossy().into_owned());
        let arguments: Vec<String> = std::iter::once("publish".to_owned()).chain(files).collect();
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        self.run(&arguments).map(drop)
    }

    /// Runs a command and prints its output.
    pub(super) fn show(&self, arguments: &[&str]) -> Result<()> {
        println!("  $ acaciaring {}", arguments.join(" "));
        let output = self.run(arguments)?;
        for line in output.lines().filter(|line| !line.is_empty()) {
            println!("  {line}");
        }
        Ok(())
    }

    /// Prints the slot, owner and standby of a key in one line.
    pub(super) fn print_owner(&self, workspace: &str, key: &str) -> Result<()> {
        let output = self.run(&["--format", "json", "owner", workspace, key])?;
        let owner: Owner = serde_json::from_str(&output).context(JsonSnafu)?;
        let name = |member: &Option<MemberName>| {
            member.as_ref().map_or_else(|| "none".to_owned(), |member| member.vm.to_string())
        };
        println!(
            "  {key}: slot {}, owner {}, standby {}",
            owner.slot,
            name(&owner.owner),
            name(&owner.standby)
        );
        Ok(())
    }

    /// Runs a command and returns its standard output.
    fn run(&self, arguments: &[&str]) -> Result<String> {
        let mut command = Command::new(&self.program);
        for member in self.members.iter().take(CONTACTED_MEMBERS) {
            command.arg("--member").arg(member.to_string());
        }
        let output = command.args(arguments).output().context(IoSnafu { what: "run the tool" })?;
        let errors = String::from_utf8_lossy(&output.stderr);
        let what = format!("acaciaring {}: {} {errors}", arguments.join(" "), output.status);
        ensure!(output.status.success(), AnswerSnafu { what });
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}
