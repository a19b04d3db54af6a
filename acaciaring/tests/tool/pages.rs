//! Checks that docs, man page, completions and CI agree with the commands.

use std::fs;
use std::path::Path;

use crate::support::run;

/// Reads a file of the repository.
fn read(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the commands listed by `--help`.
fn commands() -> Vec<String> {
    let help = run(&["--help"]).out;
    let names = help.lines().filter_map(|line| line.strip_prefix("acaciaring "));
    // `missing` is the internal default without a command.
    names.filter(|name| *name != "missing").map(str::to_owned).collect()
}

#[test]
fn every_command_is_on_the_page_and_in_the_completions() {
    let commands = commands();
    assert_eq!(commands.len(), 8, "{commands:?}");
    for command in &commands {
        assert!(read("docs/CLI.md").contains(&format!("| `{command}")), "{command}");
        let escaped = command.replace('-', "\\-");
        assert!(read("extra/man/acaciaring.1").contains(&escaped), "{command}");
        for file in ["acaciaring.bash", "_acaciaring", "acaciaring.fish"] {
            let text = read(&format!("extra/completions/{file}"));
            assert!(text.contains(command.as_str()), "{command} in {file}");
        }
    }
}

#[test]
fn ci_runs_what_the_readme_names() {
    let readme = read("README.md");
    let script = read(".ci/run");
    for step in [
        "cargo fmt --all --check",
        "cargo clippy --workspace --all-targets -- -D warnings",
        "cargo test --workspace",
    ] {
        assert!(readme.contains(step) && script.contains(step), "{step}");
    }
}
