//! Generates Rust code and the settings reference from the protobuf files and `settings.ini`.

mod code;
mod page;
mod schema;

#[path = "../../acaciaring_schema/src/quantity.rs"]
mod quantity;

use std::path::{Path, PathBuf};
use std::{fs, io};

use snafu::{ResultExt, Snafu};

pub use crate::schema::SchemaError;

/// Generated files, relative to the repository root.
pub const FILES: [&str; 5] = [
    "acaciaring_schema/src/generated/acaciaring.log.rs",
    "acaciaring_schema/src/generated/acaciaring.peer.rs",
    "acaciaring_schema/src/generated/acaciaring.state.rs",
    SETTINGS_CODE,
    SETTINGS_PAGE,
];

/// Protobuf files, relative to `PROTO_DIR`.
const PROTOS: [&str; 3] = ["log.proto", "state.proto", "peer.proto"];

const PROTO_DIR: &str = "acaciaring_schema/proto";
const CODE_DIR: &str = "acaciaring_schema/src/generated";
const SETTINGS: &str = "acaciaring_schema/settings.ini";
const SETTINGS_CODE: &str = "acaciaring_schema/src/generated/settings.rs";
const SETTINGS_PAGE: &str = "docs/SETTINGS.md";

/// Error that prevents generation.
#[derive(Debug, Snafu)]
pub enum GenerateError {
    /// The protobuf files do not compile.
    #[snafu(display("cannot compile the protobuf files"))]
    Protos {
        /// Error of the protobuf compiler.
        source: protox::Error,
    },
    /// The schema of the settings is invalid.
    #[snafu(display("{SETTINGS} is not valid"))]
    Settings {
        /// Cause.
        source: SchemaError,
    },
    /// A file cannot be read or written.
    #[snafu(display("cannot read or write {}", path.display()))]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// I/O error.
        source: io::Error,
    },
}

/// Fields that are slices of the message that they were decoded from, and clones of which share it.
const SHARED_FIELDS: [&str; 1] = [".acaciaring.peer.Request.body"];

/// Returns the repository root.
#[must_use]
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Generates every file of [`FILES`] below the directory `target`.
///
/// # Errors
///
/// Fails when a protobuf file or the schema is invalid, or a file cannot be read or written.
pub fn generate(target: &Path) -> Result<(), GenerateError> {
    for file in FILES {
        let path = target.join(file);
        let parent = path.parent().unwrap_or(target);
        fs::create_dir_all(parent).context(FileSnafu { path: parent })?;
    }
    generate_messages(target)?;
    generate_settings(target)
}

fn generate_messages(target: &Path) -> Result<(), GenerateError> {
    let files = protox::compile(PROTOS, [root().join(PROTO_DIR)]).context(ProtosSnafu)?;
    let path = target.join(CODE_DIR);
    let mut config = prost_build::Config::new();
    config.bytes(SHARED_FIELDS);
    config.out_dir(&path).compile_fds(files).context(FileSnafu { path })
}

fn generate_settings(target: &Path) -> Result<(), GenerateError> {
    let path = root().join(SETTINGS);
    let text = fs::read_to_string(&path).context(FileSnafu { path })?;
    let sections = schema::parse(&text).context(SettingsSnafu)?;
    write(&target.join(SETTINGS_CODE), &code::render(&sections))?;
    write(&target.join(SETTINGS_PAGE), &page::render(&sections))
}

fn write(path: &Path, text: &str) -> Result<(), GenerateError> {
    fs::write(path, text).context(FileSnafu { path })
}
