//! Settings of the daemon, loaded from an INI file and validated as a whole.

mod rules;

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};
use std::{fs, io};

use acaciaring_core::Name;
use acaciaring_core::route::{DocumentField, Fault, IniFields, IniProblem, parse_fields};
use acaciaring_schema::setting::Field;
use acaciaring_schema::settings::FIELDS;
pub use acaciaring_schema::settings::{
    Logging, LoggingFormat, LoggingLevel, LoggingSpans, Metrics, Settings,
};
use snafu::{ResultExt, Snafu, ensure};

/// Failure to load the settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is invalid.
    #[snafu(display("{faults}"))]
    Invalid {
        /// All faults of the file.
        faults: Faults,
    },
}

/// Faults of a settings file, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Display for Faults {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.0.iter().map(Fault::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read or has faults, all of which are listed.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&path.display().to_string(), &text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Fails if the text has faults, all of which are listed.
pub fn parse(file_name: &str, text: &str) -> Result<Settings, SettingsError> {
    let file: Name = file_name.into();
    let IniFields { fields, problems } = parse_fields(text);
    let mut faults: Vec<_> =
        problems.into_iter().map(|problem| syntax_fault(&file, problem)).collect();
    let mut settings = Settings::default();
    for (index, field) in fields.iter().enumerate() {
        let problem = assign(&mut settings, &fields[..index], field);
        faults.extend(problem.map(|message| fault_at(&file, field, message)));
    }
    faults.extend(missing(&file, &fields));
    if faults.is_empty() {
        let violations = rules::violations(&settings);
        faults.extend(violations.into_iter().map(|violation| violation.fault(&file, &fields)));
    }
    ensure!(faults.is_empty(), InvalidSnafu { faults: Faults(faults) });
    Ok(settings)
}

/// Sets one value; returns the message of a fault if it is invalid.
fn assign(
    settings: &mut Settings,
    before: &[DocumentField],
    field: &DocumentField,
) -> Option<String> {
    let same = |other: &DocumentField| other.section == field.section && other.key == field.key;
    if before.iter().any(same) {
        return Some("is set twice".to_owned());
    }
    match find_setting(field) {
        Some(known) => (known.assign)(settings, &field.value).err().map(|error| error.to_string()),
        None if FIELDS.iter().any(|known| known.section == &*field.section) => {
            Some("unknown key".to_owned())
        }
        None => Some("unknown section".to_owned()),
    }
}

fn find_setting(field: &DocumentField) -> Option<&'static Field> {
    FIELDS.iter().find(|known| is_setting(known, field))
}

fn is_setting(known: &Field, field: &DocumentField) -> bool {
    known.section == &*field.section && known.key == &*field.key
}

fn missing(file: &Name, fields: &[DocumentField]) -> Vec<Fault> {
    let absent =
        |known: &&Field| known.required && !fields.iter().any(|field| is_setting(known, field));
    let fault = |known: &Field| Fault {
        document: Name::clone(file),
        line: line_of(fields, known.section, known.key),
        section: known.section.into(),
        key: known.key.into(),
        message: "is missing".to_owned(),
    };
    FIELDS.iter().filter(absent).map(fault).collect()
}

/// Returns the line of a key, or else of the first value in its section, or else 0.
fn line_of(fields: &[DocumentField], section: &str, key: &str) -> u32 {
    let within = || fields.iter().filter(|field| &*field.section == section);
    let field = within().find(|field| &*field.key == key).or_else(|| within().next());
    field.map_or(0, |field| field.line)
}

fn fault_at(file: &Name, field: &DocumentField, message: String) -> Fault {
    Fault {
        document: Name::clone(file),
        line: field.line,
        section: Name::clone(&field.section),
        key: Name::clone(&field.key),
        message,
    }
}

fn syntax_fault(file: &Name, problem: IniProblem) -> Fault {
    let IniProblem { line, section, key, message } = problem;
    Fault { document: Name::clone(file), line, section, key, message }
}
