//! Parsing of documents from INI files.

use super::document::{Document, DocumentKind, Fault};
use super::fields::{IniFields, IniProblem, parse_fields};
use super::layout::check;
use crate::id::Name;

/// Parses a document of the given kind; errors name the file instead of the document.
///
/// # Errors
///
/// Returns all syntax and layout errors of the file.
pub fn parse(kind: DocumentKind, file_name: &str, text: &str) -> Result<Document, Vec<Fault>> {
    let file: Name = file_name.into();
    let IniFields { fields, problems } = parse_fields(text);
    let fault = |problem| to_fault(&file, problem);
    let mut faults: Vec<_> = problems.into_iter().map(fault).collect();
    let mut document = Document { name: Name::clone(&file), kind, fields };
    match document.field(name_section(kind), "name") {
        Some(field) => document.name = Name::clone(&field.value),
        None => faults.push(missing_name(&file, kind)),
    }
    faults.extend(check(&document));
    if faults.is_empty() {
        return Ok(document);
    }
    Err(faults.into_iter().map(|fault| Fault { document: Name::clone(&file), ..fault }).collect())
}

/// Parses a document and detects its kind by its sections.
///
/// # Errors
///
/// Returns all syntax and layout errors of the file.
pub fn parse_any(file_name: &str, text: &str) -> Result<Document, Vec<Fault>> {
    let fields = parse_fields(text).fields;
    let has = |kind| fields.iter().any(|field| &*field.section == name_section(kind));
    let kind = if has(DocumentKind::Parameters) {
        DocumentKind::Parameters
    } else {
        DocumentKind::Template
    };
    parse(kind, file_name, text)
}

/// Returns the section that names a document and identifies its kind.
const fn name_section(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Template => "template",
        DocumentKind::Parameters => "workspace",
    }
}

fn to_fault(file: &Name, problem: IniProblem) -> Fault {
    Fault {
        document: Name::clone(file),
        line: problem.line,
        section: problem.section,
        key: problem.key,
        message: problem.message,
    }
}

fn missing_name(file: &Name, kind: DocumentKind) -> Fault {
    Fault {
        document: Name::clone(file),
        line: 0,
        section: name_section(kind).into(),
        key: "name".into(),
        message: "is missing".to_owned(),
    }
}
