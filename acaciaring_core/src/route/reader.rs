//! Reader of a document's values that collects all validation errors.

use std::collections::BTreeMap;

use super::document::{Document, DocumentField, Fault};
use super::layout::{PARAMETERS, VALUE_MAX, field_fault};
use crate::id::Name;

/// Start and end delimiter of a placeholder for a parameter.
const PLACEHOLDER: (&str, char) = ("${", '}');

/// Reads values of one document and collects validation errors.
pub(super) struct FieldReader<'a> {
    document: &'a Document,
    fields: BTreeMap<(&'a str, &'a str), &'a DocumentField>,
    parameters: BTreeMap<&'a str, &'a str>,
    faults: Vec<Fault>,
}

impl<'a> FieldReader<'a> {
    /// Returns a reader that substitutes parameters from `source`.
    pub(super) fn new(document: &'a Document, source: Option<&'a Document>) -> Self {
        let entry = |field: &'a DocumentField| ((&*field.section, &*field.key), field);
        let parameters = source.into_iter().flat_map(|source| &source.fields);
        Self {
            document,
            // Of duplicate keys the first is read; the layout check reports the others.
            fields: document.fields.iter().rev().map(entry).collect(),
            parameters: parameters
                .rev()
                .filter(|field| &*field.section == PARAMETERS)
                .map(|field| (&*field.key, &*field.value))
                .collect(),
            faults: Vec::new(),
        }
    }

    /// Returns the errors found so far.
    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Returns true if the document has this key.
    pub(super) fn has(&self, section: &str, key: &str) -> bool {
        self.fields.contains_key(&(section, key))
    }

    /// Reads a required key.
    pub(super) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        if !self.has(section, key) {
            self.fault(section, key, "is missing");
            return None;
        }
        self.optional(section, key, parse)
    }

    /// Reads an optional key.
    pub(super) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let field = *self.fields.get(&(section, key))?;
        let value = self.substitute(&field.value).and_then(|text| parse(&text));
        match value {
            Ok(value) => Some(value),
            Err(message) => {
                self.faults.push(field_fault(self.document, field, message));
                None
            }
        }
    }

    /// Adds an error for a key, which may be missing from the document.
    pub(super) fn fault(&mut self, section: &str, key: &str, message: &str) {
        let field = self.fields.get(&(section, key));
        let in_section = self.document.fields.iter().find(|field| &*field.section == section);
        let line = field.copied().or(in_section).map_or(0, |field| field.line);
        self.faults.push(Fault {
            document: Name::clone(&self.document.name),
            line,
            section: section.into(),
            key: key.into(),
            message: message.to_owned(),
        });
    }

    /// Replaces each `${name}` by the parameter's value; substitution is not recursive.
    fn substitute(&self, value: &str) -> Result<String, String> {
        let mut filled = String::new();
        let mut rest = value;
        while let Some((before, after)) = rest.split_once(PLACEHOLDER.0) {
            let (name, tail) = after
                .split_once(PLACEHOLDER.1)
                .ok_or_else(|| "'${' has no closing '}'".to_owned())?;
            let parameter = self
                .parameters
                .get(name)
                .ok_or_else(|| format!("the workspace has no parameter '{name}'"))?;
            filled.push_str(before);
            filled.push_str(parameter);
            if filled.len() > VALUE_MAX {
                break;
            }
            rest = tail;
        }
        filled.push_str(rest);
        if filled.len() > VALUE_MAX {
            return Err(format!(
                "the value must have at most {VALUE_MAX} bytes after substitution"
            ));
        }
        Ok(filled)
    }
}
