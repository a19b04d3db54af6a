//! Building of a route from a template and the parameters of a workspace.

use super::document::{Document, DocumentKind, Fault};
use super::layout::{CLASS_PREFIX, check};
use super::reader::FieldReader;
use super::value::{self, DivisionKind};
use super::{Class, Division, Repeat, Route, Weights};
use crate::id::Name;

/// Maximum number of classes in a template.
const CLASSES_MAX: usize = 32;

/// Default weight, in thousandths.
const WEIGHT_DEFAULT: u32 = 1_000;

/// Default limit of the body size, in bytes.
const BODY_DEFAULT: u64 = 1 << 20;

/// Builds the route of a workspace; the result depends on the two documents alone.
///
/// # Errors
///
/// Returns all validation errors of both documents.
pub fn build(template: &Document, parameters: &Document) -> Result<Route, Vec<Fault>> {
    let mut faults = check(template);
    faults.extend(check(parameters));

    let mut reader = FieldReader::new(parameters, None);
    let tenant = read_workspace(&mut reader, parameters, template);
    faults.extend(reader.into_faults());

    let mut reader = FieldReader::new(template, Some(parameters));
    let route = read_template(&mut reader, template, parameters);
    faults.extend(reader.into_faults());

    match (route, tenant) {
        (Some(route), Some(tenant)) if faults.is_empty() => Ok(Route { tenant, ..route }),
        _ => Err(faults),
    }
}

/// Checks the `workspace` section and returns the tenant.
fn read_workspace(
    reader: &mut FieldReader<'_>,
    document: &Document,
    template: &Document,
) -> Option<Name> {
    if document.kind != DocumentKind::Parameters {
        reader.fault("workspace", "", "the document is not a parameters document");
    }
    expect_value(reader, "workspace", "name", &document.name);
    expect_value(reader, "workspace", "template", &template.name);
    reader.required("workspace", "tenant", value::name)
}

/// Reads the template into a route with an empty tenant, which the caller sets.
fn read_template(
    reader: &mut FieldReader<'_>,
    document: &Document,
    parameters: &Document,
) -> Option<Route> {
    if document.kind != DocumentKind::Template {
        reader.fault("template", "", "the document is not a template");
    }
    expect_value(reader, "template", "name", &document.name);
    let host = reader.optional("route", "host", value::host);
    let prefix = reader.required("route", "prefix", value::prefix);
    let division = read_division(reader);
    let weights = read_weights(reader);
    let max_body = reader.optional("limits", "body", value::body).unwrap_or(BODY_DEFAULT);
    let classes = read_classes(reader, document);
    check_classes(reader, &classes);
    let division = division?;
    check_repeats(reader, &classes, &division);
    Some(Route {
        workspace: Name::clone(&parameters.name),
        tenant: Name::from(""),
        host,
        prefix: prefix?,
        division,
        classes,
        weights,
        max_body,
        weighted_routes: Vec::new(),
    })
}

/// Adds an error unless the key has the value `expected`.
fn expect_value(reader: &mut FieldReader<'_>, section: &str, key: &str, expected: &str) {
    reader.required(section, key, |text| {
        if text == expected { Ok(()) } else { Err(format!("is '{text}', expected '{expected}'")) }
    });
}

fn read_division(reader: &mut FieldReader<'_>) -> Option<Division> {
    match reader.required("division", "kind", value::division)? {
        DivisionKind::Keyed => {
            let slots = reader.required("division", "slots", value::slots);
            let key = reader.required("division", "key", value::key_source);
            Some(Division::Keyed { slots: slots?, key: key? })
        }
        DivisionKind::Pooled => {
            for key in ["slots", "key"] {
                if reader.has("division", key) {
                    reader.fault("division", key, "is allowed in a keyed division only");
                }
            }
            Some(Division::Pooled)
        }
    }
}

fn read_weights(reader: &mut FieldReader<'_>) -> Weights {
    let mut weight = |key| {
        let weight = reader.optional("weights", key, value::weight);
        weight.unwrap_or(WEIGHT_DEFAULT)
    };
    let weights = Weights { churn: weight("churn"), downtime: weight("downtime") };
    if weights.churn == 0 && weights.downtime == 0 {
        reader.fault("weights", "churn", "at least one weight must be above 0");
    }
    weights
}

fn read_classes(reader: &mut FieldReader<'_>, document: &Document) -> Vec<Class> {
    let mut sections: Vec<&str> = Vec::new();
    for field in &document.fields {
        let section = &*field.section;
        if section.starts_with(CLASS_PREFIX) && !sections.contains(&section) {
            sections.push(section);
        }
    }
    if sections.is_empty() {
        reader.fault("class", "", "a template needs at least one class");
    }
    if let Some(section) = sections.get(CLASSES_MAX) {
        reader.fault(section, "", &format!("a template has at most {CLASSES_MAX} classes"));
        sections.truncate(CLASSES_MAX);
    }
    sections.into_iter().filter_map(|section| read_class(reader, section)).collect()
}

fn read_class(reader: &mut FieldReader<'_>, section: &str) -> Option<Class> {
    let method = reader.optional(section, "method", value::method);
    let path = reader.optional(section, "path", value::prefix);
    let rank = reader.required(section, "rank", value::rank);
    let repeat = reader.required(section, "repeat", value::repeat);
    let deadline = reader.required(section, "deadline", value::deadline);
    let large = reader.optional(section, "answers", value::large_answer);
    Some(Class {
        name: section.strip_prefix(CLASS_PREFIX)?.into(),
        method,
        path: path.unwrap_or_else(|| Name::from("")),
        rank: rank?,
        repeat: repeat?,
        deadline: deadline?,
        latency_target: None,
        max_tries: 0,
        single_use: false,
        large_answer: large.unwrap_or(false),
    })
}

/// Checks that the last class, and no other, matches all requests.
fn check_classes(reader: &mut FieldReader<'_>, classes: &[Class]) {
    let Some((last, others)) = classes.split_last() else { return };
    if !last.matches_all() {
        let message = "the last class must match all requests: remove its method and path";
        reader.fault(&section(last), "", message);
    }
    for class in others.iter().filter(|class| class.matches_all()) {
        reader.fault(&section(class), "", "hides the classes after it");
    }
}

/// Rejects at-most-once classes in a service that is not partitioned by key.
///
/// Such a service has no owner that deduplicates requests, so a caller's retry could run at a
/// second upstream.
fn check_repeats(reader: &mut FieldReader<'_>, classes: &[Class], division: &Division) {
    if *division != Division::Pooled {
        return;
    }
    for class in classes.iter().filter(|class| class.repeat == Repeat::Once) {
        reader.fault(&section(class), "repeat", "once is allowed in a keyed division only");
    }
}

fn section(class: &Class) -> String {
    format!("{CLASS_PREFIX}{}", class.name)
}
