//! Parser of INI files that keeps the line of each value.

use ini::{Ini, ParseOption};

use super::document::DocumentField;
use crate::id::Name;

/// Values of an INI file in file order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct IniFields {
    /// Values, including duplicate keys.
    pub fields: Vec<DocumentField>,
    /// Syntax errors.
    pub problems: Vec<IniProblem>,
}

/// Syntax error at one place of an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProblem {
    /// Line in the file.
    pub line: u32,
    /// Section, empty if unknown.
    pub section: Name,
    /// Key, empty if unknown.
    pub key: Name,
    /// Description of the error.
    pub message: String,
}

/// Parses an INI file; quotes and backslashes have no special meaning.
#[must_use]
pub fn parse_fields(text: &str) -> IniFields {
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    match Ini::load_from_str_opt(text, option) {
        Ok(file) => collect(&file, text),
        Err(error) => {
            let line = u32::try_from(error.line).unwrap_or(u32::MAX);
            let problem = IniProblem {
                line: line.saturating_add(1),
                section: "".into(),
                key: "".into(),
                message: error.msg.into_owned(),
            };
            IniFields { fields: Vec::new(), problems: vec![problem] }
        }
    }
}

fn collect(file: &Ini, text: &str) -> IniFields {
    let mut found = IniFields::default();
    let mut lines = LineFinder::new(text);
    let mut sections: Vec<&str> = Vec::new();
    for (section, values) in file {
        let name = section.unwrap_or_default();
        let line = if section.is_some() { lines.section(name) } else { 0 };
        if let Some(message) = section_problem(section, values.is_empty(), &sections) {
            found.problem(line, name, "", message);
        }
        sections.push(name);
        for (key, value) in values {
            let line = lines.key(key);
            let (key, value) = (key.trim(), value.trim());
            if let Some(message) = field_problem(key, value) {
                found.problem(line, name, key, message);
            }
            found.fields.push(DocumentField {
                section: name.into(),
                key: key.into(),
                value: value.into(),
                line,
            });
        }
    }
    found
}

fn section_problem(section: Option<&str>, empty: bool, before: &[&str]) -> Option<&'static str> {
    match section {
        // The INI parser yields an unnamed section for every file.
        None if empty => None,
        None => Some("values precede the first section"),
        Some(name) if name.contains(['\n', '\r']) => Some("the section header has no closing ']'"),
        Some(name) if before.contains(&name) => Some("the section occurs twice"),
        Some(_) if empty => Some("the section is empty"),
        Some(_) => None,
    }
}

/// Returns the error of a key or value that spans lines or has control characters.
///
/// Guards against lost values: the INI parser takes a line without '=' for the start of the next
/// line's key.
fn field_problem(key: &str, value: &str) -> Option<&'static str> {
    if key.contains(['\n', '\r']) {
        return Some("a line has no '='");
    }
    value.contains(char::is_control).then_some("the value has control characters")
}

impl IniFields {
    fn problem(&mut self, line: u32, section: &str, key: &str, message: &str) {
        self.problems.push(IniProblem {
            line,
            section: first_line(section).into(),
            key: first_line(key).into(),
            message: message.to_owned(),
        });
    }
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}

/// Finds the line numbers of sections and keys, which the INI parser does not report.
struct LineFinder<'a> {
    lines: Vec<&'a str>,
    next: usize,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        Self { lines: text.lines().map(str::trim).collect(), next: 0 }
    }

    fn section(&mut self, name: &str) -> u32 {
        let name = first_line(name).trim();
        self.find(|line| {
            line.strip_prefix('[').is_some_and(|rest| starts_with_word(rest, name, &[']', '\0']))
        })
    }

    fn key(&mut self, key: &str) -> u32 {
        let key = first_line(key).trim();
        self.find(|line| starts_with_word(line, key, &['=', ':', '\0']))
    }

    /// Returns the number of the next line that matches, 0 if there is none.
    fn find(&mut self, matches: impl Fn(&str) -> bool) -> u32 {
        let rest = &self.lines[self.next..];
        let Some(index) = rest.iter().position(|line| matches(line)) else { return 0 };
        self.next += index + 1;
        u32::try_from(self.next).unwrap_or(u32::MAX)
    }
}

/// Returns true if the line starts with `word` and one of `ends`; `\0` is the end of the line.
fn starts_with_word(line: &str, word: &str, ends: &[char]) -> bool {
    let Some(rest) = line.trim_start().strip_prefix(word) else { return false };
    let end = rest.trim_start().chars().next().unwrap_or('\0');
    ends.contains(&end)
}
