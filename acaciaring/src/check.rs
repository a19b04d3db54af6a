//! Offline validation of template and parameter files.

use std::fs;
use std::path::PathBuf;

use acaciaring_core::Name;
use acaciaring_core::route::{Document, DocumentKind, Fault, Route, build, parse_any};
use serde_json::json;
use snafu::{ResultExt, ensure};

use crate::error::{InvalidSnafu, ReadSnafu, ToolError, UsageSnafu};
use crate::report::Report;

/// Parsed document and the path of its file.
pub(crate) struct Source {
    file: Name,
    pub(crate) document: Document,
}

/// Validates files, and builds each route whose template and parameters are both given.
pub(crate) fn run(files: &[PathBuf]) -> Result<Report, ToolError> {
    let sources = read(files)?;
    let rows = sources.iter().map(|source| {
        let document = &source.document;
        vec![source.file.to_string(), document.kind.to_string(), document.name.to_string()]
    });
    let documents: Vec<_> = sources
        .iter()
        .map(|source| {
            let Document { name, kind, .. } = &source.document;
            json!({"file": source.file, "kind": kind, "name": name, "filled": filled(&sources, source)})
        })
        .collect();
    let rows = rows.zip(&sources).map(|(mut row, source)| {
        row.push(if filled(&sources, source) { "yes" } else { "no" }.to_owned());
        row
    });
    let json = json!({"documents": documents});
    Ok(Report::new(&["FILE", "KIND", "NAME", "FILLED"], rows.collect(), json))
}

/// Parses and validates files; returns templates before parameters.
pub(crate) fn read(files: &[PathBuf]) -> Result<Vec<Source>, ToolError> {
    ensure!(!files.is_empty(), UsageSnafu { message: "at least one FILE is required" });
    let mut sources = Vec::new();
    let mut faults = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let file: Name = path.display().to_string().into();
        match parse_any(&file, &text) {
            Ok(document) => sources.push(Source { file, document }),
            Err(found) => faults.extend(found),
        }
    }
    sources.sort_by_key(|source| source.document.kind);
    faults.extend(duplicates(&sources));
    faults.extend(check_routes(&sources));
    ensure!(faults.is_empty(), InvalidSnafu { faults });
    Ok(sources)
}

/// Returns a fault for each document that an earlier file defines too.
fn duplicates(sources: &[Source]) -> Vec<Fault> {
    let duplicate = |(index, source): (usize, &Source)| {
        let earlier =
            sources[..index].iter().find(|other| same_document(&other.document, &source.document));
        earlier.map(|earlier| fault(source, "name", format!("is in {} too", earlier.file)))
    };
    sources.iter().enumerate().filter_map(duplicate).collect()
}

fn same_document(one: &Document, other: &Document) -> bool {
    one.kind == other.kind && one.name == other.name
}

/// Builds the routes whose template is among the files, and returns the faults and conflicts.
fn check_routes(sources: &[Source]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut routes: Vec<Route> = Vec::new();
    for source in sources {
        let Some(template) = template_of(sources, source) else { continue };
        match build(&template.document, &source.document) {
            Ok(route) => {
                let clash = routes.iter().find(|other| other.conflicts_with(&route));
                let message =
                    clash.map(|clash| format!("answers the same requests as {}", clash.workspace));
                faults.extend(message.map(|message| fault(source, "name", message)));
                routes.push(route);
            }
            Err(found) => faults.extend(found.into_iter().map(|fault| with_file(sources, fault))),
        }
    }
    faults.dedup();
    faults
}

fn template_of<'a>(sources: &'a [Source], source: &Source) -> Option<&'a Source> {
    let name = source.document.template()?;
    let is_template = |other: &&Source| {
        other.document.kind == DocumentKind::Template && other.document.name == *name
    };
    sources.iter().find(is_template)
}

/// Returns true when the matching template or parameters are among the files too.
fn filled(sources: &[Source], source: &Source) -> bool {
    match source.document.kind {
        DocumentKind::Parameters => template_of(sources, source).is_some(),
        DocumentKind::Template => {
            sources.iter().any(|other| other.document.template() == Some(&source.document.name))
        }
    }
}

fn fault(source: &Source, key: &str, message: String) -> Fault {
    let section = match source.document.kind {
        DocumentKind::Template => "template",
        DocumentKind::Parameters => "workspace",
    };
    let line = source.document.field(section, key).map_or(0, |field| field.line);
    Fault {
        document: Name::clone(&source.file),
        line,
        section: section.into(),
        key: key.into(),
        message,
    }
}

/// Replaces the document name in a fault with the path of its file.
fn with_file(sources: &[Source], fault: Fault) -> Fault {
    let source = sources.iter().find(|source| source.document.name == fault.document);
    let document = source.map_or(fault.document, |source| Name::clone(&source.file));
    Fault { document, ..fault }
}
