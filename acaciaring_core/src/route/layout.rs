//! Schema of documents: known sections and keys, and limits of their sizes.

use std::collections::BTreeSet;

use super::document::{Document, DocumentField, DocumentKind, Fault};
use crate::id::Name;

/// Maximum number of fields in a document.
///
/// With the maximum lengths below, a document fits one log record.
const FIELDS_MAX: usize = 256;

/// Maximum length of a section, key or name in bytes.
const NAME_MAX: usize = 64;

/// Maximum length of a value in bytes, before and after substitution.
pub(super) const VALUE_MAX: usize = 512;

/// Prefix of the names of template sections that define a class.
pub(super) const CLASS_PREFIX: &str = "class ";

/// Section with the parameters of a workspace, whose keys are user-defined.
pub(super) const PARAMETERS: &str = "parameters";

/// Known keys of the sections of a template; [`CLASS_PREFIX`] stands for all class sections.
const TEMPLATE_KEYS: [(&str, &[&str]); 6] = [
    ("template", &["name"]),
    ("route", &["host", "prefix"]),
    ("division", &["kind", "slots", "key"]),
    ("weights", &["churn", "downtime"]),
    ("limits", &["body"]),
    (CLASS_PREFIX, &["method", "path", "rank", "repeat", "deadline", "answers"]),
];

/// Known keys of the `workspace` section of a parameters document.
const WORKSPACE_KEYS: &[&str] = &["name", "tenant", "template"];

/// Validates one document without substituting parameters, and returns all errors.
///
/// Checks names, sizes, duplicates, unknown sections and unknown keys; does not parse values.
#[must_use]
pub fn check(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_name(document, &mut faults);
    if document.fields.len() > FIELDS_MAX {
        faults.push(document_fault(document, format!("has more than {FIELDS_MAX} values")));
    }
    let mut seen = BTreeSet::new();
    for field in document.fields.iter().take(FIELDS_MAX) {
        let unique = seen.insert((&field.section, &field.key));
        let message =
            if unique { field_problem(document.kind, field) } else { Some(DUPLICATE.to_owned()) };
        faults.extend(message.map(|message| field_fault(document, field, message)));
    }
    faults
}

/// Message for a key that occurs twice in a section.
pub(super) const DUPLICATE: &str = "is set twice";

/// Returns an error with `message` at a field.
pub(super) fn field_fault(document: &Document, field: &DocumentField, message: String) -> Fault {
    Fault {
        document: Name::clone(&document.name),
        line: field.line,
        section: Name::clone(&field.section),
        key: Name::clone(&field.key),
        message,
    }
}

/// Returns true for a name of lower-case ASCII letters, digits, `-`, `_` and `.`.
///
/// It starts with a letter or digit and has at most [`NAME_MAX`] bytes.
pub(super) fn is_name(text: &str) -> bool {
    let starts = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    starts && text.len() <= NAME_MAX && text.chars().all(allowed)
}

fn check_name(document: &Document, faults: &mut Vec<Fault>) {
    if !is_name(&document.name) {
        let message = format!(
            "the name must have 1 to {NAME_MAX} lower-case letters, digits, '-', '_' or '.'"
        );
        faults.push(document_fault(document, message));
    }
}

fn document_fault(document: &Document, message: String) -> Fault {
    Fault {
        document: Name::clone(&document.name),
        line: 0,
        section: document.kind.as_str().into(),
        key: "".into(),
        message,
    }
}

fn field_problem(kind: DocumentKind, field: &DocumentField) -> Option<String> {
    let (section, key) = (&*field.section, &*field.key);
    if section.len() > NAME_MAX || key.len() > NAME_MAX {
        return Some(format!("section and key must have at most {NAME_MAX} bytes"));
    }
    if field.value.len() > VALUE_MAX {
        return Some(format!("the value must have at most {VALUE_MAX} bytes"));
    }
    match keys(kind, section) {
        Keys::UnknownSection => Some("unknown section".to_owned()),
        Keys::Known(keys) if keys.contains(&key) => None,
        Keys::Known(keys) => Some(format!("unknown key, expected one of {}", keys.join(", "))),
        Keys::Any if is_name(key) => None,
        Keys::Any => Some(
            "a parameter name must have lower-case letters, digits, '-', '_' or '.'".to_owned(),
        ),
    }
}

/// Keys allowed in a section.
enum Keys {
    UnknownSection,
    Known(&'static [&'static str]),
    Any,
}

fn keys(kind: DocumentKind, section: &str) -> Keys {
    match kind {
        DocumentKind::Template => template_keys(section).map_or(Keys::UnknownSection, Keys::Known),
        DocumentKind::Parameters if section == "workspace" => Keys::Known(WORKSPACE_KEYS),
        DocumentKind::Parameters if section == PARAMETERS => Keys::Any,
        DocumentKind::Parameters => Keys::UnknownSection,
    }
}

fn template_keys(section: &str) -> Option<&'static [&'static str]> {
    let class = section.strip_prefix(CLASS_PREFIX).is_some_and(is_name);
    let section = if class { CLASS_PREFIX } else { section };
    let known = TEMPLATE_KEYS.iter().find(|(name, _)| *name == section)?;
    Some(known.1)
}
