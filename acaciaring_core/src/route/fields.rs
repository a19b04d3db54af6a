//! Values of an INI file with their lines.

use ini::{Ini, ParseOption};

use super::document::DocumentField;
use crate::id::Name;

/// Values of an INI file in their order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct IniFields {
    /// Values; a key that stands twice is here twice.
    pub fields: Vec<DocumentField>,
    /// Places that are wrong whatever the file is for.
    pub problems: Vec<IniProblem>,
}

/// What is wrong at one place of an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProblem {
    /// Line in the file.
    pub line: u32,
    /// Section, empty when unknown.
    pub section: Name,
    /// Key, empty when unknown.
    pub key: Name,
    /// What is wrong.
    pub message: String,
}

/// Reads the values of an INI file; quotes and backslashes stand for themselves.
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
        // The library opens a section without name for every file.
        None if empty => None,
        None => Some("values stand before the first section"),
        Some(name) if name.contains(['\n', '\r']) => Some("the section lacks its ']'"),
        Some(name) if before.contains(&name) => Some("the section stands twice"),
        Some(_) if empty => Some("the section is empty"),
        Some(_) => None,
    }
}

/// Finds keys and values that span lines.
///
/// The library takes a line without '=' for the beginning of the next line's
/// key; unnoticed, both settings would be lost.
fn field_problem(key: &str, value: &str) -> Option<&'static str> {
    if key.contains(['\n', '\r']) {
        return Some("a line lacks its '='");
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

/// Finds the lines of sections and keys, which the library does not keep.
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

    /// Returns the number of the next line that matches, 0 when there is none.
    fn find(&mut self, matches: impl Fn(&str) -> bool) -> u32 {
        let rest = &self.lines[self.next..];
        let Some(index) = rest.iter().position(|line| matches(line)) else { return 0 };
        self.next += index + 1;
        u32::try_from(self.next).unwrap_or(u32::MAX)
    }
}

/// Returns true when `word` and one of `ends` begin the line; `\0` stands for the line's end.
fn starts_with_word(line: &str, word: &str, ends: &[char]) -> bool {
    let Some(rest) = line.trim_start().strip_prefix(word) else { return false };
    let end = rest.trim_start().chars().next().unwrap_or('\0');
    ends.contains(&end)
}
